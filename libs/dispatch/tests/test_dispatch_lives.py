"""Incarnations of a target: same id, different start times."""

from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.dispatch import TargetEntry, TargetSpeed, TargetState, TargetTable, Work

NOW = 100.0
FAST = TargetSpeed(
    fixed_s=0.01, slot_s=0.02, output_token_s=0.003, event_s=0.003, paused_share=0.0
)


def entry(started_ms, *, target_id="a", port=1, state=TargetState.READY):
    """Return the entry of an incarnation."""
    return TargetEntry(
        target_id=target_id,
        service="s",
        host="127.0.0.1",
        port=port,
        failure_domain="fd",
        slots=4,
        state=state,
        started_ms=started_ms,
    )


def table(*entries):
    """Return a table to which entries were applied in order."""
    targets = TargetTable()
    for each in entries:
        targets.update(each, NOW)
    return targets


class TestRestart:
    """A target restarts under the same id."""

    def test_state_is_reset(self):
        """Load, error rate, silence and speed must not carry over."""
        targets = table(entry(1000))
        previous = targets.by_id["a"]
        previous.note_sent(Work(500, 10), NOW)
        previous.note_error()
        previous.adopt_speed(FAST)
        targets.replace_peer_loads("peer", {previous.entry.incarnation_id: (2, 800)})
        targets.update(entry(2000), NOW)
        new = targets.by_id["a"]
        assert (new.total_in_flight, new.queued_prompt_tokens, new.error_rate) == (
            0,
            0,
            0.0,
        )
        assert (new.output_token_s, new.awaiting_since) == (None, None)
        assert targets.pop_ended_incarnations() == [previous]
        assert targets.pop_ended_incarnations() == []

    def test_subscribers_of_the_previous_incarnation_are_notified(self):
        """Once each, and not those of the new incarnation."""
        targets = table(entry(1000))
        notified = []
        targets.by_id["a"].on_incarnation_ended.add(lambda: notified.append("former"))
        targets.update(entry(2000), NOW)
        targets.by_id["a"].on_incarnation_ended.add(lambda: notified.append("new"))
        targets.update(entry(2000, state=TargetState.DRAINING), NOW)
        assert notified == ["former"]

    def test_peer_loads_count_for_their_incarnation(self):
        """Peers may learn of the restart earlier or later than this router."""
        targets = table(entry(1000))
        later = entry(2000).incarnation_id
        targets.replace_peer_loads("ahead", {later: (3, 30)})
        targets.replace_peer_loads("behind", {entry(1000).incarnation_id: (1, 10)})
        assert targets.by_id["a"].total_in_flight == 1
        targets.update(entry(2000), NOW)
        assert targets.by_id["a"].total_in_flight == 3
        targets.replace_peer_loads("behind", {})
        targets.replace_peer_loads("ahead", {later: (2, 20)})
        assert targets.by_id["a"].total_in_flight == 2

    def test_stored_speed_applies_to_one_incarnation(self):
        """A new incarnation may run on another machine."""
        targets = table(entry(1000))
        targets.adopt({entry(1000).incarnation_id: FAST}, {})
        assert targets.by_id["a"].output_token_s == FAST.output_token_s
        targets.update(entry(2000), NOW)
        assert targets.by_id["a"].output_token_s is None


class TestSameIncarnation:
    """Entries that are no restart."""

    def test_stale_entry_is_ignored(self):
        """An entry of an earlier incarnation may be written late."""
        targets = table(entry(2000))
        known = targets.by_id["a"]
        targets.update(entry(1000, port=9), NOW)
        assert targets.by_id["a"] is known
        assert known.entry.port == 1
        targets.discard("a", NOW)
        targets.update(entry(1000, port=9), NOW + 1)
        assert targets.by_id == {}
        targets.update(entry(1000, port=9), NOW + 100)
        assert targets.by_id["a"].entry.port == 9

    def test_start_time_may_be_added_later(self):
        """Open requests stay counted, and loads by the old id are not added."""
        targets = table(entry(None))
        known = targets.by_id["a"]
        targets.replace_peer_loads("peer", {"a": (2, 20)})
        targets.update(entry(1000), NOW)
        assert targets.by_id["a"] is known
        assert known.total_in_flight == 0
        targets.replace_peer_loads("peer", {known.entry.incarnation_id: (2, 20)})
        assert known.total_in_flight == 2

    def test_without_start_time_an_id_is_one_incarnation(self):
        """Earlier versions of the platform publish no start time."""
        targets = table(entry(None), entry(None, port=2))
        assert targets.pop_ended_incarnations() == []
        assert targets.by_id["a"].entry.incarnation_id == "a"


STARTS = st.sampled_from([1000, 2000, 3000])
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("entry"), STARTS),
        st.tuples(st.just("list"), STARTS),
        st.tuples(st.just("removed"), st.none()),
        st.tuples(st.just("sent"), st.none()),
        st.tuples(st.just("peer"), STARTS),
    ),
    max_size=30,
)


class TestEventOrder:
    """Late, duplicate and reordered events of three incarnations."""

    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    @given(EVENTS)
    def test_incarnations_never_go_back(self, events):
        """None is restored after its end, and each counts only its own requests."""
        targets = TargetTable()
        sent_by_start, notified = {}, []
        seen, newest, now, peer = [], 0, NOW, {}
        for kind, value in events:
            now += 0.1
            if kind == "entry":
                targets.update(entry(value), now)
            elif kind == "list":
                targets.replace([entry(value)], now)
            elif kind == "removed":
                targets.remove("a", now)
            elif kind == "peer":
                peer = {entry(value).incarnation_id: (1, 10)}
                targets.replace_peer_loads("peer", peer)
            elif "a" in targets.by_id:
                target = targets.by_id["a"]
                target.note_sent(Work(), now)
                started_ms = target.entry.started_ms
                sent_by_start[started_ms] = sent_by_start.get(started_ms, 0) + 1
                target.on_incarnation_ended.add(
                    lambda started_ms=started_ms: notified.append(started_ms)
                )
            target = targets.by_id.get("a")
            if target is None:
                sent_by_start = {}
                continue
            started_ms = target.entry.started_ms
            assert started_ms >= newest
            newest = started_ms
            if seen[-1:] != [started_ms]:
                seen.append(started_ms)
            assert target.in_flight == sent_by_start.get(started_ms, 0)
            expected = peer.get(target.entry.incarnation_id, (0, 0))[0]
            assert target.peer_in_flight == expected
            assert all(each < started_ms for each in notified)
        assert seen == sorted(set(seen))
