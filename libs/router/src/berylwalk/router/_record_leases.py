"""Leases that expire idempotency records."""

from collections.abc import Callable
from time import monotonic

from anyio import Lock

from berylwalk.platform import KeyValueStore, Unavailable

ROTATIONS_PER_LIFETIME = 24


class RecordLeases:
    """Leases shared by the records that are created within one rotation.

    One lease per record would double the writes. A lease lives for the record
    lifetime plus one rotation, and new records are attached to it during the
    first rotation only. A record therefore expires between one lifetime and one
    lifetime plus one rotation after its claim. Leases are never renewed, so they
    also expire when the router is gone.

    Parameters
    ----------
    store : KeyValueStore
        Grants the leases.
    lifetime_s : float
        Minimum time for which a record is kept, in seconds.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        store: KeyValueStore,
        *,
        lifetime_s: float,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._store = store
        self._lifetime_s = lifetime_s
        self._rotation_s = lifetime_s / ROTATIONS_PER_LIFETIME
        self._clock = clock
        self._lock = Lock()
        self._lease_id: int | None = None
        self._rotates_at = float("-inf")
        self._failure: Unavailable | None = None
        self._failed_at = float("-inf")

    async def lease_for(self, wait_s: float) -> int | Unavailable:
        """Return a lease for a record that is written now.

        Parameters
        ----------
        wait_s : float
            Longest remaining wait of the request for its grant, in seconds. The
            record outlives it.

        Returns
        -------
        int or Unavailable
            Identifier of the lease.
        """
        if wait_s >= self._lifetime_s:
            return await self._grant(wait_s + self._lifetime_s)
        arrived_at = self._clock()
        async with self._lock:
            if self._lease_id is not None and self._clock() < self._rotates_at:
                return self._lease_id
            # Callers that queued for the lock behind a failed attempt share its result.
            if self._failure is not None and self._failed_at >= arrived_at:
                return self._failure
            return await self._rotate()

    def forget(self, lease_id: int) -> None:
        """Stop using a lease that the key-value service no longer has."""
        if lease_id == self._lease_id:
            self._lease_id = None

    async def _rotate(self) -> int | Unavailable:
        # Taken before the request, so the lease expires later than assumed here.
        requested_at = self._clock()
        granted = await self._grant(self._lifetime_s + self._rotation_s)
        if isinstance(granted, Unavailable):
            self._failure = granted
            self._failed_at = self._clock()
            return granted
        self._failure = None
        self._lease_id = granted
        self._rotates_at = requested_at + self._rotation_s
        return granted

    async def _grant(self, ttl_s: float) -> int | Unavailable:
        lease = await self._store.grant_lease(ttl_s)
        return lease if isinstance(lease, Unavailable) else lease.lease_id
