"""A VM that is suspended for some seconds, and goes on.

The steady clock stands still meanwhile; what others see goes on.
"""

import time

import pytest
from anyio import sleep

from berylwalk.direct._elapsed_time import elapsed_clock
from berylwalk.direct._suspension_detector import MIN_SUSPENSION_S, SuspensionDetector
from berylwalk.dispatch import Target, TargetEntry, TargetState, Work
from direct_fleet import answers

pytestmark = pytest.mark.anyio
SUSPENDED_S = 30.0


class Clocks:
    """Two clocks of which one stands still in a suspension."""

    def __init__(self):
        self.steady_s = 100.0
        self.suspended_s = 0.0

    def monotonic(self):
        """Return the time without suspensions."""
        return self.steady_s

    def elapsed(self):
        """Return the time with them, of another origin."""
        return 5000.0 + self.steady_s + self.suspended_s


class TestSuspensionWatch:
    """What is noticed."""

    def test_suspension_is_noticed_once(self):
        """And adds up with the others."""
        clocks = Clocks()
        watch = SuspensionDetector(clocks.elapsed, monotonic=clocks.monotonic)
        clocks.steady_s += 60.0
        assert watch.poll() == 0.0
        clocks.suspended_s += 3.0
        assert watch.poll() == pytest.approx(3.0)
        assert watch.poll() == 0.0
        clocks.suspended_s += 0.5
        assert watch.poll() == pytest.approx(0.5)
        assert watch.total_s == pytest.approx(3.5)

    def test_many_short_ones_add_up(self):
        """None is lost for being short."""
        clocks = Clocks()
        watch = SuspensionDetector(clocks.elapsed, monotonic=clocks.monotonic)
        noticed = 0.0
        for _ in range(100):
            clocks.suspended_s += MIN_SUSPENSION_S / 2
            noticed += watch.poll()
        assert noticed == pytest.approx(50 * MIN_SUSPENSION_S, abs=MIN_SUSPENSION_S)

    def test_clock_of_the_platform_counts_suspension(self):
        """Where it has one."""
        clock, counts = elapsed_clock()
        assert counts is hasattr(time, "CLOCK_BOOTTIME")
        assert clock() <= clock()


class TestTarget:
    """What is believed of a target after a suspension of the router."""

    def test_suspension_is_no_silence(self):
        """What it sent meanwhile is read right after."""
        entry = TargetEntry(
            target_id="i-1",
            service="s",
            host="10.0.0.1",
            port=1,
            failure_domain="fd-a",
            slots=4,
            state=TargetState.READY,
        )
        target = Target(entry)
        target.note_sent(Work(100, 10), 10.0)
        now = 10.1 + SUSPENDED_S
        assert target.is_silent(now)
        target.note_suspended(SUSPENDED_S)
        assert not target.is_silent(now)
        assert target.is_silent(now + 30.0)


class TestRouter:
    """A router whose clock has gone on by half a minute."""

    async def test_keys_are_not_trusted_until_read_again(self, running, monkeypatch):
        """A key that was taken away meanwhile is not accepted."""
        offset_s = 0.0
        monkeypatch.setattr(
            "berylwalk.direct._daemon.elapsed_clock",
            lambda: (lambda: time.monotonic() + offset_s, True),
        )
        async with running(answers("ok")) as fleet:
            assert (await fleet.call("/idempotent/")).status == 200
            fleet.platform.faults.down = True
            await sleep(0.05)
            offset_s = SUSPENDED_S
            reply = await fleet.call("/idempotent/")
            assert reply.status == 503
            fleet.platform.faults.down = False
            trusts = fleet.router._context.configuration.trusts_keys
            await fleet.until(lambda: trusts(fleet.router._context.clock()))
            assert (await fleet.call("/idempotent/")).status == 200

    async def test_it_is_told(self, running, monkeypatch):
        """By a line and a counter with its length."""
        offset_s = 0.0
        monkeypatch.setattr(
            "berylwalk.direct._daemon.elapsed_clock",
            lambda: (lambda: time.monotonic() + offset_s, True),
        )
        async with running(answers("ok")) as fleet:
            told = []
            context = fleet.router._context
            context.log.process = lambda event, **fields: told.append((event, fields))
            offset_s = SUSPENDED_S
            await fleet.until(
                lambda: any(event == "was-suspended" for event, _ in told)
            )
        (fields,) = [fields for event, fields in told if event == "was-suspended"]
        assert SUSPENDED_S * 1000 <= fields["suspended_ms"] < SUSPENDED_S * 1000 + 500
