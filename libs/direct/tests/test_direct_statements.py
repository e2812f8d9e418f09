"""Routers respect the limits, backoffs and leaving signals of targets."""

import pytest
from anyio import sleep

import statement_rules as rules
from berylwalk.dispatch import AdvertisedRateLimit, PeerTable
from virtual_statements import SignalsSimulation


def limits(*rates, after_s=3.0):
    """Return a script by which the first targets advertise limits."""

    async def script(simulation):
        await sleep(after_s)
        for target, rate in zip(simulation.targets, rates, strict=False):
            target.advertise_limit(rate)

    return script


def changing_limits(simulation):
    """Return a script by which targets change and withdraw limits at random."""

    async def change(target):
        while True:
            await sleep(simulation.random.uniform(2.0, 8.0))
            low = simulation.random.random() < 0.6
            rate = (
                simulation.random.uniform(0.2, 5.0)
                if low
                else simulation.random.uniform(5, 50)
            )
            target.advertise_limit(rate if simulation.random.random() < 0.8 else None)

    async def script(simulation):
        for target in simulation.targets:
            simulation.tasks.start_soon(change, target)

    return script


def max_excess_over_limit(simulation):
    """Return the largest excess over any target's limit."""
    return max(
        rules.max_excess_over_limit(target, simulation.fault_log)
        for target in simulation.targets
    )


class TestLimit:
    """Targets that advertise a rate limit over all routers."""

    def test_all_routers_together_stay_within_the_limit(self):
        """The sum of requests from all routers that know the limit stays within it."""
        script = limits(1.3, 5.0, after_s=4.0)
        simulation = SignalsSimulation(1, routers=6, targets=6, script=script)
        simulation.simulate()
        assert [
            rules.max_excess_over_limit(each, simulation.fault_log) <= 0
            for each in simulation.targets[:2]
        ] == [
            True,
            True,
        ]

    @pytest.mark.parametrize("routers", [2, 6, 13])
    def test_ninety_percent_of_the_limits_is_used(self, routers):
        """With uneven load of three times the limits."""
        rates = (0.5, 1.3, 2.0, 4.6, 8.0, 12.0)
        simulation = SignalsSimulation(
            routers,
            routers=routers,
            targets=len(rates),
            script=limits(*rates),
            duration_s=30.0,
            requests_per_s=3 * sum(rates),
        )
        simulation.simulate()
        used = sum(target.arrived(11.0, 31.0) for target in simulation.targets)
        assert used >= 0.9 * 20.0 * sum(rates)
        assert max_excess_over_limit(simulation) <= 0

    @pytest.mark.parametrize("seed", range(4))
    def test_changing_limits_with_faults(self, seed):
        """With killed routers, network partitions and lost messages."""
        simulation = SignalsSimulation(
            seed,
            routers=(2, 6, 13, 31)[seed],
            targets=4,
            script=None,
            duration_s=30.0,
            faults=("kill_one", "cut_one", "lose"),
        )
        simulation.script = changing_limits(simulation)
        simulation.simulate()
        assert max_excess_over_limit(simulation) <= 0

    def test_changing_limits_of_four_targets_and_31_routers(self):
        """Without any fault, many routers learn of each change at the same time."""
        simulation = SignalsSimulation(
            616, routers=31, targets=4, script=None, duration_s=30.0
        )
        simulation.script = changing_limits(simulation)
        simulation.simulate()
        assert max_excess_over_limit(simulation) <= 0

    def test_withdrawn_limit_no_longer_applies(self):
        """Routers that send nothing to the target learn of the withdrawal as well."""

        async def script(simulation):
            await sleep(3.0)
            simulation.targets[0].advertise_limit(0.5)
            await sleep(8.0)
            simulation.targets[0].advertise_limit(None)

        simulation = SignalsSimulation(
            3, routers=6, targets=2, script=script, requests_per_s=150.0
        )
        simulation.simulate()
        # The target gets about half of the load.
        assert simulation.targets[0].arrived(18.0, 21.0) > 0.25 * 3.0 * 150.0

    def test_requests_without_capacity_are_rejected_immediately(self):
        """Requests are not queued if no capacity can become free in time."""
        simulation = SignalsSimulation(
            2, routers=6, targets=2, script=limits(0.5, 0.5), requests_per_s=40.0
        )
        results = simulation.simulate()
        kept_s = sorted(results.refused_after_s)
        assert results.statuses[503] > 300
        assert kept_s[len(kept_s) // 2] <= 0.001


class TestInjectedDefects:
    """Injected defects that the checks must detect."""

    def passes(self):
        """Return whether the requests stay within the limits."""
        script = limits(1.3, 5.0, after_s=4.0)
        simulation = SignalsSimulation(
            1, routers=6, targets=3, script=script, requests_per_s=150.0
        )
        simulation.simulate()
        return max_excess_over_limit(simulation) <= 0

    def test_without_defect(self):
        """Without a defect, the same simulation passes."""
        assert self.passes()

    def test_full_limit_per_router(self, monkeypatch):
        """Each router uses the whole limit."""
        monkeypatch.setattr(PeerTable, "rate_share", lambda *_: 1.0)
        assert not self.passes()

    def test_uncounted_sends(self, monkeypatch):
        """Sends do not count against the limit."""
        monkeypatch.setattr(AdvertisedRateLimit, "note_sent", lambda *_: None)
        assert not self.passes()

    def test_outdated_response_withdraws_limit(self, monkeypatch):
        """An outdated response withdraws a limit that is then advertised again."""

        def forget(limit, per_s, *, sent_at, now):
            limit._set_limit(None, now)
            return False

        monkeypatch.setattr(AdvertisedRateLimit, "note_answer", forget)
        assert not self.passes()


class TestBackoff:
    """Targets that refuse requests and request a backoff."""

    def simulate_backoffs(
        self, seed, *, routers=6, targets=9, refusing=3, until_s=12.0, **options
    ):
        """Simulate targets that request backoffs for some seconds."""

        async def script(simulation):
            await sleep(3.0)
            for target in simulation.targets[:refusing]:
                target.backoff_s = 3.0
            await sleep(until_s - 4.0)
            for target in simulation.targets[:refusing]:
                target.backoff_s = None

        simulation = SignalsSimulation(
            seed, routers=routers, targets=targets, script=script, **options
        )
        simulation.simulate()
        return simulation

    def test_no_request_during_backoff(self):
        """A router does not probe the target during the backoff."""

        async def script(simulation):
            await sleep(3.0)
            for target in simulation.targets[:3]:
                target.backoff_s = 3.0

        simulation = SignalsSimulation(1, routers=6, targets=9, script=script)
        simulation.simulate()
        assert (
            max(
                rules.max_sent_in_backoff(each, simulation.fault_log)
                for each in simulation.targets
            )
            <= 2
        )

    @pytest.mark.parametrize("seed", range(3))
    def test_other_targets_serve_the_requests(self, seed):
        """With enough capacity elsewhere, no request is refused."""
        simulation = self.simulate_backoffs(seed)
        assert simulation.results.statuses == {200: simulation.requests}

    def test_queued_requests_do_not_arrive_all_at_once(self):
        """Each router starts with one request and sends more as they succeed."""
        simulation = self.simulate_backoffs(
            1, targets=2, refusing=2, requests_per_s=120.0
        )
        ends = sorted(
            signalled_at + backoff_s
            for signalled_at, _, backoff_s in simulation.targets[0].backoffs
        )
        last = ends[-1]
        assert simulation.targets[0].arrived(last, last + 0.05) <= 2 * 6

    def test_targets_are_used_again_after_backoff(self):
        """All targets are used again within two seconds."""
        simulation = self.simulate_backoffs(
            1, targets=2, refusing=2, requests_per_s=60.0
        )
        last = max(
            signalled_at + backoff_s
            for signalled_at, _, backoff_s in simulation.targets[0].backoffs
        )
        both = sum(each.arrived(last + 2, last + 5) for each in simulation.targets)
        assert both > 0.8 * 3 * 60.0

    def test_running_streams_do_not_extend_the_backoff(self):
        """Streams that started before the backoff do not extend it."""

        async def script(simulation):
            await sleep(4.0)
            simulation.targets[0].backoff_s = 1.0
            await sleep(0.3)
            while not simulation.targets[0].backoffs:
                await sleep(0.1)
            simulation.targets[0].backoff_s = None

        simulation = SignalsSimulation(
            5,
            routers=2,
            targets=2,
            script=script,
            requests_per_s=30.0,
            run_s=4.0,
            slots=60,
        )
        simulation.simulate()
        refusing = simulation.targets[0]
        ends_at = max(
            signalled_at + backoff_s for signalled_at, _, backoff_s in refusing.backoffs
        )
        assert refusing.arrived(ends_at, ends_at + 2.0) >= 15

    def test_request_refused_by_all_targets_is_rejected_immediately(self):
        """No target is left for which the request could wait."""
        simulation = self.simulate_backoffs(
            1, targets=2, refusing=2, requests_per_s=60.0
        )
        assert len(simulation.refusals) > 100
        assert max(each.kept_s for each in simulation.refusals) < 0.2

    def test_retry_after_values_are_spread_out(self):
        """Retry times are immediate and spread out."""
        simulation = self.simulate_backoffs(
            1, targets=2, refusing=2, requests_per_s=60.0
        )
        retry_times_s = [
            each.retry_after_s for each in simulation.refusals if each.kept_s < 0.01
        ]
        assert max(retry_times_s) > 2.0
        assert len({round(each, 2) for each in retry_times_s}) > 50


class TestLeaving:
    """Targets that signal leaving in responses but not in their entries."""

    @staticmethod
    async def script(simulation):
        """Make one target signal that it is leaving."""
        await sleep(3.0)
        simulation.targets[0].is_leaving = True

    def test_leaving_target_gets_no_requests(self):
        """Routers that forwarded the signal stop sending to the target."""
        simulation = SignalsSimulation(1, routers=6, targets=6, script=self.script)
        simulation.simulate()
        assert (
            rules.sent_while_leaving(simulation.targets[0], simulation.fault_log) == 0
        )

    @pytest.mark.parametrize("routers", [6, 13])
    def test_other_routers_are_notified(self, routers):
        """Other routers are notified, across failure domains through relays."""
        simulation = SignalsSimulation(
            2, routers=routers, targets=6, script=self.script
        )
        simulation.simulate()
        leaving = simulation.targets[0]
        signalled_at = leaving.leaving_first_forwarded_at()
        assert leaving.arrived(signalled_at + 0.5, 100.0) == 0
        assert simulation.results.statuses[503] == 0
