"""Forecast of the use of a VM from the requests that are open.

Load that it answers: connections that come several times as fast as usual. What their
requests use of the VM is measured over the next second; until then the forecast counts
each of them like the mean of those that were open lately.
"""

from collections.abc import Mapping
from math import exp

MEAN_OVER_S = 2.0
"""Time constant of the means, in seconds: longer than the window of the measurements,
short enough to follow requests of other sizes."""
MAX_STEP_S = 1.0
"""Longest time between two records that counts."""
FEWEST_OPEN = 1.0
"""Mean number of open requests below which one of them is not taken to use all."""


class VmForecast:
    """Means of the used shares of limits, and of the number of open requests."""

    def __init__(self) -> None:
        self._recorded_at: float | None = None
        self._mean_open = 0.0
        self._mean_shares: dict[str, float] = {}

    def record(
        self, shares: Mapping[str, float], open_requests: int, now: float
    ) -> None:
        """Record a measurement.

        Parameters
        ----------
        shares : mapping
            Used shares of limits, by resource.
        open_requests : int
            Requests that are being answered.
        now : float
            Current time in seconds.
        """
        before, self._recorded_at = self._recorded_at, now
        step_s = 0.0 if before is None else min(now - before, MAX_STEP_S)
        weight = 1.0 - exp(-step_s / MEAN_OVER_S)
        self._mean_open += weight * (open_requests - self._mean_open)
        for resource, share in shares.items():
            mean = self._mean_shares.get(resource, 0.0)
            self._mean_shares[resource] = mean + weight * (share - mean)

    def share(self, resource: str, open_requests: float) -> float:
        """Return the share of a limit that some open requests are expected to use.

        It is 0 for a resource that was never measured.
        """
        mean_open = max(self._mean_open, FEWEST_OPEN)
        return self._mean_shares.get(resource, 0.0) * open_requests / mean_open
