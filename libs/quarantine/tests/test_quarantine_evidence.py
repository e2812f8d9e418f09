"""Retention bounds of crashes by request, and convergence of their updates."""

from itertools import permutations

from berylwalk.quarantine import _evidence as evidence_module
from berylwalk.quarantine import account_prefix
from berylwalk.quarantine._evidence import (
    MAX_CRASHES_PER_SUSPECT,
    MAX_SUSPECTS,
    MAX_SUSPECTS_PER_ACCOUNT,
    RETENTION_S,
    Evidence,
)


def identity_of(account, number):
    """Return the identity of a numbered request of a numbered account."""
    return account.to_bytes(4, "big") + number.to_bytes(12, "big")


REQUEST = identity_of(1, 1)


class TestBounds:
    """Neither one account nor many accounts can exceed the memory bounds."""

    def test_account_does_not_evict_requests_of_another(self):
        """A flood of one account must only evict its own requests."""
        evidence = Evidence()
        evidence.add_crash(REQUEST, "incarnation", 0.0)
        for number in range(3 * MAX_SUSPECTS_PER_ACCOUNT):
            evidence.add_crash(identity_of(2, number), "other", float(number))
        assert len(evidence) == MAX_SUSPECTS_PER_ACCOUNT + 1
        assert evidence.crashed_incarnations(REQUEST)

    def test_request_with_most_crashes_is_kept(self):
        """A flood of the same account must not evict the most suspect request."""
        evidence = Evidence()
        evidence.add_crash(REQUEST, "a", 0.0)
        evidence.add_crash(REQUEST, "b", 0.0)
        for number in range(10, 3 * MAX_SUSPECTS_PER_ACCOUNT):
            evidence.add_crash(identity_of(1, number), "other", 1.0)
        assert set(evidence.crashed_incarnations(REQUEST)) == {"a", "b"}

    def test_total_is_bounded(self):
        """Many accounts below their own bound must not exceed the total."""
        evidence = Evidence()
        per_account = MAX_SUSPECTS_PER_ACCOUNT - 1
        for account in range(2 + MAX_SUSPECTS // per_account):
            for number in range(per_account):
                evidence.add_crash(identity_of(account, number), "incarnation", 0.0)
        assert len(evidence) == MAX_SUSPECTS

    def test_crashes_of_one_request_are_bounded(self):
        """The newest must be kept: old ones may be attributed to other requests."""
        evidence = Evidence()
        for number in range(3 * MAX_CRASHES_PER_SUSPECT):
            evidence.add_crash(REQUEST, f"incarnation-{number}", float(number))
        assert len(evidence.crashed_incarnations(REQUEST)) == MAX_CRASHES_PER_SUSPECT
        assert (
            f"incarnation-{3 * MAX_CRASHES_PER_SUSPECT - 1}"
            in evidence.crashed_incarnations(REQUEST)
        )

    def test_running_incarnations_are_bounded(self):
        """Each response of a target must not add to memory."""
        evidence = Evidence()
        for number in range(1000):
            evidence.record_alive(f"incarnation-{number}", float(number))
        assert (
            len(evidence._alive_at_by_incarnation)
            == evidence_module.MAX_ALIVE_INCARNATIONS
        )

    def test_old_crashes_expire(self):
        """The request and its count for the account must go with them."""
        evidence = Evidence()
        evidence.add_crash(REQUEST, "incarnation", 0.0)
        assert not evidence.expire(RETENTION_S)
        assert evidence.expire(RETENTION_S + 1)
        assert len(evidence) == 0
        assert evidence._counts_by_account[account_prefix(REQUEST)] == 0


class TestOrder:
    """Updates converge in whatever order they are received."""

    def test_crash_received_after_its_clearing(self):
        """A request must stay cleared of a crash that is received late."""
        evidence = Evidence()
        evidence.clear(REQUEST, ["incarnation"], 1.0)
        assert not evidence.add_crash(REQUEST, "incarnation", 0.5)
        assert evidence.crashed_incarnations(REQUEST) == {}

    def test_crash_before_sign_of_life_is_dropped(self):
        """Crashes after the incarnation was seen running must stay."""
        updates = [
            lambda evidence: evidence.add_crash(REQUEST, "incarnation", 1.0),
            lambda evidence: evidence.record_alive("incarnation", 2.0),
            lambda evidence: evidence.add_crash(REQUEST, "incarnation", 3.0),
        ]
        for order in permutations(updates):
            evidence = Evidence()
            for update in order:
                update(evidence)
            assert evidence.crashed_incarnations(REQUEST) == {"incarnation": 3.0}

    def test_duplicate_updates_change_nothing(self):
        """Duplicates must not be reported as new."""
        evidence = Evidence()
        assert evidence.add_crash(REQUEST, "incarnation", 1.0)
        assert not evidence.add_crash(REQUEST, "incarnation", 1.0)
        assert evidence.clear(REQUEST, ["incarnation"], 2.0)
        assert not evidence.clear(REQUEST, ["incarnation"], 2.0)
