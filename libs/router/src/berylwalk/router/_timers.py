"""Timers driven by the state machine's clock events."""

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf

Callback = Callable[[float], None]
"""Called with the current time; the object it refers to may be gone by then."""


class Timers:
    """Callbacks ordered by time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callback]] = []
        self._count = 0

    @property
    def next_due(self) -> float:
        """Time at which the next callback is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else inf

    def add(self, when: float, callback: Callback) -> None:
        """Schedule a callback for the first `run` at or after the given time."""
        self._count += 1
        heappush(self._heap, (when, self._count, callback))

    def run(self, now: float) -> None:
        """Run all due callbacks; callbacks may add timers."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heappop(self._heap)
            callback(now)
