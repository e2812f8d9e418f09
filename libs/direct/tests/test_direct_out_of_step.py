"""Streams keep their version at routers that are out of step while a version joins."""

import pytest

from berylwalk.direct._agreed_versions import (
    ANSWER_TIMEOUT_S,
    AgreedVersions,
    round_interval_s,
)
from virtual_out_of_step import OutOfStep, share_gone_on

SHARE = 0.9
"""Least share of the streams that go on while every router can tell their version."""


def one_cut_from_store(simulation):
    """One router reaches the others only."""
    simulation.cut_from_store(simulation.names[:1])


def one_cut_from_others(simulation):
    """One router reaches the store only."""
    simulation.cut_from_others(simulation.names[:1])


def one_cut_from_both(simulation):
    """One router reaches callers and targets only."""
    one_cut_from_store(simulation)
    one_cut_from_others(simulation)


def one_hears_nothing(simulation):
    """One router is cut off from the store, and its messages arrive."""
    one_cut_from_store(simulation)
    simulation.deaf.add(simulation.names[0])


def one_is_not_heard(simulation):
    """One router is cut off from the store, and gets messages."""
    one_cut_from_store(simulation)
    simulation.mute.add(simulation.names[0])


def two_cut_from_both(simulation):
    """Two routers hear each other only."""
    simulation.cut_from_store(simulation.names[:2])
    simulation.cut_from_others(simulation.names[:2])


def all_cut_from_store(simulation):
    """The store is away from all routers, which hear each other."""
    simulation.cut_from_store(simulation.names)


def simulate(seed=1, **options):
    """Run a simulation and return it."""
    simulation = OutOfStep(seed, **options)
    simulation.simulate()
    return simulation


class TestVersionThatJoins:
    """A version joins while some routers are cut off."""

    @pytest.mark.parametrize(
        "cut",
        [
            one_cut_from_store,
            one_cut_from_others,
            one_cut_from_both,
            one_hears_nothing,
            one_is_not_heard,
            two_cut_from_both,
        ],
    )
    def test_router_out_of_step_joins_no_versions(self, cut):
        """Its callers are refused, and served again once it is back in step."""
        simulation = simulate(cut=cut)
        assert simulation.joined() == 0
        assert simulation.out_of_step[True] > 20
        assert share_gone_on(simulation.in_step_again) >= SHARE

    @pytest.mark.parametrize("routers", [2, 4])
    def test_router_that_knows_no_other_joins_no_versions(self, routers):
        """The others start while it is cut off."""
        simulation = simulate(
            cut=one_cut_from_both, routers=routers, joining=routers - 1
        )
        assert simulation.joined() == 0
        assert share_gone_on(simulation.in_step_again) >= SHARE


class TestStoreAwayFromAll:
    """The store answers no router."""

    def test_streams_of_one_version_go_on(self):
        """All routers know no other, and tell each other so."""
        simulation = simulate(cut=all_cut_from_store, joins=False)
        assert share_gone_on(simulation.out_of_step) >= SHARE
        assert share_gone_on(simulation.in_step_again) >= SHARE

    def test_questions_are_rarer_in_large_fleets(self):
        """But each caller has its round in time."""
        intervals = [round_interval_s(peers) for peers in (1, 5, 100, 319)]
        assert intervals == sorted(intervals)
        assert intervals[0] < intervals[2]
        assert intervals[-1] < ANSWER_TIMEOUT_S


class TestInjectedDefects:
    """Injected defects that the checks must detect."""

    def test_silence_of_others_taken_for_agreement(self, monkeypatch):
        """Only the routers that are heard are asked."""

        def heard(agreed):
            peers, now = agreed._context.peers, agreed._context.clock()
            return [
                each for each in peers.by_name.values() if peers.is_alive(each, now)
            ]

        monkeypatch.setattr(AgreedVersions, "_peers_to_ask", heard)
        assert simulate(cut=two_cut_from_both).joined() > 0

    def test_version_guessed_without_another_router(self, monkeypatch):
        """No router disagrees."""

        async def guess(agreed, service):
            return agreed._context.targets.versions.only_version(service)

        monkeypatch.setattr(AgreedVersions, "_ask", guess)
        simulation = simulate(cut=one_cut_from_both, routers=2, joining=1)
        assert simulation.joined() > 0

    def test_nobody_answers(self, monkeypatch):
        """Streams don't go on while the store is away."""
        monkeypatch.setattr(AgreedVersions, "handle_query", lambda *_: None)
        simulation = simulate(cut=all_cut_from_store, joins=False)
        assert share_gone_on(simulation.out_of_step) < SHARE
