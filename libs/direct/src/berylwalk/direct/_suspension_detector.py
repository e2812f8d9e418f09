"""Detects suspensions of the VM."""

import time
from collections.abc import Callable

MIN_SUSPENSION_S = 0.05
"""Shorter differences come from reading the two clocks one after the other."""


class SuspensionDetector:
    """Compares a clock that includes suspensions with one that does not.

    Parameters
    ----------
    clock : callable
        Time including suspensions, in seconds.
    monotonic : callable
        Time excluding suspensions, in seconds.

    Attributes
    ----------
    total_s : float
        Total duration of the detected suspensions, in seconds.
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
        """Return the duration of a suspension since the last call, in seconds, or 0."""
        offset_s = self._clock() - self._monotonic()
        suspended_s = offset_s - self._offset_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        self.total_s += suspended_s
        return suspended_s
