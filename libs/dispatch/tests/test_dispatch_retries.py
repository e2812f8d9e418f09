"""Retry budget."""

import pytest

from berylwalk.dispatch import WindowedRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 54.0, 10.0


def make_budget(started_at=-60.0):
    """Return the budget of a router that knows the whole window by default."""
    budget = WindowedRetryBudget(
        ratio=RATIO, slack=SLACK, window_s=WINDOW_S, started_at=started_at
    )
    budget.note_listed(1, started_at)
    return budget


def take_all(budget, now):
    """Take until refused; returns the number taken."""
    taken = 0
    while budget.take("s", now):
        taken += 1
    return taken


def tell(receiver, sender, now, *, name="peer", is_new=False):
    """Let a budget hear the totals of another one."""
    receiver.record_peer_totals(name, sender.own_totals(now), is_new=is_new, now=now)


class TestBudget:
    """Bound over all routers."""

    def test_routers_share_the_fixed_allowance(self):
        """Four routers that do not hear each other stay within the total."""
        total = 0
        for _ in range(4):
            budget = make_budget()
            budget.set_routers(1, 4, 0.0, all_heard_until=0.0)
            for _ in range(100):
                budget.record_request("s", 0.0)
            total += take_all(budget, 0.0)
        assert 0.5 * (RATIO * 400 + SLACK) <= total <= RATIO * 400 + SLACK

    def test_window_slides(self):
        """Retries are allowed again only after a whole window."""
        budget = make_budget()
        taken = take_all(budget, 0.0)
        assert taken == int(0.9 * SLACK)
        assert take_all(budget, 10.0) == 0
        assert take_all(budget, 10.6) == taken

    def test_services_have_separate_budgets(self):
        """Retries of one service must not use up the budget of another."""
        budget = make_budget()
        take_all(budget, 0.0)
        assert budget.take("other", 0.0)

    def test_earlier_requests_allow_no_burst(self):
        """In a short span, only the requests of that span earn retries."""
        budget = make_budget()
        for step in range(100):
            budget.record_request("s", 0.05 * step)
        assert take_all(budget, 9.0) == int(0.9 * SLACK)


class TestPeers:
    """Totals that routers tell each other."""

    def test_retries_of_others_count(self):
        """One router uses what the other has left."""
        first, second = make_budget(), make_budget()
        for budget in (first, second):
            budget.set_routers(2, 2, 0.0, all_heard_until=0.0)
        tell(second, first, 0.0)
        taken = take_all(first, 0.0)
        tell(second, first, 0.1)
        second.set_routers(2, 2, 0.1, all_heard_until=0.1)
        taken += take_all(second, 0.1)
        assert taken <= 0.9 * SLACK + 1

    def test_retries_from_before_an_older_peer_was_heard_do_not_count(self):
        """They may be long ago; the history tells of the recent ones."""
        older, newer = make_budget(), make_budget()
        take_all(older, 0.0)
        tell(newer, older, 30.0)
        assert newer.state("s", 30.0).retries == 0

    def test_peer_that_returns_after_a_silence_is_counted(self):
        """What it has retried meanwhile becomes known at once."""
        first, second = make_budget(), make_budget()
        tell(first, second, 0.0)
        second.take("s", 5.0)
        tell(first, second, 12.0)
        assert first.state("s", 12.0).retries == 1

    def test_requests_from_before_a_service_was_retried_earn_nothing(self):
        """They are told in one sum, but belong to the time before."""
        first, second = make_budget(), make_budget()
        tell(first, second, 0.0)
        for _ in range(1000):
            second.record_request("s", 1.0)
        second.take("s", 20.0)
        tell(first, second, 20.0)
        assert first.state("s", 20.0).requests == 0


class TestStart:
    """What a process knows of the window before its start."""

    def test_unknown_window_allows_no_fixed_part(self):
        """Earlier processes may have spent it."""
        budget = make_budget(started_at=0.0)
        assert take_all(budget, 0.1) == 0
        for _ in range(100):
            budget.record_request("s", 0.2)
        assert take_all(budget, 0.3) == int(0.75 * RATIO * 100)

    @pytest.mark.parametrize("spent", [0, 20])
    def test_history_of_a_peer_allows_the_rest(self, spent):
        """The rest of the fixed part may be spent at once."""
        older, newer = make_budget(), make_budget(started_at=1.0)
        for _ in range(spent):
            older.take("s", 0.0)
        newer.restore(older.history(1.1), 1.1, known=1)
        assert take_all(newer, 1.1) == int(0.9 * SLACK) - spent

    def test_history_tells_of_routers_that_are_not_heard(self):
        """They keep their share of the fixed part."""
        older, newer = make_budget(), make_budget(started_at=1.0)
        newer.restore(older.history(1.1), 1.1, known=6)
        assert take_all(newer, 1.1) == int(0.9 * SLACK / 6)

    def test_unknown_number_of_routers_allows_no_fixed_part(self):
        """Each of them might take itself for the only one."""
        budget = WindowedRetryBudget(
            ratio=RATIO, slack=SLACK, window_s=WINDOW_S, started_at=-60.0
        )
        assert take_all(budget, 0.0) == 0
        budget.note_listed(2, 0.0)
        assert take_all(budget, 0.0) == int(0.9 * SLACK / 2)

    def test_unknown_window_is_not_told_as_history(self):
        """A process that has just started can't vouch for the window."""
        budget = make_budget(started_at=0.0)
        assert budget.history(5.0) is None
        assert budget.history(10.6) is not None


class TestRouters:
    """Number of routers that share the fixed part."""

    def test_shrinking_list_frees_nothing_within_the_window(self):
        """A router that is no longer listed may have retried."""
        budget = make_budget()
        budget.set_routers(1, 4, 0.0, all_heard_until=0.0)
        budget.set_routers(1, 1, 6.0, all_heard_until=6.0)
        assert take_all(budget, 6.0) == int(0.9 * SLACK / 4)
        budget.set_routers(1, 1, 17.0, all_heard_until=17.0)
        assert take_all(budget, 17.0) == int(0.9 * SLACK)

    def test_equal_part_until_the_others_are_heard(self):
        """Each of them may spend as much before its next message."""
        budget = make_budget()
        budget.set_routers(4, 4, 0.0, all_heard_until=0.0)
        taken = take_all(budget, 0.1)
        assert taken == pytest.approx(0.9 * SLACK / 4, abs=1.0)
        budget.set_routers(4, 4, 0.2, all_heard_until=0.2)
        assert take_all(budget, 0.2) > 1
