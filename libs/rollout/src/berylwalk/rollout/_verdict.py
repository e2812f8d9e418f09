"""Statistical test of whether a new version is worse than the others.

Wald's sequential probability ratio test: it may be repeated after each answer and still
keeps to the stated error rate.

Load pattern: bursts, outages and lossy links make answers of all versions fail or be
late; some targets of any version are slow, fail partly or crash.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from math import log, sqrt
from typing import TypeVar

from berylwalk.rollout._evidence import CrashCounts, NewVersionKey, OldVersionKey, Tally

ERROR_RATE = 0.005
"""Upper bound of the rate at which good versions are rejected."""
MIN_BASELINE_SHARE = 0.02
"""Share of bad answers that any version may have."""
PRIOR_ANSWERS = 40
"""Weight of this share as a prior of the old version, in answers."""
EPOCH_PRIOR_ANSWERS = 15
"""Weight of the share of all epochs as a prior of each epoch, in answers."""
DEVIATIONS = 1.0
"""Standard deviations that are added to the old version's share."""
WORSE_FACTOR = 4.0
"""Minimum ratio of the share of bad answers of a bad version to the expected share."""
WORSE_SHARE = 0.15
"""Minimum share of bad answers of a bad version."""
MAX_BAD_SHARE = 0.9
"""Upper bound of the share of bad answers that is assumed of a bad version."""
EXCLUDED_TARGETS_DIVISOR = 4
"""One of as many targets of the new version, the worst ones, is excluded: a target may
be bad where the version is not. Of two or more targets at least one is."""
MAX_TARGETS_EXCLUDED_FROM_ACCEPTANCE = 1
"""Targets that are excluded at most where a version is to take all requests."""
MIN_TARGETS = 2
"""Targets that a version must have answers from before these can reject it."""
TESTED_EPOCHS = 8
"""Latest epochs at which a test starts: a version may turn bad later."""
MIN_CRASHES = 3
"""Crashed targets of the new version from which it may be bad."""
CRASH_FACTOR = 3
"""Ratio to the crashed targets of other versions above which it is bad."""
NO_CRASHES = CrashCounts()

Key = TypeVar("Key", NewVersionKey, OldVersionKey)


class BadKind(StrEnum):
    """Bad answers that a test counts."""

    ANY = "any"
    FAILED = "failed"
    """Late answers count as good: while bursts make many of all versions late, they
    would hide failures."""


KINDS_TESTED = (BadKind.ANY, BadKind.FAILED)
CLEARLY_GOOD_LOG_RATIO = -1.0
"""Log-likelihood ratio of a bad to a good version, on each common route, up to which a
version may take all requests: about seven good answers in a row."""
COMMON_ROUTE_SHARE = 0.15
"""Share of all answers from which a route is common."""
MIN_ANSWERS = 12
"""Answers of the new version from which it may be accepted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Result of the test.

    Parameters
    ----------
    is_bad : bool
        Whether the version is worse than the others.
    answers, bad : int
        Its answers, and the bad ones among them: those of the test that decided, or
        all of them.
    expected_share : float
        Share of bad answers expected of a good version.
    route : str
        The only route on which it is bad; empty if all were taken together.
    log_ratio : float
        Log-likelihood ratio of a bad to a good version, over all answers or on the
        worst common route.
    """

    is_bad: bool
    answers: int
    bad: int
    expected_share: float
    route: str = ""
    log_ratio: float = 0.0

    @property
    def has_enough_answers(self) -> bool:
        """Whether the version is not bad and has enough answers to be accepted."""
        return not self.is_bad and self.answers >= MIN_ANSWERS

    @property
    def is_clearly_good(self) -> bool:
        """Whether the answers support a good version."""
        return self.has_enough_answers and self.log_ratio <= CLEARLY_GOOD_LOG_RATIO

    def __str__(self) -> str:
        place = f" on {self.route}" if self.route else ""
        share = f"{self.expected_share:.3f}"
        return f"{self.bad} of {self.answers} answers bad{place}, {share} expected"


def judge(
    new: Mapping[NewVersionKey, Tally],
    old: Mapping[OldVersionKey, Tally],
    crash_counts: CrashCounts = NO_CRASHES,
) -> Verdict:
    """Test whether a version is bad.

    Parameters
    ----------
    new : mapping of NewVersionKey to Tally
        Answers of the new version.
    old : mapping of OldVersionKey to Tally
        Answers of all other versions.
    crash_counts : CrashCounts
        Targets of both that crashed under requests.
    """
    considered = exclude_worst_targets(new)
    if len({key.target for key in new}) < MIN_TARGETS:
        considered = {}
    rejection = _rejection(considered, old)
    if rejection is not None:
        return rejection
    seen = _sum(new.values())
    crashes_too_often = (
        crash_counts.new >= MIN_CRASHES
        and crash_counts.new > CRASH_FACTOR * crash_counts.old
    )
    return Verdict(
        is_bad=crashes_too_often,
        answers=seen.answers,
        bad=seen.bad,
        expected_share=expected_bad_share(old, _answers_by_epoch(new), ""),
        log_ratio=_acceptance_log_ratio(new, old),
    )


def _rejection(
    considered: Mapping[NewVersionKey, Tally], old: Mapping[OldVersionKey, Tally]
) -> Verdict | None:
    """Return the result of the first test that rejects the version; None if none."""
    routes = sorted({key.route for key in considered})
    starts = sorted({key.epoch for key in considered})[-TESTED_EPOCHS:]
    tests = max(1, len(KINDS_TESTED) * (len(routes) + 1) * len(starts))
    threshold = log(tests / ERROR_RATE)
    for kind in KINDS_TESTED:
        new_of_kind, old_of_kind = _of_kind(considered, kind), _of_kind(old, kind)
        for route in ("", *routes):
            for start in starts:
                tested = {
                    key: tally
                    for key, tally in new_of_kind.items()
                    if key.epoch >= start and route in ("", key.route)
                }
                verdict = _compare(tested, old_of_kind, route)
                if verdict.log_ratio >= threshold:
                    return replace(verdict, is_bad=True)
    return None


def _acceptance_log_ratio(
    new: Mapping[NewVersionKey, Tally], old: Mapping[OldVersionKey, Tally]
) -> float:
    """Return the largest log-likelihood ratio of all and of each common route.

    One target at most is excluded. Among many targets with few answers each, the worst
    quarter has most of the bad answers of a bad version.
    """
    accepted = exclude_worst_targets(new, most=MAX_TARGETS_EXCLUDED_FROM_ACCEPTANCE)
    return max(
        _compare(
            {
                key: tally
                for key, tally in _of_kind(accepted, kind).items()
                if route in ("", key.route)
            },
            _of_kind(old, kind),
            route,
        ).log_ratio
        for kind in KINDS_TESTED
        for route in ("", *sorted(_common_routes(old)))
    )


def _compare(
    tested: Mapping[NewVersionKey, Tally],
    old: Mapping[OldVersionKey, Tally],
    route: str,
) -> Verdict:
    """Compare answers of a version on a route, or on all, with those of the others."""
    seen = _sum(tested.values())
    expected = expected_bad_share(old, _answers_by_epoch(tested), route)
    return Verdict(
        is_bad=False,
        answers=seen.answers,
        bad=seen.bad,
        expected_share=expected,
        route=route,
        log_ratio=_log_ratio(seen, expected),
    )


def _of_kind(tallies: Mapping[Key, Tally], kind: BadKind) -> dict[Key, Tally]:
    """Return the tallies with the bad answers of one kind only."""
    if kind is BadKind.ANY:
        return dict(tallies)
    return {
        key: Tally(tally.answers, tally.failed, 0) for key, tally in tallies.items()
    }


def _common_routes(old: Mapping[OldVersionKey, Tally]) -> set[str]:
    """Return the routes with a large share of the old version's answers."""
    answers_by_route: dict[str, int] = {}
    for key, tally in old.items():
        answers = answers_by_route.get(key.route, 0) + tally.answers
        answers_by_route[key.route] = answers
    least = COMMON_ROUTE_SHARE * sum(answers_by_route.values())
    return {route for route, answers in answers_by_route.items() if answers >= least}


def exclude_worst_targets(
    new: Mapping[NewVersionKey, Tally], *, most: int | None = None
) -> dict[NewVersionKey, Tally]:
    """Return the tallies without those of the worst targets.

    Parameters
    ----------
    new : mapping of NewVersionKey to Tally
        Answers of the new version.
    most : int or None
        Maximum number of targets that are excluded; None for no maximum.
    """
    tallies_by_target: dict[str, Tally] = {}
    for key, tally in new.items():
        tallies_by_target[key.target] = tallies_by_target.get(key.target, Tally()).plus(
            tally
        )

    def rank(target: str) -> tuple[int, int, str]:
        # Of as many bad answers, fewer in all are a larger share.
        tally = tallies_by_target[target]
        return -tally.bad, tally.answers, target

    worst = sorted(tallies_by_target, key=rank)
    number = max(1, len(worst) // EXCLUDED_TARGETS_DIVISOR) if len(worst) > 1 else 0
    excluded = set(worst[: number if most is None else min(number, most)])
    return {key: tally for key, tally in new.items() if key.target not in excluded}


def expected_bad_share(
    old: Mapping[OldVersionKey, Tally], answers_by_epoch: Mapping[int, int], route: str
) -> float:
    """Return the upper bound of the share of bad answers of a good version.

    Epochs are weighted by the new version's answers, since a burst affects both
    versions while it lasts.

    Parameters
    ----------
    old : mapping of OldVersionKey to Tally
        Answers of the other versions.
    answers_by_epoch : mapping of int to int
        Numbers of answers of the new version.
    route : str
        The route; empty for all routes.
    """
    own = {key: tally for key, tally in old.items() if route in ("", key.route)}
    overall = _sum(own.values())
    overall_share = (overall.bad + MIN_BASELINE_SHARE * PRIOR_ANSWERS) / (
        overall.answers + PRIOR_ANSWERS
    )
    recent_by_epoch = _recent_shares(old, answers_by_epoch)
    weighted = seen_answers = 0.0
    total = max(1, sum(answers_by_epoch.values()))
    for epoch, answers in answers_by_epoch.items():
        seen = _sum(tally for key, tally in own.items() if key.epoch == epoch)
        prior = max(overall_share, recent_by_epoch[epoch])
        bad = seen.bad + prior * EPOCH_PRIOR_ANSWERS
        weighted += answers / total * bad / (seen.answers + EPOCH_PRIOR_ANSWERS)
        seen_answers += seen.answers
    share = weighted if answers_by_epoch else overall_share
    deviation = sqrt(share * (1 - share) / (seen_answers + EPOCH_PRIOR_ANSWERS))
    return max(MIN_BASELINE_SHARE, share + DEVIATIONS * deviation)


def _recent_shares(
    old: Mapping[OldVersionKey, Tally], epochs: Iterable[int]
) -> dict[int, float]:
    """Return the share of bad answers in and shortly before each epoch, on all routes.

    Most disturbances affect all routes, and of an epoch that has just begun few
    answers of the old version are known.
    """
    seen_by_epoch: dict[int, Tally] = dict.fromkeys(epochs, Tally())
    for key, tally in old.items():
        seen_by_epoch[key.epoch] = seen_by_epoch.get(key.epoch, Tally()).plus(tally)
    share = MIN_BASELINE_SHARE
    shares = {}
    for epoch in sorted(seen_by_epoch):
        seen = seen_by_epoch[epoch]
        bad = seen.bad + share * EPOCH_PRIOR_ANSWERS
        share = shares[epoch] = bad / (seen.answers + EPOCH_PRIOR_ANSWERS)
    return shares


def _log_ratio(seen: Tally, expected: float) -> float:
    """Return the log-likelihood ratio of a bad to a good version."""
    worse = min(MAX_BAD_SHARE, max(WORSE_SHARE, WORSE_FACTOR * expected))
    if worse <= expected:
        return 0.0
    good = seen.answers - seen.bad
    return seen.bad * log(worse / expected) + good * log((1 - worse) / (1 - expected))


def _answers_by_epoch(tallies: Mapping[NewVersionKey, Tally]) -> dict[int, int]:
    answers: dict[int, int] = {}
    for key, tally in tallies.items():
        answers[key.epoch] = answers.get(key.epoch, 0) + tally.answers
    return answers


def _sum(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total = total.plus(tally)
    return total
