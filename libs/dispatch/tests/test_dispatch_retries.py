"""Retry budget."""

from berylwalk.dispatch import WindowedRetryBudget


def take_all(budget, now):
    """Take until refused; returns the number taken."""
    taken = 0
    while budget.take("s", now):
        taken += 1
    return taken


class TestBudget:
    """Bound over all routers."""

    def test_routers_share_the_fixed_allowance(self):
        """Four routers without coordination stay within the total."""
        total = 0
        for _ in range(4):
            budget = WindowedRetryBudget(ratio=0.2, slack=54.0, window_s=10.0)
            budget.set_routers(4)
            for _ in range(100):
                budget.record_request("s", 0.0)
            total += take_all(budget, 0.0)
        assert 0.5 * (0.2 * 400 + 54) <= total <= 0.2 * 400 + 54

    def test_window_slides(self):
        """Retries are allowed again only after a whole window."""
        budget = WindowedRetryBudget(ratio=0.2, slack=54.0, window_s=10.0)
        taken = take_all(budget, 0.0)
        assert take_all(budget, 10.0) == 0
        assert take_all(budget, 10.6) == taken

    def test_services_have_separate_budgets(self):
        """Retries of one service must not use up the budget of another."""
        budget = WindowedRetryBudget(ratio=0.2, slack=54.0, window_s=10.0)
        take_all(budget, 0.0)
        assert budget.take("other", 0.0)
