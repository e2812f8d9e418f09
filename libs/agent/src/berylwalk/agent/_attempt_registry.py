"""Registry of dispatched requests and tombstoned attempts."""

from collections import OrderedDict
from dataclasses import dataclass

from berylwalk.model import RefusalReason, RequestId

MAX_FLOORS_PER_ROUTER = 4


@dataclass(slots=True)
class RequestRecord:
    """Record of one request.

    Parameters
    ----------
    touched_at : float
        Monotonic time of the last update, in seconds.
    dispatched : bool
        Whether it was dispatched by this agent.
    dead_attempt : int
        Highest tombstoned attempt; it and all lower ones never run.
    reason : RefusalReason
        Why that attempt was tombstoned.
    """

    touched_at: float
    dispatched: bool = False
    dead_attempt: int = 0
    reason: RefusalReason = RefusalReason.TOMBSTONE


class AttemptRegistry:
    """Records of requests, pruned by age and number.

    Pruning a record raises a floor, the highest pruned serial of an incarnation
    of a router. Unknown requests at or below a floor are refused, so that a late
    message never runs a request whose record was pruned.

    Parameters
    ----------
    retention_s : float
        Time for which a record is kept after its last update, in seconds.
    max_records : int
        Largest number of records.
    """

    def __init__(self, *, retention_s: float, max_records: int) -> None:
        self._retention_s = retention_s
        self._max_records = max_records
        # Least recently updated first. Running requests are not pruned.
        self._records_by_id: OrderedDict[RequestId, RequestRecord] = OrderedDict()
        self._running_by_id: dict[RequestId, RequestRecord] = {}
        self._floors_by_router: dict[str, dict[int, int]] = {}
        # All requests of incarnations up to this one may have been pruned.
        self._pruned_incarnation_by_router: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._records_by_id) + len(self._running_by_id)

    def get(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of a request, or None if there is none."""
        running = self._running_by_id.get(request_id)
        return running or self._records_by_id.get(request_id)

    def is_dispatched(self, request_id: RequestId) -> bool:
        """Return whether a request is known to have been dispatched."""
        record = self.get(request_id)
        return record is not None and record.dispatched

    def may_be_pruned(self, request_id: RequestId) -> bool:
        """Return whether a request has no record but may have been pruned."""
        if self.get(request_id) is not None:
            return False
        router, incarnation, serial = request_id
        if incarnation <= self._pruned_incarnation_by_router.get(router, -1):
            return True
        floors = self._floors_by_router.get(router, {})
        return serial <= floors.get(incarnation, 0)

    def is_tombstoned(self, request_id: RequestId, attempt: int) -> bool:
        """Return whether an attempt is tombstoned."""
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
        """Tombstone an attempt and all lower ones; a dispatch stays recorded.

        A request that may have been pruned gets no new record, which would hide that it
        may have run. All its attempts are refused without one.
        """
        if self.may_be_pruned(request_id):
            return
        record = self._touch(request_id, now)
        if attempt > record.dead_attempt:
            record.dead_attempt = attempt
            record.reason = reason

    def start_dispatch(self, request_id: RequestId, now: float) -> None:
        """Record that a request is dispatched."""
        record = self._touch(request_id, now)
        record.dispatched = True
        self._records_by_id.pop(request_id, None)
        self._running_by_id[request_id] = record

    def end_dispatch(self, request_id: RequestId, now: float) -> None:
        """Record that a dispatched request ended."""
        record = self._running_by_id.pop(request_id)
        record.touched_at = now
        self._records_by_id[request_id] = record

    def undo_dispatch(self, request_id: RequestId, attempt: int, now: float) -> None:
        """Replace a dispatch that sent nothing to the target by a tombstone."""
        self.end_dispatch(request_id, now)
        self._records_by_id[request_id].dispatched = False
        self.add_tombstone(request_id, attempt, now, reason=RefusalReason.NOT_SERVED)

    def prune(self, now: float) -> None:
        """Remove records that are too old or too many."""
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
        if len(floors) > MAX_FLOORS_PER_ROUTER:
            oldest = min(floors)
            del floors[oldest]
            known = self._pruned_incarnation_by_router.get(router, -1)
            self._pruned_incarnation_by_router[router] = max(known, oldest)
