"""Priority queue by time, with removal of any entry."""

from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

EntryT = TypeVar("EntryT")

MIN_STALE_ITEMS = 32


class DeadlineHeap(Generic[EntryT]):
    """Entries ordered by time, then by sequence.

    Entries are removed lazily: a removed one stays in the heap until it reaches
    the top or half of the heap is stale. Each operation takes O(log n) amortized
    time. Sequence numbers are unique.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, EntryT]] = []
        self._time_by_sequence: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._time_by_sequence)

    def push(self, time: float, sequence: int, entry: EntryT) -> None:
        """Add an entry, or change its time if its sequence number is present."""
        self._time_by_sequence[sequence] = time
        heappush(self._heap, (time, sequence, entry))
        self._compact()

    def discard(self, sequence: int) -> None:
        """Remove an entry if it is present."""
        if self._time_by_sequence.pop(sequence, None) is not None:
            self._compact()

    def peek(self) -> tuple[float, EntryT] | None:
        """Return the earliest time and its entry, or None if empty."""
        while self._heap:
            time, sequence, entry = self._heap[0]
            if self._time_by_sequence.get(sequence) == time:
                return time, entry
            heappop(self._heap)
        return None

    def pop(self) -> EntryT:
        """Remove and return the earliest entry.

        Raises
        ------
        IndexError
            If the heap is empty.
        """
        found = self.peek()
        if found is None:
            raise IndexError("the heap is empty")
        _, sequence, entry = heappop(self._heap)
        del self._time_by_sequence[sequence]
        return entry

    def _compact(self) -> None:
        stale = len(self._heap) - len(self._time_by_sequence)
        if stale < max(MIN_STALE_ITEMS, len(self._time_by_sequence)):
            return
        live = self._time_by_sequence
        kept = {item[1]: item for item in self._heap if live.get(item[1]) == item[0]}
        self._heap = list(kept.values())
        heapify(self._heap)
