"""Minimum interval between two parts of a stream."""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable
from time import monotonic


class Pacer:
    """Rate limiter that enforces a minimum interval between parts.

    Parameters
    ----------
    interval_s : float
        Minimum time between two parts, in seconds; 0 for no limit.
    """

    __slots__ = ("_interval_s", "_next_at", "_timer")

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._next_at = 0.0
        self._timer: TimerHandle | None = None

    def must_wait(self, on_due: Callable[[], None]) -> bool:
        """Return whether a part must wait; if not, start the next interval.

        Parameters
        ----------
        on_due : callable
            Called by the event loop at the end of the interval, once for all
            parts that wait.
        """
        if not self._interval_s:
            return False
        now = monotonic()
        if now >= self._next_at:
            self._next_at = now + self._interval_s
            return False
        if self._timer is None:
            delay_s = self._next_at - now
            self._timer = get_running_loop().call_later(delay_s, self._on_timer, on_due)
        return True

    def stop(self) -> None:
        """Cancel a pending callback; the pacer can be used again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self, on_due: Callable[[], None]) -> None:
        self._timer = None
        # The timer may fire slightly early, before `_next_at`.
        self._next_at = 0.0
        on_due()
