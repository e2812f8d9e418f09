"""Who gets a place when a service is full."""

import pytest
from listed_targets import entry

from berylwalk.dispatch import (
    AccountUsage,
    Dispatcher,
    PendingRequest,
    TargetTable,
    Urgency,
    Work,
    concurrency_limit,
    deadlines_after_failure,
    deadlines_at_arrival,
    deadlines_of_begun_stream,
    short_deadlines,
)

NOW = 100.0
RANK = (0, 0)


@pytest.fixture
def targets():
    table = TargetTable()
    table.replace([entry("a", slots=8)], NOW)
    return table


def fill(target, count):
    """Send requests to a target."""
    for _ in range(count):
        target.note_sent(Work(), NOW)


class Line:
    """Requests that wait at one router, by name in the order of their sends."""

    def __init__(self, targets, usage=None, rollouts=None):
        self.dispatcher = Dispatcher(
            targets,
            failure_domain="fd-a",
            draw=lambda: 0.0,
            account_usage=usage,
            rollouts=rollouts,
        )
        self.target = targets.by_id["a"]
        self.sent = []

    def wait(self, name, *, now=NOW, rank=RANK, **values):
        """Let a request wait; it gets a target at once if there is one for it."""

        def on_placed(target):
            target.note_sent(Work(), now)
            self.sent.append(name)

        pending = PendingRequest(
            service="s", rank=rank, work=Work(), on_placed=on_placed, **values
        )
        target = self.dispatcher.submit(pending, now)
        if target is not None:
            on_placed(target)

    def free(self, count, now):
        """Let some requests end, and place the ones that wait."""
        for _ in range(count):
            self.target.note_finished(Work(), had_first_event=True)
        self.dispatcher.dispatch_queued("s", now)


class TestOrder:
    """Order of the requests that wait."""

    def test_requests_that_can_be_in_time_go_first(self, targets):
        """A late one has waited longer, and has a higher rank."""
        line = Line(targets)
        fill(line.target, 20)
        line.wait("late", send_by=NOW + 0.1)
        line.wait("in-time", rank=(0, 1), send_by=NOW + 0.5, arrived_at=NOW + 0.1)
        line.free(13, NOW + 0.2)
        assert line.sent == ["in-time"]

    def test_late_request_gets_a_place_that_no_other_needs(self, targets):
        line = Line(targets)
        fill(line.target, 20)
        line.wait("late", send_by=NOW + 0.1)
        line.free(20, NOW + 0.2)
        assert line.sent == ["late"]

    def test_new_request_does_not_wait_behind_late_ones(self, targets):
        line = Line(targets)
        fill(line.target, 8)
        line.wait("late", send_by=NOW - 0.1)
        line.wait("new", send_by=NOW + 0.5)
        assert line.sent == ["new"]

    def test_account_that_has_had_least_goes_first(self, targets):
        usage = AccountUsage()
        for _ in range(20):
            usage.note_started("s", "large", NOW - 5.0)
        usage.note_started("s", "small", NOW - 5.0)
        line = Line(targets, usage)
        fill(line.target, 20)
        line.wait("large", account="large")
        line.wait("small", account="small", arrived_at=NOW + 0.1)
        line.free(11, NOW + 0.2)
        assert line.sent == ["small"]

    def test_rank_goes_before_shares(self, targets):
        usage = AccountUsage()
        for _ in range(20):
            usage.note_started("s", "large", NOW - 5.0)
        line = Line(targets, usage)
        fill(line.target, 20)
        line.wait("small", account="small", rank=(0, 1))
        line.wait("large", account="large", rank=(0, 0))
        line.free(12, NOW + 0.2)
        assert line.sent == ["large"]

    def test_begun_stream_waits_behind_requests_that_have_got_nothing(self, targets):
        """It had a place until its target failed; a cut wastes what it has got."""
        usage = AccountUsage()
        for _ in range(20):
            usage.note_started("s", "large", NOW - 5.0)
        line = Line(targets, usage)
        fill(line.target, 20)
        line.wait("new", account="small")
        line.wait("begun", account="large", is_begun=True, arrived_at=NOW + 0.1)
        line.free(12, NOW + 0.2)
        assert line.sent[0] == "begun"

    def test_begun_stream_goes_before_more_urgent_requests(self, targets):
        line = Line(targets)
        fill(line.target, 20)
        line.wait("begun", rank=(0, 1), is_begun=True)
        line.wait("urgent", rank=(0, 0), arrived_at=NOW + 0.1)
        line.free(13, NOW + 0.2)
        assert line.sent[0] == "urgent"

    def test_new_request_takes_the_place_for_which_a_begun_stream_waits(self, targets):
        usage = AccountUsage()
        for _ in range(20):
            usage.note_started("s", "large", NOW - 5.0)
        line = Line(targets, usage)
        fill(line.target, 20)
        line.wait("begun", account="large", is_begun=True)
        for _ in range(13):
            line.target.note_finished(Work(), had_first_event=True)
        line.wait("new", account="small")
        assert line.sent[0] == "begun"


class HalfOfRequests:
    """Lets the lower half of the draws use the new version, and the others the old."""

    def restricts(self, service):
        """Return whether versions are restricted."""
        return True

    def allows(self, service, version, draw, now):
        """Return whether a request may go to a version."""
        return version == ("new" if draw < 0.5 else "old")


class TestVersions:
    """Requests that may not use all targets."""

    def test_full_version_does_not_hold_requests_of_the_other(self):
        targets = TargetTable()
        entries = [entry("a", slots=8, version="old"), entry("b", version="new")]
        targets.replace(entries, NOW)
        line = Line(targets, rollouts=HalfOfRequests())
        fill(line.target, 20)
        fill(targets.by_id["b"], 20)
        line.wait("to-new", version_draw=0.1)
        line.wait("to-old", version_draw=0.9, arrived_at=NOW + 0.1)
        line.free(13, NOW + 0.2)
        assert line.sent == ["to-old"]

    def test_free_target_is_used_though_others_wait_for_a_full_version(self):
        """No end of a request and no message would place it soon."""
        targets = TargetTable()
        entries = [entry("a", slots=8, version="old"), entry("b", version="new")]
        targets.replace(entries, NOW)
        line = Line(targets, rollouts=HalfOfRequests())
        fill(targets.by_id["b"], 20)
        line.wait("to-new", version_draw=0.1)
        line.wait("to-old", version_draw=0.9, arrived_at=NOW + 0.1)
        assert line.sent == ["to-old"]


class TestLimits:
    """How much of a target a request may fill, whatever waits at other routers."""

    def test_late_requests_leave_slots_free(self, targets):
        target = targets.by_id["a"]
        assert concurrency_limit(target, Urgency(is_late=True)) == 6

    def test_target_with_one_slot_serves_late_requests(self):
        table = TargetTable()
        table.replace([entry("a", slots=1)], NOW)
        assert concurrency_limit(table.by_id["a"], Urgency(is_late=True)) == 1

    def test_accounts_over_their_share_leave_the_next_slot_to_others(self, targets):
        target = targets.by_id["a"]
        target.slot_s = 0.5
        assert concurrency_limit(target) == 10
        assert concurrency_limit(target, Urgency(is_over_share=True)) == 8

    def test_accounts_over_their_share_wait_for_slots_that_are_free_soon(self, targets):
        """Others hardly wait behind them."""
        target = targets.by_id["a"]
        target.slot_s = 0.02
        assert concurrency_limit(target, Urgency(is_over_share=True)) == 12

    def test_accounts_over_their_share_fill_all_slots(self, targets):
        """Nothing idles, also where no request may wait at the target."""
        target = targets.by_id["a"]
        target.slot_s = 60.0
        assert concurrency_limit(target) == target.entry.slots
        over = concurrency_limit(target, Urgency(is_over_share=True))
        assert over == target.entry.slots


class TestDeadlines:
    """How long a request waits."""

    def test_first_try_waits_as_long_as_it_can_be_in_time(self):
        deadlines = deadlines_at_arrival(NOW, 0.4, NOW + 10.0, idle_start_s=0.1)
        assert deadlines.send_by == pytest.approx(NOW + 0.18)
        assert deadlines.wait_until == deadlines.send_by

    def test_objective_counts_from_the_first_request(self):
        """A return that is late waits for a place that no other request needs."""
        deadlines = deadlines_at_arrival(
            NOW, 0.4, NOW + 8.0, first_arrived_at=NOW - 2.0, idle_start_s=0.1
        )
        assert deadlines.send_by < NOW
        assert deadlines.wait_until == NOW + 1.5

    def test_return_with_little_time_left_waits_for_a_part_of_it(self):
        deadlines = deadlines_at_arrival(
            NOW, 0.2, NOW + 1.0, first_arrived_at=NOW - 0.5
        )
        assert deadlines.wait_until == NOW + 0.25

    def test_long_prompt_waits_too(self):
        """It can't start in time at any target, however idle."""
        deadlines = deadlines_at_arrival(NOW, 0.4, NOW + 10.0, idle_start_s=3.0)
        assert deadlines.send_by == pytest.approx(NOW + 0.08)

    def test_few_routers_wait_shortly_and_call_nothing_late(self):
        deadlines = short_deadlines(NOW, 0.4, NOW + 10.0)
        assert deadlines.wait_until == pytest.approx(NOW + 0.08)
        assert deadlines.send_by == float("inf")

    def test_failed_attempt_is_repeated_among_those_in_time(self):
        assert deadlines_after_failure(NOW, NOW + 10.0).send_by == float("inf")

    @pytest.mark.parametrize(
        ("objective_s", "longest_pause_s", "wait_s"),
        [(0.4, 0.1, 1.5), (1.0, 0.1, 3.0), (0.4, 0.5, 3.0), (0.0, 0.0, 1.5)],
    )
    def test_begun_stream_is_cut_long_before_its_caller_leaves(
        self, objective_s, longest_pause_s, wait_s
    ):
        deadlines = deadlines_of_begun_stream(
            NOW + 0.1,
            NOW + 10.0,
            last_event_at=NOW,
            objective_s=objective_s,
            longest_pause_s=longest_pause_s,
        )
        assert deadlines.wait_until == NOW + wait_s
        assert deadlines.send_by == float("inf")

    def test_begun_stream_waits_for_a_place_that_comes_too_late(self):
        """Its next event would arrive when its caller has left."""
        deadlines = deadlines_of_begun_stream(
            NOW,
            NOW + 10.0,
            last_event_at=NOW,
            objective_s=1.0,
            longest_pause_s=0.0,
            idle_start_s=0.5,
        )
        assert deadlines.wait_until == NOW + 2.5

    def test_begun_stream_after_a_long_silence_is_cut_at_once(self):
        """Its caller may have more patience; others of its kind wait as long."""
        deadlines = deadlines_of_begun_stream(
            NOW, NOW + 10.0, last_event_at=NOW - 3.0, objective_s=0, longest_pause_s=0
        )
        assert deadlines.wait_until == NOW + 1.0

    def test_begun_stream_waits_beyond_its_deadline(self):
        deadlines = deadlines_of_begun_stream(
            NOW, NOW + 0.5, last_event_at=NOW, objective_s=5.0, longest_pause_s=0
        )
        assert deadlines.wait_until == NOW + 0.5

    def test_long_objective_leaves_time_for_another_try(self):
        """A caller that is refused at its deadline can't come back."""
        deadlines = deadlines_at_arrival(NOW, 60.0, NOW + 10.0)
        assert deadlines.wait_until == NOW + 4.0
        assert deadlines.send_by == NOW + 42.0

    def test_without_objective_nothing_is_late(self):
        deadlines = deadlines_at_arrival(NOW, 0.0, NOW + 10.0)
        assert deadlines.send_by == float("inf")
        assert deadlines.wait_until == NOW + 0.02

    def test_service_without_targets_is_refused_sooner(self):
        """No place is likely, however long the objective."""
        deadlines = deadlines_at_arrival(NOW, 2.0, NOW + 10.0)
        assert deadlines.unserved_until == NOW + 0.4
        assert deadlines.wait_until == NOW + 1.4
