"""Notices that the VM was suspended."""

import time
from collections.abc import Callable

LEAST_S = 0.05
"""Shorter differences of the clocks are no suspension: they are read one after the
other."""


class SuspensionWatch:
    """Compares a clock that counts suspension with one that does not.

    Parameters
    ----------
    clock : callable
        Goes on while the VM is suspended, in seconds.
    steady : callable
        Stands still meanwhile.

    Attributes
    ----------
    total_s : float
        Time of all suspensions that were noticed, in seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        *,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._steady = steady
        self._ahead_s = clock() - steady()
        self.total_s = 0.0

    def look(self) -> float:
        """Return the time of a suspension since the last look, in seconds, or 0."""
        ahead_s = self._clock() - self._steady()
        suspended_s = ahead_s - self._ahead_s
        if suspended_s < LEAST_S:
            return 0.0
        self._ahead_s = ahead_s
        self.total_s += suspended_s
        return suspended_s
