"""Sending of orders under a lease of the target."""

from collections.abc import Awaitable, Callable
from time import monotonic

import msgspec

from berylwalk.orders._gate import lock_key
from berylwalk.orders._messages import Order, OrderOutcome, OrderResult
from berylwalk.platform import KeyValueStore, LeasedLock, LockHeld

LEASE_TTL_S = 15.0
MIN_REMAINING_S = 5.0
"""Orders are not sent when the lease expires sooner than this."""

Transmit = Callable[[Order], Awaitable[OrderResult]]
"""Sends an order to the agent of its target and returns the result."""


class OrderSender:
    """Send orders, each under a lease of its target.

    Parameters
    ----------
    node_id : str
        Identifier of this node, stored with the lease to show its owner.
    store : KeyValueStore
        Holds the leases.
    transmit : callable
        Sends an order to the agent of its target.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        node_id: str,
        store: KeyValueStore,
        transmit: Transmit,
        *,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._transmit = transmit
        self._clock = clock

    async def send(self, order: Order) -> OrderResult:
        """Acquire the lease of the target, send the order and release the lease.

        Parameters
        ----------
        order : Order
            Its fencing token is replaced by that of the lease.

        Returns
        -------
        OrderResult
            Also ``refused`` when the lease cannot be acquired.
        """
        lease = await LeasedLock.acquire(
            self._store,
            lock_key(order.target),
            owner=self._node_id,
            ttl_s=LEASE_TTL_S,
            clock=self._clock,
        )
        if isinstance(lease, LockHeld):
            return _refused("another router is sending an order to this target")
        if not isinstance(lease, LeasedLock):
            return _refused("lease not acquired: the key-value service is unavailable")
        try:
            return await self._send_with_lease(lease, order)
        finally:
            await lease.release()

    async def _send_with_lease(self, lease: LeasedLock, order: Order) -> OrderResult:
        if lease.remaining_s(self._clock()) < MIN_REMAINING_S:
            return _refused("too little time remained on the lease to send the order")
        fenced_order = msgspec.structs.replace(order, fencing=lease.fencing)
        return await self._transmit(fenced_order)


def _refused(detail: str) -> OrderResult:
    return OrderResult(OrderOutcome.REFUSED, detail)
