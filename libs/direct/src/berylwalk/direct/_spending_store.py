"""Persists high spending so that it survives a restart of all routers."""

from typing import Annotated

from anyio import sleep
from msgspec import DecodeError, Meta, json

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import HistoryCoverage
from berylwalk.platform import KeyValue, KeyValueClient, OutcomeUnknown, Unavailable

SNAPSHOT_KEY = b"berylwalk/spending"
ERA_KEY = b"berylwalk/spending-era"
"""The last era of the store in which a router that knew all spending was at work, so
that a snapshot that is missing was not due."""
SNAPSHOT_LEASE_S = 14.0
"""Time to live of a snapshot: longer than the quota window and a restart."""
WRITE_INTERVAL_S = 0.5
"""Interval between snapshots while an account's spending is high; written even if the
sum stays the same, since its distribution over the window changes."""
MAX_UNITS = 1e12
"""Upper bound of a plausible sum in a snapshot."""
SNAPSHOT_TYPE = dict[str, list[Annotated[float, Meta(ge=0, le=MAX_UNITS)]]]
"""Units by account and time bin of the window, newest first."""
LEASE_RENEW_INTERVAL_S = 4.0
"""Interval between renewals of the lease; the remaining lease outlasts the window."""


class SpendingStore:
    """Loads the snapshot at the start, then writes it while spending is high.

    Only the leader writes, and only while the spending of some account is high. Once in
    each era of the store it notes the era, without which a missing snapshot does not
    show that the spending was low.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, store_health: StoreHealth
    ) -> None:
        self._context = context
        self._store = store
        self._store_health = store_health
        self._lease_id: int | None = None
        self._renewed_at = float("-inf")
        self._noted_era = 0
        store.on_restored.add(self._on_restored)

    def _on_restored(self) -> None:
        """Acquire a new lease: the id of the known one may be another's by now."""
        self._lease_id = None

    async def run(self) -> None:
        """Load the snapshot, then write it as needed."""
        noted = await self._read(ERA_KEY)
        snapshot = await self._read(SNAPSHOT_KEY)
        if noted is not None and noted.value == b"%d" % self._store.era:
            self._noted_era = self._store.era
        if self._is_up_to_date():
            self._restore(snapshot)
        else:
            self._context.log.process("spending-unknown", era=self._store.era)
        while True:
            await sleep(WRITE_INTERVAL_S)
            now = self._context.clock()
            if self._context.peers.is_leader(now):
                await self._write_due(now)

    async def _read(self, key: bytes) -> KeyValue | None:
        """Read a key, as often as it takes."""
        failures = 0
        while True:
            item = await self._store_health.track("read-spending", self._store.get(key))
            if not isinstance(item, Unavailable):
                return item
            failures += 1
            await self._store_health.back_off(failures)

    def _is_up_to_date(self) -> bool:
        """Return whether the snapshot is that of this era of the store.

        After a restore it is an older one, or missing, until it is written again.
        """
        is_first_start = self._context.settings.is_first_start
        return is_first_start or self._noted_era == self._store.era

    async def _write_due(self, now: float) -> None:
        """Write the snapshot if it is due, then the era in which it is kept."""
        quotas, era = self._context.quotas, self._store.era
        spent = quotas.heavy_spending_by_bin(now)
        if spent and not await self._write(spent):
            return
        is_known = quotas.has_full_window(now)
        if not is_known or era == self._noted_era or era != self._store.era:
            return
        noted = await self._store_health.track(
            "note-spending-era", self._store.put(ERA_KEY, b"%d" % era)
        )
        if not isinstance(noted, Unavailable | OutcomeUnknown):
            self._noted_era = era

    def _restore(self, snapshot: KeyValue | None) -> None:
        spent: dict[str, list[float]] = {}
        if snapshot is not None:
            try:
                spent = json.decode(snapshot.value, type=SNAPSHOT_TYPE)
            except (DecodeError, ValueError, RecursionError) as error:
                self._context.log.process("spending-invalid", detail=repr(error))
                return
        context = self._context
        context.quotas.restore(spent, HistoryCoverage.PARTIAL, context.clock())
        context.log.process("spending-learned", accounts=sorted(spent))

    async def _write(self, spent: dict[str, list[float]]) -> bool:
        """Write the snapshot; returns whether that is certain."""
        if not await self._ensure_lease():
            return False
        value = json.encode(
            {name: [round(units) for units in bins] for name, bins in spent.items()}
        )
        written = await self._store_health.track(
            "note-spending",
            self._store.put(SNAPSHOT_KEY, value, lease_id=self._lease_id),
        )
        if isinstance(written, Unavailable | OutcomeUnknown):
            self._lease_id = None
            return False
        return True

    async def _ensure_lease(self) -> bool:
        """Renew the lease, or acquire a new one; return whether there is one."""
        now = self._context.clock()
        if self._lease_id is not None:
            if now - self._renewed_at < LEASE_RENEW_INTERVAL_S:
                return True
            remaining_s = await self._store_health.track(
                "renew-spending", self._store.keep_alive(self._lease_id)
            )
            is_renewed = not isinstance(remaining_s, Unavailable) and remaining_s > 0
            if is_renewed and self._lease_id is not None:
                self._renewed_at = now
                return True
            self._lease_id = None
        lease = await self._store_health.track(
            "lease-spending", self._store.grant_lease(SNAPSHOT_LEASE_S)
        )
        if isinstance(lease, Unavailable):
            return False
        self._lease_id, self._renewed_at = lease.lease_id, now
        return True
