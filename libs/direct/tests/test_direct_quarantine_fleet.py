"""The bound on guilty requests holds over many routers, and nobody else is held back.

Plays of 2 to 20 routers in virtual time: guilty requests that come again at any router,
harmless ones beside them, ends without fault (of one target, of a whole domain), resets
of connections, lost messages, routers that are killed, all together or cut off, and a
store that is away.
"""

import os
from random import Random

import pytest

from virtual_quarantine import Plants, QuarantinePlay

SENDS_ALLOWED = 3
"""Sends of a request after the third target ended under it, by all routers in touch."""
HELD_BACK_SHARE = 0.001
"""Part of the harmless requests that may be held back."""
ALL_FAULTS = (
    "end_one",
    "end_domain",
    "reset",
    "kill_one",
    "kill_all",
    "lose",
    "cut_one",
    "store_away",
)
SEEDS = [
    int(seed) for seed in os.environ.get("BERYLWALK_QUARANTINE", "1,2,3,4").split(",")
]


def drawn_play(seed, **changes):
    """Return a play with sizes and faults of a seed."""
    random = Random(f"sizes {seed}")
    values = {
        "routers": random.choice((2, 4, 6, 12, 20)),
        "engines": random.choice((4, 9, 30)),
        "guilty": random.choice((1, 1, 2, 4)),
        "faults": random.sample(ALL_FAULTS, random.randint(1, len(ALL_FAULTS))),
    }
    return QuarantinePlay(seed, **{**values, **changes})


def worst(figures):
    """Return the most sends of one request that count."""
    return max(figures.sent_late.values(), default=0)


class TestFleet:
    """Whatever happens."""

    def test_sends_are_bounded_and_innocents_served(self):
        """By all routers together, over all seeds."""
        played = [drawn_play(seed).play() for seed in SEEDS]
        assert max(map(worst, played)) <= SENDS_ALLOWED
        held_back = sum(figures.innocents_held_back for figures in played)
        assert held_back <= HELD_BACK_SHARE * sum(each.innocents for each in played)

    def test_ends_without_fault_hold_nobody_back(self):
        """Nor do resets, cuts and kills where no request is guilty."""
        played = [drawn_play(seed, guilty=0).play() for seed in SEEDS]
        held_back = sum(figures.innocents_held_back for figures in played)
        assert held_back <= HELD_BACK_SHARE * sum(each.innocents for each in played)

    def test_calm_day_causes_no_calls_of_the_store(self):
        """But for the one with which each router reads the records at its start."""
        figures = drawn_play(1, routers=6, guilty=0, faults=()).play()
        assert figures.store_calls == 6

    def test_second_trial_comes_ten_minutes_later(self):
        """Two trials in all: a request that stays guilty ends five targets or six."""
        figures = drawn_play(
            2,
            routers=4,
            engines=9,
            guilty=1,
            faults=(),
            lasts_s=800.0,
            innocents_per_s=1.0,
        ).play()
        (ended,) = figures.ended_by.values()
        assert 5 <= ended <= 6
        assert worst(figures) <= SENDS_ALLOWED


class WithAttemptId(Plants):
    """Each return is another request."""

    def known_as(self, identity):
        """Return something new each time."""
        return identity[:4] + os.urandom(12)


class OnlyTheNewest(Plants):
    """Only the request that was sent last is blamed."""

    def note_ended(self, router, identity, engine, incarnation_id):
        """Note it if it was sent last."""
        newest = engine.newest_by_life.get(incarnation_id, ())
        if any(run.identity == identity for run in newest):
            super().note_ended(router, identity, engine, incarnation_id)


class NoSharing(Plants):
    """Routers tell each other nothing."""

    no_sharing = True


class NoStore(Plants):
    """Nothing outlives the routers."""

    no_store = True


def planted_play(faults, **changes):
    """Play a fleet in which a request is sent once, and comes again after seconds."""
    play = drawn_play(
        1,
        routers=6,
        engines=9,
        guilty=1,
        faults=faults,
        guilty_run_s=0.5,
        returns_after_s=(2.0, 5.0),
        fault_after_s=(10.0, 14.0),
        attempts=1,
        lasts_s=60.0,
        **changes,
    )
    return play.play()


class TestPlantedFaults:
    """The plays show what is wrong: each of these breaks the bound."""

    @pytest.mark.parametrize(
        ("plants", "faults"),
        [
            (WithAttemptId, ()),
            (OnlyTheNewest, ()),
            (NoSharing, ()),
            (NoStore, ("kill_all",)),
        ],
    )
    def test_fault_is_shown(self, plants, faults):
        """More is sent than is allowed."""
        figures = planted_play(faults, plants=plants())
        assert worst(figures) > SENDS_ALLOWED

    def test_same_play_without_a_fault_is_fine(self):
        """So that it is the fault that is shown."""
        for faults in ((), ("kill_all",)):
            assert worst(planted_play(faults)) <= SENDS_ALLOWED
