"""Event loop that measures for how long it had nothing to do.

What is left of that time is the use of the processor, whatever part of it the VM has:
a slower one takes longer for the same work.
"""

from asyncio import SelectorEventLoop
from selectors import DefaultSelector, SelectorKey
from time import monotonic


class _WaitingSelector(DefaultSelector):
    """Selector that counts the time for which it waits."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Wait for events, and count the time."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        since = monotonic()
        try:
            return super().select(timeout)
        finally:
            self.waited_s += monotonic() - since


class MeasuredLoop(SelectorEventLoop):
    """Event loop of asyncio that counts the time for which it waited."""

    def __init__(self) -> None:
        self._waiting = _WaitingSelector()
        super().__init__(self._waiting)

    @property
    def waited_s(self) -> float:
        """Time without work since the start, in seconds."""
        return self._waiting.waited_s
