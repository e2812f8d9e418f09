"""Advances roll-outs and publishes their status.

The record of a roll-out in the store is changed by compare-and-swap only, so any router
may advance a roll-out and concurrent writes can't conflict. Records are read only while
an order is in progress. The published status follows the record.

When the store is restored from an older copy and the order is written again, record and
status are compared with the store, and written again if it has older ones.
"""

from collections.abc import Callable
from time import time

from anyio import CancelScope, Event, create_task_group, move_on_after
from anyio.abc import TaskGroup
from msgspec import DecodeError, json

from berylwalk.direct._context import RouterContext
from berylwalk.direct._invalid_items import InvalidItemLog
from berylwalk.direct._mirrored_prefix import MirroredPrefix, MirrorRules, ReadRole
from berylwalk.direct._peering import incarnation_of
from berylwalk.direct._shared_reads import SharedReads
from berylwalk.direct._store_health import StoreHealth
from berylwalk.platform import (
    Conflict,
    EventKind,
    KeyValue,
    KeyValueClient,
    OutcomeUnknown,
    Swapped,
    Unavailable,
    WatchEvent,
    encode_rollout_status,
    is_rollout_status,
    rollout_status_key,
)
from berylwalk.rollout import (
    RECORDS_PREFIX,
    Progress,
    Record,
    record_key,
    service_from_record_key,
)

RECORD_MAX_AGE_S = 2.4
"""Maximum age of a record while the store is healthy, in seconds; below the age from
which nothing is sent to an unproven version."""
RECORD_PEER_DATA_MAX_AGE_S = 1.2
"""Maximum age of records up to which data of peers replaces own reads, in seconds."""
LIST_INTERVAL_S = 1.0
"""Interval between lists of the records; detects lost watch responses."""
STEP_INTERVAL_S = 0.1
"""Interval between checks of the phase while a roll-out is in progress."""
IDLE_INTERVAL_S = 5.0
"""Interval between checks while no roll-out is in progress."""
FALLBACK_STEP_INTERVAL_S = 0.4
"""Interval between checks of a router that is not the leader."""
FALLBACK_WRITE_DELAY_S = 1.0
"""How long a write may be due before a router that is not the leader makes it."""


class RolloutCoordinator:
    """Reads and writes the records of roll-outs in progress.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    shared_reads : SharedReads
        Shares reads of the store between routers.
    role : ReadRole
        Whether this router shares store reads with its peers.
    wall_clock : callable
        Time of day, in seconds since the epoch.
    """

    def __init__(
        self,
        context: RouterContext,
        store: KeyValueClient,
        store_health: StoreHealth,
        *,
        shared_reads: SharedReads,
        role: ReadRole,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        self._context = context
        self._store = store
        self._store_health = store_health
        self._shared_reads = shared_reads
        self._role = role
        self._wall_clock = wall_clock
        self._wake_event = Event()
        self._mirror: MirroredPrefix | None = None
        self._mirror_scope: CancelScope | None = None
        self._revisions_by_service: dict[str, int] = {}
        self._stored_by_service: dict[str, Record] = {}
        self._is_loaded = False
        self._stepped_at = float("-inf")
        self._due_since: dict[tuple[str, str], float] = {}
        self._invalid_items = InvalidItemLog(context, "rollout-record-invalid")
        context.rollouts.record_age_s = self._record_age_s

    def wake(self) -> None:
        """Check the roll-outs immediately."""
        self._wake_event.set()

    def _record_age_s(self) -> float:
        return float("inf") if self._mirror is None else self._mirror.age_s()

    async def run(self) -> None:
        """Process orders forever."""
        async with create_task_group() as tasks:
            while True:
                is_busy = self._needs_records()
                with move_on_after(STEP_INTERVAL_S if is_busy else IDLE_INTERVAL_S):
                    await self._wake_event.wait()
                self._wake_event = Event()
                self._update_mirror(tasks)
                if self._is_loaded:
                    await self._step()

    # Reading

    def _needs_records(self) -> bool:
        """Return whether a roll-out is in progress or its status unpublished."""
        return any(
            progress.is_active
            or self._needs_status_update(progress)
            or self._is_record_lost(progress)
            for progress in self._context.rollouts.progresses
        )

    def _update_mirror(self, tasks: TaskGroup) -> None:
        """Start or stop the mirror of the records as needed."""
        if self._needs_records():
            if self._mirror is None:
                self._mirror = self._new_mirror()
                self._shared_reads.add(self._mirror)
                tasks.start_soon(self._run_mirror, self._mirror)
        elif self._mirror is not None:
            self._shared_reads.remove(self._mirror)
            self._mirror_scope.cancel()
            self._mirror = None
            self._is_loaded = False

    def _new_mirror(self) -> MirroredPrefix:
        rules = MirrorRules(
            prefix=RECORDS_PREFIX,
            name="rollouts",
            bound_s=RECORD_MAX_AGE_S,
            list_interval_s=lambda: LIST_INTERVAL_S,
            peer_data_max_age_s=RECORD_PEER_DATA_MAX_AGE_S,
            rarely_changes=True,
        )
        return MirroredPrefix(
            self._store,
            self._store_health,
            rules,
            clock=self._context.clock,
            on_list=lambda items, revision, requested_at: self._apply_all(items),
            on_changes=self._apply_changes,
            on_known=lambda items, known_at: self._apply_all(items),
            role=self._role,
        )

    async def _run_mirror(self, mirror: MirroredPrefix) -> None:
        with CancelScope() as self._mirror_scope:
            await mirror.run()

    def _apply_all(self, items: list[KeyValue]) -> None:
        self._is_loaded = True
        listed = {service_from_record_key(item.key) for item in items}
        for service, revision in list(self._revisions_by_service.items()):
            if service not in listed and revision <= self._mirror.revision:
                self._forget_stored(service)
        for item in items:
            self._load_record(item)
        self.wake()

    def _apply_changes(self, events: list[WatchEvent], known_at: float) -> None:
        for event in events:
            if event.kind is EventKind.PUT:
                self._load_record(event.key_value)
            else:
                self._forget_stored(service_from_record_key(event.key_value.key))
        self.wake()

    def _forget_stored(self, service: str) -> None:
        """Forget a record that the store does not have any more."""
        self._revisions_by_service.pop(service, None)
        self._stored_by_service.pop(service, None)

    def _load_record(self, item: KeyValue) -> None:
        """Apply a stored record; an unreadable one is overwritten."""
        service = service_from_record_key(item.key)
        known = self._revisions_by_service.get(service, 0)
        self._revisions_by_service[service] = max(known, item.mod_revision)
        try:
            record = json.decode(item.value, type=Record)
        except (DecodeError, UnicodeError, RecursionError) as error:
            self._invalid_items.report(
                item.key.decode("latin-1"), "not-readable", repr(error)
            )
            return
        if item.mod_revision >= known:
            self._stored_by_service[service] = record
        age_s = self._wall_clock() - record.began_s if record.began_s else None
        self._apply_record(service, record, age_s)

    def _apply_record(self, service: str, record: Record, age_s: float | None) -> None:
        context = self._context
        if not context.rollouts.merge_record(service, record, context.clock(), age_s):
            return
        context.log.process(
            "rollout-phase",
            service=service,
            version=record.version,
            phase=record.phase,
            number=record.number,
            reason=record.reason,
        )
        context.dispatcher.dispatch_all_queued(context.clock())

    # Writing

    async def _step(self) -> None:
        context = self._context
        now = context.clock()
        is_leader = context.peers.is_leader(now)
        if not is_leader and now - self._stepped_at < FALLBACK_STEP_INTERVAL_S:
            return
        self._stepped_at = now
        for progress in context.rollouts.progresses:
            record = self._next_record(progress, now)
            is_lost = record is None and self._is_record_lost(progress)
            if is_lost:
                record = progress.record
            if record is not None:
                if self._is_due(progress, record.phase, now):
                    await self._write(progress.order.service, record)
                if is_lost and not self._is_record_lost(progress):
                    self._log_restored(record, progress)
            elif self._needs_status_update(progress) and self._is_due(
                progress, "told", now
            ):
                await self._write_status(progress)

    def _is_due(self, progress: Progress, step: str, now: float) -> bool:
        """Return whether this router has to take a step now."""
        key = (f"{progress.order.service}/{progress.order.revision}", step)
        since = self._due_since.setdefault(key, now)
        return (
            self._context.peers.is_leader(now) or now - since >= FALLBACK_WRITE_DELAY_S
        )

    def _next_record(self, progress: Progress, now: float) -> Record | None:
        """Return the record to be written; None if it needs no change."""
        rollouts = self._context.rollouts
        order = progress.order
        if progress.record is None:
            if rollouts.may_lack_records(now):
                return None
            former = rollouts.last_record(order.service)
            if former is not None and former.order_revision > order.revision:
                # Another router has already processed a newer order.
                return None
            if former is not None and rollouts.is_record_of(former, order, now):
                return former.for_order(order)
            return Record.start(order, former, self._wall_clock())
        peers = self._context.peers
        alive_incarnations = [
            incarnation_of(peer)
            for peer in peers.by_name.values()
            if peers.is_alive(peer, now)
        ]
        step = rollouts.next_phase(
            progress,
            alive_incarnations,
            all_peers_alive=peers.all_alive(now),
            now=now,
        )
        if step is None:
            return None
        phase, reason = step
        return progress.record.with_phase(
            phase, reason, rollouts.versions.known(order.service)
        )

    def _is_record_lost(self, progress: Progress) -> bool:
        """Return whether the store has an older record since a restore, or none."""
        if progress.record is None or progress.resumed_at == float("-inf"):
            return False
        stored = self._stored_by_service.get(progress.order.service)
        return stored is None or stored.precedence < progress.record.precedence

    def _log_restored(self, record: Record, progress: Progress) -> None:
        """Log that the store has a record again."""
        self._context.log.process(
            "rollout-record-restored",
            service=progress.order.service,
            version=record.version,
            phase=record.phase,
            number=record.number,
        )

    async def _write(self, service: str, record: Record) -> None:
        """Write a record if it has not been changed since it was read."""
        revision = self._revisions_by_service.get(service, 0)
        result = await self._store_health.track(
            "write-rollout",
            self._store.compare_and_swap(
                record_key(service), json.encode(record), revision
            ),
        )
        match result:
            case Swapped():
                self._revisions_by_service[service] = result.mod_revision
                self._stored_by_service[service] = record
                self._apply_record(service, record, None)
                self._context.rollouts.on_urgent_update()
            case Conflict(current=None):
                self._forget_stored(service)
            case Conflict():
                self._load_record(result.current)
            case OutcomeUnknown() | Unavailable():
                await self._store_health.back_off(1)

    # Status for operators

    def _needs_status_update(self, progress: Progress) -> bool:
        record = progress.record
        return record is not None and progress.reported_number < record.number

    async def _write_status(self, progress: Progress) -> None:
        """Publish the status that follows from the record, if it has changed."""
        record, service = progress.record, progress.order.service
        key = rollout_status_key(service)
        item = await self._store_health.track(
            "read-rollout-status", self._store.get(key)
        )
        if isinstance(item, Unavailable):
            await self._store_health.back_off(1)
            return
        if item is not None and is_rollout_status(
            item.value, record.phase, record.version
        ):
            progress.reported_number = record.number
            return
        value = encode_rollout_status(record.phase, record.version)
        revision = 0 if item is None else item.mod_revision
        result = await self._store_health.track(
            "write-rollout-status", self._store.compare_and_swap(key, value, revision)
        )
        if isinstance(result, Swapped):
            progress.reported_number = record.number
            self._context.log.process(
                "rollout-told",
                service=service,
                version=record.version,
                phase=record.phase,
                number=record.number,
            )
        elif isinstance(result, Conflict):
            self._context.log.process("rollout-status-changed-by-others", key=str(key))
        else:
            await self._store_health.back_off(1)
