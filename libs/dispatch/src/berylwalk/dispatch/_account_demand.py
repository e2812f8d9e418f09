"""Demand of a client account, all ranks together.

Answers an account within its quota whose demand comes in waves and in requests of very
different size: extrapolating a short rate over the window of the quota would hold back
requests for which there are units. The demand of the next seconds is expected to be
that of as many seconds before, unless the latest requests clearly show more.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, sqrt

STEP_S = 0.1
"""Resolution of the history, in seconds."""
MIN_OBSERVED_S = 2.0
"""Minimum time from which a rate is computed, in seconds."""
PROVEN_DEVIATIONS = 2.0
"""Standard deviations by which a short rate must exceed a longer one to count: about
one rate in forty exceeds its mean by as much."""
TYPICAL_UNITS_S = 60.0
"""Time constant of the mean size of requests, in seconds: long, since a few large
requests determine it."""


@dataclass(frozen=True, slots=True)
class ExpectedDemand:
    """Demand that an account is expected to have.

    Parameters
    ----------
    ages_s : sequence of float
        Ages of the steps of the history in seconds, ascending.
    units : sequence of float
        Units requested since the step of that age, including it.
    known_s : float
        Length of the history in seconds.
    proven_per_s : float
        Lower bound of the present rate, in units per second.
    """

    ages_s: Sequence[float]
    units: Sequence[float]
    known_s: float
    proven_per_s: float

    def within(self, seconds: float) -> float:
        """Return the units that are expected to be requested within some seconds."""
        observed_s = min(max(seconds, MIN_OBSERVED_S), self.known_s)
        position = bisect_right(self.ages_s, observed_s)
        units = self.units[position - 1] if position else 0.0
        return seconds * max(units / observed_s, self.proven_per_s)


@dataclass(slots=True)
class _Step:
    """Units requested in a step."""

    began_at: float
    units: float = 0.0


@dataclass(slots=True)
class _TypicalUnits:
    """Mean units of a request, weighted by its units, over about a minute."""

    units: float = 0.0
    squares: float = 0.0
    updated_at: float = 0.0

    def record(self, units: float, now: float) -> None:
        kept = exp(-max(0.0, now - self.updated_at) / TYPICAL_UNITS_S)
        self.units = kept * self.units + units
        self.squares = kept * self.squares + units * units
        self.updated_at = now

    def mean(self) -> float:
        return self.squares / self.units if self.units else 0.0


@dataclass(slots=True)
class DemandHistory:
    """Requests of an account at all routers, admitted or not.

    Parameters
    ----------
    window_s : float
        Length of the history in seconds.
    """

    window_s: float
    steps: deque[_Step] = field(default_factory=deque)
    typical_units: _TypicalUnits = field(default_factory=_TypicalUnits)

    def record(self, units: float, now: float) -> None:
        """Record a request at this router."""
        self._step(now).units += units
        self.typical_units.record(units, now)

    def record_peer(self, units: float, now: float) -> None:
        """Record the units requested at a peer since its last message."""
        if units:
            self._step(now).units += units

    def expected(self, now: float, known_s: float) -> ExpectedDemand | None:
        """Return the expected demand; None if the history is too short.

        Parameters
        ----------
        now : float
            Current time in seconds.
        known_s : float
            For how long this router has recorded, in seconds.
        """
        if known_s < MIN_OBSERVED_S:
            return None
        self._drop_before(now - self.window_s)
        ages_s: list[float] = []
        units: list[float] = []
        total = 0.0
        for step in reversed(self.steps):
            total += step.units
            ages_s.append(now - step.began_at)
            units.append(total)
        known_s = min(known_s, self.window_s)
        return ExpectedDemand(ages_s, units, known_s, self._proven_per_s(now))

    def _proven_per_s(self, now: float) -> float:
        """Return the latest rate less some standard deviations.

        The deviation is that of a compound Poisson process, in which a few large
        requests make up much of the sum.
        """
        since = now - MIN_OBSERVED_S
        units = sum(step.units for step in self.steps if step.began_at >= since)
        deviation = sqrt(max(0.0, units) * self.typical_units.mean())
        return max(0.0, units - PROVEN_DEVIATIONS * deviation) / MIN_OBSERVED_S

    def _step(self, now: float) -> _Step:
        if not self.steps or now - self.steps[-1].began_at >= STEP_S:
            self._drop_before(now - self.window_s)
            self.steps.append(_Step(now))
        return self.steps[-1]

    def _drop_before(self, time: float) -> None:
        while self.steps and self.steps[0].began_at < time:
            self.steps.popleft()
