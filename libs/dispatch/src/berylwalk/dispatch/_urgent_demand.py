"""What an account's most urgent requests will still need of its allowance.

Load pattern: one account sends several times its usual for many seconds. Its allowance
is spent within some of them by whatever comes first, and then nothing of it is served,
urgent or not, until the window has moved on. What the most urgent rank asks a second
shows what it will need within a window; so much is left to it.
"""

from collections import deque
from dataclasses import dataclass, field

STEP_S = 0.1
"""Resolution, in seconds."""
SPAN_S = 2.0
"""Time over which the demand a second is taken, in seconds: shorter than the time in
which an account at several times its usual spends its allowance, and long enough for
some requests of a large account."""


@dataclass(slots=True)
class _Asked:
    """What was asked of one account by its most urgent rank."""

    rank: int
    total: float = 0.0
    steps: deque[list[float]] = field(default_factory=deque)
    totals_by_life: dict[str, float] = field(default_factory=dict)

    def add(self, units: float, now: float) -> None:
        if not self.steps or now - self.steps[-1][0] >= STEP_S:
            self.steps.append([now, 0.0])
        self.steps[-1][1] += units

    def since(self, time: float) -> float:
        return sum(units for started_at, units in self.steps if started_at >= time)


class UrgentDemand:
    """Demand of the most urgent rank of each account, over all routers.

    Parameters
    ----------
    window_s : float
        Length of the window that allowances are judged by, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._asked_by_account: dict[str, _Asked] = {}

    def ask(self, account: str, rank: int, units: float, now: float) -> None:
        """Note what a request asks, whether it is taken or not.

        The most urgent rank seen of an account is the one that counts.
        """
        asked = self._asked_by_account.get(account)
        if asked is None or rank < asked.rank:
            asked = self._asked_by_account[account] = _Asked(rank)
        if rank == asked.rank:
            asked.add(units, now)
            asked.total += units

    def needed(self, account: str, rank: int, now: float) -> float:
        """Return the units that a less urgent request leaves to the most urgent.

        What they ask in a window at their present pace, less what they asked in it
        already.
        """
        asked = self._asked_by_account.get(account)
        if asked is None or rank <= asked.rank:
            return 0.0
        while asked.steps and asked.steps[0][0] < now - self._window_s:
            asked.steps.popleft()
        per_s = asked.since(now - SPAN_S) / SPAN_S
        return max(0.0, per_s * self._window_s - asked.since(now - self._window_s))

    def totals(self) -> dict[str, tuple[int, float]]:
        """Return rank and units asked since the start, by account, for peers."""
        return {
            name: (asked.rank, asked.total)
            for name, asked in self._asked_by_account.items()
            if asked.total
        }

    def hear(self, life: str, totals: dict[str, tuple[int, float]], now: float) -> None:
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

    def forget(self, life: str) -> None:
        """Forget the totals of a peer's life that has ended."""
        for asked in self._asked_by_account.values():
            asked.totals_by_life.pop(life, None)
