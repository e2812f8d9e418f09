"""Keeps the list of targets up to date with the platform's store."""

from berylwalk.direct._context import RouterContext
from berylwalk.direct._entry_findings import EntryFindings
from berylwalk.direct._mirrored_prefix import (
    MirroredPrefix,
    MirrorRules,
    ReadingRole,
    lean_s,
    oldest_s,
)
from berylwalk.direct._store_reach import StoreReach
from berylwalk.dispatch import TargetEntry
from berylwalk.platform import (
    TARGETS_PREFIX,
    EntryProblem,
    EventKind,
    KeyValue,
    KeyValueClient,
    UnusableEntry,
    WatchEvent,
    decode_target,
    target_id_of,
)

LIST_AFTER_OUTAGE_S = 0.6
"""Time between lists while entries that lapsed in an outage may come back."""
GATHER_S = 0.2
"""Time for which changes gather at the store before they are asked for again: a
replaced target makes several in a row, and each answer is paid for."""
ROUNDING_S = 1e-6
NO_START = "the target has told when it started, and this entry does not"


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
    role : ReadingRole
        Whether this router reads the store for itself only.

    Attributes
    ----------
    mirror : MirroredPrefix
        What is known of the entries.
    """

    def __init__(
        self,
        context: RouterContext,
        store: KeyValueClient,
        reach: StoreReach,
        role: ReadingRole,
    ) -> None:
        self._context = context
        self._reach = reach
        self._findings = EntryFindings(context, "target-invalid")
        self._strangers = EntryFindings(context, "target-of-no-service")
        rules = MirrorRules(
            prefix=TARGETS_PREFIX,
            name="targets",
            bound_s=context.settings.drain_s,
            gather_s=GATHER_S,
            list_gap_s=self._list_gap_s,
            lean_s=lean_s(context.settings.drain_s, GATHER_S),
        )
        self.mirror = MirroredPrefix(
            store,
            reach,
            rules,
            clock=context.clock,
            on_list=self._take_all,
            on_changes=self._take_changes,
            on_known=self._note_known,
            role=role,
        )

    async def run(self) -> None:
        """List and watch for ever."""
        self._tell_bound()
        await self.mirror.run()

    def _tell_bound(self) -> None:
        """Tell operators of a bound that can't be kept when an answer is lost."""
        bound_s = self._context.settings.drain_s
        may_be_s = oldest_s(bound_s, GATHER_S)
        if may_be_s > bound_s + ROUNDING_S:
            self._context.log.process(
                "bound-too-short",
                setting="drain_s",
                bound_ms=round(bound_s * 1000),
                may_be_ms=round(may_be_s * 1000),
            )

    def _list_gap_s(self) -> float | None:
        may_lapse = self._reach.may_lapse(self._context.targets.absence_grace_s)
        return LIST_AFTER_OUTAGE_S if may_lapse else None

    def _take_all(self, items: list[KeyValue], revision: int, asked_at: float) -> None:
        context = self._context
        now = context.clock()
        context.targets.note_confirmed(asked_at)
        entries = []
        for item in items:
            entry = self._usable(item)
            if entry is not None:
                self._log_change(entry, item.mod_revision)
                entries.append(entry)
        self._findings.keep_only({item.key.decode() for item in items})
        for target_id in context.targets.replace(entries, now):
            self._note_gone(target_id, "not listed", revision)
        self._note_ended_lives(revision)
        context.dispatcher.dispatch_all_queued(now)

    def _note_known(self, items: list[KeyValue], known_at: float) -> None:
        self._context.targets.note_confirmed(known_at)

    def _take_changes(self, events: list[WatchEvent], known_at: float) -> None:
        self._context.targets.note_confirmed(known_at)
        for event in events:
            if event.kind is EventKind.PUT:
                self._take_one(event.key_value)
            else:
                self._remove(event.key_value)

    def _take_one(self, item: KeyValue) -> None:
        entry = self._usable(item)
        if entry is not None:
            self._log_change(entry, item.mod_revision)
            self._context.targets.update(entry, self._context.clock())
            self._note_ended_lives(item.mod_revision)
            self._context.dispatcher.dispatch_queued(
                entry.service, self._context.clock()
            )

    def _remove(self, item: KeyValue) -> None:
        self._findings.clear(item.key.decode())
        target_id = target_id_of(item.key)
        if self._context.targets.remove(target_id, self._context.clock()):
            self._note_gone(target_id, "removed", item.mod_revision)

    def _usable(self, item: KeyValue) -> TargetEntry | None:
        """Return the entry if it names a target; one that does not ends its use."""
        entry = decode_target(item)
        if isinstance(entry, TargetEntry):
            versions = self._context.rollouts.versions
            versions.note_version(entry.service, entry.version, item.mod_revision)
        if isinstance(entry, TargetEntry) and self._lacks_start(entry):
            problem = EntryProblem.WRONG_FIELD
            entry = UnusableEntry(entry.target_id, problem, NO_START)
        if isinstance(entry, TargetEntry):
            self._findings.clear(item.key.decode())
            self._note_unknown_service(entry)
            return entry
        self._findings.note(item.key.decode(), entry.problem, entry.detail)
        if self._context.targets.discard(entry.target_id, self._context.clock()):
            self._note_gone(entry.target_id, "entry not usable", item.mod_revision)
        return None

    def _lacks_start(self, entry: TargetEntry) -> bool:
        """Return whether an entry misses the start that its target has told before."""
        known = self._context.targets.by_id.get(entry.target_id)
        has_told = known is not None and known.entry.started_ms is not None
        return has_told and entry.started_ms is None

    def _note_unknown_service(self, entry: TargetEntry) -> None:
        """Tell of an entry whose service no configuration names: it gets no work.

        It is kept, since the next version may name the service.
        """
        current = self._context.configuration.current
        if current is not None and entry.service not in current.services_by_name:
            self._strangers.note(entry.target_id, "unknown-service", entry.service)

    def _note_ended_lives(self, revision: int) -> None:
        for target in self._context.targets.pop_ended_incarnations():
            self._context.log.process(
                "target-started-again",
                target=target.entry.target_id,
                ended_life=target.entry.incarnation_id,
                in_flight=target.in_flight,
                revision=revision,
            )
        self._context.pool.keep_only(self._context.targets.by_incarnation_id)

    def _note_gone(self, target_id: str, detail: str, revision: int) -> None:
        self._strangers.clear(target_id)
        self._context.pool.keep_only(self._context.targets.by_incarnation_id)
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
            version=entry.version,
            slots=entry.slots,
            started_ms=entry.started_ms,
            revision=revision,
        )
