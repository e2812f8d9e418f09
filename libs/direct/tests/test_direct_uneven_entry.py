"""The load balancer sends most new connections to one router of limited VMs."""

import pytest

from virtual_entry import EntrySimulation

MIN_SERVED_RATIO = 0.75
"""How often first attempts that are read are served, relative to before."""
CALLS_PER_S = 90.0
CALL_BYTES = 8_300
"""Bytes of a call on the link of its router, in each direction."""


def simulate(seed, *, routers, usual_share, **options):
    """Run a fleet whose small VMs use a share of their links in usual times."""
    link = CALLS_PER_S * CALL_BYTES / routers / usual_share
    simulation = EntrySimulation(
        seed,
        routers=routers,
        targets=12,
        requests_per_s=CALLS_PER_S,
        links=(10 * link, link, link, link, link),
        **options,
    )
    simulation.simulate()
    return simulation


class TestUnevenEntry:
    """Requests that were read are served as before."""

    @pytest.mark.parametrize(
        ("routers", "usual_share", "is_regional"),
        [(2, 0.45, True), (6, 0.3, True), (31, 0.15, True), (31, 0.15, False)],
    )
    def test_requests_fail_at_the_router_with_most_connections(
        self, routers, usual_share, is_regional
    ):
        """A small VM can't serve all, and others have room."""
        simulation = simulate(
            1, routers=routers, usual_share=usual_share, is_regional=is_regional
        )
        assert simulation.served_ratio() >= MIN_SERVED_RATIO
