"""Whether a new version is bad, by what was seen of it and of the others.

Wald's sequential probability ratio test: it may be asked after each answer, and its
errors keep to the stated rate all the same.

Load pattern: bursts, outages and lossy links make answers of all versions fail or come
late; some targets of any version are slow, grey or crash.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import log, sqrt

from berylwalk.rollout._evidence import CrashCounts, NewVersionKey, OldVersionKey, Tally

ERROR_RATE = 0.005
"""Rate at which a good version is taken for a bad one at most."""
LEAST_BAD_SHARE = 0.02
"""Share of bad answers that any version may have."""
PRIOR_ANSWERS = 40
"""Answers of the old version that this share counts as, before any are seen."""
EPOCH_PRIOR_ANSWERS = 15
"""Answers that the share of all epochs counts as in each of them."""
DEVIATIONS = 1.0
"""Standard deviations by which the old version's share is taken higher than seen."""
WORSE_FACTOR = 4.0
"""How many times as many bad answers a bad version has, at least."""
WORSE_SHARE = 0.15
"""Share of bad answers of a bad version, at least."""
LARGEST_SHARE = 0.9
LEFT_OUT = 4
"""Which part of the new targets, the worst ones, is left out, as its divisor: a target
may be bad where the version is not. One of several is in any case."""
LEAST_TARGETS = 2
"""Targets from whose answers a version may be taken for bad: one may be bad itself."""
LATER_EPOCHS = 8
"""Later epochs from which answers are counted anew: a version may turn bad."""
ENDS_OF_BAD = 3
"""Targets of the new version that end under requests from which it may be bad."""
ENDS_FACTOR = 3
"""How many times as many of them end as of the others, if it is."""
NO_CRASHES = CrashCounts()
CONVINCING = -1.0
"""Logarithm of how much better a bad version explains the answers, on each usual route,
up to which a version may be in service alone: some seven good answers in a row."""
OFTEN_SHARE = 0.15
"""Part of the answers from which a route is usual."""
ENOUGH_ANSWERS = 12
"""Answers of the new version from which it may be taken for good."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What is to be thought of a version.

    Parameters
    ----------
    is_bad : bool
        Whether it is worse than the others.
    answers, bad : int
        Its answers, and the bad ones among them: those of the test that decided, or
        all of them.
    expected_share : float
        Share of bad answers that the others have.
    route : str
        The only route on which it is bad; empty if all were taken together.
    log_ratio : float
        Logarithm of how much better a bad version explains all answers, or those of
        the worst usual route.
    """

    is_bad: bool
    answers: int
    bad: int
    expected_share: float
    route: str = ""
    log_ratio: float = 0.0

    @property
    def has_enough_answers(self) -> bool:
        """Whether it was seen often enough to be taken for good."""
        return not self.is_bad and self.answers >= ENOUGH_ANSWERS

    @property
    def is_clearly_good(self) -> bool:
        """Whether what was seen speaks for a good version."""
        return self.has_enough_answers and self.log_ratio <= CONVINCING

    def __str__(self) -> str:
        place = f" on {self.route}" if self.route else ""
        share = f"{self.expected_share:.3f}"
        return f"{self.bad} of {self.answers} answers bad{place}, {share} expected"


def judge(
    new: Mapping[NewVersionKey, Tally],
    old: Mapping[OldVersionKey, Tally],
    crash_counts: CrashCounts = NO_CRASHES,
) -> Verdict:
    """Judge a version.

    Parameters
    ----------
    new : mapping of Row to Tally
        Answers of the new version.
    old : mapping of OldRow to Tally
        Answers of the others.
    ends : Ends
        Targets of both that ended under requests.
    """
    kept = without_worst_targets(new)
    if len({row.target for row in new}) < LEAST_TARGETS:
        kept = {}
    routes = sorted({row.route for row in kept})
    starts = sorted({row.epoch for row in kept})[-LATER_EPOCHS:]
    tests = max(1, (len(routes) + 1) * len(starts))
    threshold = log(tests / ERROR_RATE)
    usual = {"", *_usual_routes(old)}
    worst = float("-inf")
    for route in ("", *routes):
        for start in starts:
            rows = {
                row: tally
                for row, tally in kept.items()
                if row.epoch >= start and route in ("", row.route)
            }
            seen = _sum(rows.values())
            expected = expected_bad_share(old, _answers_by_epoch(rows), route)
            log_ratio = _log_ratio(seen, expected)
            if start == starts[0] and route in usual:
                worst = max(worst, log_ratio)
            if log_ratio >= threshold:
                return Verdict(
                    is_bad=True,
                    answers=seen.answers,
                    bad=seen.bad,
                    expected_share=expected,
                    route=route,
                    log_ratio=log_ratio,
                )
    seen = _sum(new.values())
    are_ending = (
        crash_counts.new >= ENDS_OF_BAD
        and crash_counts.new > ENDS_FACTOR * crash_counts.old
    )
    return Verdict(
        is_bad=are_ending,
        answers=seen.answers,
        bad=seen.bad,
        expected_share=expected_bad_share(old, _answers_by_epoch(new), ""),
        log_ratio=worst,
    )


def _usual_routes(old: Mapping[OldVersionKey, Tally]) -> set[str]:
    """Return the routes that the others serve often; rare ones bring few answers."""
    answers_by_route: dict[str, int] = {}
    for row, tally in old.items():
        answers = answers_by_route.get(row.route, 0) + tally.answers
        answers_by_route[row.route] = answers
    least = OFTEN_SHARE * sum(answers_by_route.values())
    return {route for route, answers in answers_by_route.items() if answers >= least}


def without_worst_targets(
    new: Mapping[NewVersionKey, Tally],
) -> dict[NewVersionKey, Tally]:
    """Return the answers without those of the worst targets."""
    bad_by_target: dict[str, Tally] = {}
    for row, tally in new.items():
        bad_by_target[row.target] = bad_by_target.get(row.target, Tally()).plus(tally)
    worst = sorted(bad_by_target, key=lambda each: (-bad_by_target[each].bad, each))
    number = max(1, len(worst) // LEFT_OUT) if len(worst) > 1 else 0
    left_out = set(worst[:number])
    return {row: tally for row, tally in new.items() if row.target not in left_out}


def expected_bad_share(
    old: Mapping[OldVersionKey, Tally], answers_by_epoch: Mapping[int, int], route: str
) -> float:
    """Return the share of bad answers that a good version has at most.

    Epochs count as they do for the new version: a burst hits both while it lasts.

    Parameters
    ----------
    old : mapping of OldRow to Tally
        Answers of the other versions.
    answers_by_epoch : mapping of int to int
        Answers of the new version.
    route : str
        The route; empty for all.
    """
    own = {row: tally for row, tally in old.items() if route in ("", row.route)}
    overall = _sum(own.values())
    usual = (overall.bad + LEAST_BAD_SHARE * PRIOR_ANSWERS) / (
        overall.answers + PRIOR_ANSWERS
    )
    recent_by_epoch = _recent_shares(old, answers_by_epoch)
    weighted = seen_answers = 0.0
    total = max(1, sum(answers_by_epoch.values()))
    for epoch, answers in answers_by_epoch.items():
        seen = _sum(tally for row, tally in own.items() if row.epoch == epoch)
        prior = max(usual, recent_by_epoch[epoch])
        bad = seen.bad + prior * EPOCH_PRIOR_ANSWERS
        weighted += answers / total * bad / (seen.answers + EPOCH_PRIOR_ANSWERS)
        seen_answers += seen.answers
    share = weighted if answers_by_epoch else usual
    deviation = sqrt(share * (1 - share) / (seen_answers + EPOCH_PRIOR_ANSWERS))
    return max(LEAST_BAD_SHARE, share + DEVIATIONS * deviation)


def _recent_shares(
    old: Mapping[OldVersionKey, Tally], epochs: Iterable[int]
) -> dict[int, float]:
    """Return the share of bad answers in and shortly before each epoch, on all routes.

    What hits one route mostly hits all, and in an epoch that has just begun few of the
    old version's answers are known.
    """
    seen_by_epoch: dict[int, Tally] = dict.fromkeys(epochs, Tally())
    for row, tally in old.items():
        seen_by_epoch[row.epoch] = seen_by_epoch.get(row.epoch, Tally()).plus(tally)
    share = LEAST_BAD_SHARE
    shares = {}
    for epoch in sorted(seen_by_epoch):
        seen = seen_by_epoch[epoch]
        bad = seen.bad + share * EPOCH_PRIOR_ANSWERS
        share = shares[epoch] = bad / (seen.answers + EPOCH_PRIOR_ANSWERS)
    return shares


def _log_ratio(seen: Tally, expected: float) -> float:
    """Return how much better the answers fit a bad version, as a logarithm."""
    worse = min(LARGEST_SHARE, max(WORSE_SHARE, WORSE_FACTOR * expected))
    if worse <= expected:
        return 0.0
    good = seen.answers - seen.bad
    return seen.bad * log(worse / expected) + good * log((1 - worse) / (1 - expected))


def _answers_by_epoch(rows: Mapping[NewVersionKey, Tally]) -> dict[int, int]:
    answers: dict[int, int] = {}
    for row, tally in rows.items():
        answers[row.epoch] = answers.get(row.epoch, 0) + tally.answers
    return answers


def _sum(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total = total.plus(tally)
    return total
