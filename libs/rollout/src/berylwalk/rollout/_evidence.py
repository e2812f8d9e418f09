"""What was seen of two versions of a service: sums that only grow.

Sums go by the life of the router that saw it, so that they come out the same in
whatever order, and however often, routers hear of them.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

MOST_ROWS = 4096
"""Bound of the rows that are remembered of one order."""


class AnswerKind(StrEnum):
    """What one answer says of a version."""

    GOOD = "good"
    FAILED = "failed"
    SLOW = "slow"


class Tally(NamedTuple):
    """Numbers of answers.

    Parameters
    ----------
    answers : int
        All of them.
    failed, slow : int
        Those that failed, and those that came too late.
    """

    answers: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Answers that failed or came too late."""
        return self.failed + self.slow

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two."""
        return Tally(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    def max_with(self, other: "Tally") -> "Tally":
        """Return the larger of each number: what only grows is never told too high."""
        return Tally(*map(max, self, other))

    def with_answer(self, kind: AnswerKind) -> "Tally":
        """Return it with one answer more."""
        return Tally(
            self.answers + 1,
            self.failed + (kind is AnswerKind.FAILED),
            self.slow + (kind is AnswerKind.SLOW),
        )


class NewVersionKey(NamedTuple):
    """What answers of the new version are told apart by.

    Parameters
    ----------
    epoch : int
        Number of the part of the period in which they were sent.
    target : str
        Life of the target.
    route : str
        Name of the route.
    """

    epoch: int
    target: str
    route: str


class OldVersionKey(NamedTuple):
    """What answers of the other versions are told apart by.

    Parameters
    ----------
    epoch : int
        Number of the part of the period in which they were sent.
    route : str
        Name of the route.
    """

    epoch: int
    route: str


NewTallies = dict[NewVersionKey, Tally]
OldTallies = dict[OldVersionKey, Tally]


@dataclass(slots=True)
class RouterTallies:
    """What one life of a router saw.

    Attributes
    ----------
    new : dict
        Answers of the new version, by `NewVersionKey`.
    old : dict
        Answers of all others, by `OldVersionKey`.
    ended_new, ended_old : set of str
        Lives of targets of the new version, and of others, that ended under requests.
    told_ended_old : int
        Number of the latter, as the router told it.
    changed_at : dict
        When an answer was last counted there, by row, in seconds.
    """

    new: NewTallies = field(default_factory=dict)
    old: OldTallies = field(default_factory=dict)
    crashed_new: set[str] = field(default_factory=set)
    crashed_old: set[str] = field(default_factory=set)
    reported_crashed_old: int = 0
    changed_at: dict[NewVersionKey | OldVersionKey, float] = field(default_factory=dict)


class CrashCounts(NamedTuple):
    """Targets that ended under requests.

    Parameters
    ----------
    new, old : int
        Those of the new version, and of all others.
    """

    new: int = 0
    old: int = 0


class Evidence:
    """What all routers saw of the versions in one order."""

    def __init__(self) -> None:
        self._sums_by_router: dict[str, RouterTallies] = {}
        self._rows = 0

    def record_new(
        self, router: str, row: NewVersionKey, kind: AnswerKind, now: float
    ) -> None:
        """Count an answer of the new version."""
        self._of(router).changed_at[row] = now
        sums = self._of(router).new
        if row not in sums:
            if self._rows >= MOST_ROWS:
                return
            self._rows += 1
        sums[row] = sums.get(row, Tally()).with_answer(kind)

    def record_old(
        self, router: str, row: OldVersionKey, kind: AnswerKind, now: float
    ) -> None:
        """Count an answer of another version."""
        self._of(router).changed_at[row] = now
        sums = self._of(router).old
        sums[row] = sums.get(row, Tally()).with_answer(kind)

    def merge(
        self,
        router: str,
        new: Mapping[NewVersionKey, Tally],
        old: Mapping[OldVersionKey, Tally],
    ) -> bool:
        """Take what a router says that it saw; returns whether that is worse."""
        sums = self._of(router)
        bad_before = sum(tally.bad for tally in sums.new.values())
        for row, tally in new.items():
            if row not in sums.new:
                if self._rows >= MOST_ROWS:
                    continue
                self._rows += 1
            sums.new[row] = sums.new.get(row, Tally()).max_with(tally)
        for row, tally in old.items():
            sums.old[row] = sums.old.get(row, Tally()).max_with(tally)
        return sum(tally.bad for tally in sums.new.values()) > bad_before

    def record_crash(self, router: str, incarnation_id: str, *, is_new: bool) -> None:
        """Count that a target ended while it ran a request."""
        sums = self._of(router)
        (sums.crashed_new if is_new else sums.crashed_old).add(incarnation_id)

    def merge_crashes(self, router: str, new: Iterable[str], old: int) -> bool:
        """Take which ends of targets a router saw; returns whether any is news."""
        sums = self._of(router)
        is_new = not sums.crashed_new.issuperset(new)
        sums.crashed_new.update(new)
        sums.reported_crashed_old = max(sums.reported_crashed_old, old)
        return is_new

    def crash_counts(self) -> CrashCounts:
        """Return how many targets ended; of the others the most that one router saw."""
        all_sums = self._sums_by_router.values()
        new = set().union(*(sums.crashed_new for sums in all_sums))
        old = [
            max(len(sums.crashed_old), sums.reported_crashed_old) for sums in all_sums
        ]
        return CrashCounts(len(new), max(old, default=0))

    def of_router(self, router: str) -> RouterTallies:
        """Return what one life of a router saw."""
        return self._of(router)

    def new(self) -> NewTallies:
        """Return the answers of the new version that any router saw."""
        total: NewTallies = {}
        for sums in self._sums_by_router.values():
            for row, tally in sums.new.items():
                total[row] = total.get(row, Tally()).plus(tally)
        return total

    def old(self) -> OldTallies:
        """Return the answers of all other versions that any router saw."""
        total: OldTallies = {}
        for sums in self._sums_by_router.values():
            for row, tally in sums.old.items():
                total[row] = total.get(row, Tally()).plus(tally)
        return total

    def _of(self, router: str) -> RouterTallies:
        return self._sums_by_router.setdefault(router, RouterTallies())
