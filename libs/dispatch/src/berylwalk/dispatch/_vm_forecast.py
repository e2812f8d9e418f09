"""Forecast of the use of a VM from the requests that are open.

Load that it answers: connections that come several times as fast as usual. What their
requests use of the VM is measured over the next second; until then the forecast counts
each that is more than there were in the last second, by the mean of all lately.
"""

from collections import deque
from collections.abc import Mapping
from math import exp

WINDOW_S = 1.0
"""Time over which the shares are measured, in seconds; after a gap as long, nothing is
forecast until it is full again."""
MEAN_OVER_S = 2.0
"""Time constant of the means, in seconds: longer than the window of the measurements,
short enough to follow requests of other sizes."""
FEWEST_OPEN = 5.0
"""Mean number of open requests below which it says little of what one of them uses:
short ones are not seen, and the VM has other work."""


class VmForecast:
    """Use of a VM in the last second, and by one open request."""

    def __init__(self) -> None:
        self._open: deque[tuple[float, int]] = deque()
        self._full_since = float("inf")
        self._shares: dict[str, float] = {}
        self._mean_open = 0.0
        self._mean_shares: dict[str, float] = {}

    def record(
        self, shares: Mapping[str, float], open_requests: int, now: float
    ) -> None:
        """Record a measurement.

        Parameters
        ----------
        shares : mapping
            Used shares of limits in the last second, by resource.
        open_requests : int
            Requests that are being answered.
        now : float
            Current time in seconds.
        """
        step_s = now - self._open[-1][0] if self._open else float("inf")
        if step_s > WINDOW_S:
            self._open.clear()
            self._full_since = now + WINDOW_S
            step_s = 0.0
        self._open.append((now, open_requests))
        while self._open[0][0] < now - WINDOW_S:
            self._open.popleft()
        self._shares = dict(shares)
        weight = 1.0 - exp(-step_s / MEAN_OVER_S)
        self._mean_open += weight * (open_requests - self._mean_open)
        for resource, share in shares.items():
            mean = self._mean_shares.get(resource, 0.0)
            self._mean_shares[resource] = mean + weight * (share - mean)

    def share(self, resource: str, open_requests: float) -> float:
        """Return the share of a limit that some open requests are expected to use.

        It is 0 for a resource that is not measured.
        """
        if not self._open or self._open[-1][0] < self._full_since:
            return 0.0
        recently_open = sum(count for _, count in self._open) / len(self._open)
        mean_open = max(self._mean_open, FEWEST_OPEN)
        per_request = self._mean_shares.get(resource, 0.0) / mean_open
        measured = self._shares.get(resource, 0.0)
        return max(0.0, measured + per_request * (open_requests - recently_open))
