"""The agent's check of fencing numbers, the same for every target.

Some targets refuse an order with an old fencing number, others ignore it. All
orders to a target pass through its agent, which therefore checks for both.
"""

from collections.abc import Awaitable, Callable

import anyio

from berylwalk.orders._messages import Order, OrderOutcome, OrderResult
from berylwalk.platform import KeyValueStore, Unavailable

LOCK_PREFIX = b"/berylwalk/orders/"

ForwardOrder = Callable[[Order], Awaitable[OrderResult]]
"""Passes an order to the target and returns what became of it."""


def lock_key(target: str) -> bytes:
    """Return the key of the lease that protects orders to a target."""
    return LOCK_PREFIX + target.encode()


class FencingGate:
    """Passes orders to one target, one at a time, from the current holder only.

    Parameters
    ----------
    target : str
        Node identifier of the agent.
    store : KeyValueStore
        Where the lease of the holder is kept.
    forward : callable
        Passes an order to the target.
    """

    def __init__(
        self, target: str, store: KeyValueStore, forward: ForwardOrder
    ) -> None:
        self._target = target
        self._store = store
        self._forward = forward
        self._highest = 0
        self._lock = anyio.Lock()

    async def handle(self, order: Order) -> OrderResult:
        """Pass an order on, or refuse it.

        The lease is read for every order: a holder that was paused past its
        lease may be the first to reach this agent, so that comparing with the
        highest number seen isn't enough.

        Returns
        -------
        OrderResult
            ``refused`` means that the target never saw the order, or refused it.
        """
        if order.target != self._target:
            return _refused(f"the order is for {order.target}")
        async with self._lock:
            refusal = await self._check(order.fencing)
            if refusal is not None:
                return refusal
            self._highest = order.fencing
            return await self._forward(order)

    async def _check(self, fencing: int) -> OrderResult | None:
        if fencing < self._highest:
            return _refused(f"fencing number {fencing} is below {self._highest}")
        current = await self._store.get(lock_key(self._target))
        if isinstance(current, Unavailable):
            return _refused("the lease can't be checked: no key-value service")
        if current is None:
            return _refused("nobody holds the lease for orders to this target")
        if current.mod_revision != fencing:
            return _refused(
                f"fencing number {fencing} is not that of the lease's holder"
            )
        return None


def _refused(detail: str) -> OrderResult:
    return OrderResult(OrderOutcome.REFUSED, detail)
