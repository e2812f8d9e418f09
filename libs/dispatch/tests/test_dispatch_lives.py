"""One life of a target is its id and when it started."""

from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.dispatch import TargetEntry, TargetSpeed, TargetState, TargetTable, Work

NOW = 100.0
FAST = TargetSpeed(
    fixed_s=0.01, slot_s=0.02, output_token_s=0.003, event_s=0.003, paused_share=0.0
)


def entry(started_ms, *, target_id="a", port=1, state=TargetState.READY):
    """Return an entry of a life."""
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
    """Return a table that has taken entries one after the other."""
    targets = TargetTable()
    for each in entries:
        targets.update(each, NOW)
    return targets


class TestNewLife:
    """A target starts again under its id."""

    def test_nothing_of_the_former_life_is_left(self):
        """Places counted, errors, silence and speed are those of a new target."""
        targets = table(entry(1000))
        former = targets.by_id["a"]
        former.note_sent(Work(500, 10), NOW)
        former.note_error()
        former.adopt_speed(FAST)
        targets.replace_peer_loads("peer", {former.entry.incarnation_id: (2, 800)})
        targets.update(entry(2000), NOW)
        new = targets.by_id["a"]
        assert (new.total_in_flight, new.unread_tokens, new.error_rate) == (0, 0, 0.0)
        assert (new.output_token_s, new.awaiting_since) == (None, None)
        assert targets.pop_ended_incarnations() == [former]
        assert targets.pop_ended_incarnations() == []

    def test_those_that_wait_for_the_former_life_are_told(self):
        """Each once, and nobody of the new one."""
        targets = table(entry(1000))
        told = []
        targets.by_id["a"].on_incarnation_ended.add(lambda: told.append("former"))
        targets.update(entry(2000), NOW)
        targets.by_id["a"].on_incarnation_ended.add(lambda: told.append("new"))
        targets.update(entry(2000, state=TargetState.DRAINING), NOW)
        assert told == ["former"]

    def test_loads_of_peers_count_for_the_life_that_they_name(self):
        """A peer may know the new life earlier or later than this router."""
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

    def test_speed_that_was_noted_is_of_one_life(self):
        """A new life may run on another machine, or have another load."""
        targets = table(entry(1000))
        targets.adopt({entry(1000).incarnation_id: FAST}, {})
        assert targets.by_id["a"].output_token_s == FAST.output_token_s
        targets.update(entry(2000), NOW)
        assert targets.by_id["a"].output_token_s is None


class TestSameLife:
    """What is no new life."""

    def test_late_entry_of_an_earlier_life_changes_nothing(self):
        """Neither beside the later life nor soon after its end."""
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

    def test_target_that_tells_its_start_later(self):
        """Its requests go on, and peers that know less are not counted twice."""
        targets = table(entry(None))
        known = targets.by_id["a"]
        targets.replace_peer_loads("peer", {"a": (2, 20)})
        targets.update(entry(1000), NOW)
        assert targets.by_id["a"] is known
        assert known.total_in_flight == 0
        targets.replace_peer_loads("peer", {known.entry.incarnation_id: (2, 20)})
        assert known.total_in_flight == 2

    def test_without_starts_an_id_is_a_life(self):
        """As the platform's earlier versions have it."""
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


class TestAnyOrder:
    """Events of three lives, late, doubled and out of order."""

    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    @given(EVENTS)
    def test_lives_only_follow_each_other(self, events):
        """No life comes back, and each counts only what was sent to it."""
        targets = TargetTable()
        sent_by_life, told = {}, []
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
                life = target.entry.started_ms
                sent_by_life[life] = sent_by_life.get(life, 0) + 1
                target.on_incarnation_ended.add(lambda life=life: told.append(life))
            target = targets.by_id.get("a")
            if target is None:
                sent_by_life = {}
                continue
            life = target.entry.started_ms
            assert life >= newest
            newest = life
            if seen[-1:] != [life]:
                seen.append(life)
            assert target.in_flight == sent_by_life.get(life, 0)
            expected = peer.get(target.entry.incarnation_id, (0, 0))[0]
            assert target.peer_in_flight == expected
            assert all(each < life for each in told)
        assert seen == sorted(set(seen))
