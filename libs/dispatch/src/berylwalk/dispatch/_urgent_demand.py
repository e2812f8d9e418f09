"""Demand of the most urgent rank of each account.

An account that sends far above its quota would spend it on less urgent requests first.
The recent demand of the most urgent rank determines how much of the quota is reserved
for it.
"""

from collections import deque
from dataclasses import dataclass, field, replace
from math import sqrt
from typing import Self

STEP_S = 0.1
"""Resolution of the window, in seconds."""
DEMAND_WINDOW_S = 2.0
"""Window over which the demand rate is computed, in seconds: shorter than the time in
which an account at several times its usual rate spends its quota, and long enough for
some requests of a large account."""
COST_WEIGHT = 0.1
"""Weight of one request in the moving average of the cost."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of the requests of one rank.

    Parameters
    ----------
    per_s : float
        Units per second over all routers.
    typical_units : float
        Average units of one request at this router.
    """

    per_s: float
    typical_units: float

    def capped_at(self, per_s: float) -> Self:
        """Return the same demand with an upper bound of its rate."""
        return replace(self, per_s=min(self.per_s, per_s))

    def max_within(self, seconds: float) -> float:
        """Return the units that are likely to be requested within some seconds.

        This is the mean plus one standard deviation of a Poisson process of requests of
        equal cost (square-root staffing).
        """
        mean = self.per_s * seconds
        return mean + sqrt(mean * self.typical_units)


@dataclass(slots=True)
class _RankDemand:
    """Demand of the most urgent rank of one account."""

    rank: int
    total: float = 0.0
    typical_units: float = 0.0
    steps: deque[list[float]] = field(default_factory=deque)
    totals_by_incarnation: dict[str, float] = field(default_factory=dict)

    def add(self, units: float, now: float) -> None:
        self.drop_before(now - DEMAND_WINDOW_S)
        if not self.steps or now - self.steps[-1][0] >= STEP_S:
            self.steps.append([now, 0.0])
        self.steps[-1][1] += units

    def drop_before(self, time: float) -> None:
        while self.steps and self.steps[0][0] < time:
            self.steps.popleft()


class UrgentDemand:
    """Demand of the most urgent rank of each account, over all routers."""

    def __init__(self) -> None:
        self._demand_by_account: dict[str, _RankDemand] = {}

    def record(self, account: str, rank: int, units: float, now: float) -> None:
        """Record a request, whether it is admitted or not.

        Only the most urgent rank seen of an account is kept.
        """
        entry = self._demand_by_account.get(account)
        if entry is None or rank < entry.rank:
            entry = self._demand_by_account[account] = _RankDemand(rank)
        if rank == entry.rank:
            entry.add(units, now)
            entry.total += units
            entry.typical_units += COST_WEIGHT * (units - entry.typical_units)

    def demand_above(self, account: str, rank: int, now: float) -> Demand | None:
        """Return the demand of the most urgent rank, for a request of a lower one.

        None if there is no such demand.
        """
        entry = self._demand_by_account.get(account)
        if entry is None or rank <= entry.rank:
            return None
        entry.drop_before(now - DEMAND_WINDOW_S)
        units = sum(units for _, units in entry.steps)
        if units <= 0:
            return None
        return Demand(per_s=units / DEMAND_WINDOW_S, typical_units=entry.typical_units)

    def totals(self) -> dict[str, tuple[int, float]]:
        """Return the rank and the units requested since the start, by account."""
        return {
            name: (entry.rank, entry.total)
            for name, entry in self._demand_by_account.items()
            if entry.total
        }

    def record_peer_totals(
        self, incarnation: str, totals: dict[str, tuple[int, float]], now: float
    ) -> None:
        """Count the demand at a peer since its last message."""
        for name, (rank, total) in totals.items():
            entry = self._demand_by_account.get(name)
            if entry is None or rank < entry.rank:
                entry = self._demand_by_account[name] = _RankDemand(rank)
            if rank > entry.rank:
                continue
            reported = entry.totals_by_incarnation.get(incarnation)
            if reported is not None:
                entry.add(total - reported, now)
            entry.totals_by_incarnation[incarnation] = total

    def forget_peer(self, incarnation: str) -> None:
        """Drop the totals of a peer incarnation that has ended."""
        for entry in self._demand_by_account.values():
            entry.totals_by_incarnation.pop(incarnation, None)
