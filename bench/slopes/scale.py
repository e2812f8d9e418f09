"""Number and duration of measurements."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Scale:
    """Number and duration of measurements.

    Parameters
    ----------
    repeats : int
        Repeats of each measurement.
    share : float
        Fraction of the full work in each measurement.
    idle_s : float
        Observation time of idle fleets, in seconds.
    fleet_repeats : int
        Repeats of each measurement with a fleet of processes.
    """

    repeats: int
    share: float
    idle_s: float
    fleet_repeats: int

    def count(self, full: int) -> int:
        """Return a number of operations scaled by `share`, at least 1."""
        return max(1, round(full * self.share))


FULL = Scale(repeats=5, share=1.0, idle_s=35.0, fleet_repeats=3)
QUICK = Scale(repeats=1, share=0.25, idle_s=3.0, fleet_repeats=1)
