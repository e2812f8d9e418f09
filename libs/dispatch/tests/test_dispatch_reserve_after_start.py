"""Reserve for urgent requests of an account right after all routers have started."""

import pytest

from berylwalk.dispatch import Account, HistoryCoverage, QuotaRules, QuotaTracker

RULES = QuotaRules(window_s=8.0, excess=0.1, slack=140_000.0)
RATE_PER_S = 71_000.0
ACCOUNT = Account(name="a", keys=frozenset(), rate_per_s=RATE_PER_S, burst=RATE_PER_S)
STEP_S = 0.05
URGENT, OTHER = 0, 2
URGENT_SHARE, OTHER_SHARE = 0.85, 0.1
"""Demand by rank, as a share of the rate of the quota."""


def started():
    """Return a tracker that knows of no heavy spending before its start."""
    quotas = QuotaTracker(RULES, started_at=0.0)
    quotas.set_accounts([ACCOUNT], 0.0)
    quotas.restore({}, HistoryCoverage.PARTIAL, 0.0)
    return quotas


class TestReserveAfterStart:
    """Units whose spending is not known leave the window like others."""

    def test_less_urgent_requests_get_what_urgent_ones_do_not_need(self):
        """The units that become free suffice for the demand of both ranks."""
        quotas, refused = started(), []
        for step in range(round(RULES.window_s / STEP_S)):
            now = step * STEP_S
            for rank, share in ((URGENT, URGENT_SHARE), (OTHER, OTHER_SHARE)):
                units = share * RATE_PER_S * STEP_S
                if quotas.take(ACCOUNT, units, rank, now):
                    refused.append((rank, now))
        assert refused == []

    def test_urgent_requests_keep_their_reserve(self):
        """Urgent requests are refused nothing while others ask for too much."""
        quotas, refused, granted = started(), [], []
        for step in range(round(RULES.window_s / STEP_S)):
            now = step * STEP_S
            if quotas.take(ACCOUNT, URGENT_SHARE * RATE_PER_S * STEP_S, URGENT, now):
                refused.append(now)
            for _ in range(10):
                if not quotas.take(ACCOUNT, RATE_PER_S * STEP_S / 10, OTHER, now):
                    granted.append(now)
        assert refused == []
        assert granted

    @pytest.mark.parametrize("share", [0.1, 0.3, 0.5])
    def test_retry_after_is_when_unknown_units_are_free(self, share):
        """A caller that returns then is served, and not long before."""
        quotas = started()
        limit = RULES.limit(ACCOUNT)
        assert quotas.take(ACCOUNT, quotas.state(ACCOUNT, 0.0).remaining, 0, 0.0) == 0
        units = share * limit
        delay_s = quotas.take(ACCOUNT, units, 0, 0.0)
        assert quotas.take(ACCOUNT, units, 0, delay_s - 1.0) > 0
        assert quotas.take(ACCOUNT, units, 0, delay_s) == 0
