"""Streams keep their version over routers that are killed, cut off and restarted."""

import pytest
from anyio import sleep

from berylwalk.dispatch import Dispatcher, StreamVersions
from virtual_streams import StreamSimulation

FAULTS = ("kill_one", "kill_some", "restart_in_turn", "lose", "cut_one")


async def calm(simulation):
    """Change nothing."""
    await sleep(0.0)


async def kill_all_in_series(simulation):
    """Kill all routers again and again."""
    for _ in range(3):
        await sleep(4.0)
        simulation.kill_all()


def simulate(seed, *, routers=6, script=calm, faults=(), **options):
    """Run a simulation and return it."""
    simulation = StreamSimulation(
        seed,
        routers=routers,
        targets=8,
        script=script,
        duration_s=16.0,
        requests_per_s=40.0,
        slots=30,
        faults=faults,
        **options,
    )
    simulation.simulate()
    return simulation


class TestStreamsOfTwoVersions:
    """Targets of two versions serve for the whole time."""

    @pytest.mark.parametrize("routers", [2, 6, 13, 31])
    def test_no_stream_joins_versions_under_random_faults(self, routers):
        """Not within one response, and not over the tries of a caller."""
        simulation = simulate(1, routers=routers, faults=FAULTS)
        assert simulation.joined() == 0

    def test_streams_go_on_at_other_routers(self):
        """Half of those that are taken up go on at least."""
        simulation = simulate(2)
        assert simulation.joined() == 0
        assert simulation.taken_up > 12
        assert simulation.gone_on >= 0.5 * simulation.taken_up

    def test_kills_of_all_routers_join_nothing(self):
        """What no router knows any more is not guessed."""
        assert simulate(3, script=kill_all_in_series).joined() == 0


class TestInjectedDefects:
    """Injected defects that the checks must detect."""

    def test_without_record(self, monkeypatch):
        """Nothing is known of a stream, and any version continues it."""
        monkeypatch.setattr(
            "berylwalk.direct._admission.Admitted.takes_up_stream", False
        )
        assert simulate(2).joined() > 2

    def test_records_not_told(self, monkeypatch):
        """Only the router that saw a stream begin knows its version."""
        monkeypatch.setattr(StreamVersions, "take_updates", lambda *_, **__: [])
        simulation = simulate(2)
        assert simulation.gone_on < 0.5 * simulation.taken_up

    def test_version_ignored_in_placement(self, monkeypatch):
        """The version is known, but the choice of a target ignores it."""

        def all_targets(dispatcher, pending, now):
            return dispatcher._targets.of_service(pending.service)

        monkeypatch.setattr(Dispatcher, "_candidates", all_targets)
        assert simulate(2).joined() > 2
