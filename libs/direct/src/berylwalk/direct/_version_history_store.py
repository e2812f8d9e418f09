"""Keeps in the store at which versions of each service streams may have begun.

Load that it answers: all routers end while the versions of a service change. The next
ones see the versions that are listed then, not those that began the streams to which
callers come back.
"""

from collections.abc import Collection
from math import inf

from anyio import Event, move_on_after
from msgspec import DecodeError, Struct, json

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_health import StoreHealth
from berylwalk.direct._target_feed import max_unseen_s
from berylwalk.dispatch import UNKNOWN_VERSION, Configuration
from berylwalk.platform import (
    ABSENT_REVISION,
    Conflict,
    KeyValue,
    KeyValueClient,
    Swapped,
    Unavailable,
)

HISTORIES_PREFIX = b"berylwalk/versions/"
CHECK_INTERVAL_S = 1.0
"""Interval between two checks, unless the listed versions change."""
REFRESH_INTERVAL_S = 5.0
"""Interval between two reads of a history with several versions, which another router
may have shortened."""
RETURN_TIME_S = 5.0
"""Time after its start for which a router leaves the streams to the stored versions, if
they serve all: within it come back the callers whose streams no record tells of."""
RECORDING_TIME_S = 0.5
"""How long a new version waits until the records of the unfinished streams are stored,
in seconds."""
MISSING_CHECK_INTERVAL_S = 0.05
"""Interval between two checks while a version waits for its streams."""
CONFIRM_TIMEOUT_S = 0.3
"""How long a caller waits for the history of its service, in seconds."""


class HistoryRecord(Struct):
    """Content of the item of one service.

    Parameters
    ----------
    era : int
        Era of the store in which it was written; in a later one it is of a copy, and
        may lack versions.
    versions : list of str
        Versions at which streams may have begun.
    """

    era: int
    versions: list[str]


class VersionHistoryStore:
    """Reads the histories of versions, and writes their changes.

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
        self._started_at = context.clock()
        self._read_at_by_service: dict[str, float] = {}
        self._confirmed_at_by_service: dict[str, float] = {}
        self._revision_by_service: dict[str, int] = {}
        self._missing_since_by_service: dict[str, float] = {}
        self._reads_by_service: dict[str, Event] = {}
        self._wake_event = Event()
        context.targets.versions.is_read = True
        context.targets.on_versions_changed = self._on_versions_changed
        store.on_restored.add(self._on_restored)

    async def run(self) -> None:
        """Keep the histories forever."""
        failures = 0
        while True:
            self._note_longest()
            are_stored = True
            for service in self._context.targets.services():
                are_stored = await self._check(service) and are_stored
            if are_stored:
                failures = 0
                await self._wait(self._next_check_s())
            else:
                failures += 1
                await self._store_health.back_off(failures)

    async def confirm(self, service: str) -> bool:
        """Read the history of a service; returns whether it succeeded in time.

        Callers that come back together share one read. One that is under way already
        does not count: its answer may be from before a version was added at which the
        stream of this caller began.
        """
        begun_at = self._context.clock()
        with move_on_after(CONFIRM_TIMEOUT_S):
            while under_way := self._reads_by_service.get(service):
                # It ends without a result if its caller leaves.
                await under_way.wait()
                if self._confirmed_at_by_service.get(service, -inf) >= begun_at:
                    return True
            return await self._read(service)
        return False

    def _note_longest(self) -> None:
        """Keep records for as long as callers may come back to their streams."""
        configuration = self._context.configuration.current
        if configuration is not None:
            self._context.streams.note_longest(_longest_stream_s(configuration))

    async def _check(self, service: str) -> bool:
        """Bring the history of a service up to date; returns whether that succeeded."""
        versions = self._context.targets.versions
        if self._is_due(service) and not await self._read(service):
            return False
        missing = versions.missing(service)
        if not missing:
            self._missing_since_by_service.pop(service, None)
        if missing and self._may_begin_streams(service):
            return await self._write(service, added=missing)
        outdated = self._outdated(service)
        return not outdated or await self._write(service, removed=outdated)

    def _is_due(self, service: str) -> bool:
        """Return whether the history is to be read."""
        read_at = self._read_at_by_service.get(service)
        if read_at is None:
            return True
        is_old = self._context.clock() - read_at >= REFRESH_INTERVAL_S
        return is_old and self._context.targets.versions.is_mixed(service)

    def _may_begin_streams(self, service: str) -> bool:
        """Return whether streams may begin at the listed versions from now on."""
        context = self._context
        now = context.clock()
        since = self._missing_since_by_service.setdefault(service, now)
        stored = context.targets.versions.stored(service)
        if not context.targets.serves_version(service, stored):
            return True
        is_starting = now - self._started_at < RETURN_TIME_S
        # Requests that wait need the targets of the new version.
        is_idle = context.dispatcher.queue_length(service) == 0
        if is_starting and is_idle and not context.settings.is_first_start:
            return False
        return now - since >= RECORDING_TIME_S or not context.streams.has_unstored(
            service
        )

    def _next_check_s(self) -> float:
        """Return the time to the next check, in seconds."""
        targets = self._context.targets
        is_waiting = any(map(targets.versions.missing, targets.services()))
        return MISSING_CHECK_INTERVAL_S if is_waiting else CHECK_INTERVAL_S

    def _outdated(self, service: str) -> Collection[str]:
        context = self._context
        now = context.clock()
        if not context.peers.is_leader(now) or self._store_health.healthy_s(now) <= 0:
            return ()
        if now - context.targets.confirmed_at > max_unseen_s(context.settings):
            return ()
        return context.targets.versions.outdated(
            service, now, keep_s=context.streams.keep_s
        )

    async def _read(self, service: str) -> bool:
        """Read the history; returns whether it is known now."""
        done = self._reads_by_service[service] = Event()
        requested_at = self._context.clock()
        try:
            item = await self._store_health.track(
                "read-versions", self._store.get(_store_key(service))
            )
            is_known = not isinstance(item, Unavailable) and await self._apply(
                service, item
            )
            if is_known:
                self._confirmed_at_by_service[service] = requested_at
        finally:
            if self._reads_by_service.get(service) is done:
                del self._reads_by_service[service]
            done.set()
        return is_known

    async def _apply(self, service: str, item: KeyValue | None) -> bool:
        """Use a history that was read; one that lacks versions is written anew."""
        known = self._context.targets.versions.stored(service)
        record = None if item is None else self._decode(service, item)
        is_current = record is not None and record.era == self._store.era
        if is_current:
            self._adopt(service, record.versions, item.mod_revision)
            return True
        if known is None:
            known = self._first_versions(service, item)
        versions = known | set(() if record is None else record.versions)
        revision = ABSENT_REVISION if item is None else item.mod_revision
        return await self._swap(service, versions, revision)

    def _first_versions(self, service: str, item: KeyValue | None) -> frozenset[str]:
        """Return the history of a service of which neither store nor router has one."""
        if item is None and self._context.settings.is_first_start:
            return self._context.targets.versions_of(service)
        listed = self._context.targets.versions_of(service)
        return listed | {UNKNOWN_VERSION}

    async def _write(
        self,
        service: str,
        *,
        added: Collection[str] = (),
        removed: Collection[str] = (),
    ) -> bool:
        """Change the history; returns whether the change is stored."""
        item = await self._store_health.track(
            "read-versions", self._store.get(_store_key(service))
        )
        if isinstance(item, Unavailable):
            return False
        record = None if item is None else self._decode(service, item)
        if record is None or record.era != self._store.era:
            return await self._apply(service, item)
        versions = (frozenset(record.versions) | set(added)) - set(removed)
        if versions == set(record.versions):
            self._adopt(service, versions, item.mod_revision)
            return True
        return await self._swap(service, versions, item.mod_revision)

    async def _swap(
        self, service: str, versions: Collection[str], revision: int
    ) -> bool:
        record = HistoryRecord(self._store.era, sorted(versions))
        swapped = await self._store_health.track(
            "note-versions",
            self._store.compare_and_swap(
                _store_key(service), json.encode(record), revision
            ),
        )
        if isinstance(swapped, Swapped):
            self._context.log.process(
                "versions-noted", service=service, versions=record.versions
            )
            self._adopt(service, versions, swapped.mod_revision)
            return True
        if not isinstance(swapped, Conflict) or swapped.current is None:
            return False
        current = self._decode(service, swapped.current)
        if current is None or current.era != self._store.era:
            return False
        self._adopt(service, current.versions, swapped.current.mod_revision)
        return True

    def _adopt(self, service: str, versions: Collection[str], revision: int) -> None:
        """Use a stored history, unless a later one is known."""
        context = self._context
        now = context.clock()
        self._read_at_by_service[service] = now
        if revision < self._revision_by_service.get(service, ABSENT_REVISION):
            return
        self._revision_by_service[service] = revision
        context.targets.versions.adopt(service, versions)
        context.streams.on_recorded()
        context.dispatcher.dispatch_queued(service, now)

    def _decode(self, service: str, item: KeyValue) -> HistoryRecord | None:
        try:
            return json.decode(item.value, type=HistoryRecord)
        except (DecodeError, ValueError, RecursionError) as error:
            self._context.log.process(
                "versions-invalid", service=service, detail=repr(error)
            )
            return None

    def _on_versions_changed(self) -> None:
        self._context.streams.on_recorded()
        self._wake_event.set()

    def _on_restored(self) -> None:
        """Write the histories again; a copy may lack versions."""
        self._read_at_by_service.clear()
        self._wake_event.set()

    async def _wait(self, longest_s: float) -> None:
        with move_on_after(longest_s):
            await self._wake_event.wait()
        self._wake_event = Event()


def _store_key(service: str) -> bytes:
    return HISTORIES_PREFIX + service.encode()


def _longest_stream_s(configuration: Configuration) -> float:
    """Return how long a stream that a caller may take up lasts at most, in seconds."""
    return max(
        (
            route.timeout_s
            for routes in configuration.routes_by_host.values()
            for route in routes.values()
            if route.resumable
        ),
        default=0.0,
    )
