"""Keeps the list of targets up to date with the platform's store."""

from berylwalk.direct._context import RouterContext
from berylwalk.direct._mirrored_prefix import MirroredPrefix, MirrorRules, hold_s
from berylwalk.direct._store_reach import StoreReach
from berylwalk.dispatch import TargetEntry
from berylwalk.platform import (
    FORMAT_ERRORS,
    TARGETS_PREFIX,
    EventKind,
    KeyValue,
    KeyValueClient,
    WatchEvent,
    decode_target,
    target_id_of,
)

LIST_AFTER_OUTAGE_S = 0.6
"""Time between lists while entries that lapsed in an outage may come back."""
GATHER_S = 0.2
"""Time for which changes gather at the store before they are asked for again: a
replaced target makes several in a row, and each answer is paid for."""


class TargetFeed:
    """Mirrors the entries of targets into the table of targets.

    A target that leaves must get no request some time after the store has its word,
    so that what is known of the entries is never older than that.

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
        self._reach = reach
        rules = MirrorRules(
            prefix=TARGETS_PREFIX,
            name="targets",
            hold_s=hold_s(context.settings.drain_s, GATHER_S),
            gather_s=GATHER_S,
            list_gap_s=self._list_gap_s,
        )
        self._mirror = MirroredPrefix(
            store,
            reach,
            rules,
            clock=context.clock,
            on_list=self._take_all,
            on_changes=self._take_changes,
        )

    async def run(self) -> None:
        """List and watch for ever."""
        await self._mirror.run()

    def _list_gap_s(self) -> float | None:
        may_lapse = self._reach.may_lapse(self._context.targets.absence_grace_s)
        return LIST_AFTER_OUTAGE_S if may_lapse else None

    def _take_all(self, items: list[KeyValue], revision: int, asked_at: float) -> None:
        context = self._context
        context.targets.note_confirmed(asked_at)
        entries = []
        for item in items:
            entry = self._decoded(item)
            if entry is not None:
                self._log_change(entry, item.mod_revision)
                entries.append(entry)
        for target_id in context.targets.replace(entries, context.clock()):
            self._note_gone(target_id, "not listed", revision)
        context.dispatcher.pump_all(context.clock())

    def _take_changes(self, events: list[WatchEvent]) -> None:
        context = self._context
        context.targets.note_confirmed(context.clock())
        for event in events:
            if event.kind is EventKind.PUT:
                self._take_one(event.key_value)
            else:
                self._remove(event.key_value)

    def _take_one(self, item: KeyValue) -> None:
        entry = self._decoded(item)
        if entry is not None:
            self._log_change(entry, item.mod_revision)
            self._context.targets.update(entry)
            self._context.dispatcher.pump(entry.service, self._context.clock())

    def _remove(self, item: KeyValue) -> None:
        target_id = target_id_of(item.key)
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
