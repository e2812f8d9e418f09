"""Streams in progress and new requests of an account whose quota is spent."""

from berylwalk.dispatch import Account, HistoryCoverage, QuotaRules, QuotaTracker

RULES = QuotaRules(window_s=8.0, excess=0.1, slack=140_000.0)
ACCOUNT = Account(name="a", keys=frozenset(), rate_per_s=71_000.0, burst=71_000.0)
LIMIT = RULES.limit(ACCOUNT)
STREAM, NEW = 60_000.0, 1_000.0
"""Units of a stream, for which the window frees enough in two bins, and of others."""
STEP_S = 0.05
SNAPSHOT = {"a": [LIMIT / 20] * 17}
"""An account that has spent much of its quota, evenly."""


def started():
    """Return a tracker that starts after all routers have ended."""
    quotas = QuotaTracker(RULES, started_at=0.0)
    quotas.set_accounts([ACCOUNT], 0.0)
    quotas.restore(SNAPSHOT, HistoryCoverage.PARTIAL, 0.0)
    return quotas


def first_success(take):
    """Return the time at which units are taken first."""
    return next(
        step * STEP_S
        for step in range(round(RULES.window_s / STEP_S) + 5)
        if take(step * STEP_S) == 0
    )


def units_free_at(units=NEW):
    """Return when so many units have left the window, if nothing else is spent."""
    quotas = started()
    return first_success(lambda now: quotas.take(ACCOUNT, units, 0, now))


class TestStreamsInProgress:
    """What the window frees goes to streams in progress first."""

    def test_new_requests_leave_units_to_a_stream_that_waits(self):
        """Without the reserve they take all units as they become free."""
        quotas, granted = started(), []
        assert quotas.take(ACCOUNT, STREAM, 0, 0.0, takes_up_stream=True) > 0
        with quotas.awaited.waiting("a", STREAM) as ticket:

            def take(now):
                # New requests come more often than the stream asks.
                for _ in range(100):
                    if quotas.take(ACCOUNT, NEW, 0, now) == 0:
                        granted.append(now)
                return quotas.take_awaited(ACCOUNT, STREAM, ticket, now)

            taken_at = first_success(take)
        assert taken_at == units_free_at(STREAM)
        assert min(granted) == taken_at

    def test_new_requests_leave_units_to_a_stream_at_a_peer(self):
        """A peer tells what its streams wait for."""
        quotas = started()
        free_at = units_free_at()
        quotas.awaited.record_peer("peer", {"a": LIMIT}, free_at)
        assert quotas.take(ACCOUNT, NEW, 0, free_at) > 0
        quotas.awaited.record_peer("peer", {}, free_at)
        assert quotas.take(ACCOUNT, NEW, 0, free_at) == 0

    def test_peer_that_is_silent_reserves_nothing(self):
        """What a peer told counts for a moment only."""
        quotas = started()
        free_at = units_free_at()
        quotas.awaited.record_peer("peer", {"a": LIMIT}, free_at - 1.5)
        assert quotas.take(ACCOUNT, NEW, 0, free_at) == 0

    def test_streams_wait_in_order_of_arrival(self):
        """A small stream does not pass a large one that came before."""
        quotas = started()
        with (
            quotas.awaited.waiting("a", STREAM) as large,
            quotas.awaited.waiting("a", NEW) as small,
        ):
            assert quotas.take_awaited(ACCOUNT, NEW, small, units_free_at()) > 0
            free_at = units_free_at(STREAM)
            assert quotas.take_awaited(ACCOUNT, STREAM, large, free_at) == 0

    def test_reserve_ends_with_the_wait(self):
        """A stream whose caller left keeps nothing."""
        quotas = started()
        free_at = units_free_at()
        with quotas.awaited.waiting("a", LIMIT):
            assert quotas.take(ACCOUNT, NEW, 0, free_at) > 0
        assert quotas.take(ACCOUNT, NEW, 0, free_at) == 0

    def test_demand_of_a_stream_that_waited_counts_once(self):
        """Peers see it refused, then spent instead."""
        quotas = started()
        quotas.take(ACCOUNT, STREAM, 0, 0.0, takes_up_stream=True)
        assert quotas.refused_by_account() == {"a": STREAM}
        with quotas.awaited.waiting("a", STREAM) as ticket:
            first_success(lambda now: quotas.take_awaited(ACCOUNT, STREAM, ticket, now))
        assert quotas.refused_by_account() == {}
        assert quotas.spent_by_account() == {"a": STREAM}
