"""Prefix hashes, agent subsets and the retry budget."""

from berylwalk.placement import (
    RetryBudget,
    prefix_hashes,
    subset,
)


class TestPrefixHashes:
    def test_only_common_leading_blocks_share_hashes(self):
        """A difference changes the hash of its block and of all later ones."""
        first = b"x" * 4096
        second = b"x" * 2048 + b"y" * 2048
        one, other = prefix_hashes(first), prefix_hashes(second)
        assert one[:2] == other[:2]
        assert not set(one[2:]) & set(other[2:])
        assert len(set(one)) == 4

    def test_count_is_bounded(self):
        """The number of hashes of a huge prompt is bounded."""
        assert len(prefix_hashes(b"z" * 10_000_000)) == 64
        assert prefix_hashes(b"short") == ()


class TestSubset:
    def test_removed_agent_changes_one_member(self):
        """The removal of an agent replaces no other member."""
        agents = [f"t{n}" for n in range(100)]
        before = set(subset("r1", agents, 16))
        removed = sorted(before)[0]
        after = set(subset("r1", [a for a in agents if a != removed], 16))
        assert before - after == {removed}
        assert len(after) == 16
        assert set(subset("r2", agents, 16)) != before


class TestRetryBudget:
    def test_retries_are_bounded_by_successes(self):
        """No retries are allowed beyond the budget, until successes refill it."""
        budget = RetryBudget(0.1, capacity=2.0)
        assert [budget.take() for _ in range(3)] == [True, True, False]
        for _ in range(11):
            budget.record_success()
        assert [budget.take() for _ in range(2)] == [True, False]
