"""The retry budget holds over all routers and all their lives."""

from anyio import sleep

from virtual_retries import RetrySimulation


def half_refused(simulation, *, share=0.5, targets=4):
    """Let the first targets refuse a share of their requests."""
    for target in simulation.targets[:targets]:
        target.refused_share = share


def refusals(*faults, from_s=2.0):
    """Return a script with refusing targets and faults at given times."""

    async def script(simulation):
        await sleep(from_s)
        half_refused(simulation)
        started_at = simulation.clock()
        for at, fault in faults:
            await sleep(max(0.0, started_at + at - simulation.clock()))
            fault(simulation)

    return script


def kill_all(simulation):
    """Kill all routers."""
    simulation.kill_all()


def kill_third(simulation):
    """Kill a third of the routers."""
    names = sorted(simulation.domains_by_name)
    simulation.kill(simulation.random.sample(names, max(1, len(names) // 3)))


def restart_in_turn(simulation):
    """Restart all routers gracefully, one after the other."""
    simulation.tasks.start_soon(simulation.restart_in_turn, 0.7)


SERIES = {
    "none": (),
    "all-once": ((4.0, kill_all),),
    "all-in-series": tuple((at, kill_all) for at in (2.0, 5.0, 8.0, 11.0)),
    "some-in-series": tuple((at, kill_third) for at in (2.0, 4.0, 6.0, 8.0)),
    "restarts-in-turn": ((2.0, restart_in_turn), (8.0, restart_in_turn)),
}


def simulate(seed, script, *, routers=6, targets=6, duration_s=20.0, **options):
    """Run a simulation and return it."""
    simulation = RetrySimulation(
        seed,
        routers=routers,
        targets=targets,
        script=script,
        duration_s=duration_s,
        **options,
    )
    simulation.simulate()
    return simulation


def excess(simulation):
    """Return by how much the worst window exceeds the bound; 0 if none does."""
    worst = simulation.worst_window()
    return max(0, round(worst.repeats - worst.allowed))


class TestRestartsRenewTheAllowance:
    """Routers that restart while targets refuse a share of their requests."""

    def test_repeats_stay_within_the_budget_over_all_lives(self):
        """Each life of a router must not spend the fixed allowance anew."""
        excesses = {
            series: excess(simulate(1, refusals(*faults)))
            for series, faults in SERIES.items()
        }
        assert excesses == dict.fromkeys(SERIES, 0)

    def test_start_without_the_store_does_not_take_the_whole_allowance(self):
        """A router that knows no other must not spend the allowance of all."""

        def store_away(simulation):
            simulation.tasks.start_soon(simulation.store.go_down, 8.0)

        script = refusals((2.0, store_away), (3.0, kill_all))
        assert excess(simulate(1, script)) == 0
