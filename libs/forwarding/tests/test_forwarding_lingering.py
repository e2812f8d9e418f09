"""Callers that are still sending when the response ends their connection.

Guards against responses that a reset overtook because bytes of the request, or of the
next one, were not read. The sockets are real ones; a caller sends on only once it has
seen the end of the response, so that no test depends on who is faster.
"""

from asyncio import get_running_loop
from contextlib import asynccontextmanager
from socket import SHUT_WR, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket

import pytest
from anyio import fail_after, sleep

from berylwalk.forwarding import (
    BufferBounds,
    CallerBuffers,
    CallerConnection,
    ConnectionLimits,
    LingeringConnections,
    RequestBodies,
    ResponseBuffers,
)

pytestmark = pytest.mark.anyio
LIMITS = ConnectionLimits(
    max_header_bytes=2_000,
    max_body_bytes=50_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
MAX_DISCARDED_BYTES = LIMITS.max_header_bytes + LIMITS.max_body_bytes
MAX_HELD_BODY_BYTES = 40_000
SMALL_BUFFER_BYTES = 4_096
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"
REST = b"x" * 10_000
LARGE_BODY = b"y" * 300_000
TEST_TIMEOUT_S = 10.0


@pytest.fixture
def anyio_backend():
    """Run on asyncio."""
    return "asyncio"


class Server:
    """Serves callers on a real socket with one scripted response."""

    def __init__(self, *, status=200, body=b"", linger_s=60.0, **bounds):
        self.now = 0.0
        self.status, self.body = status, body
        self.linger_s = linger_s
        self.connections = set()
        self.served = 0
        self.bodies = RequestBodies(MAX_HELD_BODY_BYTES)
        self.lingering = LingeringConnections(**bounds)

    def connect(self):
        buffers = CallerBuffers(
            ResponseBuffers(BufferBounds.from_memory_limit(None)),
            self.bodies,
            clock=lambda: self.now,
            on_slow_reader=lambda *_: None,
        )
        return CallerConnection(
            serve=self.serve,
            on_disconnect=lambda _: None,
            limits=lambda: LIMITS,
            clock=lambda: self.now,
            registry=self.connections,
            call_later=lambda _, then: get_running_loop().call_later(
                self.linger_s, then
            ),
            buffers=buffers,
            lingering=self.lingering,
        )

    def serve(self, connection, request):
        self.served += 1
        connection.respond(self.status, [], self.body)

    def time_out(self):
        """Let the time for the head of a request pass."""
        self.now += LIMITS.header_timeout_s + 1.0
        for connection in list(self.connections):
            connection.close_if_overdue(self.now)

    def announce_closing(self):
        """Announce the close in further responses, as at the stop of a router."""
        for connection in self.connections:
            connection.closing = True

    @property
    def connection(self):
        """The only connection."""
        (connection,) = self.connections
        return connection


class Caller:
    """A socket of a caller."""

    def __init__(self, connected):
        self.socket = connected
        self.loop = get_running_loop()

    async def send(self, data):
        await self.loop.sock_sendall(self.socket, data)

    async def read(self):
        """Read until the server has stopped sending; fails at a reset."""
        received = b""
        while data := await self.loop.sock_recv(self.socket, 65_536):
            received += data
        return received

    async def send_in_parts(self, data, parts):
        """Send data several times; fails if the connection was reset meanwhile."""
        for _ in range(parts):
            await self.send(data)
            await sleep(0.01)


@asynccontextmanager
async def listening(server):
    """Listen; yields what connects a caller with a small receive buffer."""
    loop = get_running_loop()
    listener = await loop.create_server(server.connect, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()
    sockets = []

    async def connect():
        caller = socket()
        sockets.append(caller)
        caller.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setblocking(False)
        known = len(server.connections)
        await loop.sock_connect(caller, address)
        await until(lambda: len(server.connections) > known)
        return Caller(caller)

    try:
        with fail_after(TEST_TIMEOUT_S):
            yield connect
    finally:
        listener.close()
        for each in sockets:
            each.close()
        for connection in list(server.connections):
            connection.abort()
        await sleep(0)


async def until(holds):
    """Wait until a condition holds."""
    while not holds():
        await sleep(0.005)


def status_of(response):
    """Return the status of a response."""
    return int(response.split(b" ")[1])


BEFORE_THE_END = [
    pytest.param(
        400, HEAD + b"Content-Length: 9\r\nContent-Length: \r\n\r\n", id="400-empty"
    ),
    pytest.param(
        400,
        HEAD + b"Content-Length: 9\r\nContent-Length: \xd9\xa1\r\n\r\n",
        id="400-digit",
    ),
    pytest.param(
        400, HEAD + b"Content-Length: 9\r\nContent-Length: null\r\n\r\n", id="400-null"
    ),
    pytest.param(413, HEAD + b"Content-Length: 50001\r\n\r\n", id="413"),
    pytest.param(431, HEAD + b"A: " + b"a" * 2_000 + b"\r\n\r\n", id="431"),
    pytest.param(
        503, HEAD + b"Content-Length: 45000\r\n\r\n" + b"x" * 40_001, id="503"
    ),
]
"""Statuses of responses to requests whose end was not received, and what they are
responses to."""


class TestRefusalsBeforeTheEnd:
    """Requests that are refused before they were received."""

    @pytest.mark.parametrize(("status", "begin"), BEFORE_THE_END)
    async def test_body_that_is_sent_after_the_refusal(self, status, begin):
        """The caller may only find out about the refusal when it has sent all."""
        server = Server()
        async with listening(server) as connect:
            caller = await connect()
            await caller.send(begin)
            response = await caller.read()
            await caller.send_in_parts(REST, 3)
            caller.socket.shutdown(SHUT_WR)
            await until(lambda: not server.connections)
        assert status_of(response) == status
        assert server.served == 0

    @pytest.mark.parametrize(("status", "begin"), BEFORE_THE_END)
    async def test_refusal_that_is_read_after_the_body_was_sent(self, status, begin):
        server = Server()
        async with listening(server) as connect:
            caller = await connect()
            await caller.send(begin)
            await until(lambda: not server.connections or not server.connection.is_open)
            await caller.send_in_parts(REST, 3)
            response = await caller.read()
        assert status_of(response) == status

    async def test_rest_of_a_request_that_took_too_long(self):
        server = Server()
        async with listening(server) as connect:
            caller = await connect()
            await caller.send(HEAD)
            await until(lambda: server.connection.is_busy)
            server.time_out()
            response = await caller.read()
            await caller.send_in_parts(REST, 3)
        assert status_of(response) == 408


class TestRequestsAfterTheLast:
    """Requests that were sent ahead on a connection that ends before them."""

    @pytest.mark.parametrize("status", [200, 400, 408, 413, 429, 431, 503])
    async def test_request_sent_ahead_of_the_end(self, status):
        """The caller asked for the close but is still sending."""
        server = Server(status=status)
        async with listening(server) as connect:
            caller = await connect()
            await caller.send(HEAD + b"Connection: close\r\n\r\n")
            response = await caller.read()
            await caller.send_in_parts(REQUEST, 3)
        assert status_of(response) == status
        assert server.served == 1

    async def test_request_sent_ahead_at_the_stop(self):
        """Its caller could not know yet that the router stops."""
        server = Server()
        async with listening(server) as connect:
            caller = await connect()
            server.announce_closing()
            await caller.send(REQUEST)
            response = await caller.read()
            await caller.send_in_parts(REQUEST, 3)
        assert b"Connection: close\r\n" in response
        assert server.served == 1

    async def test_unread_request_behind_a_large_response(self):
        """What the kernel has not sent yet is lost at a reset."""
        server = Server(body=LARGE_BODY)
        async with listening(server) as connect:
            caller = await connect()
            accepted = server.connection._transport.get_extra_info("socket")
            accepted.setsockopt(SOL_SOCKET, SO_SNDBUF, SMALL_BUFFER_BYTES)
            await caller.send(HEAD + b"Connection: close\r\n\r\n")
            await until(lambda: not server.connection.is_open)
            await caller.send(REQUEST)
            response = await caller.read()
        assert response.endswith(b"\r\n\r\n" + LARGE_BODY)


class TestBounds:
    """What such callers may use of a router."""

    async def refused(self, connect):
        """Return a caller that has read a refusal."""
        caller = await connect()
        await caller.send(HEAD + b"Content-Length: 50001\r\n\r\n")
        assert status_of(await caller.read()) == 413
        return caller

    async def test_caller_that_never_closes(self):
        """Its descriptor must be free again."""
        server = Server(linger_s=0.05)
        async with listening(server) as connect:
            await self.refused(connect)
            await until(lambda: not server.connections)
        assert len(server.lingering) == 0

    async def test_caller_that_sends_without_end(self):
        """It is read up to a bound, and has time to read the response even then."""
        server = Server()
        async with listening(server) as connect:
            caller = await self.refused(connect)
            connection = server.connection
            await caller.send_in_parts(REST, 5)
            await until(lambda: connection._discarded_bytes == 50_000)
            assert connection._transport.is_reading()
            await caller.send_in_parts(REST, 5)
            await until(lambda: not connection._transport.is_reading())
            assert connection._discarded_bytes > MAX_DISCARDED_BYTES
            assert server.connections == {connection}

    async def test_many_callers_at_once(self):
        """The one that had the most time goes first."""
        server = Server(max_connections=2)
        async with listening(server) as connect:
            await self.refused(connect)
            first = server.connection
            for _ in range(3):
                await self.refused(connect)
            await until(lambda: len(server.connections) == 2)
        assert first._transport is None

    async def test_bytes_of_all_callers(self):
        """The link is not filled with what is discarded."""
        server = Server(bytes_per_s=15_000.0)
        async with listening(server) as connect:
            first = await self.refused(connect)
            kept = server.connection
            await first.send(REST)
            await until(lambda: kept._discarded_bytes)
            assert kept._transport.is_reading()
            second = await self.refused(connect)
            (other,) = server.connections - {kept}
            await second.send(REST)
            await until(lambda: not other._transport.is_reading())

    async def test_body_of_a_refused_request_is_released(self):
        """The memory must not be held while the connection is read on."""
        server = Server()
        async with listening(server) as connect:
            caller = await connect()
            await caller.send(HEAD + b"Content-Length: 45000\r\n\r\n" + b"x" * 40_001)
            assert status_of(await caller.read()) == 503
            assert len(server.lingering) == 1
            assert server.bodies.held_bytes == 0

    async def test_caller_that_has_reset_the_connection(self):
        """Nothing is left to be ended."""
        server = Server()
        async with listening(server) as connect:
            await connect()
            connection = server.connection
            accepted = connection._transport.get_extra_info("socket")
            accepted.shutdown(2)
            connection.data_received(HEAD + b"Host: other\r\n\r\n")
            await until(lambda: not server.connections)
        assert len(server.lingering) == 0


class TestLingeringConnections:
    """Decisions about connections that are read on."""

    def test_bounds_follow_from_the_vm(self):
        lingering = LingeringConnections.from_vm_limits(
            descriptors=160, link_bytes_per_s=1_000.0
        )
        assert lingering.max_connections == 10
        assert lingering.take(100, 0.0)
        assert not lingering.take(1, 0.0)

    def test_vm_without_limits(self):
        lingering = LingeringConnections.from_vm_limits(
            descriptors=None, link_bytes_per_s=None
        )
        assert lingering.take(10**9, 0.0)
        assert lingering.max_connections > 1

    def test_rate_holds_over_time(self):
        """Bytes beyond the rate are paid back before more are read."""
        lingering = LingeringConnections(bytes_per_s=100.0)
        assert not lingering.take(250, 0.0)
        assert not lingering.take(0, 1.0)
        assert lingering.take(0, 2.0)

    def test_oldest_makes_room(self):
        lingering = LingeringConnections(max_connections=2)
        assert [lingering.add(name) for name in "abc"] == [None, None, "a"]
        lingering.remove("b")
        assert lingering.add("d") is None
        assert len(lingering) == 2
