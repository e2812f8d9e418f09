"""Event loop that measures for how long it had nothing to do, and its delay of input.

What is left of that time is the use of the processor, whatever part of it the VM has:
a slower one takes longer for the same work. Input that arrives meanwhile is read late.
"""

from asyncio import SelectorEventLoop
from collections import deque
from selectors import DefaultSelector, SelectorKey
from time import monotonic

MIN_WAIT_S = 0.001
"""A shorter call has found input that was there already."""
KEPT_PASSES = 3
"""Passes of the loop whose input has a known age: this one and those before."""


class _WaitingSelector(DefaultSelector):
    """Selector that counts the time for which it waits.

    Attributes
    ----------
    waited_s : float
        Time for which it waited, in seconds.
    ready_since : deque of float
        Earliest times at which what it reported can have become ready: in its last call
        and in those before.
    """

    def __init__(self) -> None:
        super().__init__()
        self.waited_s = 0.0
        self._returned_at = monotonic()
        self.ready_since = deque([self._returned_at] * KEPT_PASSES, maxlen=KEPT_PASSES)

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Wait for events, and count the time."""
        if timeout is not None and timeout <= 0:
            try:
                return super().select(timeout)
            finally:
                self._note_return(waited_s=0.0)
        since = monotonic()
        try:
            return super().select(timeout)
        finally:
            waited_s = monotonic() - since
            self.waited_s += waited_s
            self._note_return(waited_s=waited_s)

    def _note_return(self, *, waited_s: float) -> None:
        now = monotonic()
        self.ready_since.appendleft(
            now if waited_s >= MIN_WAIT_S else self._returned_at
        )
        self._returned_at = now


class MeasuredLoop(SelectorEventLoop):
    """Event loop of asyncio that counts the time for which it waited."""

    def __init__(self) -> None:
        self._waiting = _WaitingSelector()
        super().__init__(self._waiting)

    @property
    def waited_s(self) -> float:
        """Time without work since the start, in seconds."""
        return self._waiting.waited_s

    def ready_age_s(self, passes_ago: int) -> float:
        """Return how old input can be, in seconds.

        A socket that was not watched before may have had its input for longer.

        Parameters
        ----------
        passes_ago : int
            In which pass of the loop it was reported: 0 for this one, 1 for the one
            before, and so on, below `KEPT_PASSES`.
        """
        return monotonic() - self._waiting.ready_since[passes_ago]
