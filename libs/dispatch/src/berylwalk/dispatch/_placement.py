"""Which target gets a request: the one that begins it soon and holds nobody up.

Load pattern: prompts and answers whose sizes differ a hundredfold, at engines whose
speeds differ several times. What goes to a slow engine keeps its slot for long, may end
too late, and holds up the streams beside it while it is read.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import random

from berylwalk.affinity import parts_hash
from berylwalk.dispatch._concurrency_limits import ineligibility_reason_for
from berylwalk.dispatch._target import UNKNOWN_TOKEN_S, FirstEventEstimate, Target
from berylwalk.dispatch._target_entries import Work

REMOTE_FACTOR = 1.3
"""How much dearer a target of another failure domain counts: bytes between
failure domains are paid for, and an answer takes longer on its way."""
RELAYED_REMOTE_FACTOR = 3.0
"""The same in a fleet that tells loads by failure domain: what is known of the others
is older, and all routers of a domain would go for the same place."""
SLOT_TIME_WEIGHT = 0.1
"""Weight of the time that a request keeps its slot against that to its first event: a
target that is done sooner has sooner a place for the next."""
LOAD_WEIGHT = 0.1
"""How much dearer a target counts whose slots are all taken: among equals the one with
more room."""
PAUSE_FACTOR = 4.0
"""How much dearer a target counts where the reading of the prompt is likely to hold up
its streams for too long, or where all streams had such a pause."""
PAUSE_SHARE = 0.8
"""Part of the longest pause allowed within which an expected one should stay."""
INHERENT_FACTOR = 1.5
"""Multiple of the least time at an idle target that a start may take at least: what
can't begin in time anywhere is better late than never."""
TOO_SLOW_FACTOR = 20.0
"""How much dearer a target counts at which the answer can't be whole in time."""
OUTPUT_MARGIN = 0.85
"""Part of the time left within which the answer should be whole."""
BUSY_SHARE = 0.5
"""Part of a target's slots from which it gets only requests that begin in time. Below,
a late answer takes nothing from others."""
HELD_FACTOR = 0.5
"""How much cheaper a target counts that has read what the prompt shares with others,
besides the time that this saves the request: it saves the others there as much. Bytes
between failure domains cost less than reading again."""
APART_PART = 3
"""Requests that may end their targets go to one of the emptiest; which part of all
targets that is, as its divisor."""
LEAST_APART = 2
"""Targets that such a request is spread over at least."""
ERROR_FACTOR = 4.0
"""How much dearer a target counts that fails every answer."""


def estimate_first_event(
    target: Target,
    work: Work,
    *,
    cached_tokens: int = 0,
    typical_token_s: float = UNKNOWN_TOKEN_S,
) -> FirstEventEstimate:
    """Return when a request that is added should bring its first event.

    Parameters
    ----------
    target : Target
        Where it is added.
    work : Work
        The request.
    held_tokens : int
        Tokens of its prompt that the target has read before.
    typical_token_s : float
        Time for an output token of a target of which nothing is known, in seconds.
    """
    token_s = target.output_token_s or typical_token_s
    model = target.first_event_model
    fixed_s = model.fixed_s if target.fixed_s is None else target.fixed_s
    ahead_tokens = target.unread_tokens
    own_tokens = work.prompt_tokens - cached_tokens
    reading_s = model.reading_s(token_s, ahead_tokens, own_tokens)
    over = target.total_in_flight + 1 - target.entry.slots
    slot_wait_s = 0.0
    if over > 0 and target.slot_s is not None:
        slot_wait_s = over * target.slot_s / max(1, target.entry.slots)
    return FirstEventEstimate(fixed_s, reading_s, slot_wait_s, ahead_tokens, own_tokens)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What a choice depends on besides the targets.

    Parameters
    ----------
    work : Work
        Its size.
    excluded : collection of str
        Ids of the targets that were tried for it.
    held_tokens : mapping of str to int
        Tokens of its prompt that targets have read before, by their lives.
    is_most_urgent : bool
        Whether no request of a higher rank goes to the same targets.
    left_s : float
        Time within which the answer has to be whole, in seconds.
    start_within_s : float
        Time within which the answer should begin, in seconds. Busy targets where it
        is expected later are passed over.
    longest_pause_s : float
        Longest pause of a stream that is on time, in seconds; 0 if there is no bound.
    apart_as : bytes
        What tells a request from others that is to run apart from them, for its target
        may end under it; empty for all that need not.
    """

    work: Work
    excluded: Collection[str] = ()
    cached_tokens: Mapping[str, int] = field(default_factory=dict)
    is_most_urgent: bool = True
    left_s: float = float("inf")
    start_within_s: float = float("inf")
    longest_pause_s: float = 0.0
    isolation_key: bytes = b""


def choose_target(
    targets: Sequence[Target],
    request: PlacementRequest,
    *,
    failure_domain: str,
    now: float,
    remote_factor: float = REMOTE_FACTOR,
    draw: Callable[[], float] = random,
) -> Target | None:
    """Return the target with the least cost, or None if no place is fit.

    Parameters
    ----------
    targets : sequence of Target
        Targets of the service.
    request : PlaceRequest
        What is to be placed.
    failure_domain : str
        Where this router runs.
    now : float
        Time in seconds.
    remote_factor : float
        How much dearer a target of another failure domain counts.
    draw : callable
        Draws from 0 up to 1, to tell equal targets apart.
    """
    free = [
        target
        for target in targets
        if ineligibility_reason_for(
            target, request.excluded, now, is_most_urgent=request.is_most_urgent
        )
        is None
    ]
    if not free:
        return None
    if request.isolation_key:
        return _apart(free, request.isolation_key)
    typical_token_s = mean_token_s(targets)
    within_s = _start_bound_s(targets, request, typical_token_s, now)
    best = None
    best_cost = float("inf")
    for target in free:
        cached_tokens = request.cached_tokens.get(target.entry.incarnation_id, 0)
        start = estimate_first_event(
            target,
            request.work,
            cached_tokens=cached_tokens,
            typical_token_s=typical_token_s,
        )
        if _starts_too_late(target, start, within_s):
            continue
        cost = _cost_s(target, request, start, typical_token_s) * (1 + 0.02 * draw())
        if cached_tokens:
            cost *= HELD_FACTOR
        elif target.entry.failure_domain != failure_domain:
            cost *= remote_factor
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def _apart(free: Sequence[Target], isolation_key: bytes) -> Target:
    """Return the target for a request that may end it.

    One of those with the fewest requests, since it takes them along; which one is the
    request's own, so that two such requests seldom meet and can be told apart.
    """
    by_load = sorted(free, key=lambda target: target.total_in_flight)
    emptiest = by_load[: max(LEAST_APART, len(by_load) // APART_PART)]
    return max(
        emptiest,
        key=lambda target: parts_hash(
            [isolation_key, target.entry.incarnation_id.encode()]
        ),
    )


def targets_too_late(
    targets: Sequence[Target], request: PlacementRequest, now: float
) -> set[str]:
    """Return the ids of targets that are passed over since they would begin late."""
    typical_token_s = mean_token_s(targets)
    within_s = _start_bound_s(targets, request, typical_token_s, now)
    return {
        target.entry.target_id
        for target in targets
        if _starts_too_late(
            target,
            estimate_first_event(
                target,
                request.work,
                cached_tokens=request.cached_tokens.get(target.entry.incarnation_id, 0),
                typical_token_s=typical_token_s,
            ),
            within_s,
        )
    }


def _cost_s(
    target: Target,
    request: PlacementRequest,
    start: FirstEventEstimate,
    typical_token_s: float,
) -> float:
    token_s = target.output_token_s or typical_token_s
    output_s = token_s * request.work.output_tokens
    cost = start.total_s + SLOT_TIME_WEIGHT * (start.reading_s + output_s)
    cost *= 1 + ERROR_FACTOR * target.error_rate
    cost *= 1 + LOAD_WEIGHT * target.total_in_flight / max(1, target.entry.slots)
    if output_s > request.left_s * OUTPUT_MARGIN:
        cost *= TOO_SLOW_FACTOR
    if request.longest_pause_s > 0:
        cost *= 1 + PAUSE_FACTOR * _pause_risk(target, request, start)
    return cost


def _pause_risk(
    target: Target, request: PlacementRequest, start: FirstEventEstimate
) -> float:
    """Return the risk of a long pause there, from 0 to 1."""
    bound_s = PAUSE_SHARE * request.longest_pause_s
    expected_s = (target.event_s or 0.0) + start.reading_s
    if target.total_in_flight and expected_s > bound_s:
        return 1.0
    return target.paused_share


def _start_bound_s(
    targets: Sequence[Target],
    request: PlacementRequest,
    typical_token_s: float,
    now: float,
) -> float:
    """Return within what time a start at a busy target is expected to be useful."""
    if request.start_within_s == float("inf"):
        return request.start_within_s
    idle_s = [
        target.first_event_model.fixed_s
        + target.first_event_model.reading_s(
            target.output_token_s or typical_token_s, 0, request.work.prompt_tokens
        )
        for target in targets
        if target.is_available(now)
    ]
    least_s = min(idle_s, default=0.0)
    if least_s <= request.start_within_s:
        return request.start_within_s
    return INHERENT_FACTOR * least_s


def _starts_too_late(
    target: Target, start: FirstEventEstimate, within_s: float
) -> bool:
    is_busy = target.total_in_flight >= BUSY_SHARE * target.entry.slots
    return is_busy and start.total_s > within_s


def mean_token_s(targets: Sequence[Target]) -> float:
    """Return the mean time for an output token at some targets, in seconds."""
    known = [
        target.output_token_s for target in targets if target.output_token_s is not None
    ]
    return sum(known) / len(known) if known else UNKNOWN_TOKEN_S
