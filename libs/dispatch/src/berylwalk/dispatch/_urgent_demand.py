"""What an account's most urgent requests will still need of its allowance.

Load pattern: one account sends several times its usual for many seconds. Its allowance
is spent within some of them by whatever comes first, and then nothing of it is served,
urgent or not, until the window has moved on. What the most urgent rank asks a second
shows what it will need until enough of the window has moved on; so much is left to it.
"""

from collections import deque
from dataclasses import dataclass, field, replace
from math import sqrt
from typing import Self

STEP_S = 0.1
"""Resolution, in seconds."""
SPAN_S = 2.0
"""Time over which the demand a second is taken, in seconds: shorter than the time in
which an account at several times its usual spends its allowance, and long enough for
some requests of a large account."""
COST_WEIGHT = 0.1
"""Weight of one request in the moving mean of what they cost: some ten count."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What requests of one rank ask.

    Parameters
    ----------
    per_s : float
        Units a second, of all routers.
    typical_units : float
        Units of one request, as this router saw them.
    """

    per_s: float
    typical_units: float

    def at_most(self, per_s: float) -> Self:
        """Return the same demand with a bound of its units a second."""
        return replace(self, per_s=min(self.per_s, per_s))

    def most_within(self, seconds: float) -> float:
        """Return the units that may be asked within some seconds.

        The mean and one standard deviation of a Poisson process of requests that cost
        the same (square-root staffing).
        """
        mean = self.per_s * seconds
        return mean + sqrt(mean * self.typical_units)


@dataclass(slots=True)
class _Asked:
    """What was asked of one account by its most urgent rank."""

    rank: int
    total: float = 0.0
    typical_units: float = 0.0
    steps: deque[list[float]] = field(default_factory=deque)
    totals_by_life: dict[str, float] = field(default_factory=dict)

    def add(self, units: float, now: float) -> None:
        self.drop_before(now - SPAN_S)
        if not self.steps or now - self.steps[-1][0] >= STEP_S:
            self.steps.append([now, 0.0])
        self.steps[-1][1] += units

    def drop_before(self, time: float) -> None:
        while self.steps and self.steps[0][0] < time:
            self.steps.popleft()


class UrgentDemand:
    """Demand of the most urgent rank of each account, over all routers."""

    def __init__(self) -> None:
        self._asked_by_account: dict[str, _Asked] = {}

    def record(self, account: str, rank: int, units: float, now: float) -> None:
        """Note what a request asks, whether it is taken or not.

        The most urgent rank seen of an account is the one that counts.
        """
        asked = self._asked_by_account.get(account)
        if asked is None or rank < asked.rank:
            asked = self._asked_by_account[account] = _Asked(rank)
        if rank == asked.rank:
            asked.add(units, now)
            asked.total += units
            asked.typical_units += COST_WEIGHT * (units - asked.typical_units)

    def demand_above(self, account: str, rank: int, now: float) -> Demand | None:
        """Return the demand of the most urgent rank, for a request of another one.

        None if nothing more urgent is asked.
        """
        asked = self._asked_by_account.get(account)
        if asked is None or rank <= asked.rank:
            return None
        asked.drop_before(now - SPAN_S)
        units = sum(units for _, units in asked.steps)
        if units <= 0:
            return None
        return Demand(per_s=units / SPAN_S, typical_units=asked.typical_units)

    def totals(self) -> dict[str, tuple[int, float]]:
        """Return rank and units asked since the start, by account, for peers."""
        return {
            name: (asked.rank, asked.total)
            for name, asked in self._asked_by_account.items()
            if asked.total
        }

    def record_peer_totals(
        self, life: str, totals: dict[str, tuple[int, float]], now: float
    ) -> None:
        """Count what a peer was asked since it was last heard."""
        for name, (rank, total) in totals.items():
            asked = self._asked_by_account.get(name)
            if asked is None or rank < asked.rank:
                asked = self._asked_by_account[name] = _Asked(rank)
            if rank > asked.rank:
                continue
            before = asked.totals_by_life.get(life)
            if before is not None:
                asked.add(total - before, now)
            asked.totals_by_life[life] = total

    def forget_peer(self, life: str) -> None:
        """Forget the totals of a peer's life that has ended."""
        for asked in self._asked_by_account.values():
            asked.totals_by_life.pop(life, None)
