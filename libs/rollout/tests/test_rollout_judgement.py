"""Error rates and exclusions of the test that rejects bad versions."""

from random import Random

from berylwalk.rollout import CrashCounts, NewVersionKey, OldVersionKey, Tally, judge
from berylwalk.rollout._verdict import exclude_worst_targets

TRIALS = 300
ANSWERS = 150
MAX_FALSE_REJECTIONS = 0.01
"""Share of good versions that may be rejected."""
MAX_MISSED = 0.01
"""Share of bad versions that may be missed."""


def tally(random, answers, share):
    """Return answers of which each is bad with a probability."""
    return Tally(answers, sum(random.random() < share for _ in range(answers)), 0)


def evidence_by_answer(random, *, new_share, old_share, route=""):
    """Yield the tallies of both versions after each answer of the new one."""
    new, old = {}, {}
    for number in range(ANSWERS):
        epoch = number // 30
        key = NewVersionKey(epoch, f"t{epoch}{number % 3}", f"r{number % 2}")
        share = new_share if route in ("", key.route) else old_share
        new[key] = new.get(key, Tally()).plus(tally(random, 1, share))
        old_key = OldVersionKey(epoch, key.route)
        old[old_key] = old.get(old_key, Tally()).plus(tally(random, 10, old_share))
        yield new, old


def rejected_after(seed, **shares):
    """Return the number of answers until the rejection; None if there is none."""
    for number, (new, old) in enumerate(evidence_by_answer(Random(seed), **shares)):
        if judge(new, old).is_bad:
            return number + 1
    return None


class TestErrors:
    """Error rates of the test when it is repeated after each answer."""

    def test_good_versions_are_not_rejected(self):
        """The rate must hold whether few or many answers of all versions are bad."""
        for share in (0.0, 0.02, 0.25):
            rejected = sum(
                rejected_after(seed, new_share=share, old_share=share) is not None
                for seed in range(TRIALS // 3)
            )
            assert rejected <= MAX_FALSE_REJECTIONS * TRIALS / 3

    def test_bad_versions_are_rejected(self):
        """Half of them must be rejected within 60 answers."""
        found = [
            rejected_after(seed, new_share=0.35, old_share=0.02)
            for seed in range(TRIALS // 3)
        ]
        assert sum(each is None for each in found) <= MAX_MISSED * TRIALS / 3
        assert sorted(each or ANSWERS for each in found)[len(found) // 2] < 60

    def test_version_that_is_bad_on_one_route_is_rejected(self):
        """Answers of the other route must not hide it."""
        found = [
            rejected_after(seed, new_share=0.6, old_share=0.02, route="r1")
            for seed in range(TRIALS // 6)
        ]
        assert all(found)


class TestTargets:
    """Bad targets are distinguished from a bad version."""

    def test_single_bad_target_is_excluded(self):
        """One failing target must not get the version rejected."""
        new = {
            NewVersionKey(0, "bad", "r"): Tally(40, 40, 0),
            NewVersionKey(0, "good", "r"): Tally(40, 0, 0),
        }
        old = {OldVersionKey(0, "r"): Tally(400, 4, 0)}
        assert not judge(new, old).is_bad

    def test_first_target_alone_does_not_decide(self):
        """A version must not be rejected by answers of one target only."""
        new = {NewVersionKey(0, "t", "r"): Tally(40, 40, 0)}
        assert not judge(new, {}).is_bad

    def test_two_bad_targets_reject_the_version(self):
        """Excluding the worst target must not hide a bad version."""
        rows = {
            NewVersionKey(0, f"t{each}", "r"): Tally(20, 10, 0) for each in range(2)
        }
        assert judge(rows, {OldVersionKey(0, "r"): Tally(400, 4, 0)}).is_bad

    def test_excluded_target_among_equally_many_bad_answers_has_the_fewest(self):
        """The answers of the most used target must support a good version."""
        most_used = NewVersionKey(0, "a", "r")
        new = {
            most_used: Tally(100, 0, 1),
            NewVersionKey(0, "b", "r"): Tally(14, 0, 1),
        }
        assert list(exclude_worst_targets(new)) == [most_used]
        assert judge(new, {OldVersionKey(0, "r"): Tally(400, 4, 0)}).is_clearly_good

    def few_answers(self, bad_targets, bad):
        """Return the tallies of 16 targets with 5 answers each."""
        return {
            NewVersionKey(0, f"t{number:02}", "r"): Tally(
                5, 0, bad if number < bad_targets else 0
            )
            for number in range(16)
        }

    def test_worst_targets_do_not_hide_that_a_version_is_slow_at_many(self):
        """The worst quarter may have all its bad answers."""
        old = {OldVersionKey(0, "r"): Tally(400, 4, 0)}
        verdict = judge(self.few_answers(4, 2), old)
        assert not verdict.is_bad
        assert not verdict.is_clearly_good

    def test_one_bad_target_does_not_hide_that_a_version_is_good(self):
        """It is excluded from the acceptance, too."""
        old = {OldVersionKey(0, "r"): Tally(400, 4, 0)}
        assert judge(self.few_answers(1, 5), old).is_clearly_good

    def test_version_with_one_target_that_fails_is_not_accepted(self):
        """It isn't rejected either by the answers of one target."""
        new = {NewVersionKey(0, "t", "r"): Tally(40, 40, 0)}
        verdict = judge(new, {OldVersionKey(0, "r"): Tally(400, 4, 0)})
        assert not verdict.is_clearly_good

    def test_three_crashed_targets_reject_the_version(self):
        """Unless targets of other versions crash as well."""
        new = {NewVersionKey(0, "t", "r"): Tally(20, 0, 0)}
        assert not judge(new, {}, CrashCounts(new=2, old=0)).is_bad
        assert judge(new, {}, CrashCounts(new=3, old=0)).is_bad
        assert not judge(new, {}, CrashCounts(new=3, old=2)).is_bad


class TestBursts:
    """Disturbances of both versions must not be attributed to the new one."""

    def test_burst_in_the_only_epoch_with_answers(self):
        """The old version's low share over all epochs must not be the reference."""
        new = {
            NewVersionKey(5, "a", "r"): Tally(40, 0, 12),
            NewVersionKey(5, "b", "r"): Tally(40, 0, 12),
        }
        old = {
            OldVersionKey(1, "r"): Tally(2000, 0, 20),
            OldVersionKey(5, "r"): Tally(200, 0, 60),
        }
        assert not judge(new, old).is_bad
        assert judge(new, {OldVersionKey(1, "r"): Tally(2000, 0, 20)}).is_bad
