"""Versions of the software at which streams began."""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass

from xxhash import xxh64_intdigest

KEEP_S = 30.0
"""How long a record is kept after its stream was last begun or continued, in seconds,
unless requests may take longer; callers come back within their time limit."""
MAX_KEEP_S = 500.0
"""Longest such time, in seconds; leases of the store end soon after it."""
RETURNS = 2
"""Multiple of the longest stream for which its caller may come back to it: what broke
off near its end is continued for as long again."""
MAX_RECORDS = 20_000
"""Bound of the records; the oldest are dropped."""
MAX_UNTOLD = 4_000
"""Bound of the records that other routers have not been told."""
MAX_UNSTORED = 4_000
"""Bound of the records that the store has not acknowledged."""
STORED_FOR_S = 10.0
"""How long after its write a record in the store needs no renewal when its stream is
continued, in seconds."""
MAX_RECENT = 1_000
"""Bound of the records that a starting router is told at once."""

StreamRecords = list[tuple[int, str]]
"""Keys of streams with the versions that began them."""


def stream_key(account: str | None, request_id: bytes) -> int:
    """Return the key of a stream.

    It includes the client account, so that no account can take up another's stream.

    Parameters
    ----------
    account : str or None
        Name of the client account.
    request_id : bytes
        Id of the request that brought the first event.
    """
    return xxh64_intdigest(b"%s\0%s" % ((account or "").encode(), request_id))


@dataclass(slots=True)
class _Record:
    """Version of one stream, and when it was recorded."""

    version: str
    at: float


@dataclass(frozen=True, slots=True)
class OwnStream:
    """A stream that this router has begun or continued.

    Parameters
    ----------
    at : float
        When that was, in seconds.
    service : str
        The service.
    key : int
        Key of the stream.
    version : str
        Version that began it.
    """

    at: float
    service: str
    key: int
    version: str


class _Outbox:
    """Streams of this router that the others are to be told of, oldest first."""

    def __init__(self) -> None:
        self._updates: deque[OwnStream] = deque(maxlen=MAX_UNTOLD)

    def add(self, update: OwnStream) -> None:
        self._updates.append(update)

    def take(
        self, now: float, *, is_mixed: Callable[[str], bool], keep_s: float
    ) -> StreamRecords:
        """Return and remove the streams of services with several versions."""
        updates = self._updates
        while updates and now - updates[0].at > keep_s:
            updates.popleft()
        mixed = {name for name in {each.service for each in updates} if is_mixed(name)}
        if not mixed:
            return []
        told = [(each.key, each.version) for each in updates if each.service in mixed]
        kept = [each for each in updates if each.service not in mixed]
        self._updates = deque(kept, maxlen=MAX_UNTOLD)
        return told


class _Backlog:
    """Unfinished streams of this router, by whether the store has their records."""

    def __init__(self) -> None:
        self.dropped = 0
        self._unstored_by_service: dict[str, dict[int, OwnStream]] = {}
        self._stored_by_key: dict[int, OwnStream] = {}

    def add(self, stream: OwnStream) -> bool:
        """Add a stream; returns False if its record is in the store already."""
        stored = self._stored_by_key.get(stream.key)
        if stored is not None and stream.at - stored.at <= STORED_FOR_S:
            return False
        unstored = self._unstored_by_service.setdefault(stream.service, {})
        unstored.pop(stream.key, None)
        unstored[stream.key] = stream
        if len(unstored) > MAX_UNSTORED:
            del unstored[next(iter(unstored))]
            self.dropped += 1
        return True

    def remove(self, key: int) -> None:
        """Remove a stream that its caller has completely."""
        self._stored_by_key.pop(key, None)
        for unstored in self._unstored_by_service.values():
            unstored.pop(key, None)

    def unstored(self, service: str, now: float, *, keep_s: float) -> list[OwnStream]:
        """Return the streams of a service that are not stored, latest first."""
        unstored = self._unstored_by_service.get(service, {})
        while unstored:
            oldest = unstored[next(iter(unstored))]
            if now - oldest.at <= keep_s:
                break
            del unstored[oldest.key]
        return list(reversed(unstored.values()))

    def services(self) -> list[str]:
        """Return the services that have streams which are not stored."""
        return [name for name, each in self._unstored_by_service.items() if each]

    def note_stored(self, streams: Collection[OwnStream]) -> None:
        """Record that the store has acknowledged records."""
        for stream in streams:
            unstored = self._unstored_by_service[stream.service]
            if unstored.get(stream.key) is stream:
                del unstored[stream.key]
                self._stored_by_key[stream.key] = stream

    def note_lost(self) -> None:
        """Write all records again: the store has lost what was acknowledged."""
        stored, self._stored_by_key = self._stored_by_key, {}
        for stream in stored.values():
            unstored = self._unstored_by_service.setdefault(stream.service, {})
            unstored.setdefault(stream.key, stream)

    def drop_stored(self, now: float, *, keep_s: float) -> None:
        """Forget the stored streams to which no caller comes back any more."""
        while self._stored_by_key:
            oldest = self._stored_by_key[next(iter(self._stored_by_key))]
            if now - oldest.at <= keep_s:
                return
            del self._stored_by_key[oldest.key]


class StreamVersions:
    """Versions at which streams began, at any router.

    Routers tell each other of the streams of a service that may begin at several
    versions, and write their records in the store. The unfinished streams from before
    follow as soon as a second version appears.

    Attributes
    ----------
    keep_s : float
        How long a record is kept after its stream was last begun or continued.
    dropped : int
        Records that were dropped before their time since there were too many.
    on_recorded : callable
        Called when a stream of this router has been recorded.
    """

    def __init__(self) -> None:
        self.keep_s = KEEP_S
        self.dropped = 0
        self.on_recorded: Callable[[], None] = lambda: None
        self._records_by_key: dict[int, _Record] = {}
        self._to_tell = _Outbox()
        self._backlog = _Backlog()

    def __len__(self) -> int:
        return len(self._records_by_key)

    def note_longest(self, longest_s: float) -> None:
        """Keep records for as long as callers may come back to their streams.

        Parameters
        ----------
        longest_s : float
            How long a stream lasts at most, in seconds.
        """
        # Streams that have begun under longer limits go on.
        self.keep_s = max(self.keep_s, min(MAX_KEEP_S, RETURNS * longest_s))

    @property
    def dropped_unstored(self) -> int:
        """Records that were dropped before the store had acknowledged them."""
        return self._backlog.dropped

    def record(self, service: str, key: int, version: str, now: float) -> bool:
        """Record that a target of a version has begun or continued a stream.

        Returns
        -------
        bool
            Whether the record is to be stored; False if the store has it already.
        """
        self._put(key, version, now)
        stream = OwnStream(now, service, key, self._records_by_key[key].version)
        self._to_tell.add(stream)
        if not self._backlog.add(stream):
            return False
        self.on_recorded()
        return True

    def finish(self, key: int) -> None:
        """Record that the caller has a stream completely and won't take it up."""
        self._backlog.remove(key)

    def version_of(self, key: int, now: float) -> str | None:
        """Return the version that began a stream; None if it is not known."""
        record = self._records_by_key.get(key)
        if record is None or now - record.at > self.keep_s:
            return None
        return record.version

    def take_updates(
        self, now: float, *, is_mixed: Callable[[str], bool]
    ) -> StreamRecords:
        """Return what the other routers have not been told.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_mixed : callable
            Returns whether streams of a service may begin at several versions.
        """
        return self._to_tell.take(now, is_mixed=is_mixed, keep_s=self.keep_s)

    def unstored(
        self, now: float, *, is_mixed: Callable[[str], bool]
    ) -> list[OwnStream]:
        """Return the streams whose records are to be stored, latest first.

        They are returned again until `note_stored` is called. The parameters are those
        of `take_updates`.
        """
        self._backlog.drop_stored(now, keep_s=self.keep_s)
        return [
            stream
            for service in self._backlog.services()
            if is_mixed(service)
            for stream in self._backlog.unstored(service, now, keep_s=self.keep_s)
        ]

    def has_unstored(self, service: str) -> bool:
        """Return whether records of a service are not stored."""
        return service in self._backlog.services()

    def note_stored(self, streams: Collection[OwnStream]) -> None:
        """Record that the store has acknowledged the records of streams."""
        self._backlog.note_stored(streams)

    def note_store_restored(self) -> None:
        """Store all records again: the store came back from an older copy."""
        self._backlog.note_lost()
        self.on_recorded()

    def merge(self, records: StreamRecords, now: float) -> None:
        """Apply what another router has told."""
        for key, version in records:
            self._put(key, version, now)

    def recent(self) -> StreamRecords:
        """Return the latest records, for a router that starts."""
        latest = list(self._records_by_key.items())[-MAX_RECENT:]
        return [(key, record.version) for key, record in latest]

    def _put(self, key: int, version: str, now: float) -> None:
        # The first record of a stream stands; writing it again makes it the latest.
        known = self._records_by_key.pop(key, None)
        if known is not None and now - known.at <= self.keep_s:
            version = known.version
        self._records_by_key[key] = _Record(version, now)
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self._records_by_key:
            key = next(iter(self._records_by_key))
            is_old = now - self._records_by_key[key].at > self.keep_s
            if not is_old and len(self._records_by_key) <= MAX_RECORDS:
                return
            del self._records_by_key[key]
            self.dropped += not is_old
