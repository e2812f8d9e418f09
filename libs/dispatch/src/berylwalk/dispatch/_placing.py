"""Which target gets a request."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import random

from berylwalk.dispatch._target import TOKEN_S, Target, reading_time_s
from berylwalk.dispatch._target_entries import Obstacle, Work

FIRST_S = 0.010
"""Time of the reference engine to a first event without a prompt, in seconds."""
REQUEST_S = 0.001
"""The same for each request that it works on besides."""
TURN_WAIT_S = 0.15
"""Longest wait for a slot inside a target, in seconds: less than half of the
objectives of interactive requests."""
MORE_PLACES = 4
"""Bound of the requests at a target beyond those that it works on."""
MORE_PLACES_UNKNOWN = 2
"""The same while nothing is known of a target's speed."""
REMOTE_FACTOR = 1.3
"""How much dearer a target of another failure domain counts: bytes between
failure domains are paid for, and an answer takes longer on its way."""
RELAYED_REMOTE_FACTOR = 3.0
"""The same in a fleet that tells loads by failure domain: what is known of the others
is older, and all routers of a domain would go for the same place. Against 1.3, worth
rose by 0.011 to 0.015 on three days of a fleet of 31 routers."""
TOO_SLOW_FACTOR = 20.0
"""How much dearer a target counts at which the answer can't be whole in time."""
OUTPUT_MARGIN = 0.85
"""Part of the time left within which the answer should be whole."""
BUSY_SHARE = 0.5
"""Part of a target's slots from which it gets only requests that begin in time. Below,
a late answer takes nothing from others."""
ERROR_FACTOR = 4.0
"""How much dearer a target counts that fails every answer."""


@dataclass(frozen=True, slots=True)
class ExpectedStart:
    """When a request should bring its first event at a target.

    Parameters
    ----------
    reference_s : float
        Time of the reference engine with the same load, in seconds.
    slot_wait_s : float
        Wait for a slot of this target, in seconds.
    """

    reference_s: float
    slot_wait_s: float


def expected_start(target: Target, work: Work) -> ExpectedStart:
    """Return when a request that is added should bring its first event.

    Prompts are read one after the other; requests that only write answers hold
    each other up little, until no slot is free.
    """
    ahead_tokens = target.waiting_tokens + target.peer_tokens
    reference_s = (
        FIRST_S
        + REQUEST_S * target.total_in_flight
        + TOKEN_S * ahead_tokens
        + reading_time_s(work.prompt_tokens)
    )
    over = target.total_in_flight + 1 - target.entry.slots
    slot_wait_s = 0.0
    if over > 0 and target.slot_s is not None:
        slot_wait_s = over * target.slot_s / target.entry.slots
    return ExpectedStart(reference_s, slot_wait_s)


def place_limit(target: Target) -> int:
    """Return how many requests may be at a target, of all routers.

    As many more than it works on as get their turn within a short time, so
    that it has no pause between two. What waits in a target can't be put in
    order any more, and at a slow one it waits for long.
    """
    slots = target.entry.slots
    if target.slot_s is None:
        return slots + MORE_PLACES_UNKNOWN
    more = int(TURN_WAIT_S * slots / target.slot_s)
    return slots + min(more, MORE_PLACES)


def obstacle_for(
    target: Target, excluded: Collection[str], now: float
) -> Obstacle | None:
    """Return why a target can't be chosen, or None."""
    if target.entry.target_id in excluded:
        return Obstacle.EXCLUDED
    obstacle = target.obstacle(now)
    if obstacle is None and target.total_in_flight >= place_limit(target):
        return Obstacle.FULL
    return obstacle


def choose_target(
    targets: Sequence[Target],
    work: Work,
    *,
    failure_domain: str,
    excluded: Collection[str],
    now: float,
    left_s: float = float("inf"),
    remote_factor: float = REMOTE_FACTOR,
    start_within_s: float = float("inf"),
    draw: Callable[[], float] = random,
) -> Target | None:
    """Return the target with the least expected time, or None if all are full.

    Parameters
    ----------
    targets : sequence of Target
        Targets of the service.
    work : Work
        The request.
    failure_domain : str
        Where this router runs.
    excluded : collection of str
        Ids of the targets that were tried for this request.
    now : float
        Time in seconds.
    left_s : float
        Time within which the answer has to be whole, in seconds.
    remote_factor : float
        How much dearer a target of another failure domain counts.
    start_within_s : float
        Time within which the answer should begin, in seconds. Busy targets where it
        is expected later are passed over.
    draw : callable
        Draws from 0 up to 1, to tell equal targets apart.
    """
    typical = _typical_slowness(targets)
    best = None
    best_cost = float("inf")
    for target in targets:
        if obstacle_for(target, excluded, now) is not None:
            continue
        expected_s = _expected_s(target, work, typical)
        if _starts_too_late(target, expected_s, start_within_s):
            continue
        cost = expected_s * (1 + 0.02 * draw())
        if _output_s(target, work) > left_s * OUTPUT_MARGIN:
            cost *= TOO_SLOW_FACTOR
        if target.entry.failure_domain != failure_domain:
            cost *= remote_factor
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def targets_too_late(
    targets: Sequence[Target], work: Work, start_within_s: float
) -> set[str]:
    """Return the ids of targets that are passed over since they would begin late."""
    typical = _typical_slowness(targets)
    return {
        target.entry.target_id
        for target in targets
        if _starts_too_late(target, _expected_s(target, work, typical), start_within_s)
    }


def _starts_too_late(target: Target, expected_s: float, within_s: float) -> bool:
    is_busy = target.total_in_flight >= BUSY_SHARE * target.entry.slots
    return is_busy and expected_s > within_s


def _expected_s(target: Target, work: Work, typical: float) -> float:
    start = expected_start(target, work)
    slowness = typical if target.slowness is None else target.slowness
    expected_s = slowness * start.reference_s + start.slot_wait_s
    return expected_s * (1 + ERROR_FACTOR * target.errors)


def _output_s(target: Target, work: Work) -> float:
    return (target.output_token_s or 0.0) * work.output_tokens


def _typical_slowness(targets: Sequence[Target]) -> float:
    known = [target.slowness for target in targets if target.slowness is not None]
    return sum(known) / len(known) if known else 1.0
