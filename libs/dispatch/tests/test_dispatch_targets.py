"""Target state, placement and queueing."""

import pytest
from listed_targets import entry

from berylwalk.dispatch import (
    Dispatcher,
    IneligibilityReason,
    PendingRequest,
    PlacementRequest,
    Target,
    TargetState,
    TargetTable,
    Urgency,
    Work,
    choose_target,
    concurrency_limit,
)

NOW = 100.0


def table(*entries):
    """Return a table of targets."""
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


class TestListing:
    """Entries that appear, change and disappear."""

    def test_draining_target_gets_nothing(self):
        """It is still listed, but accepts no new requests."""
        targets = table(entry("a", state=TargetState.DRAINING))
        assert choose(targets) is None

    def test_missing_target_is_removed_at_once(self):
        """Without a store outage, a missing entry means that the target left."""
        targets = table(entry("a"), entry("b"))
        assert targets.replace([entry("b")], NOW) == ["a"]
        assert choose(targets) == "b"

    def test_expired_entries_are_kept_after_an_outage(self):
        """Until they reappear or the grace period ends."""
        targets = table(entry("a"))
        targets.note_outage_ended(NOW)
        assert targets.replace([], NOW + 0.1) == []
        assert choose(targets, now=NOW + 0.1) == "a"
        assert targets.replace([], NOW + 2.1) == ["a"]

    def test_expired_entry_may_reappear(self):
        """A live target registers itself again."""
        targets = table(entry("a"))
        targets.note_outage_ended(NOW)
        targets.replace([], NOW + 0.1)
        targets.replace([entry("a")], NOW + 1.0)
        assert targets.replace([entry("a")], NOW + 3.0) == []


class TestHealth:
    """Failing targets."""

    def test_backoff_grows_with_failures(self):
        """The first retry comes soon, and the backoff is bounded."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        pauses = []
        for _ in range(6):
            target.note_unreachable(NOW)
            pauses.append(target.backoff_until - NOW)
        assert pauses == sorted(pauses)
        assert pauses[0] < 0.5
        assert pauses[-1] <= 3.0

    @staticmethod
    def _given_up_in_a_silence(*, kept=1):
        """Return a target with four requests given up, and others that are kept."""
        target = table(entry("a")).by_id["a"]
        for _ in range(4 + kept):
            target.note_sent(Work(), NOW)
        for _ in range(4):
            target.note_unreachable(NOW + 1.1)
            target.note_finished(Work(), had_first_event=False)
        return target

    def test_silent_target_that_goes_on_is_available_again(self):
        """Requests that were given up in one silence extended its backoff to 3 s."""
        target = self._given_up_in_a_silence()
        for step in range(6):
            target.note_heard(NOW + 1.5 + step / 10)
        assert not target.is_available(NOW + 2.0)
        target.note_heard(NOW + 2.1)
        assert target.is_available(NOW + 2.2)

    def test_silent_target_that_sends_now_and_then_stays_in_its_backoff(self):
        target = self._given_up_in_a_silence()
        target.note_heard(NOW + 1.5)
        target.note_heard(NOW + 2.8)
        assert not target.is_available(NOW + 2.9)
        assert not target.is_available(NOW + 3.7)

    def test_silent_target_without_requests_stays_in_its_backoff(self):
        """Nothing tells whether it goes on."""
        target = self._given_up_in_a_silence(kept=0)
        assert not target.is_available(NOW + 4.0)
        assert target.is_available(NOW + 4.2)

    def test_target_that_refuses_connections_stays_in_its_backoff(self):
        """Though it goes on with its open requests."""
        target = self._given_up_in_a_silence()
        for step in range(20):
            target.note_heard(NOW + 1.5 + step / 10)
        target.note_unreachable(NOW + 3.4)
        target.note_heard(NOW + 3.5)
        assert not target.is_available(NOW + 5.0)

    def test_failing_target_gets_probes_only(self):
        """A reachable target with many errors receives few requests."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        for _ in range(10):
            target.note_error()
        target.last_sent_at = NOW
        assert choose(targets, now=NOW + 0.1) is None
        assert choose(targets, now=NOW + 0.6) == "a"

    def test_successes_lower_the_error_rate(self):
        """A recovered target receives requests again."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        for _ in range(10):
            target.note_error()
        for _ in range(20):
            target.note_success()
        target.last_sent_at = NOW
        assert choose(targets, now=NOW + 0.1) == "a"

    def test_prefill_is_not_silence(self):
        """A target that prefills a long prompt sends nothing."""
        targets = table(entry("a"), entry("b"))
        short, long = targets.by_id["a"], targets.by_id["b"]
        short.note_sent(Work(100), NOW)
        long.note_sent(Work(50_000), NOW)
        assert short.is_silent(NOW + 1.0)
        assert not long.is_silent(NOW + 1.0)

    def test_idle_target_is_not_silent(self):
        """Silence requires an open request."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        target.note_sent(Work(), NOW)
        target.note_finished(Work(), had_first_event=False)
        assert not target.is_silent(NOW + 1000.0)
        assert target.waiting_tokens == 0


class TestUnreadResponses:
    """Responses that this router does not read because of their callers."""

    @pytest.fixture
    def target(self):
        """Return a target with one response that is not read."""
        target = Target(entry("a"))
        target.note_sent(Work(), NOW)
        target.note_unread()
        return target

    def test_target_is_not_silent(self, target):
        assert not target.is_silent(NOW + 1000.0)

    def test_silence_counts_from_the_next_request(self, target):
        target.note_sent(Work(), NOW + 10.0)
        assert not target.is_silent(NOW + 10.5)
        assert target.is_silent(NOW + 11.0)

    def test_silence_counts_from_when_it_is_read_again(self, target):
        target.note_read(NOW + 10.0)
        assert not target.is_silent(NOW + 10.5)
        assert target.is_silent(NOW + 11.0)

    def test_end_of_the_other_requests_ends_the_wait(self, target):
        target.note_sent(Work(), NOW + 10.0)
        target.note_finished(Work(), had_first_event=True)
        assert not target.is_silent(NOW + 11.0)

    def test_target_without_requests_is_not_silent(self, target):
        target.note_read(NOW + 10.0)
        target.note_finished(Work(), had_first_event=True)
        assert not target.is_silent(NOW + 1000.0)


class TestChoice:
    """Choice of a target."""

    def test_observed_speed_is_used(self):
        """A slower target is chosen only if the faster one has more load."""
        targets = table(entry("fast"), entry("slow"))
        targets.by_id["fast"].output_token_s = 0.002
        targets.by_id["slow"].output_token_s = 0.006
        assert choose(targets, work=Work(1000)) == "fast"
        for _ in range(3):
            targets.by_id["fast"].note_sent(Work(20_000), NOW)
        assert choose(targets, work=Work(1000)) == "slow"

    def test_peer_loads_are_used(self):
        """Requests of other routers are part of the load."""
        targets = table(entry("a"), entry("b"))
        targets.replace_peer_loads("peer", {"a": (3, 30_000)})
        assert choose(targets) == "b"
        targets.replace_peer_loads("peer", {"b": (3, 30_000)})
        assert choose(targets) == "a"

    def test_peer_loads_apply_to_later_entries(self):
        """The message may arrive before the entry."""
        targets = table(entry("b"))
        targets.replace_peer_loads("peer", {"a": (3, 30_000)})
        targets.update(entry("a"), NOW)
        assert targets.by_id["a"].peer_in_flight == 3
        targets.replace_peer_loads("peer", {})
        assert targets.by_id["a"].peer_in_flight == 0

    def test_full_and_excluded_targets_are_skipped(self):
        """None is returned rather than a full target."""
        targets = table(entry("a"), entry("b"))
        for _ in range(concurrency_limit(targets.by_id["a"])):
            targets.by_id["a"].note_sent(Work(), NOW)
        assert choose(targets) == "b"
        assert choose(targets, excluded={"b"}) is None

    @pytest.mark.parametrize(("slot_s", "queued"), [(0.05, 4), (0.6, 1), (5.0, 0)])
    def test_slow_targets_have_shorter_queues(self, slot_s, queued):
        """Requests queued at a slow target wait long."""
        target = table(entry("a")).by_id["a"]
        target.note_slot_time(slot_s)
        assert concurrency_limit(target) == 4 + queued


class TestReservedCapacity:
    """Capacity reserved for the highest rank."""

    def fill(self, target):
        """Fill a target with all requests of a lower rank that it may have."""
        while target.total_in_flight < concurrency_limit(
            target, Urgency(is_most_urgent=False)
        ):
            target.note_sent(Work(), NOW)

    def submit(self, dispatcher, rank, now=NOW):
        """Return the target that a request gets at once, if any."""
        pending = PendingRequest(
            service="s", rank=rank, work=Work(), on_placed=lambda target: None
        )
        return dispatcher.submit(pending, now)

    def test_lower_ranks_leave_the_reserve(self):
        """Requests of the highest rank may be queued at other routers."""
        targets = table(entry("a", slots=12))
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        assert self.submit(dispatcher, (1, 0)) is not None
        self.fill(targets.by_id["a"])
        assert self.submit(dispatcher, (1, 1)) is None
        assert self.submit(dispatcher, (1, 0)) is not None

    def test_single_rank_uses_all_capacity(self):
        """A service with one rank must not lose capacity."""
        targets = table(entry("a", slots=12))
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        self.fill(targets.by_id["a"])
        assert self.submit(dispatcher, (1, 1)) is not None

    def test_reserve_expires(self):
        """Capacity must not stay reserved for a rank without requests."""
        targets = table(entry("a", slots=12))
        dispatcher = Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)
        self.submit(dispatcher, (1, 0))
        self.fill(targets.by_id["a"])
        targets.by_id["a"].note_heard(NOW + 60.0)
        assert self.submit(dispatcher, (1, 1), NOW + 60.0) is not None


class TestPauses:
    """Prefill that interrupts the streams of a target."""

    def target_ids(self, work):
        """Return the target of a prompt: slow, busy and local, or fast and remote."""
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

    def test_long_prompt_avoids_busy_slow_target(self):
        """Its prefill would interrupt streams for too long; a short one would not."""
        assert self.target_ids(Work(600, 100)) == "slow"
        assert self.target_ids(Work(7_000, 100)) == "fast"

    def test_target_with_long_pauses_is_avoided(self):
        """Observed pauses count whatever their cause."""
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


class TestQueue:
    """Requests without a free target."""

    def dispatcher(self, targets):
        """Return a dispatcher."""
        return Dispatcher(targets, failure_domain="fd-a", draw=lambda: 0.0)

    def pending(self, rank, placed, name):
        """Return a request that records its name when it is placed."""

        def on_placed(target):
            target.note_sent(Work(), NOW)
            placed.append(name)

        return PendingRequest(service="s", rank=rank, work=Work(), on_placed=on_placed)

    def test_queue_order_is_rank_then_arrival(self):
        """The highest rank goes first, then the oldest request."""
        targets = table(entry("a", slots=1))
        target = targets.by_id["a"]
        target.slot_s = 10.0
        target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        placed = []
        for rank, name in [((1, 2), "late"), ((1, 0), "first"), ((1, 0), "second")]:
            assert dispatcher.submit(self.pending(rank, placed, name), NOW) is None
        for _ in range(3):
            target.note_finished(Work(), had_first_event=False)
            dispatcher.dispatch_queued("s", NOW)
        assert placed == ["first", "second", "late"]

    def test_new_request_does_not_overtake_its_rank(self):
        """Freed capacity goes to queued requests first."""
        targets = table(entry("a", slots=1))
        target = targets.by_id["a"]
        target.slot_s = 10.0
        target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        placed = []
        dispatcher.submit(self.pending((1, 0), placed, "waits"), NOW)
        target.note_finished(Work(), had_first_event=False)
        assert dispatcher.submit(self.pending((1, 0), placed, "new"), NOW) is None
        dispatcher.dispatch_queued("s", NOW)
        assert placed == ["waits"]

    def test_cancelled_request_is_not_placed(self):
        """A disconnected caller must not occupy capacity."""
        targets = table(entry("a", state=TargetState.DRAINING))
        dispatcher = self.dispatcher(targets)
        placed = []
        pending = self.pending((0, 0), placed, "left")
        dispatcher.submit(pending, NOW)
        assert dispatcher.cancel(pending)
        targets.update(entry("a"), NOW)
        dispatcher.dispatch_queued("s", NOW)
        assert placed == []
        assert not dispatcher.cancel(pending)

    def test_excluded_target_does_not_block_the_queue(self):
        """A request that can't use the free target must not delay the next one."""
        targets = table(entry("a"))
        dispatcher = self.dispatcher(targets)
        placed = []
        restricted = self.pending((0, 0), placed, "picky")
        restricted.excluded.add("a")
        dispatcher.submit(restricted, NOW)
        other = self.pending((1, 0), placed, "other")
        assert dispatcher.submit(other, NOW) is targets.by_id["a"]

    def test_excluded_target_does_not_block_queued_requests(self):
        """The same, when the target becomes free while both wait."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        for _ in range(concurrency_limit(target)):
            target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        placed = []
        restricted = self.pending((0, 0), placed, "picky")
        restricted.excluded.add("a")
        dispatcher.submit(restricted, NOW)
        assert dispatcher.submit(self.pending((1, 0), placed, "other"), NOW) is None
        for _ in range(concurrency_limit(target)):
            target.note_finished(Work(), had_first_event=True)
        dispatcher.dispatch_queued("s", NOW)
        assert placed == ["other"]

    def test_late_request_does_not_block_the_queue(self):
        """A request that can't start in time must not delay one that can."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        target.fixed_s = 0.2
        for _ in range(2):
            target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        placed = []
        urgent = self.pending((0, 0), placed, "hurried")
        urgent.start_by = NOW + 0.05
        relaxed = self.pending((1, 0), placed, "patient")
        relaxed.start_by = NOW + 5.0
        assert dispatcher.submit(urgent, NOW) is None
        assert dispatcher.ineligibility_reasons(urgent, NOW) == {
            "a": IneligibilityReason.TOO_LATE
        }
        assert dispatcher.submit(relaxed, NOW) is target

    def test_late_request_does_not_block_queued_requests(self):
        """The same, when a slot becomes free while both wait."""
        targets = table(entry("a"))
        target = targets.by_id["a"]
        target.fixed_s = 0.2
        limit = concurrency_limit(target)
        for _ in range(limit):
            target.note_sent(Work(), NOW)
        dispatcher = self.dispatcher(targets)
        placed = []
        urgent = self.pending((0, 0), placed, "hurried")
        urgent.start_by = NOW + 0.05
        relaxed = self.pending((1, 0), placed, "patient")
        relaxed.start_by = NOW + 5.0
        assert dispatcher.submit(urgent, NOW) is None
        assert dispatcher.submit(relaxed, NOW) is None
        for _ in range(limit - 2):
            target.note_finished(Work(), had_first_event=True)
        dispatcher.dispatch_queued("s", NOW)
        assert placed == ["patient"]


class TestStartDeadline:
    """Requests whose response should start within a time."""

    @pytest.mark.parametrize(
        ("in_flight", "within_s", "expected"),
        [(2, 0.05, None), (2, 5.0, "a"), (1, 0.05, "a")],
    )
    def test_busy_target_must_meet_the_start_deadline(
        self, in_flight, within_s, expected
    ):
        """A mostly idle target accepts late requests, since they delay no others."""
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


class TestIsolation:
    """Requests that may crash their target."""

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

    def test_least_loaded_targets_are_used(self):
        """A crash must affect few other requests."""
        targets = table(*(entry(str(number)) for number in range(9)))
        for number in range(6):
            targets.by_id[str(number)].note_sent(Work(), NOW)
        seen = {self.chosen(targets, b"%d" % each) for each in range(50)}
        assert seen == {"6", "7", "8"}

    def test_choice_is_deterministic(self):
        """All routers choose alike, so two such requests rarely share a target."""
        targets = table(*(entry(str(number)) for number in range(9)))
        assert len({self.chosen(targets, b"one") for _ in range(20)}) == 1

    def test_cost_is_ignored(self):
        """Only the load counts, not speed or failure domain."""
        targets = table(entry("near"), entry("far", failure_domain="fd-b"))
        seen = {self.chosen(targets, b"%d" % each) for each in range(20)}
        assert seen == {"near", "far"}
