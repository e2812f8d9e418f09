"""Who is to blame for targets that ended."""

from berylwalk.quarantine import CRASHES_TO_BLAME, attribute_crashes

GUILTY, OTHER, HARMLESS = b"guilty", b"other", b"harmless"


class TestBlame:
    """The fewest requests that explain the ends."""

    def test_three_ends_are_needed(self):
        """Two make a suspect."""
        assert attribute_crashes({GUILTY: "ab"}).blamed == {}
        assert attribute_crashes({GUILTY: "ab"}).suspected == {GUILTY}
        assert set(attribute_crashes({GUILTY: "abc"}).blamed) == {GUILTY}

    def test_who_was_there_too_is_not_blamed(self):
        """However often: the ends are explained."""
        judgement = attribute_crashes({GUILTY: "abcde", HARMLESS: "abcd"})
        assert set(judgement.blamed) == {GUILTY}
        assert judgement.suspected == set()

    def test_what_is_left_counts_for_the_next(self):
        """Two guilty requests that met are both found."""
        judgement = attribute_crashes({GUILTY: "abcdef", OTHER: "efghi"})
        assert set(judgement.blamed) == {GUILTY, OTHER}

    def test_blame_passes_to_who_explains_more(self):
        """A harmless request that was blamed first is freed by the next end."""
        assert set(attribute_crashes({GUILTY: "bcd", HARMLESS: "abc"}).blamed) == {
            GUILTY,
            HARMLESS,
        }
        assert set(attribute_crashes({GUILTY: "bcde", HARMLESS: "abc"}).blamed) == {
            GUILTY
        }

    def test_alike_are_blamed_together_and_contested(self):
        """Only their trials tell them apart."""
        judgement = attribute_crashes({GUILTY: "abc", HARMLESS: "abc"})
        assert set(judgement.blamed) == {GUILTY, HARMLESS}
        assert judgement.contested == {GUILTY, HARMLESS}

    def test_alone_is_not_contested(self):
        """Others with one of the ends are no rivals."""
        judgement = attribute_crashes({GUILTY: "abc", HARMLESS: "a", OTHER: "c"})
        assert judgement.contested == set()

    def test_bound_is_that_of_the_promise(self):
        """Callers are promised that a request is served until three ends."""
        assert CRASHES_TO_BLAME == 3
