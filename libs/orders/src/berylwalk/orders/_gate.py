"""Validation of fencing tokens by the agent.

Not every target rejects an order with an outdated fencing token. All orders to a
target pass through its agent, which validates the token on behalf of the target.
"""

from collections.abc import Awaitable, Callable

import anyio

from berylwalk.orders._messages import Order, OrderOutcome, OrderResult
from berylwalk.platform import KeyValueStore, Unavailable

LOCK_PREFIX = b"/berylwalk/orders/"

ForwardOrder = Callable[[Order], Awaitable[OrderResult]]
"""Forwards an order to the target and returns its result."""


def lock_key(target: str) -> bytes:
    """Return the store key of the lease that serializes orders to a target."""
    return LOCK_PREFIX + target.encode()


class FencingGate:
    """Forward orders of the current lease holder to a target, one at a time.

    Parameters
    ----------
    target : str
        Node identifier of the agent.
    store : KeyValueStore
        Holds the lease of the target.
    forward : callable
        Forwards an order to the target.
    """

    def __init__(
        self, target: str, store: KeyValueStore, forward: ForwardOrder
    ) -> None:
        self._target = target
        self._store = store
        self._forward = forward
        self._highest_token = 0
        self._lock = anyio.Lock()

    async def handle(self, order: Order) -> OrderResult:
        """Forward an order, or refuse it if its fencing token is outdated.

        The lease is read for every order. Comparing with the highest token seen is
        not sufficient: a sender that was paused until its lease expired may be the
        first to reach this agent.

        Returns
        -------
        OrderResult
            ``refused`` if the order was not forwarded, or the target refused it.
        """
        if order.target != self._target:
            return _refused(f"the order is addressed to {order.target}")
        async with self._lock:
            refusal = await self._check(order.fencing)
            if refusal is not None:
                return refusal
            self._highest_token = order.fencing
            return await self._forward(order)

    async def _check(self, fencing: int) -> OrderResult | None:
        if fencing < self._highest_token:
            return _refused(
                f"fencing token {fencing} is lower than {self._highest_token}"
            )
        current = await self._store.get(lock_key(self._target))
        if isinstance(current, Unavailable):
            return _refused("lease not verified: the key-value service is unavailable")
        if current is None:
            return _refused("no router holds the lease for orders to this target")
        if current.mod_revision != fencing:
            return _refused(
                f"fencing token {fencing} does not belong to the current lease holder"
            )
        return None


def _refused(detail: str) -> OrderResult:
    return OrderResult(OrderOutcome.REFUSED, detail)
