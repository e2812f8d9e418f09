"""Callers that go on using their connections after a router was asked to stop.

The router is a process where its end matters, so that connections are closed as the
kernel does it.
"""

from contextlib import asynccontextmanager
from signal import SIGTERM

import pytest
from anyio import Event, create_task_group, fail_after, sleep

from berylwalk.dispatch import ELSEWHERE_DELAY_S, GracefulStop
from berylwalk.standins import serving
from direct_fleet import (
    CHUNKED,
    EVENTS,
    STORE,
    TEST_TIMEOUT_S,
    Fleet,
    ScriptedTarget,
    chunk,
    event,
    get,
    head,
    read_reply,
)
from direct_processes import Routers

pytestmark = pytest.mark.anyio
ACCEPTED_S = 3.0
"""Time after SIGTERM in which a load balancer may still send requests."""
FIRST = "/streaming/first"
LONG = "/streaming/long"
PLAIN = "/non_idempotent/"
CALLS = 20
"""Requests of which the target has places for a part."""
REFUSED_S = 1.0
"""Time in which requests that wait learn that the router stops, in seconds."""
TAKEN_UP = "/resumable/"
REFUSED = "/idempotent/refused"
SILENT_MS = 60_000.0
"""Delay of calls to a store that does not answer, in milliseconds."""


class StoppingRouter:
    """A router process with a target whose streams last as long as they are told."""

    def __init__(self, fleet, routers):
        self.fleet = fleet
        self.target = None
        self._process = routers.processes[0]
        self.may_end = Event()
        self.begun = Event()

    async def respond(self, request, writer):
        """Respond at once, or wait for `may_end` to refuse or to end a stream."""
        if request.path == REFUSED:
            self.begun.set()
            await self.may_end.wait()
            more = "Not-Executed: 1\r\n"
            writer.write(head(request, status="503 Full", length=0, more=more))
            return
        if "/streaming/" not in request.path:
            writer.write(head(request, length=2) + b"ok")
            return
        writer.write(head(request, kind=EVENTS, more=CHUNKED) + chunk(event(1)))
        await writer.drain()
        if request.path == LONG:
            await sleep(TEST_TIMEOUT_S)
        self.begun.set()
        await self.may_end.wait()
        writer.write(b"0\r\n\r\n")

    async def stop_beside_a_stream(self):
        """Begin a stream, stop the router, and end the stream once it takes no more.

        Returns
        -------
        tuple
            Reader and writer of the stream's connection.
        """
        reader, writer = await self.fleet.connect()
        writer.write(self.fleet.encoded(FIRST))
        await self.begun.wait()
        self.stop()
        await sleep(ACCEPTED_S)
        while await self._listens():
            await sleep(0.05)
        self.may_end.set()
        reply = await read_reply(reader)
        assert reply.is_complete
        assert "connection" not in reply.headers
        return reader, writer

    async def _listens(self):
        try:
            _, writer = await self.fleet.connect()
        except ConnectionError:
            return False
        writer.close()
        return True

    def arrivals(self, path):
        """Return how many requests with a path have reached the target."""
        return sum(each.path == path for each in self.target.received)

    def stop(self):
        """Ask the process to stop."""
        self._process.send_signal(SIGTERM)

    async def until_gone(self):
        """Wait until the process has ended."""
        with fail_after(TEST_TIMEOUT_S):
            while self._process.poll() is None:
                await sleep(0.01)
        assert self._process.returncode == 0


@pytest.fixture
def stopping_router(make_settings, free_port, tmp_path):
    """Return a context manager that runs a router process and a target."""

    @asynccontextmanager
    async def run(grace_s):
        settings = make_settings()
        fleet = Fleet(settings)
        fleet.route("streaming", **{"timeout-ms": 60_000})
        fleet.route("non_idempotent", **{"timeout-ms": 1_000})
        fleet.route("idempotent", **{"timeout-ms": 60_000})
        resumable = {"path-prefix": TAKEN_UP, "timeout-ms": 60_000}
        fleet.route("streaming", name="resumable", resumable=True, **resumable)
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            fleet.put_configuration()
            bounds = {"grace-s": grace_s, "quota-window-s": 1}
            routers = Routers.from_settings([settings], tmp_path, bounds=bounds)
            running = StoppingRouter(fleet, routers)
            target = ScriptedTarget("i-0", free_port(), running.respond)
            running.target = target
            await target.start()
            fleet.put_target(target)
            try:
                with fail_after(TEST_TIMEOUT_S):
                    await until_served(fleet, routers)
                    yield running
            finally:
                routers.close()
                await target.close()

    return run


async def until_served(fleet, routers):
    """Wait until the router serves requests and reports itself as ready."""
    address = fleet.settings.readiness_address
    status = None
    while status != 200:
        routers.check()
        try:
            await get(address.host, address.port, "/readyz")
            status = (await fleet.call(PLAIN)).status
        except (ConnectionError, EOFError):
            pass
        await sleep(0.05)


class TestKeptConnection:
    """A connection on which a stream ends after the router takes no new connections.

    The head of the stream could not announce that the connection is closed.
    """

    async def test_stream_that_can_not_end_before_the_process_is_begun(
        self, stopping_router
    ):
        """It would be cut; its caller is told that it has not run, and to return."""
        async with stopping_router(grace_s=6.0) as running:
            reader, writer = await running.stop_beside_a_stream()
            writer.write(running.fleet.encoded(LONG))
            reply = await read_reply(reader)
            assert await reader.read() == b""
            await running.until_gone()
            writer.close()
        assert (reply.status, running.arrivals(LONG)) == (503, 0)
        assert reply.headers["connection"] == "close"
        assert float(reply.headers["retry-after"]) > 0

    async def test_short_request_is_refused_or_crosses_the_close(self, stopping_router):
        """Its time limit ends before the process does."""
        async with stopping_router(grace_s=6.0) as running:
            reader, writer = await running.stop_beside_a_stream()
            writer.write(running.fleet.encoded(PLAIN))
            reply = await read_reply(reader)
            assert await reader.read() == b""
            await running.until_gone()
            writer.close()
        assert (reply.status, reply.body) == (200, b"ok")
        assert reply.headers["connection"] == "close"

    async def test_stream_that_was_sent_ahead_is_begun(self, stopping_router):
        """It was read while the stream before was under way."""
        async with stopping_router(grace_s=6.0) as running:
            reader, writer = await running.fleet.connect()
            writer.write(running.fleet.encoded(FIRST) + running.fleet.encoded(LONG))
            await running.begun.wait()
            running.stop()
            await sleep(ACCEPTED_S + 0.2)
            running.may_end.set()
            first, second = await read_reply(reader), await read_reply(reader)
            await running.until_gone()
            writer.close()
        assert first.is_complete
        assert (second.status, running.arrivals(LONG)) == (503, 0)

    async def test_stream_that_is_taken_up_waits_for_the_store(self, stopping_router):
        """Another router can begin it at once, whatever the store tells this one."""
        async with stopping_router(grace_s=6.0) as running:
            reader, writer = await running.stop_beside_a_stream()
            running.fleet.platform.faults.delay_ms = SILENT_MS
            writer.write(running.fleet.encoded(TAKEN_UP, Last_Event_Id="3"))
            reply = await read_reply(reader)
            running.fleet.platform.faults.delay_ms = 0.0
            await running.until_gone()
            writer.close()
        assert (reply.status, running.arrivals(TAKEN_UP)) == (503, 0)
        assert float(reply.headers["retry-after"]) == ELSEWHERE_DELAY_S


class TestWaitForPlace:
    """Requests that wait for a place when it becomes too late to begin them."""

    @pytest.mark.parametrize("is_freed_at_once", [True, False])
    async def test_request_is_begun_or_keeps_its_place(self, running, is_freed_at_once):
        """Places that are freed meanwhile are refused to it, and given back."""
        may_end = Event()

        async def waits(request, writer):
            await may_end.wait()
            writer.write(head(request, length=2) + b"ok")

        def unhurried(fleet):
            fleet.routes[0]["goal-ms"] = 8_000

        async with running(waits, prepare=unhurried) as fleet:
            context, statuses = fleet.router._context, []
            (target,) = context.targets.by_id.values()
            arrived = fleet.targets[0].received

            async def call():
                statuses.append((await fleet.call("/idempotent/")).status)

            async with create_task_group() as tasks:
                for _ in range(CALLS):
                    tasks.start_soon(call)
                await fleet.until(lambda: context.open_requests == CALLS)
                await fleet.until(lambda: len(arrived) == target.in_flight)
                begun = len(arrived)
                now = context.clock()
                context.stop = GracefulStop(requested_at=now - 4.0, exit_at=now + 4.0)
                if not is_freed_at_once:
                    with fail_after(REFUSED_S):
                        await fleet.until(lambda: len(statuses) == CALLS - begun)
                may_end.set()
        assert 0 < len(arrived) == begun < CALLS
        assert sorted(statuses) == [200] * begun + [503] * (CALLS - begun)
        assert (target.in_flight, target.waiting_tokens) == (0, 0)


class TestRetry:
    """A request that its target refuses when it is too late to begin it elsewhere."""

    async def test_retry_that_is_not_sent_asks_the_budget(self, stopping_router):
        """The budget is shared with the routers that go on."""
        async with stopping_router(grace_s=6.0) as running:
            reader, writer = await running.fleet.connect()
            writer.write(running.fleet.encoded(REFUSED))
            await running.begun.wait()
            running.stop()
            await sleep(ACCEPTED_S + 0.2)
            running.may_end.set()
            reply = await read_reply(reader)
            await running.until_gone()
            writer.close()
        assert (reply.status, running.arrivals(REFUSED)) == (503, 1)
        assert float(reply.headers["retry-after"]) == ELSEWHERE_DELAY_S


class TestGraceShorterThanItsMargin:
    """A grace that is over as soon as the stop is requested."""

    async def test_process_fails(self, stopping_router):
        async with stopping_router(grace_s=0.3) as running:
            running.stop()
            await running.until_gone()
