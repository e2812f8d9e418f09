"""The router's side: takes the lease and sends orders under it."""

from collections.abc import Awaitable, Callable
from time import monotonic

import msgspec

from berylwalk.orders._gate import lock_key
from berylwalk.orders._messages import Order, OrderOutcome, OrderResult
from berylwalk.platform import KeyValueStore, LeasedLock, LockHeld

LEASE_TTL_S = 15.0
MIN_REMAINING_S = 5.0
"""An order is not sent with less time left on the lease."""

Transmit = Callable[[Order], Awaitable[OrderResult]]
"""Sends an order to its agent and returns the agent's answer."""


class OrderSender:
    """Sends orders, each under a lease of its target.

    Parameters
    ----------
    node_id : str
        Name of this node, stored with the lease for operators.
    store : KeyValueStore
        Where leases are kept.
    transmit : callable
        Sends an order to its agent.
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
        """Take the target's lease, send the order, give the lease up.

        Parameters
        ----------
        order : Order
            Its fencing number is replaced by the lease's.

        Returns
        -------
        OrderResult
            ``refused`` also when the lease can't be had.
        """
        lease = await LeasedLock.acquire(
            self._store,
            lock_key(order.target),
            owner=self._node_id,
            ttl_s=LEASE_TTL_S,
            clock=self._clock,
        )
        if isinstance(lease, LockHeld):
            return _refused("another router sends an order to this target")
        if not isinstance(lease, LeasedLock):
            return _refused("the lease can't be taken: no key-value service")
        try:
            return await self._send_under(lease, order)
        finally:
            await lease.release()

    async def _send_under(self, lease: LeasedLock, order: Order) -> OrderResult:
        if lease.remaining_s(self._clock()) < MIN_REMAINING_S:
            return _refused("the lease nearly lapsed before the order was sent")
        numbered = msgspec.structs.replace(order, fencing=lease.fencing)
        return await self._transmit(numbered)


def _refused(detail: str) -> OrderResult:
    return OrderResult(OrderOutcome.REFUSED, detail)
