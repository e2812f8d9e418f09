"""Discrete-event scheduler."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class VirtualTime:
    """Virtual clock that runs scheduled callbacks in order of time.

    Attributes
    ----------
    now : float
        Current virtual time, in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a callback at a time; callbacks of one time run in FIFO order."""
        heappush(self._events, (max(time, self.now), next(self._numbers), call))

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now + delay_s, call)

    def run_until(self, time: float) -> None:
        """Run all callbacks that are due until a time."""
        while self._events and self._events[0][0] <= time:
            self.now, _, call = heappop(self._events)
            call()
        self.now = time
