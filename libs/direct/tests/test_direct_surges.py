"""One router suddenly gets most of the new connections, and then another one."""

import pytest
from anyio import create_task_group, sleep

from berylwalk.dispatch import TargetState
from virtual_surges import PAUSE_S, SurgeSimulation

MIN_SERVED_RATIO = 0.75
"""How often requests are served in a surge, relative to before."""
LIMITS_TO_CALLS = 1.5
"""Sum of the targets' limits relative to the usual rate of calls."""
CALLS_PER_S = 90.0


def simulate(seed, *, routers, targets=9, **options):
    """Run a simulation and return it."""
    simulation = SurgeSimulation(
        seed,
        routers=routers,
        targets=targets,
        requests_per_s=CALLS_PER_S,
        **{"duration_s": 32.0, **options},
    )
    simulation.simulate()
    return simulation


class TestSurges:
    """Callers are served as before."""

    @pytest.mark.parametrize(("routers", "share"), [(2, 0.95), (6, 0.9), (31, 0.6)])
    def test_without_limits(self, routers, share):
        """The places at targets must follow the callers."""
        simulation = simulate(1, routers=routers, share=share)
        assert min(simulation.served_ratios()) >= MIN_SERVED_RATIO

    @pytest.mark.parametrize(
        ("routers", "share"), [(2, 0.95), (6, 0.9), (31, 0.6), (31, 0.95)]
    )
    def test_with_limits(self, routers, share):
        """So must the parts of the limits that targets advertise."""
        simulation = simulate(
            2,
            routers=routers,
            share=share,
            limits_per_s=LIMITS_TO_CALLS * CALLS_PER_S,
        )
        assert min(simulation.served_ratios()) >= MIN_SERVED_RATIO
        assert simulation.excess_over_limits() <= 0


async def surge_beside(simulation, fault):
    """Send most calls to one router; the fault comes in the midst of that."""
    simulation.advertise_limits()
    name = list(simulation.domains_by_name)[1]
    await sleep(PAUSE_S)
    async with create_task_group() as tasks:
        tasks.start_soon(simulation.surge_at, name)
        await sleep(simulation.surge_s / 2)
        fault(simulation, name)


async def restart_another_in_surge(simulation):
    """Kill a router that gets little; it starts again."""

    def kill(simulation, name):
        others = [each for each in simulation.domains_by_name if each != name]
        simulation.kill(others[:1])

    await surge_beside(simulation, kill)


async def drain_in_surge(simulation):
    """Let a third of the targets leave."""

    def drain(simulation, name):
        leaving = simulation.targets[::3]
        entries = [
            each.entry(TargetState.DRAINING if each in leaving else TargetState.READY)
            for each in simulation.targets
        ]
        for router in simulation.routers_by_name.values():
            router.context.targets.replace(entries, simulation.clock())

    await surge_beside(simulation, drain)


class TestSurgesBesideOtherEvents:
    """Callers are served as in a surge alone."""

    def simulate(self, script, **options):
        """Run a fleet with one surge."""
        return simulate(3, routers=6, duration_s=18.0, script=script, **options)

    def test_limits_are_not_kept_when_another_router_restarts(self):
        """It does not know the rates at which routers share the limits."""
        simulation = self.simulate(
            restart_another_in_surge, limits_per_s=LIMITS_TO_CALLS * CALLS_PER_S
        )
        assert min(simulation.served_ratios()) >= MIN_SERVED_RATIO
        assert simulation.excess_over_limits() <= 0

    def test_callers_are_refused_when_a_third_of_the_targets_drains(self):
        simulation = self.simulate(drain_in_surge)
        assert min(simulation.served_ratios()) >= MIN_SERVED_RATIO
