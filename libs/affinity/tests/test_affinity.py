"""History of processed prefixes, and their hashes."""

from berylwalk.affinity import PlacementHistory, parts_hash


class TestPlacementHistory:
    def test_longest_known_prefix_counts(self):
        """Each agent must be credited with its longest known prefix."""
        history = PlacementHistory()
        history.record((1, 2), "a")
        history.record((1, 2, 3), "b")
        assert history.covered_blocks((1, 2, 3, 4)) == {"b": 3, "a": 2}
        history.forget("b")
        assert history.covered_blocks((1, 2, 3, 4)) == {"a": 2}

    def test_size_is_bounded_and_long_prefixes_are_evicted_first(self):
        """A shared prefix must outlive the tails of old prompts."""
        history = PlacementHistory(size=3)
        history.record((1, 2), "a")
        history.record((1, 9), "b")
        history.record((1, 8), "b")
        assert len(history) == 3
        assert history.covered_blocks((1, 2)) == {"b": 1, "a": 1}


class TestPartsHash:
    def test_ids_and_their_order_count(self):
        """The hash must be the same in all processes, as routers exchange it."""
        assert parts_hash([b"a", b"b"]) == 402491539
        assert parts_hash([b"b", b"a"]) != parts_hash([b"a", b"b"])
        assert parts_hash([b"ab"]) != parts_hash([b"a", b"b"])
