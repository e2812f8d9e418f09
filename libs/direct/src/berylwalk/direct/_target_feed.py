"""Synchronizes the table of targets with the platform's store."""

from berylwalk.direct._context import RouterContext
from berylwalk.direct._invalid_items import InvalidItemLog
from berylwalk.direct._mirrored_prefix import (
    MirroredPrefix,
    MirrorRules,
    ReadRole,
    max_age_s,
    peer_data_max_age_s,
)
from berylwalk.direct._store_health import StoreHealth
from berylwalk.direct._target_history import TargetHistory
from berylwalk.dispatch import RouterSettings, SocketAddress, TargetEntry
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

LIST_INTERVAL_AFTER_OUTAGE_S = 0.6
"""Interval between lists while entries that lapsed in an outage may return."""
CHANGE_BATCH_S = 0.2
"""How long changes are batched at the store between watch calls: a replaced target
writes several in a row, and each response is billed."""
UNSEEN_MARGIN_S = 1.0
"""Time beyond the bound of its age in which a list of a healthy store is confirmed."""
ROUNDING_TOLERANCE_S = 1e-6
OWN_ADDRESS_DETAIL = "address of this router"
MISSING_START_DETAIL = "start time missing, although reported before"


def max_unseen_s(settings: RouterSettings) -> float:
    """Return the longest time between two confirmations of the list, in seconds.

    After a longer one the router may have been cut off from the store, or its process
    stood still; versions may have come and gone.
    """
    return settings.drain_s + UNSEEN_MARGIN_S


class TargetFeed:
    """Mirrors the target entries in the store to the table of targets.

    A target that is draining must get no requests after a bounded time, so entries
    older than that bound are not used.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    role : ReadRole
        Whether this router shares store reads with its peers.

    Attributes
    ----------
    mirror : MirroredPrefix
        The mirrored entries.
    """

    def __init__(
        self,
        context: RouterContext,
        store: KeyValueClient,
        store_health: StoreHealth,
        role: ReadRole,
    ) -> None:
        self._context = context
        self._store_health = store_health
        self._invalid_items = InvalidItemLog(context, "target-invalid")
        self._unknown_services = InvalidItemLog(context, "target-of-no-service")
        self._history = TargetHistory()
        self._logged_outdated: dict[str, int] = {}
        settings = context.settings
        host = settings.caller_address.host
        self._own_addresses = {
            settings.caller_address,
            settings.readiness_address,
            SocketAddress(host, settings.metrics_port),
        }
        rules = MirrorRules(
            prefix=TARGETS_PREFIX,
            name="targets",
            bound_s=context.settings.drain_s,
            batch_s=CHANGE_BATCH_S,
            list_interval_s=self._list_interval_s,
            peer_data_max_age_s=peer_data_max_age_s(
                context.settings.drain_s, CHANGE_BATCH_S
            ),
        )
        self.mirror = MirroredPrefix(
            store,
            store_health,
            rules,
            clock=context.clock,
            on_list=self._apply_all,
            on_changes=self._apply_changes,
            on_known=self._confirm,
            role=role,
        )

    async def run(self) -> None:
        """List and watch forever."""
        self._log_short_bound()
        await self.mirror.run()

    def _log_short_bound(self) -> None:
        """Log a staleness bound that can't be kept if a watch response is lost."""
        bound_s = self._context.settings.drain_s
        worst_age_s = max_age_s(bound_s, CHANGE_BATCH_S)
        if worst_age_s > bound_s + ROUNDING_TOLERANCE_S:
            self._context.log.process(
                "bound-too-short",
                setting="drain_s",
                bound_ms=round(bound_s * 1000),
                may_be_ms=round(worst_age_s * 1000),
            )

    def _list_interval_s(self) -> float | None:
        entries_may_return = self._store_health.entries_may_return(
            self._context.targets.absence_grace_s
        )
        return LIST_INTERVAL_AFTER_OUTAGE_S if entries_may_return else None

    def _apply_all(
        self, items: list[KeyValue], revision: int, requested_at: float
    ) -> None:
        context = self._context
        now = context.clock()
        self._note_confirmed(requested_at)
        entries = []
        for item in items:
            entry = self._decode_usable(item)
            if entry is not None:
                self._log_change(entry, item.mod_revision)
                entries.append(entry)
        self._invalid_items.keep_only({item.key.decode() for item in items})
        for target_id in context.targets.replace(entries, now):
            self._on_target_removed(target_id, "not listed", revision)
            self._history.note_missing(target_id, revision, now)
        self._process_ended_incarnations(revision)
        context.dispatcher.dispatch_all_queued(now)

    def _note_confirmed(self, known_at: float) -> None:
        """Record a time at which the entries were those of the store."""
        targets = self._context.targets
        if known_at - targets.confirmed_at > max_unseen_s(self._context.settings):
            targets.versions.note_unseen(known_at)
        targets.note_confirmed(known_at)

    def _confirm(self, items: list[KeyValue], known_at: float) -> None:
        self._note_confirmed(known_at)

    def _apply_changes(self, events: list[WatchEvent], known_at: float) -> None:
        self._note_confirmed(known_at)
        for event in events:
            if event.kind is EventKind.PUT:
                self._apply_one(event.key_value)
            else:
                self._remove(event.key_value)

    def _apply_one(self, item: KeyValue) -> None:
        entry = self._decode_usable(item)
        if entry is not None:
            self._log_change(entry, item.mod_revision)
            self._context.targets.update(entry, self._context.clock())
            self._process_ended_incarnations(item.mod_revision)
            self._context.dispatcher.dispatch_queued(
                entry.service, self._context.clock()
            )

    def _remove(self, item: KeyValue) -> None:
        self._invalid_items.clear(item.key.decode())
        target_id = target_id_of(item.key)
        self._logged_outdated.pop(target_id, None)
        now = self._context.clock()
        if self._context.targets.remove(target_id, now):
            self._on_target_removed(target_id, "removed", item.mod_revision)
        if target_id not in self._context.targets.by_id:
            self._history.note_removed(target_id, item.mod_revision, now)

    def _decode_usable(self, item: KeyValue) -> TargetEntry | None:
        """Decode an entry; an invalid one removes its target and yields None."""
        entry = decode_target(item)
        if isinstance(entry, TargetEntry) and self._is_own_address(entry):
            problem = EntryProblem.OUT_OF_RANGE
            entry = UnusableEntry(entry.target_id, problem, OWN_ADDRESS_DETAIL)
        if isinstance(entry, TargetEntry):
            versions = self._context.rollouts.versions
            versions.record_version(entry.service, entry.version, item.mod_revision)
        if isinstance(entry, TargetEntry) and self._is_missing_start(entry):
            problem = EntryProblem.WRONG_FIELD
            entry = UnusableEntry(entry.target_id, problem, MISSING_START_DETAIL)
        if isinstance(entry, TargetEntry):
            self._invalid_items.clear(item.key.decode())
            self._check_service(entry)
            return self._resolve(entry, item)
        self._invalid_items.report(item.key.decode(), entry.problem, entry.detail)
        if self._context.targets.discard(entry.target_id, self._context.clock()):
            self._on_target_removed(entry.target_id, "invalid entry", item.mod_revision)
        return None

    def _resolve(self, entry: TargetEntry, item: KeyValue) -> TargetEntry | None:
        """Return the entry as it is to be used; None if its target was removed."""
        resolved = self._history.resolve(entry, item)
        target_id = entry.target_id
        if resolved is entry:
            self._logged_outdated.pop(target_id, None)
        elif self._logged_outdated.get(target_id) != item.mod_revision:
            self._logged_outdated[target_id] = item.mod_revision
            self._context.log.process(
                "target-entry-outdated",
                target=target_id,
                detail="removed" if resolved is None else "drained before",
                revision=item.mod_revision,
            )
        return resolved

    def _is_own_address(self, entry: TargetEntry) -> bool:
        """Return whether requests to an entry would come back to this router."""
        return SocketAddress(entry.host, entry.port) in self._own_addresses

    def _is_missing_start(self, entry: TargetEntry) -> bool:
        """Return whether an entry lacks a start time that was reported before."""
        known = self._context.targets.by_id.get(entry.target_id)
        was_reported = known is not None and known.entry.started_ms is not None
        return was_reported and entry.started_ms is None

    def _check_service(self, entry: TargetEntry) -> None:
        """Report an entry whose service is not configured.

        The target is kept because the next configuration may add the service.
        """
        current = self._context.configuration.current
        if current is not None and entry.service not in current.services_by_name:
            self._unknown_services.report(
                entry.target_id, "unknown-service", entry.service
            )

    def _process_ended_incarnations(self, revision: int) -> None:
        for target in self._context.targets.pop_ended_incarnations():
            self._context.log.process(
                "target-started-again",
                target=target.entry.target_id,
                ended_life=target.entry.incarnation_id,
                in_flight=target.in_flight,
                revision=revision,
            )
        self._context.pool.retain(self._context.targets.by_incarnation_id)

    def _on_target_removed(self, target_id: str, detail: str, revision: int) -> None:
        self._unknown_services.clear(target_id)
        self._context.pool.retain(self._context.targets.by_incarnation_id)
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
