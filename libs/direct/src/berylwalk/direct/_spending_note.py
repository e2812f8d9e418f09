"""A note of large spending that a restart of all routers does not lose."""

from typing import Annotated

from anyio import sleep
from msgspec import DecodeError, Meta, json

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_reach import StoreReach
from berylwalk.dispatch import HistoryCoverage
from berylwalk.platform import KeyValue, KeyValueClient, Lost, Unavailable

NOTE_KEY = b"berylwalk/spending"
NOTE_LEASE_S = 14.0
"""Time for which a note is kept: longer than the window that allowances are judged
by and than a restart takes."""
NOTE_GAP_S = 0.5
"""Time between two notes while some account spends much. Its sum may stay while
what makes it up changes, so that no note serves for longer."""
MOST_UNITS = 1e12
"""Bound of what is believed of one noted sum: more than any account may spend."""
NOTE_TYPE = dict[str, list[Annotated[float, Meta(ge=0, le=MOST_UNITS)]]]
"""Units by account and part of the window, the latest first."""
RENEW_S = 4.0
"""Time between renewals: what is left then still is longer than the window."""


class SpendingNote:
    """Reads the note of an earlier life once, then writes it as needed.

    Only one router writes, and only while some account has spent much: usual
    spending causes no call of the store.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    reach : StoreReach
        Paces calls of it that failed.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, reach: StoreReach
    ) -> None:
        self._context = context
        self._store = store
        self._reach = reach
        self._lease_id: int | None = None
        self._renewed_at = float("-inf")

    async def run(self) -> None:
        """Read the note of an earlier life once, then write it as needed."""
        failures = 0
        while isinstance(note := await self._read(), Unavailable):
            failures += 1
            await self._reach.pause(failures)
        self._learn_from(note)
        while True:
            await sleep(NOTE_GAP_S)
            now = self._context.clock()
            spent = self._context.quotas.heavy_spending_by_bin(now)
            if spent and self._context.peers.is_leader(now):
                await self._write(spent)

    async def _read(self) -> KeyValue | Unavailable | None:
        return await self._reach.ask("read-spending", self._store.get(NOTE_KEY))

    def _learn_from(self, note: KeyValue | None) -> None:
        spent: dict[str, list[float]] = {}
        if note is not None:
            try:
                spent = json.decode(note.value, type=NOTE_TYPE)
            except (DecodeError, ValueError, RecursionError) as error:
                self._context.log.process("spending-invalid", detail=repr(error))
                return
        context = self._context
        context.quotas.restore(spent, HistoryCoverage.PARTIAL, context.clock())
        context.log.process("spending-learned", accounts=sorted(spent))

    async def _write(self, spent: dict[str, list[float]]) -> None:
        if not await self._has_lease():
            return
        value = json.encode(
            {name: [round(units) for units in bins] for name, bins in spent.items()}
        )
        written = await self._reach.ask(
            "note-spending",
            self._store.put(NOTE_KEY, value, lease_id=self._lease_id),
        )
        if isinstance(written, Unavailable | Lost):
            self._lease_id = None

    async def _has_lease(self) -> bool:
        """Keep the lease of the note: renewing it costs a tenth of a new one."""
        now = self._context.clock()
        if self._lease_id is not None:
            if now - self._renewed_at < RENEW_S:
                return True
            left_s = await self._reach.ask(
                "renew-spending", self._store.keep_alive(self._lease_id)
            )
            if not isinstance(left_s, Unavailable) and left_s > 0:
                self._renewed_at = now
                return True
            self._lease_id = None
        lease = await self._reach.ask(
            "lease-spending", self._store.grant_lease(NOTE_LEASE_S)
        )
        if isinstance(lease, Unavailable):
            return False
        self._lease_id, self._renewed_at = lease.lease_id, now
        return True
