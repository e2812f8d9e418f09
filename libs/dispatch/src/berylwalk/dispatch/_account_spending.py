"""What one client account has spent of its quota within the window."""

from collections import deque
from dataclasses import dataclass, field

from berylwalk.dispatch._account_demand import DemandHistory

STEP_S = 0.1
"""Resolution of the sliding window, in seconds."""


@dataclass(frozen=True, slots=True)
class EffectiveLimit:
    """A limit, and the time since when it applies."""

    since: float
    units: float


@dataclass(slots=True)
class AccountSpending:
    """Spending of one account within the window.

    ``prior`` is the spending known from before the start, ``snapshot_units`` its sum
    when it was restored, ``limits`` the limits that applied within the window, oldest
    first. ``refused`` and ``refused_by_peer`` are the units refused since the start.
    """

    demand: DemandHistory
    steps: deque[list[float]] = field(default_factory=deque)
    total: float = 0.0
    spent: float = 0.0
    spent_by_peer: dict[str, float] = field(default_factory=dict)
    prior: list[tuple[float, float]] = field(default_factory=list)
    snapshot_units: float = 0.0
    limits: deque[EffectiveLimit] = field(default_factory=deque)
    refused: float = 0.0
    refused_by_peer: dict[str, float] = field(default_factory=dict)

    def add(self, units: float, now: float) -> None:
        """Count units that are spent now."""
        if not self.steps or now - self.steps[-1][0] >= STEP_S:
            self.begin_step(now)
        self.steps[-1][1] += units
        self.total += units

    def refund(self, units: float, charged_at: float) -> None:
        """Take back units that were spent at a time, if the window still has it."""
        for step in reversed(self.steps):
            if step[0] <= charged_at:
                step[1] -= units
                self.total -= units
                return

    def refund_oldest(self, units: float) -> None:
        """Take back units that were spent at an unknown time within the window.

        The oldest ones are taken, which leave the window first, so that the refund is
        not counted longer than the charge.
        """
        for step in self.steps:
            taken = min(units, max(0.0, step[1]))
            step[1] -= taken
            self.total -= taken
            units -= taken

    def begin_step(self, now: float) -> None:
        """Begin a step, so that the units before and after now can be told apart."""
        self.steps.append([now, 0.0])

    def since(self, time: float) -> float:
        """Return the units spent in steps that began at or after a time."""
        units = 0.0
        for started_at, spent in reversed(self.steps):
            if started_at < time:
                break
            units += spent
        return units

    def drop_before(self, time: float) -> None:
        """Drop the steps that began before a time, in seconds."""
        while self.steps and self.steps[0][0] < time:
            self.total -= self.steps.popleft()[1]
