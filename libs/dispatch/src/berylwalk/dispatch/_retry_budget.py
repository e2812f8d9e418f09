"""The budget of repeated sends, in a sliding window."""

from collections import deque

SAFETY = 0.8
"""Part of the bound that is used; the rest covers counts that cross a window."""
STEP_S = 0.5
"""Resolution of the window, in seconds."""


class WindowCount:
    """Counts events of the last seconds.

    Parameters
    ----------
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._steps: deque[list[float]] = deque()
        self._total = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        if not self._steps or now - self._steps[-1][0] >= STEP_S:
            self._steps.append([now, 0.0])
        self._steps[-1][1] += 1
        self._total += 1

    def total(self, now: float, *, margin_s: float = 0.0) -> float:
        """Return the number of events within the window."""
        while self._steps and now - self._steps[0][0] > self._window_s + margin_s:
            self._total -= self._steps.popleft()[1]
        return self._total


class WindowedRetryBudget:
    """Bounds repeated sends to a service by a share of its requests.

    Each router keeps within its part of the fixed allowance, so that no
    message between routers is needed for the sum to hold.

    Parameters
    ----------
    ratio : float
        Repeated sends allowed per request.
    slack : float
        Repeated sends allowed in a window besides, over all routers.
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio * SAFETY
        self._slack = slack * SAFETY
        self._window_s = window_s
        self._routers = 1
        self._requests_by_service: dict[str, WindowCount] = {}
        self._repeats_by_service: dict[str, WindowCount] = {}

    def set_routers(self, routers: int) -> None:
        """Tell how many routers share the fixed allowance."""
        self._routers = max(1, routers)

    def record_request(self, service: str, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._count(self._requests_by_service, service).add(now)

    def left(self, service: str, now: float) -> float:
        """Return the repeated sends that are allowed now."""
        requests = self._count(self._requests_by_service, service).total(now)
        repeats = self._count(self._repeats_by_service, service)
        allowed = self._ratio * requests + self._slack / self._routers
        return allowed - repeats.total(now, margin_s=STEP_S)

    def take(self, service: str, now: float) -> bool:
        """Take one repeated send; False if none is left."""
        if self.left(service, now) < 1:
            return False
        self._count(self._repeats_by_service, service).add(now)
        return True

    def _count(self, counts: dict[str, WindowCount], service: str) -> WindowCount:
        count = counts.get(service)
        if count is None:
            count = WindowCount(self._window_s)
            counts[service] = count
        return count
