"""Keeps the list of targets up to date with the platform's store."""

from anyio import Event, create_task_group, move_on_after, sleep

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_reach import StoreReach
from berylwalk.dispatch import TargetEntry
from berylwalk.platform import (
    FORMAT_ERRORS,
    TARGETS_PREFIX,
    EventKind,
    KeyValue,
    KeyValueClient,
    Listing,
    Unavailable,
    UnavailableReason,
    decode_target,
    target_id_of,
)

CHECK_S = 3.0
"""Time between cheap lists that check the watch. They may be seconds old, so that
nothing is taken from them: one that differs asks for a fresh list."""
LIST_AFTER_OUTAGE_S = 0.6
"""Time between fresh lists while entries that lapsed in an outage may come back."""
UNLISTED_S = 0.15
"""Time between looks for a first list."""
WATCH_S = 8.0
"""Time that the store holds a watch back."""
GATHER_S = 0.2
"""Time for which changes gather at the store before they are asked for again: a
replaced target makes several in a row, and each answer is paid for."""


class TargetFeed:
    """Lists and watches the targets.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    reach : StoreReach
        Notes how calls end.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, reach: StoreReach
    ) -> None:
        self._context = context
        self._store = store
        self._reach = reach
        self._revision = 0
        self._revisions_by_id: dict[str, int] = {}
        self._wanted = Event()

    async def run(self) -> None:
        """List and watch for ever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._list)
            tasks.start_soon(self._watch)

    async def _list(self) -> None:
        failures = 0
        while True:
            listing = await self._reach.ask(
                "list-targets", self._store.list_prefix(TARGETS_PREFIX)
            )
            if isinstance(listing, Unavailable):
                failures += 1
                await self._reach.pause(failures)
                continue
            failures = 0
            self._context.targets.confirmed_at = self._context.clock()
            self._take_all(listing)
            self._wanted = Event()
            await self._until_wanted()

    async def _until_wanted(self) -> None:
        """Wait until a fresh list is wanted."""
        while True:
            if self._reach.may_lapse(self._context.targets.absence_grace_s):
                with move_on_after(LIST_AFTER_OUTAGE_S):
                    await self._wanted.wait()
                return
            with move_on_after(CHECK_S):
                await self._wanted.wait()
                return
            if not await self._is_confirmed():
                return

    async def _is_confirmed(self) -> bool:
        """Return whether a cheap list, which may be old, shows what is known."""
        listing = await self._reach.ask(
            "check-targets", self._store.list_prefix(TARGETS_PREFIX, stale_ok=True)
        )
        if isinstance(listing, Unavailable):
            return False
        return _revisions_by_id(listing) == self._revisions_by_id

    async def _watch(self) -> None:
        failures = 0
        while True:
            if not self._revision:
                await sleep(UNLISTED_S)
                continue
            changes = await self._reach.ask(
                "watch-targets",
                self._store.changes(TARGETS_PREFIX, self._revision, wait_s=WATCH_S),
            )
            if isinstance(changes, Unavailable):
                failures += 1
                if changes.reason is UnavailableReason.HISTORY_GONE:
                    self._revision = 0
                self._wanted.set()
                await self._reach.pause(failures)
                continue
            failures = 0
            self._context.targets.confirmed_at = self._context.clock()
            for event in changes.events:
                if event.kind is EventKind.PUT:
                    self._take_one(event.key_value)
                else:
                    self._remove(event.key_value)
            self._revision = max(self._revision, changes.revision)
            if changes.events:
                await sleep(GATHER_S)

    def _take_all(self, listing: Listing) -> None:
        context = self._context
        entries = []
        self._revisions_by_id = _revisions_by_id(listing)
        for item in listing.entries:
            entry = self._decoded(item)
            if entry is not None:
                self._log_change(entry, item.mod_revision)
                entries.append(entry)
        for target_id in context.targets.replace(entries, context.clock()):
            self._note_gone(target_id, "not listed", listing.revision)
        self._revision = max(self._revision, listing.revision)
        context.dispatcher.pump_all(context.clock())

    def _take_one(self, item: KeyValue) -> None:
        self._revisions_by_id[target_id_of(item.key)] = item.mod_revision
        entry = self._decoded(item)
        if entry is not None:
            self._log_change(entry, item.mod_revision)
            self._context.targets.update(entry)
            self._context.dispatcher.pump(entry.service, self._context.clock())

    def _remove(self, item: KeyValue) -> None:
        target_id = target_id_of(item.key)
        self._revisions_by_id.pop(target_id, None)
        if self._context.targets.remove(target_id, self._context.clock()):
            self._note_gone(target_id, "removed", item.mod_revision)

    def _note_gone(self, target_id: str, detail: str, revision: int) -> None:
        self._context.pool.drop(target_id)
        self._context.metrics.forget_target(target_id)
        self._context.log.process(
            "target-gone", target=target_id, detail=detail, revision=revision
        )

    def _log_change(self, entry: TargetEntry, revision: int) -> None:
        known = self._context.targets.by_id.get(entry.target_id)
        if known is not None and known.entry == entry:
            return
        self._context.log.process(
            "target-listed",
            target=entry.target_id,
            service=entry.service,
            address=f"{entry.host}:{entry.port}",
            state=entry.state,
            slots=entry.slots,
            revision=revision,
        )

    def _decoded(self, item: KeyValue) -> TargetEntry | None:
        try:
            return decode_target(item)
        except FORMAT_ERRORS as error:
            self._context.log.process(
                "target-invalid", key=item.key.decode(), detail=repr(error)
            )
            return None


def _revisions_by_id(listing: Listing) -> dict[str, int]:
    return {target_id_of(item.key): item.mod_revision for item in listing.entries}
