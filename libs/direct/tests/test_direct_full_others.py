"""A stream whose target ended while all other targets are full waits for a place."""

import pytest
from anyio import create_task_group, sleep

from berylwalk.dispatch import Work
from berylwalk.dispatch._request_deadlines import RETRY_WAIT_S
from direct_fleet import event, streams

pytestmark = pytest.mark.anyio
LAST = 12
BEFORE_END = 5
"""Events that the first target sends before it ends."""
WHOLE = b"".join(map(event, range(1, LAST + 1)))
SCRIPTS = streams(1, LAST, until=BEFORE_END), streams(1, LAST)
ROUTES = ("streaming",)


def with_long_pauses(fleet):
    """Make the stream resumable, and allow pauses for which its caller stays."""
    fleet.routes[0].update({"resumable": True, "gap-target-ms": 500})


class Full:
    """Fills the second of two targets.

    The first target seems to be faster, so that the request begins there.
    """

    def __init__(self, fleet):
        self._context = fleet.router._context
        first, self.target = map(self._context.targets.by_id.get, ("i-0", "i-1"))
        first.fixed_s, self.target.fixed_s = 0.01, 0.5
        self._sent = 0
        for _ in range(10 * self.target.entry.slots):
            self.target.note_sent(Work(), self._context.clock())
            self._sent += 1

    def is_awaited(self):
        """Return whether a request waits for a place."""
        return self._context.dispatcher.queue_length("s") > 0

    def free(self):
        """End all requests."""
        for _ in range(self._sent):
            self.target.note_finished(Work(), had_first_event=True)
        self._sent = 0
        self._context.dispatcher.dispatch_all_queued(self._context.clock())


class TestFullTargets:
    async def test_begun_stream_is_cut_while_its_caller_still_waits(self, running):
        """A place is free again before its caller leaves."""
        async with (
            running(*SCRIPTS, routes=ROUTES, prepare=with_long_pauses) as fleet,
            create_task_group() as tasks,
        ):
            full = Full(fleet)

            async def free_later():
                await fleet.until(full.is_awaited)
                await sleep(1.5 * RETRY_WAIT_S)
                full.free()

            tasks.start_soon(free_later)
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE

    async def test_stream_without_a_place_holds_its_caller_for_ever(
        self, running, monkeypatch
    ):
        """It is cut, so that its caller can take it up at another router."""
        deadlines = "berylwalk.dispatch._request_deadlines"
        monkeypatch.setattr(f"{deadlines}.RETRY_WAIT_S", 0.1)
        monkeypatch.setattr(f"{deadlines}.CALLER_GAP_S", 0.2)

        def prepare(fleet):
            fleet.routes[0].update({"resumable": True, "goal-ms": 50})

        async with running(*SCRIPTS, routes=ROUTES, prepare=prepare) as fleet:
            full = Full(fleet)
            reply = await fleet.call("/streaming/")
            assert full.target.in_flight
        assert not reply.is_complete
        assert reply.body == b"".join(map(event, range(1, BEFORE_END + 1)))

    async def test_caller_that_leaves_keeps_a_place_in_the_queue(self, running):
        async with running(*SCRIPTS, routes=ROUTES, prepare=with_long_pauses) as fleet:
            full = Full(fleet)
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/streaming/"))
            await fleet.until(full.is_awaited)
            writer.close()
            await fleet.until(lambda: not full.is_awaited())
            full.free()
            assert full.target.in_flight == 0
