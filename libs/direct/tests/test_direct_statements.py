"""Targets get what they say that they take: limits, rest, leaving."""

import pytest
from anyio import sleep

import statement_rules as rules
from berylwalk.dispatch import AdvertisedRateLimit, PeerTable
from virtual_statements import StatementPlay


def limits(*rates, after_s=3.0):
    """Return a script by which the first targets name limits."""

    async def script(play):
        await sleep(after_s)
        for target, rate in zip(play.targets, rates, strict=False):
            target.advertise_limit(rate)

    return script


def changing_limits(play):
    """Return a script by which targets name limits that change and end."""

    async def change(target):
        while True:
            await sleep(play.random.uniform(2.0, 8.0))
            low = play.random.random() < 0.6
            rate = play.random.uniform(0.2, 5.0) if low else play.random.uniform(5, 50)
            target.advertise_limit(rate if play.random.random() < 0.8 else None)

    async def script(play):
        for target in play.targets:
            play.tasks.start_soon(change, target)

    return script


def max_excess_over_limit(play):
    """Return by how much the limit was passed where it was passed most."""
    return max(
        rules.max_excess_over_limit(target, play.fault_log) for target in play.targets
    )


class TestLimit:
    """A target names the requests a second that it takes of all routers together."""

    def test_sum_over_routers_stays_within_the_limit_of_a_target(self):
        """Those that were told send no more than it allows, whoever sends it."""
        script = limits(1.3, 5.0, after_s=4.0)
        play = StatementPlay(1, routers=6, targets=6, script=script)
        play.play()
        assert [
            rules.max_excess_over_limit(each, play.fault_log) <= 0
            for each in play.targets[:2]
        ] == [
            True,
            True,
        ]

    @pytest.mark.parametrize("routers", [2, 6, 13])
    def test_nine_tenths_of_what_the_limits_permit_is_used(self, routers):
        """Where callers want three times as much, and come unevenly."""
        rates = (0.5, 1.3, 2.0, 4.6, 8.0, 12.0)
        play = StatementPlay(
            routers,
            routers=routers,
            targets=len(rates),
            script=limits(*rates),
            lasts_s=30.0,
            requests_per_s=3 * sum(rates),
        )
        play.play()
        used = sum(target.arrived(11.0, 31.0) for target in play.targets)
        assert used >= 0.9 * 20.0 * sum(rates)
        assert max_excess_over_limit(play) <= 0

    @pytest.mark.parametrize("seed", range(4))
    def test_limits_that_change_beside_faults(self, seed):
        """Kills, cuts between routers and lost messages."""
        play = StatementPlay(
            seed,
            routers=(2, 6, 13, 31)[seed],
            targets=4,
            script=None,
            lasts_s=30.0,
            faults=("kill_one", "cut_one", "lose"),
        )
        play.script = changing_limits(play)
        play.play()
        assert max_excess_over_limit(play) <= 0

    def test_all_that_name_none_any_more_get_all_again(self):
        """The others are told also by routers that sent nothing there."""

        async def script(play):
            await sleep(3.0)
            play.targets[0].advertise_limit(0.5)
            await sleep(8.0)
            play.targets[0].advertise_limit(None)

        play = StatementPlay(
            3, routers=6, targets=2, script=script, requests_per_s=150.0
        )
        play.play()
        # Half of the load is its part.
        assert play.targets[0].arrived(18.0, 21.0) > 0.25 * 3.0 * 150.0

    def test_callers_hear_at_once_that_nothing_is_left(self):
        """They are not kept for a place that nobody will give before they are late."""
        play = StatementPlay(
            2, routers=6, targets=2, script=limits(0.5, 0.5), requests_per_s=40.0
        )
        figures = play.play()
        kept_s = sorted(figures.refused_after_s)
        assert figures.statuses[503] > 300
        assert kept_s[len(kept_s) // 2] <= 0.001


class TestPlantedFaults:
    """The counts at the targets show what they are for."""

    def passes(self):
        """Return whether the sum of requests stays within limits."""
        script = limits(1.3, 5.0, after_s=4.0)
        play = StatementPlay(
            1, routers=6, targets=3, script=script, requests_per_s=150.0
        )
        play.play()
        return max_excess_over_limit(play) <= 0

    def test_without_a_fault(self):
        """The same play is sound."""
        assert self.passes()

    def test_each_router_at_the_whole_rate(self, monkeypatch):
        """The sum is six times the rate."""
        monkeypatch.setattr(PeerTable, "rate_share", lambda *_: 1.0)
        assert not self.passes()

    def test_sends_that_are_not_counted(self, monkeypatch):
        """Nothing of the limit is ever used."""
        monkeypatch.setattr(AdvertisedRateLimit, "note_sent", lambda *_: None)
        assert not self.passes()

    def test_any_answer_ends_it(self, monkeypatch):
        """One that was overtaken, too; and what ended is named again at once."""

        def forget(limit, per_s, *, sent_at, now):
            limit._believe(None, now)
            return False

        monkeypatch.setattr(AdvertisedRateLimit, "note_answer", forget)
        assert not self.passes()


class TestRest:
    """A target turns a request away and says for how long it wants no other."""

    def rests(self, seed, *, routers=6, targets=9, resting=3, until_s=12.0, **options):
        """Return the play of some targets that ask for rest for some seconds."""

        async def script(play):
            await sleep(3.0)
            for target in play.targets[:resting]:
                target.rest_s = 3.0
            await sleep(until_s - 4.0)
            for target in play.targets[:resting]:
                target.rest_s = None

        play = StatementPlay(
            seed, routers=routers, targets=targets, script=script, **options
        )
        play.play()
        return play

    def test_target_at_rest_gets_nothing_of_the_router_that_it_told(self):
        """Not even one after the other, each refused."""

        async def script(play):
            await sleep(3.0)
            for target in play.targets[:3]:
                target.rest_s = 3.0

        play = StatementPlay(1, routers=6, targets=9, script=script)
        play.play()
        assert (
            max(
                rules.max_sent_in_backoff(each, play.fault_log) for each in play.targets
            )
            <= 2
        )

    @pytest.mark.parametrize("seed", range(3))
    def test_callers_are_served_by_the_others(self, seed):
        """Where these have room, nobody is refused."""
        play = self.rests(seed)
        assert play.figures.statuses == {200: play.requests}

    def test_those_that_wait_do_not_all_come_at_its_end(self):
        """Each router sends one, and more with each that is taken."""
        play = self.rests(1, targets=2, resting=2, requests_per_s=120.0)
        ends = sorted(told_at + rest_s for told_at, _, rest_s in play.targets[0].rests)
        last = ends[-1]
        assert play.targets[0].arrived(last, last + 0.05) <= 2 * 6

    def test_all_are_in_use_again_after_it(self):
        """Within a second or two."""
        play = self.rests(1, targets=2, resting=2, requests_per_s=60.0)
        last = max(told_at + rest_s for told_at, _, rest_s in play.targets[0].rests)
        both = sum(each.arrived(last + 2, last + 5) for each in play.targets)
        assert both > 0.8 * 3 * 60.0

    def test_streams_that_run_on_do_not_keep_it_at_rest(self):
        """What it had before its rest is no reason to send it nothing after."""

        async def script(play):
            await sleep(4.0)
            play.targets[0].rest_s = 1.0
            await sleep(0.3)
            play.targets[0].rest_s = None

        play = StatementPlay(
            5,
            routers=2,
            targets=2,
            script=script,
            requests_per_s=30.0,
            run_s=4.0,
            slots=60,
        )
        play.play()
        resting = play.targets[0]
        ends_at = max(told_at + rest_s for told_at, _, rest_s in resting.rests)
        assert resting.arrived(ends_at, ends_at + 2.0) >= 15

    def test_request_that_all_have_turned_away_gets_its_answer_at_once(self):
        """There is no target left for it to wait for."""
        play = self.rests(1, targets=2, resting=2, requests_per_s=60.0)
        assert len(play.refusals) > 100
        assert max(each.kept_s for each in play.refusals) < 0.2

    def test_callers_are_told_when_the_first_returns(self):
        """At once, and not each at the same moment."""
        play = self.rests(1, targets=2, resting=2, requests_per_s=60.0)
        told_s = [each.retry_after_s for each in play.refusals if each.kept_s < 0.01]
        assert max(told_s) > 2.0
        assert len({round(each, 2) for each in told_s}) > 50


class TestLeaving:
    """A target says in its answers that it leaves; its entry says nothing."""

    @staticmethod
    async def script(play):
        """Let one target say that it leaves."""
        await sleep(3.0)
        play.targets[0].is_leaving = True

    def test_target_that_leaves_gets_nothing_once_it_has_said_so(self):
        """Of no router that passed such an answer on."""
        play = StatementPlay(1, routers=6, targets=6, script=self.script)
        play.play()
        assert rules.sent_while_leaving(play.targets[0], play.fault_log) == 0

    @pytest.mark.parametrize("routers", [6, 13])
    def test_other_routers_need_not_find_out(self, routers):
        """They are told, in other failure domains through relays."""
        play = StatementPlay(2, routers=routers, targets=6, script=self.script)
        play.play()
        leaving = play.targets[0]
        told_at = leaving.leaving_first_forwarded_at()
        assert leaving.arrived(told_at + 0.5, 100.0) == 0
        assert play.figures.statuses[503] == 0
