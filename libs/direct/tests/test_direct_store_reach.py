"""How calls of the store are paced after failures."""

from types import SimpleNamespace

import pytest
from anyio import create_task_group, fail_after, wait_all_tasks_blocked

from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._store_reach import StoreReach
from berylwalk.dispatch import TargetTable
from berylwalk.platform import Lost, Unavailable, UnavailableReason

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
def reach(clock, targets):
    """Return the reach of a store that answered so far."""
    log = SimpleNamespace(process=lambda *args, **fields: None)
    context = SimpleNamespace(
        clock=clock, metrics=RouterMetrics(), log=log, targets=targets
    )
    return StoreReach(context)


class TestOutage:
    """Calls that fail and succeed again."""

    def test_long_one_lets_entries_lapse(self, reach, clock, targets):
        """What is removed just after it may come back."""
        reach.note("list-targets", FAILED, ASKED_AT)
        clock.now += 1.5
        reach.note("read-configuration", None, ASKED_AT)
        assert reach.away_since is None
        assert reach.may_lapse(targets.absence_grace_s)
        clock.now += 10.0
        assert not reach.may_lapse(targets.absence_grace_s)

    def test_short_one_does_not(self, reach, clock, targets):
        """A watch that was cut hides no removal."""
        reach.note("watch-targets", FAILED, ASKED_AT)
        clock.now += 0.2
        reach.note("list-targets", None, ASKED_AT)
        assert not reach.may_lapse(targets.absence_grace_s)

    def test_refusals_that_tell_something_are_answers(self, reach):
        """A discarded history shows that the store is there."""
        for reason in (UnavailableReason.NOT_FOUND, UnavailableReason.HISTORY_GONE):
            reach.note("watch-targets", Unavailable(reason), ASKED_AT)
        assert reach.away_since is None

    def test_lost_answer_of_a_write_shows_no_return(self, reach):
        """It is no answer, although the write may have been made."""
        reach.note("list-targets", FAILED, ASKED_AT)
        reach.note("note-speeds", Lost("no answer"), ASKED_AT)
        assert reach.away_since is not None

    def test_failure_of_a_call_from_before_the_return_is_no_news(self, reach, clock):
        """Calls that were made since then have been answered."""
        reach.note("list-targets", FAILED, clock())
        reach.note("read-configuration", None, clock())
        clock.now += 0.4
        reach.note("list-targets", FAILED, ASKED_AT)
        assert reach.away_since is None
        reach.note("list-targets", FAILED, clock())
        assert reach.away_since == clock()

    def test_held_call_tells_of_when_it_was_due(self, reach, clock):
        """The store need not have answered it before."""
        reach.note("read-configuration", None, clock())
        clock.now += 0.4
        reach.note("watch-targets", FAILED, ASKED_AT, held_s=0.8)
        assert reach.away_since is None
        reach.note("watch-targets", FAILED, ASKED_AT, held_s=1.2)
        assert reach.away_since is not None


class TestPause:
    """Waits before a call is made again."""

    async def test_return_wakes_those_that_wait(self, reach, monkeypatch):
        """However long they would have waited."""
        monkeypatch.setattr(
            "berylwalk.direct._store_reach.backoff_s", lambda *args, **options: 1e6
        )
        reach.note("list-targets", FAILED, ASKED_AT)
        ended = []

        async def wait(failures):
            await reach.pause(failures)
            ended.append(failures)

        with fail_after(20):
            async with create_task_group() as tasks:
                tasks.start_soon(wait, 9)
                tasks.start_soon(wait, 1)
                await wait_all_tasks_blocked()
                assert not ended
                reach.note("read-configuration", None, ASKED_AT)
        assert sorted(ended) == [1, 9]

    async def test_only_the_probe_goes_on_often(self, reach, monkeypatch):
        """Calls that fail are paid for."""
        bounds = []

        def noted(failures, *, first_s, largest_s):
            bounds.append(largest_s)
            return 0.0

        monkeypatch.setattr("berylwalk.direct._store_reach.backoff_s", noted)
        await reach.pause(9, is_probe=True)
        await reach.pause(9)
        assert bounds[0] < 1.0 < bounds[1]
