"""What is remembered of ends under requests, and for how long."""

from itertools import permutations

from berylwalk.quarantine import _evidence as evidence_module
from berylwalk.quarantine import account_prefix
from berylwalk.quarantine._evidence import (
    KEPT_S,
    MOST_IN_ALL,
    MOST_LIVES,
    MOST_OF_ACCOUNT,
    Evidence,
)


def of_account(account, number):
    """Return an identity."""
    return account.to_bytes(4, "big") + number.to_bytes(12, "big")


REQUEST = of_account(1, 1)


class TestBounds:
    """No account, and no flood of accounts, takes more than its room."""

    def test_one_account_takes_no_place_of_another(self):
        """Its own oldest go."""
        evidence = Evidence()
        evidence.add(REQUEST, "life", 0.0)
        for number in range(3 * MOST_OF_ACCOUNT):
            evidence.add(of_account(2, number), "other", float(number))
        assert len(evidence) == MOST_OF_ACCOUNT + 1
        assert evidence.crashed_incarnations(REQUEST)

    def test_who_has_most_ends_stays(self):
        """A flood of the same account does not hide it."""
        evidence = Evidence()
        evidence.add(REQUEST, "a", 0.0)
        evidence.add(REQUEST, "b", 0.0)
        for number in range(10, 3 * MOST_OF_ACCOUNT):
            evidence.add(of_account(1, number), "other", 1.0)
        assert set(evidence.crashed_incarnations(REQUEST)) == {"a", "b"}

    def test_all_accounts_together(self):
        """The one with most gives way."""
        evidence = Evidence()
        per_account = MOST_OF_ACCOUNT - 1
        for account in range(2 + MOST_IN_ALL // per_account):
            for number in range(per_account):
                evidence.add(of_account(account, number), "life", 0.0)
        assert len(evidence) == MOST_IN_ALL

    def test_ends_of_one_request(self):
        """The newest are kept, so that it is not safe behind old ones."""
        evidence = Evidence()
        for number in range(3 * MOST_LIVES):
            evidence.add(REQUEST, f"life-{number}", float(number))
        assert len(evidence.crashed_incarnations(REQUEST)) == MOST_LIVES
        assert f"life-{3 * MOST_LIVES - 1}" in evidence.crashed_incarnations(REQUEST)

    def test_lives_that_go_on(self):
        """They are bounded too."""
        evidence = Evidence()
        for number in range(1000):
            evidence.record_alive(f"life-{number}", float(number))
        assert len(evidence._alive_at_by_life) == evidence_module.MOST_ALIVE

    def test_old_ends_are_forgotten(self):
        """With the request, and its account's room."""
        evidence = Evidence()
        evidence.add(REQUEST, "life", 0.0)
        assert not evidence.forget_old(KEPT_S)
        assert evidence.forget_old(KEPT_S + 1)
        assert len(evidence) == 0
        assert evidence._numbers_by_account[account_prefix(REQUEST)] == 0


class TestOrder:
    """What is known comes out the same in whatever order it is heard."""

    def test_end_and_clearing(self):
        """A request is cleared of an end that is heard of later."""
        evidence = Evidence()
        evidence.clear(REQUEST, ["life"], 1.0)
        assert not evidence.add(REQUEST, "life", 0.5)
        assert evidence.crashed_incarnations(REQUEST) == {}

    def test_end_and_sign_of_life(self):
        """Only ends before the sign of life are none."""
        told = [
            lambda evidence: evidence.add(REQUEST, "life", 1.0),
            lambda evidence: evidence.record_alive("life", 2.0),
            lambda evidence: evidence.add(REQUEST, "life", 3.0),
        ]
        for order in permutations(told):
            evidence = Evidence()
            for tell in order:
                tell(evidence)
            assert evidence.crashed_incarnations(REQUEST) == {"life": 3.0}

    def test_doubled_news_change_nothing(self):
        """Nor do they count as new."""
        evidence = Evidence()
        assert evidence.add(REQUEST, "life", 1.0)
        assert not evidence.add(REQUEST, "life", 1.0)
        assert evidence.clear(REQUEST, ["life"], 2.0)
        assert not evidence.clear(REQUEST, ["life"], 2.0)
