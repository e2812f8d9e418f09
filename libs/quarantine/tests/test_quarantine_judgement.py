"""Attribution of crashes to requests."""

from berylwalk.quarantine import CRASHES_TO_BLAME, attribute_crashes

POISON, OTHER, HARMLESS = b"poison", b"other", b"harmless"


class TestBlame:
    """The smallest set of requests that explains the crashes is blamed."""

    def test_three_crashes_are_needed(self):
        """Two crashes must only make a request suspected."""
        assert attribute_crashes({POISON: "ab"}).blamed == {}
        assert attribute_crashes({POISON: "ab"}).suspected == {POISON}
        assert set(attribute_crashes({POISON: "abc"}).blamed) == {POISON}

    def test_request_beside_a_poison_request_is_not_blamed(self):
        """Crashes that another request explains must not count."""
        attribution = attribute_crashes({POISON: "abcde", HARMLESS: "abcd"})
        assert set(attribution.blamed) == {POISON}
        assert attribution.suspected == set()

    def test_unexplained_crashes_count_for_the_next(self):
        """Two poison requests that share crashes must both be found."""
        attribution = attribute_crashes({POISON: "abcdef", OTHER: "efghi"})
        assert set(attribution.blamed) == {POISON, OTHER}

    def test_blame_moves_to_the_request_that_explains_more(self):
        """A harmless request that was blamed must be freed by the next crash."""
        assert set(attribute_crashes({POISON: "bcd", HARMLESS: "abc"}).blamed) == {
            POISON,
            HARMLESS,
        }
        assert set(attribute_crashes({POISON: "bcde", HARMLESS: "abc"}).blamed) == {
            POISON
        }

    def test_indistinguishable_requests_are_contested(self):
        """Both must be blamed: only their trials distinguish them."""
        attribution = attribute_crashes({POISON: "abc", HARMLESS: "abc"})
        assert set(attribution.blamed) == {POISON, HARMLESS}
        assert attribution.contested == {POISON, HARMLESS}

    def test_single_shared_crash_does_not_contest(self):
        """Requests that share one crash must not make the blame contested."""
        attribution = attribute_crashes({POISON: "abc", HARMLESS: "a", OTHER: "c"})
        assert attribution.contested == set()

    def test_documented_number_of_crashes(self):
        """The API promises that a request is served until the third crash."""
        assert CRASHES_TO_BLAME == 3
