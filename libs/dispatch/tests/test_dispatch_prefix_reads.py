"""Placement of prompts whose prefix is cached at a target."""

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
from berylwalk.dispatch._prefix_cache_index import MAX_PENDING_UPDATES, MAX_PREFIXES

NOW = 100.0
PROMPT = Work(6_000, 100, SharedPrefix(7, 5_000))
OTHER = Work(6_000, 100, SharedPrefix(8, 5_000))


def make_dispatcher(*entries):
    """Return a dispatcher in one failure domain, and its targets."""
    targets = TargetTable()
    targets.replace(entries, NOW)
    return Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0), targets


def place(dispatcher, work, *, start_by=NOW + 1.0):
    """Return the id of the target that a request gets."""
    pending = PendingRequest(
        service="s",
        rank=(0, 0),
        work=work,
        on_placed=lambda target: None,
        deadline=NOW + 10.0,
        start_by=start_by,
    )
    target = dispatcher.submit(pending, NOW)
    return None if target is None else target.entry.target_id


class TestPlacement:
    """Target of a prompt."""

    def test_target_with_cached_prefix_is_preferred(self):
        """Even if an equal target precedes it."""
        dispatcher, _ = make_dispatcher(entry("a"), entry("b"))
        assert place(dispatcher, PROMPT) == "a"
        dispatcher.prefix_cache_index.note_sent(PROMPT, "b")
        assert place(dispatcher, PROMPT) == "b"
        assert place(dispatcher, OTHER) == "a"

    def test_remote_cached_prefix_outweighs_local_prefill(self):
        """A cached prefix saves more than the remote traffic costs."""
        dispatcher, _ = make_dispatcher(entry("a"), entry("b", failure_domain="fd-b"))
        dispatcher.prefix_cache_index.note_sent(PROMPT, "b")
        assert place(dispatcher, PROMPT) == "b"

    def test_popular_prefix_spreads_to_other_targets(self):
        """A target that would start late is skipped; the next one caches the prefix."""
        dispatcher, targets = make_dispatcher(entry("a"), entry("b"))
        dispatcher.prefix_cache_index.note_sent(PROMPT, "b")
        for _ in range(3):
            targets.by_id["b"].note_sent(Work(40_000, 100), NOW)
        assert place(dispatcher, PROMPT) == "a"
        dispatcher.prefix_cache_index.note_sent(PROMPT, "a")
        assert dispatcher.prefix_cache_index.cached_tokens(PROMPT) == {
            "a": 5_000,
            "b": 5_000,
        }

    def test_slow_target_with_cached_prefix_is_avoided(self):
        """The saved prefill time must not outweigh a much slower output."""
        dispatcher, targets = make_dispatcher(entry("a"), entry("b"))
        dispatcher.prefix_cache_index.note_sent(PROMPT, "b")
        targets.by_id["a"].note_output(1_000, 100, 3.0)
        targets.by_id["b"].note_output(1_000, 100, 60.0)
        assert place(dispatcher, PROMPT) == "a"

    def test_restart_clears_the_cache(self):
        """A new incarnation has nothing cached."""
        dispatcher, targets = make_dispatcher(entry("a"), entry("b", started_ms=1_000))
        incarnation_id = targets.by_id["b"].entry.incarnation_id
        dispatcher.prefix_cache_index.note_sent(PROMPT, incarnation_id)
        assert place(dispatcher, PROMPT) == "b"
        targets.update(entry("b", started_ms=9_000), NOW)
        assert place(dispatcher, PROMPT) == "a"

    def test_short_prefixes_are_ignored(self):
        """Their prefill takes a few milliseconds."""
        short = Work(600, 100, SharedPrefix(7, 100))
        dispatcher, _ = make_dispatcher(entry("a"), entry("b"))
        dispatcher.prefix_cache_index.note_sent(short, "b")
        assert place(dispatcher, short) == "a"
        assert dispatcher.prefix_cache_index.take_updates() == []


class TestFirstEventEstimate:
    """Cached tokens need no prefill."""

    def test_only_uncached_tokens_need_prefill(self):
        _, targets = make_dispatcher(entry("a"))
        target = targets.by_id["a"]
        whole = estimate_first_event(target, PROMPT)
        rest = estimate_first_event(target, PROMPT, cached_tokens=5_000)
        assert (whole.own_tokens, rest.own_tokens) == (6_000, 1_000)
        assert rest.prefill_s < 0.2 * whole.prefill_s

    def test_model_is_not_biased_by_cached_tokens(self):
        """A fast start with a cached prefix must not count as fast prefill."""
        _, targets = make_dispatcher(entry("a"), entry("b"))
        prefill_s = {}
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
            prefill_s[target_id] = target.first_event_model.prefill_s(0.004, 0, 6_000)
        assert prefill_s["a"] == pytest.approx(prefill_s["b"], rel=0.1)


class TestIndex:
    """Own and peer placements."""

    def test_peer_placements_are_not_forwarded(self):
        """They are indexed, but only relays forward them."""
        own, other = PrefixCacheIndex(), PrefixCacheIndex()
        own.note_sent(PROMPT, "b")
        other.merge(own.take_updates())
        assert other.cached_tokens(PROMPT) == {"b": 5_000}
        assert other.take_updates() == []
        assert own.take_updates() == []

    def test_cached_tokens_are_bounded_by_the_prompt(self):
        """Token counts from a caller may contradict each other."""
        index = PrefixCacheIndex()
        inconsistent = Work(1_000, 10, SharedPrefix(7, 9_000))
        index.note_sent(inconsistent, "b")
        assert index.cached_tokens(inconsistent) == {"b": 1_000}

    def test_index_and_updates_are_bounded(self):
        """Callers choose the prefix ids, so their number is unbounded."""
        index = PrefixCacheIndex()
        for key in range(3 * MAX_PREFIXES):
            index.note_sent(Work(6_000, 10, SharedPrefix(key, 5_000)), "b")
        assert len(index._history) == MAX_PREFIXES
        assert len(index.take_updates()) == MAX_PENDING_UPDATES
        oldest = Work(6_000, 10, SharedPrefix(0, 5_000))
        assert index.cached_tokens(oldest) == {}
