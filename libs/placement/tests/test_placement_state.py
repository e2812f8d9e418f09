"""Prefix hashes, subsets and retry budget."""

from berylwalk.placement import (
    RetryBudget,
    prefix_hashes,
    subset,
)


class TestPrefixHashes:
    def test_common_blocks_share_hashes_and_the_rest_does_not(self):
        """A difference changes its own block's hash and all later ones."""
        first = b"x" * 4096
        second = b"x" * 2048 + b"y" * 2048
        one, other = prefix_hashes(first), prefix_hashes(second)
        assert one[:2] == other[:2]
        assert not set(one[2:]) & set(other[2:])
        assert len(set(one)) == 4

    def test_count_is_bounded(self):
        """A huge prompt costs no more than a long one."""
        assert len(prefix_hashes(b"z" * 10_000_000)) == 64
        assert prefix_hashes(b"short") == ()


class TestSubset:
    def test_change_of_one_agent_changes_one_place(self):
        """Connections survive changes of the fleet."""
        agents = [f"t{n}" for n in range(100)]
        before = set(subset("r1", agents, 16))
        gone = sorted(before)[0]
        after = set(subset("r1", [a for a in agents if a != gone], 16))
        assert before - after == {gone}
        assert len(after) == 16
        assert set(subset("r2", agents, 16)) != before


class TestRetryBudget:
    def test_retries_follow_successes(self):
        """An outage spends the saved retries and no more."""
        budget = RetryBudget(0.1, capacity=2.0)
        assert [budget.take() for _ in range(3)] == [True, True, False]
        for _ in range(11):
            budget.record_success()
        assert [budget.take() for _ in range(2)] == [True, False]
