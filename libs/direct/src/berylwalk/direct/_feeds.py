"""What the router reads from the platform's store, for as long as it runs."""

from anyio import Event, create_task_group, move_on_after, sleep
from msgspec import DecodeError, ValidationError

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import TargetEntry
from berylwalk.platform import (
    CONFIGURATION_KEY,
    TARGETS_PREFIX,
    Changes,
    EventKind,
    KeyValue,
    KeyValueClient,
    Listing,
    Unavailable,
    UnavailableReason,
    decode_configuration,
    decode_target,
    target_id_of,
)

CONFIRM_S = 1.2
"""Time between confirming reads of the configuration: a watch may be silent while
changes are made, and a change has to be in force within two seconds."""
LIST_S = 3.0
"""Time between lists of all targets while the watch goes on."""
LIST_AFTER_OUTAGE_S = 0.6
"""The same while entries that lapsed in an outage may come back."""
LAPSE_AFTER_S = 1.0
"""Time that the store has to be away for entries to lapse. What is removed in a
shorter gap, such as that of a watch that was cut, has left."""
RETRY_S = 0.15
"""Time between calls of a store that does not answer."""
WATCH_S = 8.0
"""Time that the store holds a watch back."""

FORMAT_ERRORS = (DecodeError, ValidationError, KeyError, ValueError)


class ConfigurationFeed:
    """Keeps the configuration in force up to date.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    """

    def __init__(self, context: RouterContext, store: KeyValueClient) -> None:
        self._context = context
        self._store = store
        self._revision = 0
        self._wanted = Event()
        self._is_reached = True

    async def run(self) -> None:
        """Read and watch for ever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._confirm)
            tasks.start_soon(self._watch)

    async def _confirm(self) -> None:
        while True:
            asked_at = self._context.clock()
            item = await self._store.get(CONFIGURATION_KEY)
            is_read = not isinstance(item, Unavailable)
            self._note_reached(is_read, "" if is_read else item.detail)
            if isinstance(item, KeyValue):
                self._take(item, asked_at)
            pause_s = CONFIRM_S if isinstance(item, KeyValue) else RETRY_S
            self._wanted = Event()
            with move_on_after(pause_s):
                await self._wanted.wait()

    async def _watch(self) -> None:
        while True:
            if not self._revision:
                await sleep(RETRY_S)
                continue
            changes = await self._store.changes(
                CONFIGURATION_KEY, self._revision, wait_s=WATCH_S
            )
            self._context.metrics.store_calls.labels(
                "watch-configuration", _outcome(changes)
            ).inc()
            if isinstance(changes, Unavailable):
                self._wanted.set()
                await sleep(RETRY_S)
                continue
            for event in changes.events:
                is_own = event.key_value.key == CONFIGURATION_KEY
                if is_own and event.kind is EventKind.PUT:
                    # What a watch tells may be late: it confirms nothing.
                    self._take(event.key_value, float("-inf"))
            self._revision = max(self._revision, changes.revision)

    def _take(self, item: KeyValue, asked_at: float) -> None:
        state = self._context.configuration
        if item.mod_revision == self._revision and state.current is not None:
            state.confirm(None, asked_at)
            return
        try:
            configuration = decode_configuration(item.value)
        except FORMAT_ERRORS as error:
            self._context.log.process("configuration-invalid", detail=repr(error))
            return
        self._revision = max(self._revision, item.mod_revision)
        if state.confirm(configuration, asked_at):
            self._context.metrics.configuration_version.set(configuration.version)
            self._context.log.process(
                "configuration-in-force",
                version=configuration.version,
                revision=item.mod_revision,
                routes=sum(map(len, configuration.routes_by_host.values())),
            )

    def _note_reached(self, is_read: bool, detail: str) -> None:
        outcome = "ok" if is_read else "failed"
        self._context.metrics.store_calls.labels("read-configuration", outcome).inc()
        if is_read is self._is_reached:
            return
        self._is_reached = is_read
        event = "store-regained" if is_read else "store-lost"
        self._context.log.process(event, purpose="configuration", detail=detail)


class TargetFeed:
    """Keeps the list of targets up to date.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    """

    def __init__(self, context: RouterContext, store: KeyValueClient) -> None:
        self._context = context
        self._store = store
        self._revision = 0
        self._wanted = Event()
        self._away_since: float | None = None
        self._outage_ended_at = float("-inf")

    async def run(self) -> None:
        """List and watch for ever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._list)
            tasks.start_soon(self._watch)

    async def _list(self) -> None:
        while True:
            listing = await self._store.list_prefix(TARGETS_PREFIX)
            self._context.metrics.store_calls.labels(
                "list-targets", _outcome(listing)
            ).inc()
            self._note_reached(listing)
            if isinstance(listing, Listing):
                self._take_all(listing)
            self._wanted = Event()
            with move_on_after(self._pause_s(listing)):
                await self._wanted.wait()

    def _pause_s(self, listing: Listing | Unavailable) -> float:
        if isinstance(listing, Unavailable):
            return RETRY_S
        since_s = self._context.clock() - self._outage_ended_at
        if since_s < self._context.targets.absence_grace_s + LIST_AFTER_OUTAGE_S:
            return LIST_AFTER_OUTAGE_S
        return LIST_S

    async def _watch(self) -> None:
        while True:
            if not self._revision:
                await sleep(RETRY_S)
                continue
            changes = await self._store.changes(
                TARGETS_PREFIX, self._revision, wait_s=WATCH_S
            )
            self._context.metrics.store_calls.labels(
                "watch-targets", _outcome(changes)
            ).inc()
            if isinstance(changes, Unavailable):
                if changes.reason is UnavailableReason.HISTORY_GONE:
                    self._revision = 0
                else:
                    self._note_reached(changes)
                self._wanted.set()
                await sleep(RETRY_S)
                continue
            # Before the events: removals after an outage may be lapses.
            self._note_reached(changes)
            for event in changes.events:
                if event.kind is EventKind.PUT:
                    self._take_one(event.key_value)
                else:
                    self._remove(target_id_of(event.key_value.key), "removed")
            self._revision = max(self._revision, changes.revision)

    def _note_reached(self, result: Listing | Changes | Unavailable) -> None:
        now = self._context.clock()
        if isinstance(result, Unavailable):
            if self._away_since is None:
                self._away_since = now
                self._context.log.process(
                    "store-lost", purpose="targets", detail=result.detail
                )
            return
        if self._away_since is None:
            return
        away_s = now - self._away_since
        self._away_since = None
        self._context.log.process(
            "store-regained", purpose="targets", away_ms=round(away_s * 1000)
        )
        if away_s >= LAPSE_AFTER_S:
            self._outage_ended_at = now
            self._context.targets.note_outage_ended(now)

    def _take_all(self, listing: Listing) -> None:
        context = self._context
        entries = []
        for item in listing.entries:
            entry = self._decoded(item)
            if entry is not None:
                self._log_change(entry)
                entries.append(entry)
        for target_id in context.targets.replace(entries, context.clock()):
            self._note_gone(target_id, "not listed")
        self._revision = max(self._revision, listing.revision)
        context.dispatcher.pump_all(context.clock())

    def _take_one(self, item: KeyValue) -> None:
        entry = self._decoded(item)
        if entry is not None:
            self._log_change(entry)
            self._context.targets.update(entry)
            self._context.dispatcher.pump(entry.service, self._context.clock())

    def _remove(self, target_id: str, detail: str) -> None:
        if self._context.targets.remove(target_id, self._context.clock()):
            self._note_gone(target_id, detail)

    def _note_gone(self, target_id: str, detail: str) -> None:
        self._context.pool.drop(target_id)
        self._context.metrics.forget_target(target_id)
        self._context.log.process("target-gone", target=target_id, detail=detail)

    def _log_change(self, entry: TargetEntry) -> None:
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
        )

    def _decoded(self, item: KeyValue) -> TargetEntry | None:
        try:
            return decode_target(item)
        except FORMAT_ERRORS as error:
            self._context.log.process(
                "target-invalid", key=item.key.decode(), detail=repr(error)
            )
            return None


def _outcome(result: object) -> str:
    return "failed" if isinstance(result, Unavailable) else "ok"
