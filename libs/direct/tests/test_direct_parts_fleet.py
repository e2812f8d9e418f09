"""Parts of prompts that crash targets, over many routers and all their lives.

However the requests with such a part are spread, the number that reach targets after
the fifth crash is bounded, and harmless requests that share their caller or their other
parts are served.
"""

import pytest
from anyio import sleep

from berylwalk.direct import _admission
from berylwalk.direct._quarantine_store import QuarantineStore
from berylwalk.quarantine import Quarantine
from virtual_parts import GUILTY, PartDefect, PartSimulation

MAX_LATE_SENDS = 3
"""Requests with a part that reach targets later than 3 s after its fifth crash."""
MIN_SERVED_RATIO = 0.5
"""How often harmless requests are served beside the guilty ones, relative to before."""
MAX_CRASHES = 5
"""Crashes by one part that has time to be found between two requests."""
MAX_UNSERVED_SHARE = 0.05
"""Share of harmless requests that may fail at first while whole domains crash."""
FAULTS = (
    "end_one",
    "end_domain",
    "reset",
    "kill_one",
    "kill_some",
    "kill_all",
    "restart_in_turn",
    "lose",
    "cut_some",
    "store_away",
)


def simulate(seed, *, routers=6, targets=9, **options):
    """Run a simulation and return it."""
    simulation = PartSimulation(seed, routers=routers, targets=targets, **options)
    simulation.simulate()
    return simulation


def is_within_bounds(simulation):
    """Return whether guilty requests were held back and harmless ones served."""
    ratios = (
        simulation.served_ratio(simulation.shares_first_part),
        simulation.served_ratio(simulation.shares_account),
    )
    is_bounded = simulation.late_sends() <= MAX_LATE_SENDS
    return is_bounded and min(ratios) >= MIN_SERVED_RATIO


async def kill_all_between_crashes(simulation):
    """Kill all routers three times while crashes are few."""
    for crashes in (1, 2, 3):
        while simulation.crashes() < crashes:
            await sleep(0.1)
        # The store has the record of the crash by then.
        await sleep(1.2)
        simulation.kill_all()


async def kill_all_in_series(simulation):
    """Kill all routers again and again."""
    for _ in range(4):
        await sleep(7.0)
        simulation.kill_all()


async def crash_domains(simulation):
    """Crash all targets of a domain again and again."""
    for _ in range(8):
        await sleep(4.0)
        await simulation._end_domain()


async def keep_from_store(simulation):
    """Let no call of any router reach the store."""
    names = simulation.domains_by_name
    simulation.store.unreachable_from |= set(map(simulation.store_host, names))


class TestCalmFleet:
    """Only the guilty requests disturb the fleet."""

    @pytest.mark.parametrize("guilty_per_s", [0.3, 3.0, 30.0])
    def test_rates_of_guilty_requests(self, guilty_per_s):
        """A rare part must be found too, and a frequent one in time."""
        simulation = simulate(1, guilty_per_s=guilty_per_s)
        assert is_within_bounds(simulation)
        assert simulation.crashes() >= 3

    def test_part_is_found_within_five_crashes(self):
        """If the requests leave time for an exchange between routers."""
        assert simulate(2, guilty_per_s=1.0).crashes() <= MAX_CRASHES

    def test_first_part(self):
        """The guilty part may be the first one."""
        assert is_within_bounds(simulate(3, is_outer=True))

    @pytest.mark.parametrize("are_together", [False, True])
    def test_two_parts(self, are_together):
        """Both must be found, in requests of their own and in the same ones."""
        parts = (GUILTY, "bad2")
        simulation = simulate(4, guilty_parts=parts, are_together=are_together)
        assert is_within_bounds(simulation)

    def test_retries_of_routers(self):
        """One request may be sent to several targets."""
        simulation = simulate(5, max_attempts=4, resumable=True)
        assert is_within_bounds(simulation)


class TestCrashesOfDomains:
    """Whole domains crash, which implicates harmless parts."""

    @pytest.mark.parametrize("guilty_per_s", [0.0, 3.0])
    def test_harmless_requests_are_served(self, guilty_per_s):
        """Parts that are blamed by chance must return at once."""
        simulation = simulate(
            6, targets=18, guilty_per_s=guilty_per_s, script=crash_domains
        )
        assert is_within_bounds(simulation)
        assert simulation.unserved_share(8.0, 36.0) <= MAX_UNSERVED_SHARE


class TestFaults:
    """Routers, the network and the store fail at random."""

    @pytest.mark.parametrize(("seed", "routers"), [(1, 2), (2, 6), (3, 13), (4, 31)])
    def test_bounds_hold(self, seed, routers):
        """The part stays held back over all routers and all their lives."""
        assert is_within_bounds(simulate(seed, routers=routers, faults=FAULTS))

    @pytest.mark.parametrize("script", [kill_all_between_crashes, kill_all_in_series])
    def test_kills_of_all_routers(self, script):
        """What is known of a part must outlive all routers."""
        simulation = simulate(7, guilty_per_s=1.0, script=script)
        assert is_within_bounds(simulation)
        assert simulation.crashes() <= MAX_CRASHES + MAX_LATE_SENDS


class TestInjectedDefects:
    """Injected defects that the bounds must detect."""

    def test_parts_are_not_shared(self, monkeypatch):
        """Each request has parts of its own, like its last one."""
        numbers = iter(range(1 << 30))
        monkeypatch.setattr(
            _admission,
            "part_identity",
            lambda service, part: b"part" + next(numbers).to_bytes(12),
        )
        simulation = simulate(1, duration_s=20.0)
        assert simulation.late_sends() > MAX_LATE_SENDS

    def test_response_clears_nothing(self, monkeypatch):
        """A part that all requests share stays blamed."""
        monkeypatch.setattr(Quarantine, "record_begun", lambda *_: [])
        simulation = simulate(1)
        ratio = simulation.served_ratio(simulation.shares_first_part)
        assert ratio < MIN_SERVED_RATIO

    def test_evidence_is_lost_at_a_start(self, monkeypatch):
        """Routers start without the records."""

        async def read_nothing(store, purpose):
            return True

        monkeypatch.setattr(QuarantineStore, "_read_all", read_nothing)
        simulation = simulate(7, guilty_per_s=1.0, script=kill_all_in_series)
        assert simulation.crashes() > MAX_CRASHES + MAX_LATE_SENDS

    def test_each_router_grants_its_own_trials(self, monkeypatch):
        """Permits are not shared through the store."""

        async def grant(store, identities):
            quarantine, now = store._context.quarantine, store._context.clock()
            for identity in identities:
                blame = quarantine.blames[identity]
                record = store._record_of(identity)
                record.trials = blame.trials + 1
                record.crashes_at_trial = len(record.ended)
                quarantine.record_trial(identity, record, now)
            return True

        monkeypatch.setattr(QuarantineStore, "acquire_trial_permits", grant)
        simulation = simulate(8, routers=31, guilty_per_s=1.0)
        assert simulation.late_sends() > MAX_LATE_SENDS

    def test_routers_share_nothing(self):
        """Each router finds the part for itself.

        Without messages alone they still share the records in the store.
        """
        simulation = simulate(
            9,
            routers=13,
            guilty_per_s=3.0,
            script=keep_from_store,
            defect=PartDefect(no_sharing=True),
        )
        assert simulation.late_sends() > MAX_LATE_SENDS
