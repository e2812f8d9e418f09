"""Rates at which requests arrive, by which routers share what targets offer."""

from dataclasses import dataclass
from math import exp

AVERAGING_S = 1.0
"""Time constant of the average: short against the time in which callers must be served
as before when most of them come to another router, long against a single request."""
TOLD_INTERVAL_S = 0.25
"""Interval after which the rates that are told to other routers are renewed."""
SIGNIFICANT_DIGITS = 2
MIN_CHANGE = 0.2
"""Change from which a new rate is told, relative to the one before: parts of limits are
worked out anew after each."""
MIN_TOLD_PER_S = 0.01
"""Lower rates are told as none."""

RatesByService = dict[str, float]
"""Requests per second by service."""


@dataclass(slots=True)
class _Average:
    """Exponentially weighted average rate, in requests per second."""

    per_s: float
    updated_at: float

    def decay(self, now: float) -> None:
        self.per_s *= exp(-max(0.0, now - self.updated_at) / AVERAGING_S)
        self.updated_at = now


class RequestRates:
    """Average rates of this router's requests, whether they were served or not."""

    def __init__(self) -> None:
        self._averages_by_service: dict[str, _Average] = {}
        self._told: RatesByService = {}
        self._told_at = float("-inf")

    def record_request(self, service: str, now: float) -> None:
        """Count a request that arrived."""
        average = self._averages_by_service.setdefault(service, _Average(0.0, now))
        average.decay(now)
        average.per_s += 1.0 / AVERAGING_S

    def told(self, now: float) -> RatesByService:
        """Return rounded rates, the same ones for `TOLD_INTERVAL_S`."""
        if now - self._told_at >= TOLD_INTERVAL_S:
            self._told_at = now
            told = {}
            for service, average in self._averages_by_service.items():
                average.decay(now)
                rate = _told_rate(average.per_s, self._told.get(service, 0.0))
                if rate >= MIN_TOLD_PER_S:
                    told[service] = rate
            if told != self._told:
                self._told = told
        return self._told


def _told_rate(per_s: float, previous: float) -> float:
    """Return a rate to tell, which is the previous one unless it changed much."""
    if abs(per_s - previous) <= MIN_CHANGE * previous:
        return previous
    return float(f"{per_s:.{SIGNIFICANT_DIGITS}g}")
