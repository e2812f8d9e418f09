"""Versions of the software at which streams began."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

KEEP_S = 30.0
"""How long a record is kept after its stream was last begun or continued; callers come
back within their time limit."""
MAX_RECORDS = 20_000
"""Bound of the records; the oldest are dropped."""
MAX_UNTOLD = 4_000
"""Bound of the records that other routers have not been told."""
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
class _Untold:
    """A stream that other routers have not been told."""

    at: float
    service: str
    key: int
    version: str


class StreamVersions:
    """Versions at which streams began, at any router.

    Routers tell each other of the streams of a service while it has targets of several
    versions. The streams from before that are told as soon as a second version appears.

    Attributes
    ----------
    dropped : int
        Records that were dropped before their time since there were too many.
    """

    def __init__(self) -> None:
        self.dropped = 0
        self._records_by_key: dict[int, _Record] = {}
        self._untold: deque[_Untold] = deque(maxlen=MAX_UNTOLD)

    def __len__(self) -> int:
        return len(self._records_by_key)

    def record(self, service: str, key: int, version: str, now: float) -> None:
        """Record that a target of a version has begun or continued a stream."""
        self._put(key, version, now)
        self._untold.append(_Untold(now, service, key, version))

    def version_of(self, key: int, now: float) -> str | None:
        """Return the version that began a stream; None if it is not known."""
        record = self._records_by_key.get(key)
        if record is None or now - record.at > KEEP_S:
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
            Returns whether a service has targets of several versions.
        """
        while self._untold and now - self._untold[0].at > KEEP_S:
            self._untold.popleft()
        services = {each.service for each in self._untold}
        mixed = {service for service in services if is_mixed(service)}
        if not mixed:
            return []
        told = [
            (each.key, each.version) for each in self._untold if each.service in mixed
        ]
        kept = [each for each in self._untold if each.service not in mixed]
        self._untold = deque(kept, maxlen=MAX_UNTOLD)
        return told

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
        if known is not None and now - known.at <= KEEP_S:
            version = known.version
        self._records_by_key[key] = _Record(version, now)
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self._records_by_key:
            key = next(iter(self._records_by_key))
            is_old = now - self._records_by_key[key].at > KEEP_S
            if not is_old and len(self._records_by_key) <= MAX_RECORDS:
                return
            del self._records_by_key[key]
            self.dropped += not is_old
