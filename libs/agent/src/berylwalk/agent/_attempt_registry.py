"""What is remembered of each request: its dispatch and its dead attempts."""

from collections import OrderedDict
from dataclasses import dataclass

from berylwalk.model import RefusalReason, RequestId

MAX_FLOORS_BY_ROUTER = 4


@dataclass(slots=True)
class RequestRecord:
    """Memory of one request.

    Parameters
    ----------
    touched_at : float
        Monotonic time of the last change, in seconds.
    dispatched : bool
        Whether it was dispatched here.
    dead_attempt : int
        The highest attempt that never runs; lower ones neither.
    reason : RefusalReason
        Why that attempt is dead.
    """

    touched_at: float
    dispatched: bool = False
    dead_attempt: int = 0
    reason: RefusalReason = RefusalReason.TOMBSTONE


class AttemptRegistry:
    """Records of requests, pruned by age and number.

    Pruning raises a floor: unknown requests at or below it are taken for dead,
    so that forgetting never makes a late message runnable.

    Parameters
    ----------
    remember_s : float
        How long a record is kept after its last change, in seconds.
    max_records : int
        Largest number of records.
    """

    def __init__(self, *, retention_s: float, max_records: int) -> None:
        self._retention_s = retention_s
        self._max_records = max_records
        # Oldest change first; requests that run are kept apart, never pruned.
        self._records_by_id: OrderedDict[RequestId, RequestRecord] = OrderedDict()
        self._running_by_id: dict[RequestId, RequestRecord] = {}
        self._floors_by_router: dict[str, dict[int, int]] = {}
        # Incarnations up to this one are below every floor.
        self._dead_incarnation_by_router: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._records_by_id) + len(self._running_by_id)

    def get(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a request, or None when there is none."""
        running = self._running_by_id.get(request_id)
        return running or self._records_by_id.get(request_id)

    def is_dispatched(self, request_id: RequestId) -> bool:
        """Return whether a request is known to have been dispatched."""
        record = self.get(request_id)
        return record is not None and record.dispatched

    def may_be_pruned(self, request_id: RequestId) -> bool:
        """Return whether a request is unknown and may have been pruned."""
        if self.get(request_id) is not None:
            return False
        router, incarnation, serial = request_id
        if incarnation <= self._dead_incarnation_by_router.get(router, -1):
            return True
        floors = self._floors_by_router.get(router, {})
        return serial <= floors.get(incarnation, 0)

    def is_tombstoned(self, request_id: RequestId, attempt: int) -> bool:
        """Return whether an attempt never runs."""
        record = self.get(request_id)
        return record is not None and attempt <= record.dead_attempt

    def add_tombstone(
        self,
        request_id: RequestId,
        attempt: int,
        now: float,
        *,
        reason: RefusalReason = RefusalReason.TOMBSTONE,
    ) -> None:
        """Make an attempt and all lower ones dead; a dispatch stays recorded."""
        record = self._touch(request_id, now)
        if attempt > record.dead_attempt:
            record.dead_attempt = attempt
            record.reason = reason

    def start_dispatch(self, request_id: RequestId, now: float) -> None:
        """Remember that a request is dispatched and runs."""
        record = self._touch(request_id, now)
        record.dispatched = True
        self._records_by_id.pop(request_id, None)
        self._running_by_id[request_id] = record

    def end_dispatch(self, request_id: RequestId, now: float) -> None:
        """Remember that a dispatched request ended."""
        record = self._running_by_id.pop(request_id)
        record.touched_at = now
        self._records_by_id[request_id] = record

    def undo_dispatch(self, request_id: RequestId, attempt: int, now: float) -> None:
        """Turn a dispatch that sent nothing to the target into a dead attempt."""
        self.end_dispatch(request_id, now)
        self._records_by_id[request_id].dispatched = False
        self.add_tombstone(request_id, attempt, now, reason=RefusalReason.NOT_SERVED)

    def prune(self, now: float) -> None:
        """Forget records that are too old or too many."""
        while self._records_by_id:
            request_id = next(iter(self._records_by_id))
            record = self._records_by_id[request_id]
            expired = now - record.touched_at > self._retention_s
            if not expired and len(self._records_by_id) <= self._max_records:
                return
            del self._records_by_id[request_id]
            self._raise_floor(request_id)

    def _touch(self, request_id: RequestId, now: float) -> RequestRecord:
        record = self.get(request_id)
        if record is None:
            record = self._records_by_id[request_id] = RequestRecord(now)
            return record
        record.touched_at = now
        if request_id in self._records_by_id:
            self._records_by_id.move_to_end(request_id)
        return record

    def _raise_floor(self, request_id: RequestId) -> None:
        router, incarnation, serial = request_id
        floors = self._floors_by_router.setdefault(router, {})
        floors[incarnation] = max(floors.get(incarnation, 0), serial)
        if len(floors) > MAX_FLOORS_BY_ROUTER:
            oldest = min(floors)
            del floors[oldest]
            known = self._dead_incarnation_by_router.get(router, -1)
            self._dead_incarnation_by_router[router] = max(known, oldest)
