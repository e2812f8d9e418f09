"""Roll-outs over many routers: a bad version gets little, a good one is completed.

Plays of 2 to 31 routers in virtual time: versions that are good, fail or come late,
at once or later, under load or on one route, with routers killed, cut off or restarted,
the store away or losing answers, lost messages, bursts, a grey target and crashes.
"""

import os
from random import Random

import pytest

from berylwalk.rollout import ExposureRules, Phase, Rollouts
from virtual_rollout import Badness, Plants, RolloutPlay

ALL_FAULTS = (
    "burst",
    "crash_one",
    "cut_one",
    "grey",
    "kill_all",
    "kill_leader",
    "kill_one",
    "lose",
    "store_away",
    "store_loses",
)
CALM_FAULTS = ("burst", "grey", "lose")
"""Faults that neither routers nor the store suffer from."""
SEEDS = [
    int(seed) for seed in os.environ.get("BERYLWALK_ROLLOUT", "1,2,3,4,5,6").split(",")
]
DECIDED_CALM = 0.95
DECIDED_TROUBLED = 0.9
REVERTED_FALSELY = 0.01


def drawn_badness(random):
    """Return what may be wrong with a version; it shows before the shift begins."""
    when = random.choice(
        ({}, {"from_s": random.uniform(0.5, 4.0)}, {"from_load": 2}, {"route": "r2"})
    )
    return Badness(
        share=random.choice((0.3, 0.5, 0.8, 1.0)),
        is_slow=random.random() < 0.5,
        **when,
    )


def drawn_play(seed, *, is_bad, faults, **changes):
    """Return a play with sizes and faults of a seed."""
    random = Random(f"sizes {seed} {is_bad}")
    values = {
        "routers": random.choice((2, 4, 6, 12, 31)),
        "engines": random.choice((3, 9, 29)),
        "badness": drawn_badness(random) if is_bad else Badness(),
        "faults": random.sample(faults, random.randint(0, min(4, len(faults)))),
        "period_s": random.choice((12.0, 20.0)),
        "requests_per_s": random.choice((60.0, 120.0, 300.0)),
    }
    return RolloutPlay(seed, **{**values, **changes})


def broken_rules(figures, *, is_bad):
    """Return which rules a play broke."""
    broken = []
    if is_bad and figures.exposed > figures.allowed:
        broken.append(f"exposed {figures.exposed} of {figures.allowed:.0f}")
    if figures.sent_late:
        broken.append(f"{figures.sent_late} sent after the revert was due")
    if figures.unordered:
        broken.append(f"{figures.unordered} without an order")
    if figures.cut_at_completion:
        broken.append(f"{figures.cut_at_completion} cut at the completion")
    return broken


def completed_in_time(play):
    """Return whether the operator was told so within the period."""
    return any(
        state == "completed" and at <= play.period_s
        for at, state in play.figures.statuses
    )


class TestRules:
    """Whatever happens."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_bad_version_keeps_to_its_share(self, seed):
        """Over all routers that are in touch, and it gets nothing after the revert."""
        figures = drawn_play(seed, is_bad=True, faults=ALL_FAULTS).play()
        assert broken_rules(figures, is_bad=True) == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_good_version_is_completed_without_a_loss(self, seed):
        """The old targets run nothing of routers in touch when they stop."""
        figures = drawn_play(seed, is_bad=False, faults=ALL_FAULTS).play()
        assert broken_rules(figures, is_bad=False) == []

    def test_decisions_without_outages(self):
        """Bad versions are reverted, good ones are completed in time."""
        bad = [drawn_play(seed, is_bad=True, faults=CALM_FAULTS) for seed in SEEDS]
        good = [drawn_play(seed, is_bad=False, faults=CALM_FAULTS) for seed in SEEDS]
        reverted = [play.play().state == "reverted" for play in bad]
        for play in good:
            play.play()
        completed = [completed_in_time(play) for play in good]
        assert sum(reverted) >= DECIDED_CALM * len(bad)
        assert sum(completed) >= DECIDED_CALM * len(good)


class TestFindings:
    """Plays that broke a rule, as they were found."""

    def test_version_that_fails_on_one_route_among_bursts(self):
        """What bursts make late must not hide what fails on one route only."""
        figures = drawn_play(505, is_bad=True, faults=CALM_FAULTS).play()
        assert broken_rules(figures, is_bad=True) == []


class WholeBudgetEach(Plants):
    """Each router may spend what all of them may."""

    def make_rollouts(self, life):
        """Return a state that knows of no other router."""
        rollouts = Rollouts(ExposureRules(share=0.3, slack=200), router=life)
        rollouts.router_count = lambda: 1
        return rollouts


class SeesOneRoute(Rollouts):
    """Notes the answers of one route only."""

    def record_answer(self, service, row, kind, now):
        """Count an answer, if it is of that route."""
        if row.route == "r1":
            super().record_answer(service, row, kind, now)


class EvidenceOfOneRoute(Plants):
    """What is bad on another route is not seen."""

    def make_rollouts(self, life):
        """Return the state of a router."""
        return SeesOneRoute(ExposureRules(), router=life)


class LeavesTooSoon(Rollouts):
    """Says that it has left the old version as soon as the shift begins."""

    def has_drained(self, progress, now):
        """Return what is not known."""
        return progress.phase is Phase.SHIFTING


class NoAcknowledgement(Plants):
    """It is completed without waiting for what runs at the old version."""

    def make_rollouts(self, life):
        """Return the state of a router."""
        return LeavesTooSoon(ExposureRules(), router=life)


def planted_play(badness, plants):
    """Play six routers without other faults; return which rules were broken."""
    play = RolloutPlay(1, routers=6, engines=9, badness=badness, plants=plants)
    return broken_rules(play.play(), is_bad=badness.share > 0)


class TestPlantedFaults:
    """The plays show what is wrong: each of these breaks a rule."""

    @pytest.mark.parametrize(
        ("plants", "badness"),
        [
            (WholeBudgetEach, Badness(share=0.5, from_s=4.0)),
            (EvidenceOfOneRoute, Badness(share=0.8, route="r2")),
            (NoAcknowledgement, Badness()),
        ],
    )
    def test_fault_is_shown(self, plants, badness):
        """A rule is broken."""
        assert planted_play(badness, plants()) != []

    @pytest.mark.parametrize(
        "badness",
        [
            Badness(share=0.5, from_s=4.0),
            Badness(share=0.8, route="r2"),
            Badness(),
        ],
    )
    def test_same_play_without_a_fault_is_fine(self, badness):
        """So that it is the fault that is shown."""
        assert planted_play(badness, Plants()) == []
