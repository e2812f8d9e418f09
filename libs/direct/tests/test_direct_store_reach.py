"""How calls of the store are paced after failures."""

from types import SimpleNamespace

import pytest
from anyio import create_task_group, fail_after, wait_all_tasks_blocked

from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import TargetEntry, TargetState, TargetTable
from berylwalk.platform import OutcomeUnknown, Unavailable, UnavailableReason

pytestmark = pytest.mark.anyio
ASKED_AT = 99.0
FAILED = Unavailable(UnavailableReason.NO_ANSWER, "no answer")


class Clock:
    """A time that the test sets."""

    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """Return a clock."""
    return Clock()


@pytest.fixture
def targets():
    """Return an empty table."""
    return TargetTable()


@pytest.fixture
def store_health(clock, targets):
    """Return the reach of a store that answered so far."""
    log = SimpleNamespace(process=lambda *args, **fields: None)
    context = SimpleNamespace(
        settings=SimpleNamespace(heartbeat_s=1.2),
        clock=clock,
        metrics=RouterMetrics(),
        log=log,
        targets=targets,
    )
    return StoreHealth(context)


class TestOutage:
    """Calls that fail and succeed again."""

    def test_long_one_lets_entries_lapse(self, store_health, clock, targets):
        """What is removed just after it may come back."""
        store_health.record_result("list-targets", FAILED, ASKED_AT)
        clock.now += 1.5
        store_health.record_result("read-configuration", None, ASKED_AT)
        assert store_health.unreachable_since is None
        assert store_health.entries_may_return(targets.absence_grace_s)
        clock.now += 10.0
        assert not store_health.entries_may_return(targets.absence_grace_s)

    def test_short_one_does_not(self, store_health, clock, targets):
        """A watch that was cut hides no removal."""
        store_health.record_result("watch-targets", FAILED, ASKED_AT)
        clock.now += 0.2
        store_health.record_result("list-targets", None, ASKED_AT)
        assert not store_health.entries_may_return(targets.absence_grace_s)

    def test_refusals_that_tell_something_are_answers(self, store_health):
        """A discarded history shows that the store is there."""
        for reason in (
            UnavailableReason.NOT_FOUND,
            UnavailableReason.LEASE_NOT_FOUND,
            UnavailableReason.HISTORY_GONE,
        ):
            store_health.record_result("watch-targets", Unavailable(reason), ASKED_AT)
        assert store_health.unreachable_since is None

    def test_lost_answer_of_a_write_shows_no_return(self, store_health):
        """It is no answer, although the write may have been made."""
        store_health.record_result("list-targets", FAILED, ASKED_AT)
        store_health.record_result("note-speeds", OutcomeUnknown("no answer"), ASKED_AT)
        assert store_health.unreachable_since is not None

    def test_failure_of_a_call_from_before_the_return_is_no_news(
        self, store_health, clock
    ):
        """Calls that were made since then have been answered."""
        store_health.record_result("list-targets", FAILED, clock())
        store_health.record_result("read-configuration", None, clock())
        clock.now += 0.4
        store_health.record_result("list-targets", FAILED, ASKED_AT)
        assert store_health.unreachable_since is None
        store_health.record_result("list-targets", FAILED, clock())
        assert store_health.unreachable_since == clock()

    def test_held_call_tells_of_when_it_was_due(self, store_health, clock):
        """The store need not have answered it before."""
        store_health.record_result("read-configuration", None, clock())
        clock.now += 0.4
        store_health.record_result("watch-targets", FAILED, ASKED_AT, held_s=0.8)
        assert store_health.unreachable_since is None
        store_health.record_result("watch-targets", FAILED, ASKED_AT, held_s=1.2)
        assert store_health.unreachable_since is not None


class TestOutageElsewhere:
    """Whether the store or only this router was away, by the word of others."""

    @pytest.fixture
    def lapses(self, targets, clock):
        """Return a function that tells whether a removed target is kept."""
        entry = TargetEntry(
            target_id="a",
            service="s",
            host="127.0.0.1",
            port=1,
            failure_domain="fd",
            slots=4,
            state=TargetState.READY,
        )

        def is_kept():
            targets.update(entry, clock())
            return not targets.remove("a", clock())

        return is_kept

    def outage(self, store_health, clock, *, for_s=3.0, is_seen=True):
        """Let calls fail, or none be made, for some time."""
        store_health.record_result("list-targets", None, clock())
        if is_seen:
            store_health.record_result("list-targets", FAILED, clock())
        clock.now += for_s
        store_health.record_result("list-configuration", None, clock())

    def test_own_cut_hides_no_removal(self, store_health, clock, lapses):
        """Whether the others are heard before the return or after it."""
        store_health.update_peer_health(500.0)
        self.outage(store_health, clock)
        assert lapses()
        store_health.update_peer_health(500.0)
        assert not lapses()
        clock.now += 100.0
        store_health.record_result("list-targets", FAILED, clock())
        clock.now += 3.0
        store_health.update_peer_health(600.0)
        store_health.record_result("list-configuration", None, clock())
        assert not lapses()

    def test_outage_of_all_lets_entries_lapse(self, store_health, clock, lapses):
        """Others say since when the store is well again."""
        store_health.update_peer_health(500.0)
        self.outage(store_health, clock)
        store_health.update_peer_health(0.3)
        assert lapses()

    def test_gap_without_a_failure_lets_entries_lapse(
        self, store_health, clock, lapses
    ):
        """A call that is due in it may not have been made yet."""
        self.outage(store_health, clock, for_s=2.3, is_seen=False)
        assert lapses()
        assert store_health.healthy_s(clock()) == 0.0

    def test_word_of_targets_that_renew_often(self, clock, targets, lapses):
        """A gap that is usual here may hide an outage in which entries lapse."""
        context = SimpleNamespace(
            settings=SimpleNamespace(heartbeat_s=0.6),
            clock=clock,
            metrics=RouterMetrics(),
            log=SimpleNamespace(process=lambda *args, **fields: None),
            targets=targets,
        )
        other = StoreHealth(context)
        other.record_result("list-targets", None, clock())
        clock.now += 1.8
        assert other.healthy_s(clock()) == 0.0
        other.record_result("list-targets", None, clock())
        assert other.healthy_s(clock()) == 0.0
        assert not lapses()

    def test_well_store(self, store_health, clock):
        """It is told for how long, until answers stay away."""
        for _ in range(4):
            store_health.record_result("list-targets", None, clock())
            clock.now += 1.9
        assert store_health.healthy_s(clock()) == pytest.approx(7.6)
        clock.now += 0.4
        assert store_health.healthy_s(clock()) == 0.0


class TestWordOfOthers:
    """A router that goes by the word of others calls the store seldom."""

    def test_time_between_its_calls_is_no_outage(self, store_health, clock, targets):
        """While the others were answered."""
        store_health.record_result("renew-membership", None, clock.now)
        for _ in range(10):
            clock.now += 0.4
            store_health.record_peer_answer(clock.now - 1.0)
        store_health.record_result("renew-membership", None, clock.now)
        assert not store_health.entries_may_return(targets.absence_grace_s)
        assert store_health.accepts_peer_data()

    def test_outage_is_seen_in_the_age_of_their_word(
        self, store_health, clock, targets
    ):
        """They say when the store answered last."""
        store_health.record_result("renew-membership", None, clock.now)
        answered_at = clock.now
        for _ in range(10):
            clock.now += 0.4
            store_health.record_peer_answer(answered_at)
        store_health.record_result("renew-membership", None, clock.now)
        assert store_health.entries_may_return(targets.absence_grace_s)
        assert not store_health.accepts_peer_data()

    def test_cut_is_seen_though_others_are_answered(self, store_health, clock):
        """By own calls, which fail; their word is trusted."""
        store_health.record_result("renew-membership", None, clock.now)
        clock.now += 2.0
        store_health.record_peer_answer(clock.now - 0.1)
        store_health.record_result("renew-membership", FAILED, clock.now - 0.9)
        assert store_health.unreachable_since == clock.now
        assert not store_health.accepts_peer_data()
        store_health.update_peer_health(20.0)
        assert store_health.accepts_peer_data()


class TestPause:
    """Waits before a call is made again."""

    async def test_return_wakes_those_that_wait(self, store_health, monkeypatch):
        """However long they would have waited."""
        monkeypatch.setattr(
            "berylwalk.direct._store_health.backoff_s", lambda *args, **options: 1e6
        )
        store_health.record_result("list-targets", FAILED, ASKED_AT)
        ended = []

        async def wait(failures):
            await store_health.back_off(failures)
            ended.append(failures)

        with fail_after(20):
            async with create_task_group() as tasks:
                tasks.start_soon(wait, 9)
                tasks.start_soon(wait, 1)
                await wait_all_tasks_blocked()
                assert not ended
                store_health.record_result("read-configuration", None, ASKED_AT)
        assert sorted(ended) == [1, 9]

    async def test_only_the_probe_goes_on_often(self, store_health, monkeypatch):
        """Calls that fail are paid for."""
        bounds = []

        def noted(failures, *, initial_delay_s, max_delay_s):
            bounds.append(max_delay_s)
            return 0.0

        monkeypatch.setattr("berylwalk.direct._store_health.backoff_s", noted)
        await store_health.back_off(9, is_probe=True)
        await store_health.back_off(9)
        assert bounds[0] < 1.0 < bounds[1]
