"""Idempotency records that this router wrote, in case the store loses them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from time import monotonic

from berylwalk.model import RequestId

KEEP_S = 60.0
"""Time for which a record is known after its last change. The copy from which a store
is restored may be some seconds old."""

MAX_KNOWN_BYTES = 32 << 20
"""Maximum size of the known records of requests that have ended."""


@dataclass(frozen=True, slots=True)
class KnownRecord:
    """What the store should hold for a key.

    Parameters
    ----------
    key : bytes
        Key of the record.
    request_id : RequestId
        The request that wrote it.
    value : bytes or None
        The record; None if it was deleted.
    deadline_at : float
        Deadline of the request, which the record outlives, in seconds.
    changed_at : float
        Monotonic time of the last change, in seconds.
    """

    key: bytes
    request_id: RequestId
    value: bytes | None
    deadline_at: float
    changed_at: float


class KnownRecords:
    """Records of active requests, and of those that ended a short time ago.

    Parameters
    ----------
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = monotonic) -> None:
        self._clock = clock
        self._active_by_key: dict[bytes, KnownRecord] = {}
        # Sorted by the time of their end.
        self._ended_by_key: OrderedDict[bytes, KnownRecord] = OrderedDict()
        self._ended_bytes = 0

    def __len__(self) -> int:
        return len(self._active_by_key) + len(self._ended_by_key)

    def all(self) -> list[KnownRecord]:
        """Return the known records."""
        return [*self._active_by_key.values(), *self._ended_by_key.values()]

    def get(self, key: bytes) -> KnownRecord | None:
        """Return the known record of a key."""
        return self._active_by_key.get(key) or self._ended_by_key.get(key)

    def add(
        self, key: bytes, request_id: RequestId, value: bytes, deadline_at: float
    ) -> None:
        """Add the record of an active request."""
        self._remove_ended(key)
        self._active_by_key[key] = KnownRecord(
            key, request_id, value, deadline_at, self._clock()
        )

    def end(self, key: bytes, request_id: RequestId, value: bytes | None) -> None:
        """Note the last value of a record, whose request has ended."""
        record = self._active_by_key.get(key)
        if record is None or record.request_id != request_id:
            return
        del self._active_by_key[key]
        ended = replace(record, value=value, changed_at=self._clock())
        self._ended_by_key[key] = ended
        self._ended_bytes += _size(ended)
        self.drop_old()

    def drop_old(self) -> None:
        """Drop the records that ended long ago, and the oldest if there are many."""
        oldest = self._clock() - KEEP_S
        while self._ended_by_key:
            record = next(iter(self._ended_by_key.values()))
            if record.changed_at > oldest and self._ended_bytes <= MAX_KNOWN_BYTES:
                return
            self._remove_ended(record.key)

    def _remove_ended(self, key: bytes) -> None:
        removed = self._ended_by_key.pop(key, None)
        if removed is not None:
            self._ended_bytes -= _size(removed)


def _size(record: KnownRecord) -> int:
    return len(record.key) + len(record.value or b"")
