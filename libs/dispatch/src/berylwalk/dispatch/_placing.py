"""Which target gets a request."""

from collections.abc import Callable, Collection, Sequence
from random import random

from berylwalk.dispatch._targets import Target, Work

REQUEST_TOKENS = 800
"""Tokens that a request in flight counts as besides its prompt: the mean delay
that its output causes the others, from trials on engines with 9 and 11 slots."""
TYPICAL_COST_PER_TOKEN = 0.00004
"""Seconds per token of a target that nothing is known of, while no other target
of its service has been measured."""
REMOTE_FACTOR = 1.15
"""How much dearer a target of another failure domain counts: bytes between
failure domains are paid for, and an answer takes longer on its way."""
ERROR_FACTOR = 4.0
"""How much dearer a target counts that fails every answer."""


def load_with(target: Target, work: Work) -> float:
    """Return the load of a target, in tokens, with a request added."""
    tokens = target.waiting_tokens + target.peer_tokens + work.prompt_tokens
    return tokens + REQUEST_TOKENS * (target.total_in_flight + 1)


def place_limit(slots: int, *, is_engine: bool) -> int:
    """Return how many requests may be at a target, of all routers.

    A few more than it works on, so that it has no pause between two; what
    waits in a target can't be put in order any more.
    """
    return slots + (3 if is_engine else 2)


def choose_target(
    targets: Sequence[Target],
    work: Work,
    *,
    failure_domain: str,
    limit: Callable[[Target], int],
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
    limit : callable
        Requests that a target may hold.
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
        if target.total_in_flight >= limit(target):
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
