"""One router suddenly gets most of the new connections, and then another one."""

import pytest

from virtual_surges import SurgeSimulation

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
        duration_s=32.0,
        **options,
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
