"""Requests that were refused lately, and when their callers first asked.

Answers overload, in which many of the requests that arrive are returns of refused
callers, through any router of their failure domain. The latency objective counts from
the first request: without a record a return would take a place before a request that
can still be answered in time.

Several callers may send equal requests. A return has the same time left as the request
that was refused: its caller gives up at the same moment. So requests whose callers name
no time limit are not recorded.
"""

from collections import deque
from dataclasses import dataclass

from xxhash import xxh64_intdigest

RETURN_TTL_S = 6.0
"""How long a refused caller is expected back, in seconds: callers come back within a
third of their time limit."""
MAX_RECORDS = 20_000
"""Bound of the records; the oldest are dropped."""
MAX_EQUAL_RECORDS = 100
"""Bound of the records of equal requests; the oldest are dropped."""
MAX_UNTOLD = 2_000
"""Bound of the records that peers have not been told; the oldest are dropped."""
MAX_TOLD = 64
"""Maximum number of records in one message, which has to fit into a datagram."""
GIVE_UP_TOLERANCE_S = 0.5
"""Difference, in seconds, up to which two requests are given up at the same moment:
they arrive after different delays, and messages of peers take some time."""
MAX_LEFT_S = 86_400.0
"""Bound of the time until a caller gives up, in seconds; callers may name any."""
MS_PER_S = 1000

RefusalRecords = list[tuple[int, int, int]]
"""Keys of refused requests with the time since the first request, and until the caller
gives up, in milliseconds."""


@dataclass(frozen=True, slots=True, eq=False)
class _Record:
    """A refused request; all times in seconds."""

    first_arrived_at: float
    refused_at: float
    gives_up_at: float

    def is_of(self, gives_up_at: float) -> bool:
        """Return whether a caller that gives up at some time may be the same one."""
        return abs(gives_up_at - self.gives_up_at) <= GIVE_UP_TOLERANCE_S


class RefusedRequests:
    """Requests that were refused lately by this router or by direct peers.

    A record stands for one return.
    """

    def __init__(self) -> None:
        self._records_by_key: dict[int, list[_Record]] = {}
        self._count = 0
        self._untold: deque[tuple[int, _Record]] = deque(maxlen=MAX_UNTOLD)
        self._in_order: deque[tuple[int, _Record]] = deque()

    def __len__(self) -> int:
        return self._count

    def record(
        self,
        identity: bytes,
        first_arrived_at: float,
        *,
        gives_up_at: float | None,
        now: float,
    ) -> None:
        """Record a refusal by this router.

        Parameters
        ----------
        identity : bytes
            Digest that a request shares with its repetitions.
        first_arrived_at : float
            When its caller first asked, in seconds.
        gives_up_at : float or None
            When its caller gives up, in seconds; None if it has named no time limit.
        now : float
            Current time in seconds.
        """
        if gives_up_at is None:
            return
        key = xxh64_intdigest(identity)
        record = _Record(first_arrived_at, now, min(gives_up_at, now + MAX_LEFT_S))
        self._put(key, record)
        self._untold.append((key, record))

    def take(
        self, identity: bytes, *, gives_up_at: float | None, now: float
    ) -> float | None:
        """Return when the caller of a request first asked, or None if it is new.

        The record is used up. Parameters are those of `record`.
        """
        if gives_up_at is None:
            return None
        gives_up_at = min(gives_up_at, now + MAX_LEFT_S)
        records = self._records_by_key.get(xxh64_intdigest(identity), ())
        for record in records:
            is_recent = now - record.refused_at <= RETURN_TTL_S
            if is_recent and record.is_of(gives_up_at):
                records.remove(record)
                self._count -= 1
                return record.first_arrived_at
        return None

    def take_updates(self, now: float) -> RefusalRecords:
        """Return the next records that direct peers have not been told."""
        told = []
        while self._untold and len(told) < MAX_TOLD:
            key, record = self._untold.popleft()
            age_s, left_s = now - record.first_arrived_at, record.gives_up_at - now
            told.append((key, round(age_s * MS_PER_S), round(left_s * MS_PER_S)))
        return told

    def merge(self, records: RefusalRecords, now: float) -> None:
        """Apply what a direct peer has told."""
        for key, age_ms, left_ms in records:
            gives_up_at = now + left_ms / MS_PER_S
            self._put(key, _Record(now - age_ms / MS_PER_S, now, gives_up_at))

    def _put(self, key: int, record: _Record) -> None:
        records = self._records_by_key.setdefault(key, [])
        if len(records) == MAX_EQUAL_RECORDS:
            del records[0]
            self._count -= 1
        records.append(record)
        self._in_order.append((key, record))
        self._count += 1
        self._drop_old(record.refused_at)

    def _drop_old(self, now: float) -> None:
        while self._in_order:
            key, record = self._in_order[0]
            is_old = now - record.refused_at > RETURN_TTL_S
            if not is_old and len(self._in_order) <= MAX_RECORDS:
                return
            self._in_order.popleft()
            records = self._records_by_key.get(key)
            if records and records[0] is record:
                del records[0]
                self._count -= 1
            if not records:
                self._records_by_key.pop(key, None)
