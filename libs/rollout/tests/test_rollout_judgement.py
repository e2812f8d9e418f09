"""A version is judged by what was seen of it and of the others, at any moment."""

from random import Random

from berylwalk.rollout import CrashCounts, NewVersionKey, OldVersionKey, Tally, judge

TRIALS = 300
ANSWERS = 150
FALSELY = 0.01
"""Share of good versions that may be taken for bad, over all looks."""
MISSED = 0.01
"""Share of bad versions that may be missed."""


def tally(random, answers, share):
    """Return answers of which a share is bad, by chance."""
    return Tally(answers, sum(random.random() < share for _ in range(answers)), 0)


def looks(random, *, new_share, old_share, route=""):
    """Yield what is known after each answer of the new version."""
    new, old = {}, {}
    for number in range(ANSWERS):
        epoch = number // 30
        row = NewVersionKey(epoch, f"t{epoch}{number % 3}", f"r{number % 2}")
        share = new_share if route in ("", row.route) else old_share
        new[row] = new.get(row, Tally()).plus(tally(random, 1, share))
        old_row = OldVersionKey(epoch, row.route)
        old[old_row] = old.get(old_row, Tally()).plus(tally(random, 10, old_share))
        yield new, old


def judged_bad(seed, **shares):
    """Return after how many answers a version is judged bad; None if it never is."""
    for number, (new, old) in enumerate(looks(Random(seed), **shares)):
        if judge(new, old).is_bad:
            return number + 1
    return None


class TestErrors:
    """Rates of errors, with a look after each answer."""

    def test_good_versions_are_not_reverted(self):
        """Whether few or many answers of all versions are bad."""
        for share in (0.0, 0.02, 0.25):
            falsely = sum(
                judged_bad(seed, new_share=share, old_share=share) is not None
                for seed in range(TRIALS // 3)
            )
            assert falsely <= FALSELY * TRIALS / 3

    def test_bad_versions_are_found(self):
        """Long before they have had their share."""
        found = [
            judged_bad(seed, new_share=0.35, old_share=0.02)
            for seed in range(TRIALS // 3)
        ]
        assert sum(each is None for each in found) <= MISSED * TRIALS / 3
        assert sorted(each or ANSWERS for each in found)[len(found) // 2] < 60

    def test_bad_on_one_route_only(self):
        """Half of the answers say nothing of it."""
        found = [
            judged_bad(seed, new_share=0.6, old_share=0.02, route="r1")
            for seed in range(TRIALS // 6)
        ]
        assert all(found)


class TestTargets:
    """One target is not the version."""

    def test_one_grey_target_of_several(self):
        """It is left out, whatever it answers."""
        new = {
            NewVersionKey(0, "grey", "r"): Tally(40, 40, 0),
            NewVersionKey(0, "well", "r"): Tally(40, 0, 0),
        }
        old = {OldVersionKey(0, "r"): Tally(400, 4, 0)}
        assert not judge(new, old).is_bad

    def test_first_target_alone_says_nothing(self):
        """Others come with the next epoch."""
        new = {NewVersionKey(0, "t", "r"): Tally(40, 40, 0)}
        assert not judge(new, {}).is_bad

    def test_two_bad_targets(self):
        """Then it is the version."""
        rows = {
            NewVersionKey(0, f"t{each}", "r"): Tally(20, 10, 0) for each in range(2)
        }
        assert judge(rows, {OldVersionKey(0, "r"): Tally(400, 4, 0)}).is_bad

    def test_targets_that_end_under_requests(self):
        """Three of them are the version, if the others don't end as well."""
        new = {NewVersionKey(0, "t", "r"): Tally(20, 0, 0)}
        assert not judge(new, {}, CrashCounts(new=2, old=0)).is_bad
        assert judge(new, {}, CrashCounts(new=3, old=0)).is_bad
        assert not judge(new, {}, CrashCounts(new=3, old=2)).is_bad


class TestSameSeconds:
    """What hits both versions at once is not the new one's fault."""

    def test_burst_in_the_only_epoch_that_the_new_one_saw(self):
        """Though the old one's share is low over the whole time."""
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
