"""Values that are reported with a delay."""

from collections import deque
from typing import Generic, TypeVar

Value = TypeVar("Value")

MIN_INTERVAL_S = 0.02


class DelayedValue(Generic[Value]):
    """A value that readers see after a delay.

    Parameters
    ----------
    value : object
        Initial value.
    lag_s : float
        Delay, in seconds.
    """

    def __init__(self, value: Value, *, lag_s: float) -> None:
        self.lag_s = lag_s
        self._reported = value
        self._pending: deque[tuple[float, Value]] = deque()

    def record(self, now: float, value: Value) -> None:
        """Set the value; of values in quick succession, the last one is kept."""
        pending = self._pending
        if len(pending) > 1 and now - pending[-2][0] < MIN_INTERVAL_S:
            pending.pop()
        pending.append((now, value))

    def read(self, now: float) -> Value:
        """Return the value as it was ``lag_s`` before ``now``."""
        while self._pending and self._pending[0][0] <= now - self.lag_s:
            self._reported = self._pending.popleft()[1]
        return self._reported
