"""Counts of answers and crashes by version, as seen by all routers.

Counts only grow and are kept by router incarnation, so that routers converge on the
same totals in whatever order, and however often, they receive each other's updates.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

MAX_NEW_VERSION_KEYS = 4096
"""Keys of the new version that are kept for one order, over all routers."""


class AnswerKind(StrEnum):
    """Classification of an answer."""

    GOOD = "good"
    FAILED = "failed"
    SLOW = "slow"


class Tally(NamedTuple):
    """Counts of answers.

    Parameters
    ----------
    answers : int
        All answers.
    failed, slow : int
        Answers that failed, and answers that were late.
    """

    answers: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Answers that failed or were late."""
        return self.failed + self.slow

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    def max_with(self, other: "Tally") -> "Tally":
        """Return the larger of each count: counts only grow."""
        return Tally(*map(max, self, other))

    def with_answer(self, kind: AnswerKind) -> "Tally":
        """Return the tally with one more answer."""
        return Tally(
            self.answers + 1,
            self.failed + (kind is AnswerKind.FAILED),
            self.slow + (kind is AnswerKind.SLOW),
        )


class NewVersionKey(NamedTuple):
    """Key by which answers of the new version are counted.

    Parameters
    ----------
    epoch : int
        Number of the part of the period in which the requests were sent.
    target : str
        Incarnation of the target.
    route : str
        Name of the route.
    """

    epoch: int
    target: str
    route: str


class OldVersionKey(NamedTuple):
    """Key by which answers of all other versions are counted.

    Parameters
    ----------
    epoch : int
        Number of the part of the period in which the requests were sent.
    route : str
        Name of the route.
    """

    epoch: int
    route: str


NewTallies = dict[NewVersionKey, Tally]
OldTallies = dict[OldVersionKey, Tally]


@dataclass(slots=True)
class RouterTallies:
    """Counts of one router incarnation.

    Attributes
    ----------
    new : dict
        Answers of the new version, by `NewVersionKey`.
    old : dict
        Answers of all other versions, by `OldVersionKey`.
    crashed_new, crashed_old : set of str
        Incarnations of targets that crashed under requests, of the new version and of
        all others.
    reported_crashed_old : int
        Number of the latter that the router reported.
    changed_at : dict
        When an answer was last counted here, by key, in seconds.
    """

    new: NewTallies = field(default_factory=dict)
    old: OldTallies = field(default_factory=dict)
    crashed_new: set[str] = field(default_factory=set)
    crashed_old: set[str] = field(default_factory=set)
    reported_crashed_old: int = 0
    changed_at: dict[NewVersionKey | OldVersionKey, float] = field(default_factory=dict)


class CrashCounts(NamedTuple):
    """Numbers of targets that crashed under requests.

    Parameters
    ----------
    new, old : int
        Targets of the new version, and of all other versions.
    """

    new: int = 0
    old: int = 0


class Evidence:
    """Answers and crashes by version during one order, as seen by all routers."""

    def __init__(self) -> None:
        self._tallies_by_router: dict[str, RouterTallies] = {}
        self._key_count = 0

    def record_new(
        self, router: str, key: NewVersionKey, kind: AnswerKind, now: float
    ) -> None:
        """Count an answer of the new version."""
        self._of(router).changed_at[key] = now
        tallies = self._of(router).new
        if key not in tallies:
            if self._key_count >= MAX_NEW_VERSION_KEYS:
                return
            self._key_count += 1
        tallies[key] = tallies.get(key, Tally()).with_answer(kind)

    def record_old(
        self, router: str, key: OldVersionKey, kind: AnswerKind, now: float
    ) -> None:
        """Count an answer of another version."""
        self._of(router).changed_at[key] = now
        tallies = self._of(router).old
        tallies[key] = tallies.get(key, Tally()).with_answer(kind)

    def merge(
        self,
        router: str,
        new: Mapping[NewVersionKey, Tally],
        old: Mapping[OldVersionKey, Tally],
    ) -> bool:
        """Merge a router's counts; returns whether the new version has more bad ones.

        Parameters
        ----------
        router : str
            Incarnation of the router.
        new : mapping of NewVersionKey to Tally
            Its answers of the new version.
        old : mapping of OldVersionKey to Tally
            Its answers of all other versions.
        """
        tallies = self._of(router)
        bad_before = sum(tally.bad for tally in tallies.new.values())
        for key, tally in new.items():
            if key not in tallies.new:
                if self._key_count >= MAX_NEW_VERSION_KEYS:
                    continue
                self._key_count += 1
            tallies.new[key] = tallies.new.get(key, Tally()).max_with(tally)
        for key, tally in old.items():
            tallies.old[key] = tallies.old.get(key, Tally()).max_with(tally)
        return sum(tally.bad for tally in tallies.new.values()) > bad_before

    def record_crash(self, router: str, incarnation_id: str, *, is_new: bool) -> None:
        """Record that a target crashed while it processed a request."""
        tallies = self._of(router)
        (tallies.crashed_new if is_new else tallies.crashed_old).add(incarnation_id)

    def merge_crashes(self, router: str, new: Iterable[str], old: int) -> bool:
        """Merge a router's crashes; returns whether any of the new version is new."""
        tallies = self._of(router)
        is_new = not tallies.crashed_new.issuperset(new)
        tallies.crashed_new.update(new)
        tallies.reported_crashed_old = max(tallies.reported_crashed_old, old)
        return is_new

    def crash_counts(self) -> CrashCounts:
        """Return the numbers of crashed targets.

        Other versions are reported by number only, so that the largest number of one
        router counts for them.
        """
        all_tallies = self._tallies_by_router.values()
        new = set().union(*(tallies.crashed_new for tallies in all_tallies))
        old = [
            max(len(tallies.crashed_old), tallies.reported_crashed_old)
            for tallies in all_tallies
        ]
        return CrashCounts(len(new), max(old, default=0))

    def of_router(self, router: str) -> RouterTallies:
        """Return the counts of one router incarnation."""
        return self._of(router)

    def new(self) -> NewTallies:
        """Return the answers of the new version, over all routers."""
        total: NewTallies = {}
        for tallies in self._tallies_by_router.values():
            for key, tally in tallies.new.items():
                total[key] = total.get(key, Tally()).plus(tally)
        return total

    def old(self) -> OldTallies:
        """Return the answers of all other versions, over all routers."""
        total: OldTallies = {}
        for tallies in self._tallies_by_router.values():
            for key, tally in tallies.old.items():
                total[key] = total.get(key, Tally()).plus(tally)
        return total

    def _of(self, router: str) -> RouterTallies:
        return self._tallies_by_router.setdefault(router, RouterTallies())
