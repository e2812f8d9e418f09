"""Lets a stream that is taken up wait for the quota of its account.

Load that it answers: after a start of all routers, the spending of accounts is counted
at its most, and what the window frees within the next moments suffices for the streams
in progress, but not for all new requests. A refusal would end a stream whose caller has
few attempts left.
"""

from dataclasses import replace

from anyio import sleep

from berylwalk.direct._admission import Admitted, Charge, Refusal
from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Route

CHECK_INTERVAL_S = 0.05
"""Interval between attempts to charge the quota."""
MIN_WAIT_LIMIT_S = 1.0
OBJECTIVES_WAITED = 2.0
PAUSES_WAITED = 4.0
"""Objectives and longest pauses of the route for which a stream waits: half of those
after which a caller leaves a stream without events."""


def wait_limit_s(route: Route) -> float:
    """Return how long a stream of a route may wait for the quota, in seconds."""
    return max(
        MIN_WAIT_LIMIT_S,
        OBJECTIVES_WAITED * route.objective_s,
        PAUSES_WAITED * route.longest_pause_s,
    )


async def wait_for_quota(
    context: RouterContext, refusal: Refusal, awaiting: Admitted
) -> Admitted | Refusal:
    """Wait until the quota has the units of a stream, for a limited time.

    New requests of its account leave the units to it meanwhile, at all routers. A
    stream that would wait too long is refused at once.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    refusal : Refusal
        What the caller gets otherwise.
    awaiting : Admitted
        The request, which has an account and is not charged yet.

    Returns
    -------
    Admitted or Refusal
        The request with its charge, or the refusal with the time that is left.
    """
    account, quotas = awaiting.account, context.quotas
    now = context.clock()
    wait_until = min(now + wait_limit_s(awaiting.route), awaiting.deadline)
    if account is None or now + (refusal.retry_after_s or 0.0) > wait_until:
        return refusal
    with quotas.awaited.waiting(account.name, awaiting.cost) as ticket:
        while now < wait_until:
            await sleep(min(CHECK_INTERVAL_S, wait_until - now))
            now = context.clock()
            if not context.may_begin(awaiting.deadline, now):
                return refusal
            delay_s = quotas.take_awaited(account, awaiting.cost, ticket, now)
            state = quotas.state(account, now)
            charge = Charge(account.name, awaiting.route, awaiting.cost, state, at=now)
            if not delay_s:
                return replace(awaiting, charge=charge)
            charge = replace(charge, reserve=quotas.awaited_reserve(account, ticket))
            refusal = replace(refusal, retry_after_s=delay_s, charge=charge)
    return refusal
