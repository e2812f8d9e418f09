"""Notices that the VM was suspended."""

import time
from collections.abc import Callable

MIN_SUSPENSION_S = 0.05
"""Shorter differences of the clocks are no suspension: they are read one after the
other."""


class SuspensionDetector:
    """Compares a clock that counts suspension with one that does not.

    Parameters
    ----------
    clock : callable
        Goes on while the VM is suspended, in seconds.
    monotonic : callable
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
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._monotonic = monotonic
        self._offset_s = clock() - monotonic()
        self.total_s = 0.0

    def poll(self) -> float:
        """Return the time of a suspension since the last look, in seconds, or 0."""
        offset_s = self._clock() - self._monotonic()
        suspended_s = offset_s - self._offset_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        self.total_s += suspended_s
        return suspended_s
