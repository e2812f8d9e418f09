"""Beliefs about targets, and what they decide."""

import pytest
from listed_targets import entry

from berylwalk.dispatch import (
    Dispatcher,
    IneligibilityReason,
    PendingRequest,
    PlacementRequest,
    TargetState,
    TargetTable,
    Work,
    choose_target,
    concurrency_limit,
)

NOW = 100.0


def table(*entries):
    """Return a table with targets."""
    targets = TargetTable()
    targets.replace(entries, NOW)
    return targets


def choose(targets, *, work=None, excluded=(), now=NOW):
    """Return the id of the chosen target."""
    chosen = choose_target(
        targets.of_service("s"),
        PlacementRequest(work=work or Work(), excluded=excluded),
        failure_domain="fd-a",
        now=now,
        draw=lambda: 0.0,
    )
    return None if chosen is None else chosen.entry.target_id


class TestList:
    """Entries that come, change and go."""

    def test_draining_target_gets_nothing(self):
        """It is still listed, and takes no new work."""
        targets = table(entry("a", state=TargetState.DRAINING))
        assert choose(targets) is None

    def test_missing_target_is_gone_at_once(self):
        """Without an outage a removed entry means that the target leaves."""
        targets = table(entry("a"), entry("b"))
        assert targets.replace([entry("b")], NOW) == ["a"]
        assert choose(targets) == "b"

    def test_entries_that_lapsed_in_an_outage_are_used_for_a_bounded_time(self):
        """They are back within the grace, or gone."""
        targets = table(entry("a"))
        targets.note_outage_ended(NOW)
        assert targets.replace([], NOW + 0.1) == []
        assert choose(targets, now=NOW + 0.1) == "a"
        assert targets.replace([], NOW + 2.1) == ["a"]

    def test_lapsed_entry_that_is_back_stays(self):
        """A target that is alive registers itself again."""
        targets = table(entry("a"))
        targets.note_outage_ended(NOW)
        targets.replace([], NOW + 0.1)
        targets.replace([entry("a")], NOW + 1.0)
        assert targets.replace([entry("a")], NOW + 3.0) == []


class TestHealth:
    """Targets that fail, observed from their answers."""

    def test_unreachable_target_is_set_aside_for_longer_each_time(self):
        """It is soon tried again at first, and less often later."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        pauses = []
        for _ in range(6):
            target.note_unreachable(NOW)
            pauses.append(target.backoff_until - NOW)
        assert pauses == sorted(pauses)
        assert pauses[0] < 0.5
        assert pauses[-1] <= 3.0

    def test_erroneous_target_gets_trial_requests_only(self):
        """One that fails many answers though it is there is tried seldom."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        for _ in range(10):
            target.note_error()
        target.last_sent_at = NOW
        assert choose(targets, now=NOW + 0.1) is None
        assert choose(targets, now=NOW + 0.6) == "a"

    def test_answers_restore_trust(self):
        """A target that answers properly again gets its part."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        for _ in range(10):
            target.note_error()
        for _ in range(20):
            target.note_success()
        target.last_sent_at = NOW
        assert choose(targets, now=NOW + 0.1) == "a"

    def test_silence_is_told_from_reading_a_long_prompt(self):
        """A target with a long prompt and no other request sends nothing."""
        targets = table(entry("a"), entry("b"))
        short, long = targets.by_id["a"], targets.by_id["b"]
        short.note_sent(Work(100), NOW)
        long.note_sent(Work(50_000), NOW)
        assert short.is_silent(NOW + 1.0)
        assert not long.is_silent(NOW + 1.0)

    def test_idle_target_is_not_silent(self):
        """Nothing is owed without a request."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        target.note_sent(Work(), NOW)
        target.note_finished(Work(), had_first_event=False)
        assert not target.is_silent(NOW + 1000.0)
        assert target.waiting_tokens == 0


class TestChoice:
    """Which target gets a request."""

    def test_measured_speed_counts(self):
        """A target half as fast gets the request only at half the load."""
        targets = table(entry("fast"), entry("slow"))
        targets.by_id["fast"].output_token_s = 0.002
        targets.by_id["slow"].output_token_s = 0.006
        assert choose(targets, work=Work(1000)) == "fast"
        for _ in range(3):
            targets.by_id["fast"].note_sent(Work(20_000), NOW)
        assert choose(targets, work=Work(1000)) == "slow"

    def test_load_of_peers_counts(self):
        """What other routers have there is part of the load."""
        targets = table(entry("a"), entry("b"))
        targets.replace_peer_loads("peer", {"a": (3, 30_000)})
        assert choose(targets) == "b"
        targets.replace_peer_loads("peer", {"b": (3, 30_000)})
        assert choose(targets) == "a"

    def test_loads_of_a_peer_hold_for_a_target_listed_later(self):
        """The message may come before the entry."""
        targets = table(entry("b"))
        targets.replace_peer_loads("peer", {"a": (3, 30_000)})
        targets.update(entry("a"), NOW)
        assert targets.by_id["a"].peer_in_flight == 3
        targets.replace_peer_loads("peer", {})
        assert targets.by_id["a"].peer_in_flight == 0

    def test_full_and_excluded_targets_are_passed_over(self):
        """None is chosen rather than a target that has no place."""
        targets = table(entry("a"), entry("b"))
        for _ in range(concurrency_limit(targets.by_id["a"])):
            targets.by_id["a"].note_sent(Work(), NOW)
        assert choose(targets) == "b"
        assert choose(targets, excluded={"b"}) is None

    @pytest.mark.parametrize(("slot_s", "more"), [(0.05, 4), (0.6, 1), (5.0, 0)])
    def test_slow_targets_get_fewer_places(self, slot_s, more):
        """What waits inside a slow target waits long."""
        target = table(entry("a")).by_id["a"]
        target.note_slot_time(slot_s)
        assert concurrency_limit(target) == 4 + more


class TestReservedPlaces:
    """Places that are left to the most urgent requests."""

    def filled(self, target):
        """Fill a target as far as less urgent requests may."""
        while target.total_in_flight < concurrency_limit(target, is_most_urgent=False):
            target.note_sent(Work(), NOW)

    def submit(self, dispatcher, rank, now=NOW):
        """Return the target that a request gets at once, if any."""
        pending = PendingRequest(
            service="s", rank=rank, work=Work(), on_placed=lambda target: None
        )
        return dispatcher.submit(pending, now)

    def test_less_urgent_ones_leave_them(self):
        """The line of this router tells nothing of those that wait elsewhere."""
        targets = table(entry("a", slots=12))
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        assert self.submit(dispatcher, (1, 0)) is not None
        self.filled(targets.by_id["a"])
        assert self.submit(dispatcher, (1, 1)) is None
        assert self.submit(dispatcher, (1, 0)) is not None

    def test_all_places_are_used_where_no_other_rank_is_seen(self):
        """A service with one kind of request loses nothing by it."""
        targets = table(entry("a", slots=12))
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        self.filled(targets.by_id["a"])
        assert self.submit(dispatcher, (1, 1)) is not None

    def test_rank_that_is_no_longer_seen_is_forgotten(self):
        """Places are not kept for those that don't come."""
        targets = table(entry("a", slots=12))
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        self.submit(dispatcher, (1, 0))
        self.filled(targets.by_id["a"])
        targets.by_id["a"].note_heard(NOW + 60.0)
        assert self.submit(dispatcher, (1, 1), NOW + 60.0) is not None


class TestPauses:
    """Prompts whose reading holds up the streams of a target."""

    def target_ids(self, work):
        """Return where a prompt goes: to a slow busy target or a fast one far off."""
        targets = table(entry("slow"), entry("fast", failure_domain="fd-b"))
        targets.by_id["slow"].output_token_s = 0.008
        targets.by_id["slow"].event_s = 0.064
        targets.by_id["fast"].output_token_s = 0.004
        targets.by_id["fast"].event_s = 0.032
        for target in targets.by_id.values():
            target.note_sent(Work(), NOW)
        chosen = choose_target(
            targets.of_service("s"),
            PlacementRequest(work=work, longest_pause_s=0.3),
            failure_domain="fd-a",
            now=NOW,
            remote_factor=4.0,
            draw=lambda: 0.0,
        )
        return chosen.entry.target_id

    def test_long_prompt_goes_where_it_holds_nobody_up(self):
        """A short one may be read beside streams of a slow target."""
        assert self.target_ids(Work(600, 100)) == "slow"
        assert self.target_ids(Work(7_000, 100)) == "fast"

    def test_target_with_many_pauses_is_avoided(self):
        """What was observed counts, whatever its cause."""
        targets = table(entry("a"), entry("b"))
        for _ in range(10):
            targets.by_id["a"].note_paused(True)
        chosen = choose_target(
            targets.of_service("s"),
            PlacementRequest(work=Work(10, 10), longest_pause_s=0.3),
            failure_domain="fd-a",
            now=NOW,
            draw=lambda: 0.0,
        )
        assert chosen.entry.target_id == "b"


class TestWaiting:
    """Requests that find no place."""

    def dispatcher(self, targets):
        """Return a dispatcher."""
        return Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)

    def pending(self, rank, granted, name):
        """Return a ticket that notes its name when it gets a place."""

        def on_placed(target):
            target.note_sent(Work(), NOW)
            granted.append(name)

        return PendingRequest(service="s", rank=rank, work=Work(), on_placed=on_placed)

    def test_places_go_by_rank_then_arrival(self):
        """The most urgent goes first, among equals the oldest."""
        targets = table(entry("a", slots=1))
        target = targets.by_id["a"]
        target.slot_s = 10.0
        target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        granted = []
        for rank, name in [((1, 2), "late"), ((1, 0), "first"), ((1, 0), "second")]:
            assert dispatcher.submit(self.pending(rank, granted, name), NOW) is None
        for _ in range(3):
            target.note_finished(Work(), had_first_event=False)
            dispatcher.dispatch_queued("s", NOW)
        assert granted == ["first", "second", "late"]

    def test_newcomer_does_not_overtake_its_equals(self):
        """A place that is free goes to those that wait."""
        targets = table(entry("a", slots=1))
        target = targets.by_id["a"]
        target.slot_s = 10.0
        target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        granted = []
        dispatcher.submit(self.pending((1, 0), granted, "waits"), NOW)
        target.note_finished(Work(), had_first_event=False)
        assert dispatcher.submit(self.pending((1, 0), granted, "new"), NOW) is None
        dispatcher.dispatch_queued("s", NOW)
        assert granted == ["waits"]

    def test_withdrawn_ticket_gets_nothing(self):
        """A caller that left takes no place."""
        targets = table(entry("a", state=TargetState.DRAINING))
        dispatcher = self.dispatcher(targets)
        granted = []
        pending = self.pending((0, 0), granted, "left")
        dispatcher.submit(pending, NOW)
        assert dispatcher.cancel(pending)
        targets.update(entry("a"), NOW)
        dispatcher.dispatch_queued("s", NOW)
        assert granted == []
        assert not dispatcher.cancel(pending)

    def test_ticket_with_exclusions_holds_nobody_up(self):
        """One that can't use the free target lets the next one through."""
        targets = table(entry("a"))
        dispatcher = self.dispatcher(targets)
        granted = []
        picky = self.pending((0, 0), granted, "picky")
        picky.excluded.add("a")
        dispatcher.submit(picky, NOW)
        dispatcher.submit(self.pending((1, 0), granted, "other"), NOW)
        dispatcher.dispatch_queued("s", NOW)
        assert granted == ["other"]

    def test_ticket_that_is_too_late_holds_nobody_up(self):
        """One that can't begin in time lets another through that can."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        target.fixed_s = 0.2
        for _ in range(2):
            target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        granted = []
        hurried = self.pending((0, 0), granted, "hurried")
        hurried.start_by = NOW + 0.05
        patient = self.pending((1, 0), granted, "patient")
        patient.start_by = NOW + 5.0
        assert dispatcher.submit(hurried, NOW) is None
        assert dispatcher.ineligibility_reasons(hurried, NOW) == {
            "a": IneligibilityReason.TOO_LATE
        }
        dispatcher.submit(patient, NOW)
        dispatcher.dispatch_queued("s", NOW)
        assert granted == ["patient"]


class TestInTime:
    """Requests whose answers should begin within a time."""

    @pytest.mark.parametrize(
        ("in_flight", "within_s", "expected"),
        [(2, 0.05, None), (2, 5.0, "a"), (1, 0.05, "a")],
    )
    def test_busy_target_gets_only_what_it_begins_in_time(
        self, in_flight, within_s, expected
    ):
        """A late answer costs as much as one in time; an idle target loses nothing."""
        targets = table(entry("a", slots=4))
        target = targets.by_id["a"]
        target.fixed_s = 0.2
        for _ in range(in_flight):
            target.note_sent(Work(), NOW)
        chosen = choose_target(
            targets.of_service("s"),
            PlacementRequest(work=Work(), start_within_s=within_s),
            failure_domain="fd-a",
            now=NOW,
        )
        assert (None if chosen is None else chosen.entry.target_id) == expected


class TestApart:
    """Requests under which targets ended."""

    @staticmethod
    def chosen(targets, isolation_key):
        """Return the id of the target for such a request."""
        chosen = choose_target(
            targets.of_service("s"),
            PlacementRequest(work=Work(), isolation_key=isolation_key),
            failure_domain="fd-a",
            now=NOW,
        )
        return chosen.entry.target_id

    def test_it_goes_to_one_of_the_emptiest(self):
        """It takes those along that are there."""
        targets = table(*(entry(str(number)) for number in range(9)))
        for number in range(6):
            targets.by_id[str(number)].note_sent(Work(), NOW)
        seen = {self.chosen(targets, b"%d" % each) for each in range(50)}
        assert seen == {"6", "7", "8"}

    def test_all_routers_choose_alike(self):
        """And not by chance: two requests that meet at one target meet seldom again."""
        targets = table(*(entry(str(number)) for number in range(9)))
        assert len({self.chosen(targets, b"one") for _ in range(20)}) == 1

    def test_slow_and_far_targets_are_not_spared(self):
        """Only how many are there counts."""
        targets = table(entry("near"), entry("far", failure_domain="fd-b"))
        seen = {self.chosen(targets, b"%d" % each) for each in range(20)}
        assert seen == {"near", "far"}
