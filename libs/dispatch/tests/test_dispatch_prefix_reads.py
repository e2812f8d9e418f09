"""Prompts that share parts go where those have been read."""

import pytest
from listed_targets import entry

from berylwalk.dispatch import (
    Dispatcher,
    PendingRequest,
    PrefixCacheIndex,
    SharedPrefix,
    TargetTable,
    Work,
    estimate_first_event,
)
from berylwalk.dispatch._prefix_cache_index import MOST_NEWS, REMEMBERED

NOW = 100.0
PROMPT = Work(6_000, 100, SharedPrefix(7, 5_000))
OTHER = Work(6_000, 100, SharedPrefix(8, 5_000))


def dispatcher(*entries):
    """Return a dispatcher of a router in one failure domain, and its targets."""
    targets = TargetTable()
    targets.replace(entries, NOW)
    return Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0), targets


def place(line, work, *, start_by=NOW + 1.0):
    """Return the id of the target that a request gets."""
    pending = PendingRequest(
        service="s",
        rank=(0, 0),
        work=work,
        on_placed=lambda target: None,
        deadline=NOW + 10.0,
        start_by=start_by,
    )
    target = line.submit(pending, NOW)
    return None if target is None else target.entry.target_id


class TestPlacing:
    """Where a prompt goes."""

    def test_prompt_goes_where_its_parts_were_read(self):
        """Though an equal target stands first."""
        line, _ = dispatcher(entry("a"), entry("b"))
        assert place(line, PROMPT) == "a"
        line.prefix_cache_index.note_sent(PROMPT, "b")
        assert place(line, PROMPT) == "b"
        assert place(line, OTHER) == "a"

    def test_bytes_to_another_failure_domain_cost_less_than_reading(self):
        """What is known of targets there is older, but they need not read it."""
        line, _ = dispatcher(entry("a"), entry("b", failure_domain="fd-b"))
        line.prefix_cache_index.note_sent(PROMPT, "b")
        assert place(line, PROMPT) == "b"

    def test_prefix_in_much_demand_is_spread(self):
        """A target that would begin late is passed over, and the next one reads it."""
        line, targets = dispatcher(entry("a"), entry("b"))
        line.prefix_cache_index.note_sent(PROMPT, "b")
        for _ in range(3):
            targets.by_id["b"].note_sent(Work(40_000, 100), NOW)
        assert place(line, PROMPT) == "a"
        line.prefix_cache_index.note_sent(PROMPT, "a")
        assert line.prefix_cache_index.cached_tokens(PROMPT) == {"a": 5_000, "b": 5_000}

    def test_slow_target_gets_nothing_that_it_would_hold_up(self):
        """Reading is saved, but the answer takes ten times as long there."""
        line, targets = dispatcher(entry("a"), entry("b"))
        line.prefix_cache_index.note_sent(PROMPT, "b")
        targets.by_id["a"].note_output(1_000, 100, 3.0)
        targets.by_id["b"].note_output(1_000, 100, 60.0)
        assert place(line, PROMPT) == "a"

    def test_next_life_of_a_target_has_read_nothing(self):
        """Its memory went with the life before."""
        line, targets = dispatcher(entry("a"), entry("b", started_ms=1_000))
        incarnation_id = targets.by_id["b"].entry.incarnation_id
        line.prefix_cache_index.note_sent(PROMPT, incarnation_id)
        assert place(line, PROMPT) == "b"
        targets.update(entry("b", started_ms=9_000), NOW)
        assert place(line, PROMPT) == "a"

    def test_short_parts_are_no_reason(self):
        """They are read in a few milliseconds."""
        short = Work(600, 100, SharedPrefix(7, 100))
        line, _ = dispatcher(entry("a"), entry("b"))
        line.prefix_cache_index.note_sent(short, "b")
        assert place(line, short) == "a"
        assert line.prefix_cache_index.take_updates() == []


class TestExpectedStart:
    """What is read already takes no time."""

    def test_only_the_rest_is_read(self):
        _, targets = dispatcher(entry("a"))
        target = targets.by_id["a"]
        whole = estimate_first_event(target, PROMPT)
        rest = estimate_first_event(target, PROMPT, cached_tokens=5_000)
        assert (whole.own_tokens, rest.own_tokens) == (6_000, 1_000)
        assert rest.reading_s < 0.2 * whole.reading_s

    def test_model_learns_from_what_was_read(self):
        """A start that is short since parts were held tells of no fast reading."""
        _, targets = dispatcher(entry("a"), entry("b"))
        reading_s = {}
        for target_id, cached_tokens in (("a", 5_000), ("b", 0)):
            target = targets.by_id[target_id]
            target.first_event_model = type(target.first_event_model)()
            target.note_output(1_000, 100, 4.0)
            for _ in range(64):
                target.note_sent(PROMPT, NOW)
                start = estimate_first_event(
                    target, PROMPT, cached_tokens=cached_tokens
                )
                target.note_first_event(PROMPT, start, start.total_s)
                target.note_finished(PROMPT, had_first_event=True)
            reading_s[target_id] = target.first_event_model.reading_s(0.004, 0, 6_000)
        assert reading_s["a"] == pytest.approx(reading_s["b"], rel=0.1)


class TestReads:
    """What is remembered and told."""

    def test_what_others_sent_counts_as_ones_own(self):
        """But it is not told on: relays do that."""
        mine, theirs = PrefixCacheIndex(), PrefixCacheIndex()
        mine.note_sent(PROMPT, "b")
        theirs.merge(mine.take_updates())
        assert theirs.cached_tokens(PROMPT) == {"b": 5_000}
        assert theirs.take_updates() == []
        assert mine.take_updates() == []

    def test_no_more_is_held_than_the_prompt_has(self):
        """The counts of a caller may contradict each other."""
        reads = PrefixCacheIndex()
        odd = Work(1_000, 10, SharedPrefix(7, 9_000))
        reads.note_sent(odd, "b")
        assert reads.cached_tokens(odd) == {"b": 1_000}

    def test_memory_and_news_are_bounded(self):
        """Callers choose the ids of parts."""
        reads = PrefixCacheIndex()
        for key in range(3 * REMEMBERED):
            reads.note_sent(Work(6_000, 10, SharedPrefix(key, 5_000)), "b")
        assert len(reads._history) == REMEMBERED
        assert len(reads.take_updates()) == MOST_NEWS
        oldest = Work(6_000, 10, SharedPrefix(0, 5_000))
        assert reads.cached_tokens(oldest) == {}
