"""An account that asks several times its allowance."""

import pytest

from berylwalk.dispatch import Account, AllowanceRules, Allowances
from berylwalk.dispatch._urgent_demand import UrgentDemand

RULES = AllowanceRules(window_s=8.0, excess=0.1, slack=140_000.0)
ACCOUNT = Account(name="a", keys=frozenset(), rate_per_s=110_000.0, burst=110_000.0)
URGENT, LESS_URGENT = 0, 1


def served_share(*, seconds=16.0):
    """Return the share of urgent requests served, at 2.5 times the allowance."""
    allowances = Allowances(RULES, started_at=-100.0)
    served = asked = 0
    for tick in range(int(seconds * 40)):
        now = tick / 40
        if tick % 4 == 0:
            asked += 1
            served += allowances.take(ACCOUNT, 9_000.0, URGENT, now) == 0
        allowances.take(ACCOUNT, 4_500.0, LESS_URGENT, now)
    return served / asked


class TestOneAccountAtManyTimesItsUsual:
    """Its allowance would be spent within seconds, by whatever comes first."""

    def test_urgent_requests_are_served_all_the_while(self):
        assert served_share() > 0.95

    def test_without_it_they_wait_for_the_window_to_move_on(self, monkeypatch):
        monkeypatch.setattr(UrgentDemand, "needed", lambda *args: 0.0)
        assert served_share() < 0.8


class TestDemand:
    """What is left to the most urgent rank."""

    def test_less_urgent_rank_leaves_what_will_be_asked(self):
        """At the pace of the last seconds, less what the window holds already."""
        demand = UrgentDemand(8.0)
        for tick in range(21):
            demand.ask("a", URGENT, 100.0, tick / 10)
        needed = demand.needed("a", LESS_URGENT, 2.0)
        assert needed == pytest.approx(8 * 1000.0 - 2000.0, rel=0.1)
        assert demand.needed("a", URGENT, 2.0) == 0.0

    def test_nothing_is_left_to_a_rank_that_asks_no_more(self):
        """Requests of some seconds ago will not come again."""
        demand = UrgentDemand(8.0)
        demand.ask("a", URGENT, 100.0, 0.0)
        assert demand.needed("a", LESS_URGENT, 3.0) == 0.0

    def test_steady_demand_leaves_nothing_more(self):
        """What leaves the window serves what comes."""
        demand = UrgentDemand(8.0)
        for tick in range(200):
            demand.ask("a", URGENT, 100.0, tick / 10)
        assert demand.needed("a", LESS_URGENT, 19.9) < 0.1 * 8000.0

    def test_demand_at_peers_counts_by_its_growth(self):
        """Totals are told; what was asked before the first message is unknown."""
        demand = UrgentDemand(8.0)
        for tick in range(21):
            demand.hear("p/1", {"a": (URGENT, 5_000.0 + 100.0 * tick)}, tick / 10)
        needed = demand.needed("a", LESS_URGENT, 2.0)
        assert needed == pytest.approx(8 * 1000.0 - 2000.0, rel=0.1)

    def test_most_urgent_rank_seen_counts(self):
        """Ranks that this router has not met may be asked elsewhere."""
        demand = UrgentDemand(8.0)
        demand.ask("a", LESS_URGENT, 100.0, 0.0)
        assert demand.needed("a", LESS_URGENT, 0.0) == 0.0
        demand.hear("p/1", {"a": (URGENT, 0.0)}, 0.0)
        demand.hear("p/1", {"a": (URGENT, 500.0)}, 0.5)
        assert demand.needed("a", LESS_URGENT, 0.5) > 0.0
