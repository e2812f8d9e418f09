"""Callers of a router process that is killed: nothing they got may look whole."""

from contextlib import asynccontextmanager, suppress
from signal import SIGKILL

import pytest
from anyio import Event, fail_after, sleep

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
    head,
)
from direct_processes import Routers

pytestmark = pytest.mark.anyio
LAST = 4
"""Events of a stream."""
BODY = b"x" * 1_000
SENT_S = 0.2
"""Time in which a router has sent what its target has sent."""


class KilledRouter:
    """A process of the router, and a target that pauses in the midst of a stream."""

    def __init__(self, fleet, routers):
        self.fleet = fleet
        self._routers = routers
        self.may_go_on = Event()

    async def respond(self, request, writer):
        """Send a stream, or a body with a length."""
        if request.path.startswith("/idempotent/"):
            writer.write(head(request, length=len(BODY)) + BODY)
            return
        writer.write(head(request, kind=EVENTS, more=CHUNKED))
        writer.write(chunk(b"".join(map(event, range(1, LAST)))))
        await self.may_go_on.wait()
        writer.write(chunk(event(LAST)) + b"0\r\n\r\n")

    async def send(self, path, version):
        """Return the reader of a response and its writer."""
        reader, writer = await self.fleet.connect()
        request = self.fleet.encoded(path)
        writer.write(request.replace(b"HTTP/1.1", version, 1))
        return reader, writer

    async def until_ready(self):
        """Wait until the router responds with a success."""
        reply = None
        while reply is None or reply.status != 200:
            self._routers.check()
            with suppress(OSError, EOFError):
                reply = await self.fleet.call("/idempotent/")
            await sleep(0.05)

    def kill(self):
        """Kill the process; the kernel closes its connections."""
        self._routers.restart(0, SIGKILL)


@pytest.fixture
def killed_router(make_settings, free_port, tmp_path):
    """Return a context manager that runs a process and a target."""

    @asynccontextmanager
    async def run():
        settings = make_settings()
        fleet = Fleet(settings)
        for kind in ("idempotent", "streaming"):
            fleet.route(kind)
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            fleet.put_configuration()
            routers = Routers.from_settings([settings], tmp_path)
            running = KilledRouter(fleet, routers)
            target = ScriptedTarget("i-0", free_port(), running.respond)
            await target.start()
            fleet.put_target(target)
            try:
                with fail_after(TEST_TIMEOUT_S):
                    await running.until_ready()
                    yield running
            finally:
                running.may_go_on.set()
                routers.close()
                await target.close()

    return run


class TestKilledRouter:
    """The process gets SIGKILL while callers wait for the rest of their responses."""

    async def test_stream_without_chunks_that_is_under_way(self, killed_router):
        """Its caller takes the end of the connection for that of the stream."""
        async with killed_router() as running:
            reader, writer = await running.send("/streaming/x", b"HTTP/1.0")
            await reader.readuntil(event(LAST - 1))
            running.kill()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    async def test_stream_without_chunks_that_has_ended(self, killed_router):
        """Its caller has not read it, and gets all of it."""
        async with killed_router() as running:
            running.may_go_on.set()
            reader, writer = await running.send("/streaming/x", b"HTTP/1.0")
            writer.transport.pause_reading()
            await sleep(SENT_S)
            running.kill()
            writer.transport.resume_reading()
            received = await reader.read()
            writer.close()
        stream = b"".join(map(event, range(1, LAST + 1)))
        assert received.split(b"\r\n\r\n", 1)[1] == stream

    async def test_stream_with_chunks_that_is_under_way(self, killed_router):
        async with killed_router() as running:
            reader, writer = await running.send("/streaming/x", b"HTTP/1.1")
            await reader.readuntil(event(LAST - 1))
            running.kill()
            rest = b""
            with suppress(ConnectionResetError):
                rest = await reader.read()
            writer.close()
        assert not rest.endswith(b"0\r\n\r\n")

    async def test_plain_response_has_a_length_without_chunks(self, killed_router):
        """So that a part of it does not look whole."""
        async with killed_router() as running:
            reader, writer = await running.send("/idempotent/x", b"HTTP/1.0")
            received = await reader.read()
            writer.close()
        assert b"Content-Length: %d\r\n" % len(BODY) in received
        assert received.endswith(b"\r\n\r\n" + BODY)
