"""Choice of the target that serves a request.

The cost of a target is the expected time to the first event, plus a share of the time
that the request occupies a slot, scaled by penalties for errors, load, long pauses,
missed deadlines and other failure domains.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from random import random

from berylwalk.affinity import parts_hash
from berylwalk.dispatch._concurrency_limits import ineligibility_reason_for
from berylwalk.dispatch._target import DEFAULT_TOKEN_S, FirstEventEstimate, Target
from berylwalk.dispatch._target_entries import Work
from berylwalk.dispatch._urgency import MOST_URGENT, Urgency

REMOTE_FACTOR = 1.3
"""Cost factor for targets in another failure domain: traffic between failure domains is
billed and adds latency."""
RELAYED_REMOTE_FACTOR = 3.0
"""Same, when the loads of other failure domains arrive through relays: these loads are
older, and all routers of a domain would pick the same target."""
SLOT_TIME_WEIGHT = 0.1
"""Weight of the time that a request occupies its slot, relative to its time to the
first event: a target that completes a request sooner has a slot for the next sooner."""
LOAD_WEIGHT = 0.1
"""Additional relative cost of a target whose slots are all in use."""
PAUSE_FACTOR = 4.0
"""Additional relative cost of a target where long pauses in streams are certain."""
PAUSE_BUDGET_SHARE = 0.8
"""Share of the longest allowed pause that an expected pause may use."""
IDLE_START_FACTOR = 1.5
"""Multiple of the shortest start time on an idle target. Raises the start deadline if
no target can meet it."""
TOO_SLOW_FACTOR = 20.0
"""Cost factor for targets that are expected to miss the deadline of the request."""
OUTPUT_MARGIN = 0.85
"""Share of the remaining time within which the output should be complete."""
BUSY_SLOT_SHARE = 0.5
"""Share of occupied slots from which the start deadline is enforced. Below it a late
response delays no other request."""
CACHED_PREFIX_FACTOR = 0.5
"""Cost factor for targets that have cached the shared prefix of the prompt, in addition
to the saved prefill time: it is saved for the other requests there as well. Traffic
between failure domains costs less than another prefill."""
ISOLATION_POOL_DIVISOR = 3
"""Isolated requests are spread over the least loaded 1/N of the targets."""
MIN_ISOLATION_POOL = 2
"""Minimum number of targets that isolated requests are spread over."""
ERROR_FACTOR = 4.0
"""Additional relative cost of a target whose responses all fail."""


def estimate_first_event(
    target: Target,
    work: Work,
    *,
    cached_tokens: int = 0,
    typical_token_s: float = DEFAULT_TOKEN_S,
) -> FirstEventEstimate:
    """Estimate the time to the first event if a request is sent to a target.

    Parameters
    ----------
    target : Target
        Target to evaluate.
    work : Work
        Size of the request.
    cached_tokens : int
        Prompt tokens that the target has cached.
    typical_token_s : float
        Time per output token assumed for a target without observations, in seconds.
    """
    token_s = target.output_token_s or typical_token_s
    model = target.first_event_model
    fixed_s = model.fixed_s if target.fixed_s is None else target.fixed_s
    ahead_tokens = target.queued_prompt_tokens
    own_tokens = work.prompt_tokens - cached_tokens
    prefill_s = model.prefill_s(token_s, ahead_tokens, own_tokens)
    over = target.total_in_flight + 1 - target.entry.slots
    slot_wait_s = 0.0
    if over > 0 and target.slot_s is not None:
        slot_wait_s = over * target.slot_s / max(1, target.entry.slots)
    return FirstEventEstimate(fixed_s, prefill_s, slot_wait_s, ahead_tokens, own_tokens)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """Properties of a request that affect its placement.

    Parameters
    ----------
    work : Work
        Size of the request.
    excluded : collection of str
        Incarnation ids of targets that must not be chosen.
    cached_tokens : mapping of str to int
        Cached prompt tokens by incarnation id.
    urgency : Urgency
        How much of a target it may fill.
    left_s : float
        Time left until the deadline of the request, in seconds.
    start_within_s : float
        Time within which the response should start, in seconds. Busy targets with a
        later estimate are skipped.
    longest_pause_s : float
        Longest allowed pause between stream events, in seconds; 0 for no bound.
    isolation_key : bytes
        Identity of a request that may crash its target and is kept apart from others
        of its kind; empty for all other requests.
    """

    work: Work
    excluded: Collection[str] = ()
    cached_tokens: Mapping[str, int] = field(default_factory=dict)
    urgency: Urgency = MOST_URGENT
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
    """Return the eligible target with the lowest cost, or None.

    Parameters
    ----------
    targets : sequence of Target
        Targets of the service.
    request : PlacementRequest
        Request to place.
    failure_domain : str
        Failure domain of this router.
    now : float
        Current time in seconds.
    remote_factor : float
        Cost factor for targets in other failure domains.
    draw : callable
        Returns a random number in [0, 1), used to break ties.
    """
    eligible = [
        target
        for target in targets
        if ineligibility_reason_for(
            target, request.excluded, now, request.urgency, request.work
        )
        is None
    ]
    if not eligible:
        return None
    if request.isolation_key:
        return _isolated_target(eligible, request.isolation_key)
    typical_token_s = mean_token_s(targets)
    max_start_s = _start_bound_s(targets, request, now)
    best = None
    best_cost = float("inf")
    for target in eligible:
        cached_tokens = request.cached_tokens.get(target.entry.incarnation_id, 0)
        estimate = estimate_first_event(
            target,
            request.work,
            cached_tokens=cached_tokens,
            typical_token_s=typical_token_s,
        )
        if _starts_too_late(target, estimate, max_start_s):
            continue
        cost = _cost_s(target, request, estimate, typical_token_s)
        cost += _preemption_s(target, request.work, typical_token_s, now)
        cost *= 1 + 0.02 * draw()
        if cached_tokens:
            cost *= CACHED_PREFIX_FACTOR
        elif target.entry.failure_domain != failure_domain:
            cost *= remote_factor
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def _isolated_target(eligible: Sequence[Target], isolation_key: bytes) -> Target:
    """Return the target for a request that may crash it.

    Chooses among the least loaded targets by rendezvous hashing, so that two such
    requests rarely share a target.
    """
    by_load = sorted(eligible, key=lambda target: target.total_in_flight)
    least_loaded = by_load[
        : max(MIN_ISOLATION_POOL, len(by_load) // ISOLATION_POOL_DIVISOR)
    ]
    return max(
        least_loaded,
        key=lambda target: parts_hash(
            [isolation_key, target.entry.incarnation_id.encode()]
        ),
    )


def targets_too_late(
    targets: Sequence[Target], request: PlacementRequest, now: float
) -> set[str]:
    """Return the ids of targets that are skipped for a late start."""
    typical_token_s = mean_token_s(targets)
    max_start_s = _start_bound_s(targets, request, now)
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
            max_start_s,
        )
    }


def _cost_s(
    target: Target,
    request: PlacementRequest,
    estimate: FirstEventEstimate,
    typical_token_s: float,
) -> float:
    token_s = target.output_token_s or typical_token_s
    output_s = token_s * request.work.output_tokens
    cost = estimate.total_s + SLOT_TIME_WEIGHT * (estimate.prefill_s + output_s)
    cost *= 1 + ERROR_FACTOR * target.error_rate
    cost *= 1 + LOAD_WEIGHT * target.total_in_flight / max(1, target.entry.slots)
    if output_s > request.left_s * OUTPUT_MARGIN:
        cost *= TOO_SLOW_FACTOR
    if request.longest_pause_s > 0:
        cost *= 1 + PAUSE_FACTOR * _pause_risk(target, request, estimate)
    return cost


def _preemption_s(
    target: Target, work: Work, typical_token_s: float, now: float
) -> float:
    """Return the expected delay by preemption, in seconds.

    A preempted request waits until another one ends, and is prefilled again.
    """
    if target.cache_memory.service.crashes_when_full and target.total_in_flight:
        # A target that the request does not fit is not eligible.
        return 0.0
    load = target.cache_load(now, work)
    if load is None or not load.excess_tokens:
        return 0.0
    risk = min(1.0, load.excess_tokens / max(1, work.max_tokens))
    token_s = target.output_token_s or typical_token_s
    prefill_s = target.first_event_model.prefill_s(token_s, 0, work.prompt_tokens)
    return risk * (prefill_s + (target.slot_s or token_s * work.output_tokens))


def _pause_risk(
    target: Target, request: PlacementRequest, estimate: FirstEventEstimate
) -> float:
    """Return the risk of a pause above the bound, in [0, 1]."""
    bound_s = PAUSE_BUDGET_SHARE * request.longest_pause_s
    expected_s = (target.event_s or 0.0) + estimate.prefill_s
    if target.total_in_flight and expected_s > bound_s:
        return 1.0
    return target.paused_share


def idle_starts_s(targets: Sequence[Target], work: Work, now: float) -> list[float]:
    """Return the expected times to the first event at targets without other requests.

    Parameters
    ----------
    targets : sequence of Target
        Targets of the service; those that can't be used now are left out.
    work : Work
        Size of the request.
    now : float
        Current time in seconds.

    Returns
    -------
    list of float
        Times in seconds.
    """
    typical_token_s = mean_token_s(targets)
    return [
        target.first_event_model.fixed_s
        + target.first_event_model.prefill_s(
            target.output_token_s or typical_token_s, 0, work.prompt_tokens
        )
        for target in targets
        if target.is_available(now)
    ]


def _start_bound_s(
    targets: Sequence[Target], request: PlacementRequest, now: float
) -> float:
    """Return the latest useful start at a busy target, in seconds from now."""
    if request.urgency.is_late or request.start_within_s == float("inf"):
        return float("inf")
    min_start_s = min(idle_starts_s(targets, request.work, now), default=0.0)
    if min_start_s <= request.start_within_s:
        return request.start_within_s
    return IDLE_START_FACTOR * min_start_s


def _starts_too_late(
    target: Target, estimate: FirstEventEstimate, max_start_s: float
) -> bool:
    is_busy = target.total_in_flight >= BUSY_SLOT_SHARE * target.entry.slots
    return is_busy and estimate.total_s > max_start_s


def mean_token_s(targets: Sequence[Target]) -> float:
    """Return the mean time per output token over targets, in seconds."""
    known = [
        target.output_token_s for target in targets if target.output_token_s is not None
    ]
    return sum(known) / len(known) if known else DEFAULT_TOKEN_S
