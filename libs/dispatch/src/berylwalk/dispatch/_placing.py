"""Which target gets a request."""

from collections.abc import Callable, Collection, Sequence
from random import random

from berylwalk.dispatch._targets import Target, Work

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


def choose_target(
    targets: Sequence[Target],
    work: Work,
    *,
    failure_domain: str,
    excluded: Collection[str],
    now: float,
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
    draw : callable
        Draws from 0 up to 1, to tell equal targets apart.
    """
    typical = _typical_cost(targets)
    best = None
    best_cost = float("inf")
    for target in targets:
        if target.entry.target_id in excluded or not target.takes_work(now):
            continue
        if target.total_in_flight >= place_limit(target):
            continue
        cost = _expected_s(target, work, typical) * (1 + 0.02 * draw())
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


def _typical_cost(targets: Sequence[Target]) -> float:
    known = [
        target.cost_per_token for target in targets if target.cost_per_token is not None
    ]
    if not known:
        return TYPICAL_COST_PER_TOKEN
    return sum(known) / len(known)
