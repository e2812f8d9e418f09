"""Suspension of a router's VM.

The monotonic clock stops during a suspension while the time of other processes goes on.
"""

import time

import pytest
from anyio import sleep

from berylwalk.direct._elapsed_time import elapsed_clock
from berylwalk.direct._suspension_detector import MIN_SUSPENSION_S, SuspensionDetector
from berylwalk.dispatch import Target, TargetEntry, TargetState, Work
from berylwalk.dispatch._stream_versions import KEEP_S
from direct_fleet import CHUNKED, EVENTS, answers, chunk, event, head
from test_direct_stream_versions import GOES_ON, STREAM
from test_direct_unknown_histories import stored_history
from test_direct_versions_that_left import listing, unlist

pytestmark = pytest.mark.anyio
SUSPENDED_S = 30.0
REMOVED_S = 4.0
"""Time in which a router removes a version that has not been listed for long."""


class Clocks:
    """Two clocks, one of which stops during a suspension."""

    def __init__(self):
        self.monotonic_s = 100.0
        self.suspended_s = 0.0

    def monotonic(self):
        """Return the time excluding suspensions."""
        return self.monotonic_s

    def elapsed(self):
        """Return the time including suspensions, with a different origin."""
        return 5000.0 + self.monotonic_s + self.suspended_s


class TestSuspensionDetector:
    """Detection of suspensions."""

    def test_suspension_is_detected_once(self):
        """A suspension is reported once and added to the total."""
        clocks = Clocks()
        detector = SuspensionDetector(clocks.elapsed, monotonic=clocks.monotonic)
        clocks.monotonic_s += 60.0
        assert detector.poll() == 0.0
        clocks.suspended_s += 3.0
        assert detector.poll() == pytest.approx(3.0)
        assert detector.poll() == 0.0
        clocks.suspended_s += 0.5
        assert detector.poll() == pytest.approx(0.5)
        assert detector.total_s == pytest.approx(3.5)

    def test_short_suspensions_accumulate(self):
        """Short suspensions accumulate until they are reported."""
        clocks = Clocks()
        detector = SuspensionDetector(clocks.elapsed, monotonic=clocks.monotonic)
        detected = 0.0
        for _ in range(100):
            clocks.suspended_s += MIN_SUSPENSION_S / 2
            detected += detector.poll()
        assert detected == pytest.approx(50 * MIN_SUSPENSION_S, abs=MIN_SUSPENSION_S)

    def test_platform_clock_includes_suspension(self):
        """The platform's clock includes suspensions if it has a boot time clock."""
        clock, counts = elapsed_clock()
        assert counts is hasattr(time, "CLOCK_BOOTTIME")
        assert clock() <= clock()


class TestTarget:
    """Targets after a suspension of the router."""

    def test_suspension_is_no_silence(self):
        """Data sent during the suspension is read only after it."""
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
    """A router whose clock jumps ahead by half a minute."""

    async def test_keys_are_not_trusted_until_read_again(self, running, monkeypatch):
        """A key that was revoked during the suspension is not accepted."""
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

    async def test_version_is_kept_that_may_have_served_meanwhile(
        self, running, monkeypatch
    ):
        """It was not listed before, which tells nothing of the time of suspension."""
        offset_s = 0.0
        monkeypatch.setattr(
            "berylwalk.direct._daemon.elapsed_clock",
            lambda: (lambda: time.monotonic() + offset_s, True),
        )
        both = listing(i_0="v1", i_1="v2")
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=both) as fleet:
            await fleet.until(lambda: b"v2" in stored_history(fleet))
            unlist(fleet, fleet.targets[1])
            targets = fleet.router._context.targets
            await fleet.until(lambda: targets.versions_of("s") == {"v1"})
            offset_s = KEEP_S + 1.0
            await sleep(REMOVED_S)
            assert b"v2" in stored_history(fleet)

    async def test_suspension_is_logged_and_counted(self, running, monkeypatch):
        """A log line and a counter contain the duration."""
        offset_s = 0.0
        monkeypatch.setattr(
            "berylwalk.direct._daemon.elapsed_clock",
            lambda: (lambda: time.monotonic() + offset_s, True),
        )
        async with running(answers("ok")) as fleet:
            logged = []
            context = fleet.router._context
            context.log.process = lambda event, **fields: logged.append((event, fields))
            offset_s = SUSPENDED_S
            await fleet.until(
                lambda: any(event == "was-suspended" for event, _ in logged)
            )
        (fields,) = [fields for event, fields in logged if event == "was-suspended"]
        assert SUSPENDED_S * 1000 <= fields["suspended_ms"] < SUSPENDED_S * 1000 + 500

    async def test_suspension_counts_as_time_between_events(self, running, monkeypatch):
        """The target would seem to be slow, and to pause too long."""
        offset_s = 0.0
        monkeypatch.setattr(
            "berylwalk.direct._daemon.elapsed_clock",
            lambda: (lambda: time.monotonic() + offset_s, True),
        )

        async def streams_across_it(request, writer):
            nonlocal offset_s
            writer.write(head(request, kind=EVENTS, more=CHUNKED))
            for number in range(1, 31):
                writer.write(chunk(event(number)))
                await writer.drain()
                await sleep(0.005)
                if number == 15:
                    offset_s = SUSPENDED_S
            writer.write(b"0\r\n\r\n")

        def prepare(fleet):
            fleet.routes[0]["gap-target-ms"] = 1_000
            fleet.services[0]["engine"] = {"stride": 8}

        async with running(
            streams_across_it, routes=("streaming",), prepare=prepare
        ) as fleet:
            reply = await fleet.call("/streaming/", Deadline_Ms="60000")
            target = fleet.router._context.targets.by_id["i-0"]
        assert reply.is_complete
        assert target.event_s < 0.1
        assert target.paused_share == 0.0
