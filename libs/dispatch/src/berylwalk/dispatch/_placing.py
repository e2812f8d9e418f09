"""Which target gets a request."""

from collections.abc import Callable, Collection, Sequence
from random import random

from berylwalk.dispatch._targets import Obstacle, Target, Work

REQUEST_TOKENS = 800
"""Tokens that a request in flight counts as besides its prompt: the mean delay
that its output causes the others, from trials on engines with 9 and 11 slots."""
TURN_WAIT_S = 0.15
"""Longest wait for a slot inside a target, in seconds: less than half of the
objectives of interactive requests."""
MORE_PLACES = 4
"""Bound of the requests at a target beyond those that it works on."""
MORE_PLACES_UNKNOWN = 2
"""The same while nothing is known of a target's speed."""
TYPICAL_COST_PER_TOKEN = 0.00004
"""Seconds per token of a target that nothing is known of, while no other target
of its service has been measured."""
REMOTE_FACTOR = 1.3
"""How much dearer a target of another failure domain counts: bytes between
failure domains are paid for, and an answer takes longer on its way."""
TOO_SLOW_FACTOR = 20.0
"""How much dearer a target counts at which the answer can't be whole in time."""
OUTPUT_MARGIN = 0.85
"""Part of the time left within which the answer should be whole."""
ERROR_FACTOR = 4.0
"""How much dearer a target counts that fails every answer."""


def load_with(target: Target, work: Work) -> float:
    """Return the load of a target, in tokens, with a request added."""
    tokens = target.waiting_tokens + target.peer_tokens + work.prompt_tokens
    return tokens + REQUEST_TOKENS * (target.total_in_flight + 1)


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
    draw : callable
        Draws from 0 up to 1, to tell equal targets apart.
    """
    typical = _typical_cost(targets)
    best = None
    best_cost = float("inf")
    for target in targets:
        if obstacle_for(target, excluded, now) is not None:
            continue
        cost = _expected_s(target, work, typical) * (1 + 0.02 * draw())
        if _output_s(target, work) > left_s * OUTPUT_MARGIN:
            cost *= TOO_SLOW_FACTOR
        if target.entry.failure_domain != failure_domain:
            cost *= REMOTE_FACTOR
        if cost < best_cost:
            best, best_cost = target, cost
    return best


def _expected_s(target: Target, work: Work, typical: float) -> float:
    speed = target.cost_per_token
    if speed is None:
        speed = typical
    return speed * load_with(target, work) * (1 + ERROR_FACTOR * target.errors)


def _output_s(target: Target, work: Work) -> float:
    return (target.output_token_s or 0.0) * work.output_tokens


def _typical_cost(targets: Sequence[Target]) -> float:
    known = [
        target.cost_per_token for target in targets if target.cost_per_token is not None
    ]
    if not known:
        return TYPICAL_COST_PER_TOKEN
    return sum(known) / len(known)
