"""Quotas over all routers."""

import pytest

from berylwalk.dispatch import Account, HistoryCoverage, QuotaRules, QuotaTracker
from berylwalk.dispatch._account_spending import STEP_S

RULES = QuotaRules(window_s=8.0, excess=0.1, slack=1000.0)
ACCOUNT = Account(name="a", keys=frozenset(), rate_per_s=1000.0, burst=1000.0)
ALLOWANCE = 1000.0 * 8 + 1000.0
BOUND = ALLOWANCE * 1.1 + 1000.0
"""Upper bound of the spending of all routers within a window."""


def tracker(*, started_at=-100.0):
    """Return the quota tracker of one router."""
    return QuotaTracker(RULES, started_at=started_at)


def spend_all(router, now, *, cost=100.0):
    """Spend until refused; returns the units spent."""
    spent = 0.0
    while router.take(ACCOUNT, cost, 0, now) == 0:
        spent += cost
    return spent


class TestWindow:
    """A single router."""

    def test_whole_quota_is_spendable_within_the_bound(self):
        """The whole quota can be spent at once, but not more than the bound."""
        assert ALLOWANCE <= spend_all(tracker(), 0.0) <= BOUND

    def test_every_window_stays_within_the_bound(self):
        """The bound applies to every window, not only to aligned ones."""
        router = tracker()
        spent_at = [
            (tick * 0.25, spend_all(router, tick * 0.25)) for tick in range(120)
        ]
        for start, _ in spent_at:
            inside = sum(spent for at, spent in spent_at if start <= at < start + 8.0)
            assert inside <= BOUND

    def test_refusal_returns_delay(self):
        """The delay of a refused request is positive and at most a window."""
        router = tracker()
        spend_all(router, 0.0)
        wait_s = router.take(ACCOUNT, 100.0, 0, 0.0)
        assert 0 < wait_s <= 8.0

    @pytest.mark.parametrize("cost", [100.0, 900.0, 3_000.0])
    @pytest.mark.parametrize("pause_s", [0.13, 0.7])
    def test_retry_after_the_delay_finds_the_units(self, cost, pause_s):
        """And not much sooner: callers retry only once."""
        router = tracker()
        for tick in range(round(3.0 / pause_s)):
            router.take(ACCOUNT, 300.0, 0, tick * pause_s)
        now = 3.0
        while (wait_s := router.take(ACCOUNT, cost, 0, now)) == 0:
            pass
        early_s = max(0.0, wait_s - 2 * STEP_S)
        assert not early_s or router.take(ACCOUNT, cost, 0, now + early_s) > 0
        assert router.take(ACCOUNT, cost, 0, now + wait_s) == 0

    def test_request_above_the_quota_is_admitted_in_an_empty_window(self):
        """Such a request must not be refused forever."""
        assert tracker().take(ACCOUNT, 10 * BOUND, 0, 0.0) == 0

    def test_lower_ranks_leave_a_reserve(self):
        """Requests of higher ranks are admitted after lower ranks were refused."""
        router = tracker()
        while router.take(ACCOUNT, 100.0, 2, 0.0) == 0:
            pass
        assert router.take(ACCOUNT, 100.0, 1, 0.0) == 0
        assert router.take(ACCOUNT, 100.0, 0, 0.0) == 0

    def test_account_without_rate_is_unlimited(self):
        """A rate of 0 means no limit."""
        free = Account(name="f", keys=frozenset())
        assert tracker().take(free, 1e12, 0, 0.0) == 0

    def test_refund(self):
        """The cost of requests that were not executed can be spent again."""
        router = tracker()
        spent = spend_all(router, 0.0)
        router.refund(ACCOUNT, spent, charged_at=0.0, now=0.0)
        assert spend_all(router, 0.0) == spent

    @pytest.mark.parametrize("refunded_at", [1.0, 5.0, 7.5, 7.95, 9.0])
    def test_refund_outlives_the_charge(self, refunded_at):
        """Units that were refused late must not be free in two windows."""
        router, peer = tracker(), tracker()
        peer.record_peer_totals("r", {}, is_new=False, now=0.0)
        router.take(ACCOUNT, 0.5 * ALLOWANCE, 0, 0.0)
        spent_later = 0.45 * ALLOWANCE
        router.take(ACCOUNT, spent_later, 0, 0.5)
        told = {"is_new": True, "now": 0.5}
        peer.record_peer_totals("r", router.spent_by_account(), **told)
        router.refund(ACCOUNT, 0.5 * ALLOWANCE, charged_at=0.0, now=refunded_at)
        told["now"] = refunded_at
        peer.record_peer_totals("r", router.spent_by_account(), **told)
        for each in (router, peer):
            for now in (8.2, 8.45):
                at = max(now, refunded_at)
                counted = each.spent_in_window(at)["a"]
                is_left = at > 8.0 + 0.5 + STEP_S
                assert counted >= (0.0 if is_left else spent_later - 1e-6)

    def test_restarts_of_all_routers_stay_within_the_bound(self):
        """Routers without history must not grant the whole quota again."""
        total = spend_all(tracker(), 0.0)
        for started_at in (0.5, 1.0):
            router = tracker(started_at=started_at)
            total += spend_all(router, started_at)
        assert total <= BOUND
        assert spend_all(router, 5.0) <= BOUND / 2

    @pytest.mark.parametrize("rank", [0, 1, 2])
    def test_requests_are_admitted_right_after_a_start(self, rank):
        """A router without history must not refuse all requests for a window."""
        router = tracker(started_at=0.0)
        assert router.take(ACCOUNT, 100.0, rank, 0.05) == 0

    def test_history_of_a_peer_ends_the_restriction(self):
        """With the complete history the whole quota is available."""
        router = tracker(started_at=0.0)
        router.restore({}, HistoryCoverage.COMPLETE, 0.05)
        assert spend_all(router, 0.05) >= 0.95 * ALLOWANCE

    @pytest.mark.parametrize(
        "coverage", [HistoryCoverage.COMPLETE, HistoryCoverage.PARTIAL]
    )
    def test_sum_in_a_history_that_is_no_number_counts_nothing(self, coverage):
        router = tracker(started_at=0.0)
        router.set_accounts([ACCOUNT], 0.0)
        router.restore({ACCOUNT.name: [float("nan"), 7.0]}, coverage, 0.0)
        assert sum(router.spent_by_bin(0.0)[ACCOUNT.name]) == 7.0
        assert 0 < spend_all(router, 0.0) <= BOUND

    @pytest.mark.parametrize(
        "coverage", [HistoryCoverage.COMPLETE, HistoryCoverage.PARTIAL]
    )
    def test_restored_spending_counts_for_the_whole_window(self, coverage):
        """Spending just before the start must not leave the window early."""
        older = tracker()
        spent = spend_all(older, 0.0)
        router = tracker(started_at=0.2)
        router.restore(older.heavy_spending_by_bin(0.3), coverage, 0.3)
        for now in (1.0, 3.0, 5.0, 7.5):
            spent += spend_all(router, now)
        assert spent <= BOUND
        assert spend_all(router, 8.5) >= 0.9 * ALLOWANCE

    def test_spending_after_the_snapshot_is_assumed(self):
        """An account in the snapshot may have spent the rest of its quota since."""
        older = tracker()
        spent = 0.0
        while spent < 0.7 * ALLOWANCE:
            older.take(ACCOUNT, 100.0, 0, 0.0)
            spent += 100.0
        snapshot = older.heavy_spending_by_bin(0.1)
        spent += spend_all(older, 0.4)
        router = tracker(started_at=1.0)
        router.restore(snapshot, HistoryCoverage.PARTIAL, 1.1)
        for now in (1.2, 3.0, 5.0, 7.9):
            spent += spend_all(router, now)
        assert spent <= BOUND

    def test_expired_units_in_the_snapshot_may_be_spent_again(self):
        """The oldest units may have expired and been spent after the snapshot."""
        older = tracker()
        spend_all(older, 0.0)
        snapshot = older.heavy_spending_by_bin(7.5)
        spent = spend_all(older, 8.2)
        router = tracker(started_at=8.7)
        router.restore(snapshot, HistoryCoverage.PARTIAL, 8.8)
        for now in (8.9, 10.0, 12.0, 14.0, 16.1):
            spent += spend_all(router, now)
        assert spent <= BOUND

    def test_accounts_missing_from_the_snapshot_are_served(self):
        """Their spending was below the threshold, so part of the quota is available."""
        router = tracker(started_at=0.0)
        router.restore({}, HistoryCoverage.PARTIAL, 0.05)
        assert spend_all(router, 0.05) >= 0.35 * ALLOWANCE

    def test_heavy_spending_at_other_routers_is_not_stored(self):
        """The router that writes the snapshot may have had no request of an account."""
        older, writer = tracker(), tracker()
        writer.set_accounts([ACCOUNT], -50.0)
        writer.record_peer_totals("o", {}, is_new=True, now=0.0)
        spend_all(older, 0.0)
        spent = older.spent_by_account()
        writer.record_peer_totals("o", spent, is_new=True, now=0.1)
        stored = writer.heavy_spending_by_bin(0.2)
        assert sum(stored["a"]) == pytest.approx(spent["a"])

    def test_light_spending_is_not_stored(self):
        """Only accounts above the threshold are part of the snapshot."""
        router = tracker()
        router.take(ACCOUNT, 0.5 * ALLOWANCE, 0, 0.0)
        assert router.heavy_spending_by_bin(0.1) == {}
        router.take(ACCOUNT, 0.2 * ALLOWANCE, 0, 0.0)
        assert sum(router.heavy_spending_by_bin(0.1)["a"]) == pytest.approx(
            0.7 * ALLOWANCE
        )


class TestLoweredLimit:
    """A new configuration lowers the limit of an account."""

    LOWER = Account(name="a", keys=frozenset(), rate_per_s=300.0, burst=300.0)
    LOWER_BOUND = 300.0 * 9 * 1.1 + 1000.0

    def lowered(self, *, lowered_at=4.0):
        """Return a router whose account spent its quota before, and the units."""
        router = tracker()
        router.set_accounts([ACCOUNT], -50.0)
        spent = spend_all(router, 0.0)
        router.set_accounts([self.LOWER], lowered_at)
        return router, spent

    def test_spending_under_the_previous_limit_is_not_charged(self):
        """Spending that was allowed before must not exhaust the lower limit."""
        router, _ = self.lowered()
        assert router.take(self.LOWER, 100.0, 0, 4.1) > 0
        router = tracker()
        router.set_accounts([ACCOUNT], -50.0)
        for _ in range(60):
            router.take(ACCOUNT, 100.0, 0, 0.0)
        router.set_accounts([self.LOWER], 4.0)
        assert router.take(self.LOWER, 100.0, 0, 4.1) == 0

    @pytest.mark.parametrize("lowered_at", [0.5, 1.0, 4.0, 7.9])
    def test_each_window_obeys_its_limit(self, lowered_at):
        """The previous limit bounds windows that began before the change."""
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

    def test_raised_limit_applies_at_once(self):
        """Spending under the lower limit counts against the higher one."""
        router = tracker()
        router.set_accounts([self.LOWER], -50.0)
        spent = 0.0
        while router.take(self.LOWER, 50.0, 0, 0.0) == 0:
            spent += 50.0
        router.set_accounts([ACCOUNT], 1.0)
        spent += spend_all(router, 1.1)
        assert ALLOWANCE <= spent <= BOUND

    def test_temporarily_lowered_limit_has_no_lasting_effect(self):
        """Only the highest limit since then applies."""
        router, _ = self.lowered(lowered_at=1.0)
        router.set_accounts([ACCOUNT], 2.0)
        assert spend_all(router, 8.2) >= 0.9 * ALLOWANCE

    def test_first_configuration_is_no_lowered_limit(self):
        """The first configuration after a start grants the whole quota."""
        router = tracker(started_at=0.0)
        router.restore({}, HistoryCoverage.COMPLETE, 0.0)
        router.set_accounts([self.LOWER], 0.1)
        spent = 0.0
        while router.take(self.LOWER, 50.0, 0, 0.2) == 0:
            spent += 50.0
        assert 300.0 * 9 <= spent <= self.LOWER_BOUND

    def test_limit_history_is_bounded(self):
        """Frequent configurations must not accumulate limits."""
        router = tracker()
        for number in range(100):
            account = Account(
                name="a", keys=frozenset(), rate_per_s=1000.0 + number, burst=0.0
            )
            router.set_accounts([account], number * 0.3)
            router.take(account, 1.0, 0, number * 0.3)
        assert len(router._spending_by_account["a"].limits) <= 8.0 / 0.3 + 2


class TestPeers:
    """Several routers."""

    def test_repeated_peer_totals_are_counted_once(self):
        """Only the increase of a peer's totals is counted."""
        first, second = tracker(), tracker()
        spent = spend_all(first, 0.0)
        for _ in range(3):
            second.record_peer_totals(
                "p/1", first.spent_by_account(), is_new=True, now=0.0
            )
        assert second.spent_in_window(0.0) == {"a": spent}
        assert second.take(ACCOUNT, 100.0, 0, 0.0) > 0

    def test_spending_before_the_first_message_is_ignored(self):
        """The totals of an older peer contain spending from before the window."""
        router = tracker()
        router.record_peer_totals("p/1", {"a": 1e9}, is_new=False, now=0.0)
        assert router.take(ACCOUNT, 100.0, 0, 0.0) == 0
        router.record_peer_totals("p/1", {"a": 1e9 + ALLOWANCE}, is_new=False, now=0.1)
        assert router.take(ACCOUNT, 2000.0, 0, 0.1) > 0

    @pytest.mark.parametrize("is_new", [False, True])
    def test_peer_that_is_back_is_counted_from_its_last_total(self, is_new):
        """It was out of reach; nothing counts twice, nor is anything left out."""

        def hear(spent, now):
            totals = {ACCOUNT.name: spent}
            router.record_peer_totals("b", totals, is_new=is_new, now=now)

        router = tracker()
        router.set_accounts([ACCOUNT], -100.0)
        hear(0.0, -90.0)
        hear(50 * ALLOWANCE, -50.0)
        router.forget_peer("b")
        hear(50 * ALLOWANCE + 3000.0, 0.0)
        assert sum(router.spent_by_bin(0.0)[ACCOUNT.name]) == 3000.0

    def test_new_account_in_peer_totals_counts_entirely(self):
        """An account that is missing from earlier totals has spent all of it since."""
        router = tracker()
        router.record_peer_totals("p/1", {}, is_new=False, now=0.0)
        router.record_peer_totals("p/1", {"a": ALLOWANCE}, is_new=False, now=0.1)
        assert router.spent_in_window(0.1) == {"a": ALLOWANCE}

    @pytest.mark.parametrize("routers", [2, 4, 31])
    def test_partitioned_routers_stay_within_the_bound(self, routers):
        """Routers without contact grant equal shares only."""
        total = 0.0
        for _ in range(routers):
            router = tracker()
            router.set_share(1, routers)
            total += spend_all(router, 0.0, cost=10.0)
        assert 0.9 * ALLOWANCE <= total <= BOUND
