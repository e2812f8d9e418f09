"""Allowances over all routers."""

import pytest

from berylwalk.dispatch import Account, HistoryCoverage, QuotaRules, QuotaTracker

RULES = QuotaRules(window_s=8.0, excess=0.1, slack=1000.0)
ACCOUNT = Account(name="a", keys=frozenset(), rate_per_s=1000.0, burst=1000.0)
ALLOWANCE = 1000.0 * 8 + 1000.0
BOUND = ALLOWANCE * 1.1 + 1000.0
"""What all routers together must never pass within a window."""


def allowances(*, started_at=-100.0):
    """Return the allowances of one router."""
    return QuotaTracker(RULES, started_at=started_at)


def spend_all(router, now, *, cost=100.0):
    """Spend until refused; returns the sum."""
    spent = 0.0
    while router.take(ACCOUNT, cost, 0, now) == 0:
        spent += cost
    return spent


class TestWindow:
    """One router."""

    def test_whole_allowance_and_no_more_than_the_bound(self):
        """What an account is owed can be spent at once, within the bound."""
        assert ALLOWANCE <= spend_all(allowances(), 0.0) <= BOUND

    def test_any_window_stays_within_the_bound(self):
        """Spending is counted in every span of the window's length."""
        router = allowances()
        spent_at = [
            (tick * 0.25, spend_all(router, tick * 0.25)) for tick in range(120)
        ]
        for start, _ in spent_at:
            inside = sum(spent for at, spent in spent_at if start <= at < start + 8.0)
            assert inside <= BOUND

    def test_refusal_tells_when(self):
        """The time told is enough for the refused cost."""
        router = allowances()
        spend_all(router, 0.0)
        wait_s = router.take(ACCOUNT, 100.0, 0, 0.0)
        assert 0 < wait_s <= 8.0

    def test_request_dearer_than_all_is_taken_when_the_window_is_empty(self):
        """It must not wait for ever."""
        assert allowances().take(ACCOUNT, 10 * BOUND, 0, 0.0) == 0

    def test_lower_ranks_leave_a_part(self):
        """An account's urgent requests find something left."""
        router = allowances()
        while router.take(ACCOUNT, 100.0, 2, 0.0) == 0:
            pass
        assert router.take(ACCOUNT, 100.0, 1, 0.0) == 0
        assert router.take(ACCOUNT, 100.0, 0, 0.0) == 0

    def test_no_rate_is_no_limit(self):
        """An account without a rate is never refused."""
        free = Account(name="f", keys=frozenset())
        assert allowances().take(free, 1e12, 0, 0.0) == 0

    def test_given_back(self):
        """What has surely not run is not counted."""
        router = allowances()
        spent = spend_all(router, 0.0)
        router.refund(ACCOUNT, spent, 0.0)
        assert spend_all(router, 0.0) == spent

    def test_start_takes_the_window_for_spent(self):
        """Before and after two restarts of all routers the bound holds."""
        total = spend_all(allowances(), 0.0)
        for started_at in (0.5, 1.0):
            router = allowances(started_at=started_at)
            total += spend_all(router, started_at)
        assert total <= BOUND
        assert spend_all(router, 5.0) <= BOUND / 2

    @pytest.mark.parametrize("rank", [0, 1, 2])
    def test_usual_requests_are_served_soon_after_a_start(self, rank):
        """A router that knows nothing does not refuse all for seconds."""
        router = allowances(started_at=0.0)
        assert router.take(ACCOUNT, 100.0, rank, 0.05) == 0

    def test_newcomer_is_told_what_was_spent(self):
        """With an older peer's word it serves as if it had not restarted."""
        router = allowances(started_at=0.0)
        router.restore({}, HistoryCoverage.COMPLETE, 0.05)
        assert spend_all(router, 0.05) >= 0.95 * ALLOWANCE

    @pytest.mark.parametrize(
        "knowledge", [HistoryCoverage.COMPLETE, HistoryCoverage.PARTIAL]
    )
    def test_newcomer_keeps_the_window_of_a_sudden_spending(self, knowledge):
        """What was spent just before the start counts for the whole window."""
        older = allowances()
        spent = spend_all(older, 0.0)
        router = allowances(started_at=0.2)
        router.restore(older.heavy_spending_by_bin(0.3), knowledge, 0.3)
        for now in (1.0, 3.0, 5.0, 7.5):
            spent += spend_all(router, now)
        assert spent <= BOUND
        assert spend_all(router, 8.5) >= 0.9 * ALLOWANCE

    def test_what_was_spent_after_the_last_note_counts(self):
        """A noted account may have spent all the rest just before the restart."""
        older = allowances()
        spent = 0.0
        while spent < 0.7 * ALLOWANCE:
            older.take(ACCOUNT, 100.0, 0, 0.0)
            spent += 100.0
        note = older.heavy_spending_by_bin(0.1)
        spent += spend_all(older, 0.4)
        router = allowances(started_at=1.0)
        router.restore(note, HistoryCoverage.PARTIAL, 1.1)
        for now in (1.2, 3.0, 5.0, 7.9):
            spent += spend_all(router, now)
        assert spent <= BOUND

    def test_what_took_the_place_of_older_spending_counts(self):
        """After the note the oldest part may have left the window and been spent."""
        older = allowances()
        spend_all(older, 0.0)
        note = older.heavy_spending_by_bin(7.5)
        spent = spend_all(older, 8.2)
        router = allowances(started_at=8.7)
        router.restore(note, HistoryCoverage.PARTIAL, 8.8)
        for now in (8.9, 10.0, 12.0, 14.0, 16.1):
            spent += spend_all(router, now)
        assert spent <= BOUND

    def test_accounts_that_are_not_noted_go_on_after_a_start(self):
        """They spent less than what is noted, so a part is surely left."""
        router = allowances(started_at=0.0)
        router.restore({}, HistoryCoverage.PARTIAL, 0.05)
        assert spend_all(router, 0.05) >= 0.35 * ALLOWANCE

    def test_only_much_is_noted(self):
        """Usual spending causes no note."""
        router = allowances()
        router.take(ACCOUNT, 0.5 * ALLOWANCE, 0, 0.0)
        assert router.heavy_spending_by_bin(0.1) == {}
        router.take(ACCOUNT, 0.2 * ALLOWANCE, 0, 0.0)
        assert sum(router.heavy_spending_by_bin(0.1)["a"]) == pytest.approx(
            0.7 * ALLOWANCE
        )


class TestLoweredLimit:
    """A configuration that lowers the limit of an account that spends much."""

    LOWER = Account(name="a", keys=frozenset(), rate_per_s=300.0, burst=300.0)
    LOWER_BOUND = 300.0 * 9 * 1.1 + 1000.0

    def lowered(self, *, lowered_at=4.0):
        """Return a router whose account spent all it might before it was lowered."""
        router = allowances()
        router.set_accounts([ACCOUNT], -50.0)
        spent = spend_all(router, 0.0)
        router.set_accounts([self.LOWER], lowered_at)
        return router, spent

    def test_what_was_spent_under_the_former_limit_is_not_held_against_it(self):
        """The account gets what the new limit allows from the first moment on."""
        router, _ = self.lowered()
        assert router.take(self.LOWER, 100.0, 0, 4.1) > 0
        router = allowances()
        router.set_accounts([ACCOUNT], -50.0)
        for _ in range(60):
            router.take(ACCOUNT, 100.0, 0, 0.0)
        router.set_accounts([self.LOWER], 4.0)
        assert router.take(self.LOWER, 100.0, 0, 4.1) == 0

    @pytest.mark.parametrize("lowered_at", [0.5, 1.0, 4.0, 7.9])
    def test_both_limits_hold(self, lowered_at):
        """The former in windows that began before, the lower in later ones."""
        router, spent = self.lowered(lowered_at=lowered_at)
        spends = [(0.0, spent)]
        for tick in range(80):
            now = lowered_at + 0.01 + tick * 0.25
            units = 0.0
            while router.take(self.LOWER, 50.0, 0, now) == 0:
                units += 50.0
            spends.append((now, units))
        for start, _ in spends:
            inside = sum(units for at, units in spends if start <= at < start + 8.0)
            assert inside <= (BOUND if start < lowered_at else self.LOWER_BOUND)

    def test_raised_limit_holds_at_once(self):
        """What was spent under the lower one counts, against the higher one."""
        router = allowances()
        router.set_accounts([self.LOWER], -50.0)
        spent = 0.0
        while router.take(self.LOWER, 50.0, 0, 0.0) == 0:
            spent += 50.0
        router.set_accounts([ACCOUNT], 1.0)
        spent += spend_all(router, 1.1)
        assert ALLOWANCE <= spent <= BOUND

    def test_limit_that_goes_down_and_up_again_holds_nobody_up(self):
        """Only the highest of the limits since then binds."""
        router, _ = self.lowered(lowered_at=1.0)
        router.set_accounts([ACCOUNT], 2.0)
        assert spend_all(router, 8.2) >= 0.9 * ALLOWANCE

    def test_first_configuration_lowers_nothing(self):
        """A router that has just started has spent nothing under another limit."""
        router = allowances(started_at=0.0)
        router.restore({}, HistoryCoverage.COMPLETE, 0.0)
        router.set_accounts([self.LOWER], 0.1)
        spent = 0.0
        while router.take(self.LOWER, 50.0, 0, 0.2) == 0:
            spent += 50.0
        assert 300.0 * 9 <= spent <= self.LOWER_BOUND

    def test_what_is_remembered_of_limits_is_bounded(self):
        """A storm of configurations ends with one of them."""
        router = allowances()
        for number in range(100):
            account = Account(
                name="a", keys=frozenset(), rate_per_s=1000.0 + number, burst=0.0
            )
            router.set_accounts([account], number * 0.3)
            router.take(account, 1.0, 0, number * 0.3)
        assert len(router._spending_by_account["a"].limits) <= 8.0 / 0.3 + 2


class TestPeers:
    """Several routers."""

    def test_what_peers_spent_is_counted_once(self):
        """Totals of a peer's life are counted by their growth."""
        first, second = allowances(), allowances()
        spent = spend_all(first, 0.0)
        for _ in range(3):
            second.record_peer_totals(
                "p/1", first.spent_by_account(), is_new=True, now=0.0
            )
        assert second.spent_in_window(0.0) == {"a": spent}
        assert second.take(ACCOUNT, 100.0, 0, 0.0) > 0

    def test_older_life_counts_from_when_it_is_heard(self):
        """What it spent long ago is no spending of this window."""
        router = allowances()
        router.record_peer_totals("p/1", {"a": 1e9}, is_new=False, now=0.0)
        assert router.take(ACCOUNT, 100.0, 0, 0.0) == 0
        router.record_peer_totals("p/1", {"a": 1e9 + ALLOWANCE}, is_new=False, now=0.1)
        assert router.take(ACCOUNT, 2000.0, 0, 0.1) > 0

    def test_first_spending_after_the_first_message_counts(self):
        """An account that an older life had not named has spent all of it since."""
        router = allowances()
        router.record_peer_totals("p/1", {}, is_new=False, now=0.0)
        router.record_peer_totals("p/1", {"a": ALLOWANCE}, is_new=False, now=0.1)
        assert router.spent_in_window(0.1) == {"a": ALLOWANCE}

    @pytest.mark.parametrize("routers", [2, 4, 31])
    def test_routers_that_do_not_hear_each_other_stay_within_the_bound(self, routers):
        """Each keeps to its equal part."""
        total = 0.0
        for _ in range(routers):
            router = allowances()
            router.set_share(1, routers)
            total += spend_all(router, 0.0, cost=10.0)
        assert 0.9 * ALLOWANCE <= total <= BOUND
