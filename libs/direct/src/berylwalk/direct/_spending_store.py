"""A note of large spending that a restart of all routers does not lose."""

from typing import Annotated

from anyio import sleep
from msgspec import DecodeError, Meta, json

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import HistoryCoverage
from berylwalk.platform import KeyValue, KeyValueClient, OutcomeUnknown, Unavailable

SNAPSHOT_KEY = b"berylwalk/spending"
SNAPSHOT_LEASE_S = 14.0
"""Time for which a note is kept: longer than the window that allowances are judged
by and than a restart takes."""
WRITE_INTERVAL_S = 0.5
"""Time between two notes while some account spends much. Its sum may stay while
what makes it up changes, so that no note serves for longer."""
MAX_UNITS = 1e12
"""Bound of what is believed of one noted sum: more than any account may spend."""
SNAPSHOT_TYPE = dict[str, list[Annotated[float, Meta(ge=0, le=MAX_UNITS)]]]
"""Units by account and part of the window, the latest first."""
LEASE_RENEW_INTERVAL_S = 4.0
"""Time between renewals: what is left then still is longer than the window."""


class SpendingStore:
    """Reads the note of an earlier life once, then writes it as needed.

    Only one router writes, and only while some account has spent much: usual
    spending causes no call of the store.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    store_health : StoreReach
        Paces calls of it that failed.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, store_health: StoreHealth
    ) -> None:
        self._context = context
        self._store = store
        self._store_health = store_health
        self._lease_id: int | None = None
        self._renewed_at = float("-inf")

    async def run(self) -> None:
        """Read the note of an earlier life once, then write it as needed."""
        failures = 0
        while isinstance(snapshot := await self._read(), Unavailable):
            failures += 1
            await self._store_health.back_off(failures)
        self._restore(snapshot)
        while True:
            await sleep(WRITE_INTERVAL_S)
            now = self._context.clock()
            spent = self._context.quotas.heavy_spending_by_bin(now)
            if spent and self._context.peers.is_leader(now):
                await self._write(spent)

    async def _read(self) -> KeyValue | Unavailable | None:
        return await self._store_health.track(
            "read-spending", self._store.get(SNAPSHOT_KEY)
        )

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

    async def _write(self, spent: dict[str, list[float]]) -> None:
        if not await self._ensure_lease():
            return
        value = json.encode(
            {name: [round(units) for units in bins] for name, bins in spent.items()}
        )
        written = await self._store_health.track(
            "note-spending",
            self._store.put(SNAPSHOT_KEY, value, lease_id=self._lease_id),
        )
        if isinstance(written, Unavailable | OutcomeUnknown):
            self._lease_id = None

    async def _ensure_lease(self) -> bool:
        """Keep the lease of the note: renewing it costs a tenth of a new one."""
        now = self._context.clock()
        if self._lease_id is not None:
            if now - self._renewed_at < LEASE_RENEW_INTERVAL_S:
                return True
            left_s = await self._store_health.track(
                "renew-spending", self._store.keep_alive(self._lease_id)
            )
            if not isinstance(left_s, Unavailable) and left_s > 0:
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
