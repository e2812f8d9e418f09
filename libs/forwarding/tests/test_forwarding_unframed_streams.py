"""Streams that only the end of their connection ends, over real sockets.

A caller of HTTP/1.0 gets no chunks, so it takes the end of the connection for that of
the stream. Closing the socket stands for the exit of the process: the kernel does the
same with the sockets of a process that is killed.
"""

from asyncio import get_running_loop
from contextlib import asynccontextmanager
from socket import SHUT_WR, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket

import pytest
from anyio import fail_after, sleep

from berylwalk.forwarding import CallerConnection, ConnectionLimits

pytestmark = pytest.mark.anyio
LIMITS = ConnectionLimits(
    max_header_bytes=2_000,
    max_body_bytes=50_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
REQUEST = b"POST /x HTTP/1.0\r\nHost: h\r\n\r\n"
EVENT = b"id: 1\ndata: 1\n\n"
SMALL_BUFFER_BYTES = 4_096
LARGE = b"x" * 300_000
"""More than the buffers of the sockets hold."""
LAST_BYTES = 16_000
"""Less than remains where a transport of the event loop has room again by default."""
LINGER_S = 0.05
TEST_TIMEOUT_S = 10.0


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request):
    """Run on both event loops."""
    return "asyncio", {"use_uvloop": request.param}


class Stream:
    """A response to one caller."""

    def __init__(self, caller, serve):
        self.caller = caller
        self.loop = get_running_loop()
        self.disconnects = 0
        self.connection = CallerConnection(
            serve=serve,
            on_disconnect=lambda _: self.note_disconnect(),
            limits=lambda: LIMITS,
            clock=self.loop.time,
            registry=set(),
            call_later=lambda _, then: self.loop.call_later(LINGER_S, then),
        )

    def note_disconnect(self):
        self.disconnects += 1

    def send(self, data):
        self.connection.write(data)

    async def receive(self, size):
        """Read a number of bytes, or until the end of the connection."""
        received = b""
        while len(received) < size:
            data = await self.loop.sock_recv(self.caller, 65_536)
            if not data:
                break
            received += data
        return received

    async def receive_all(self):
        """Read until the end of the connection; fails at a reset."""
        return await self.receive(float("inf"))


@asynccontextmanager
async def serving(serve):
    """Serve one caller with small buffers, which has sent a request."""
    loop = get_running_loop()
    with socket() as caller:
        caller.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setblocking(False)
        stream = Stream(caller, serve)
        listener = await loop.create_server(lambda: stream.connection, "127.0.0.1", 0)
        try:
            with fail_after(TEST_TIMEOUT_S):
                await loop.sock_connect(caller, listener.sockets[0].getsockname())
                await loop.sock_sendall(caller, REQUEST)
                yield stream
        finally:
            stream.connection.abort()
            listener.close()
            await sleep(0)


@asynccontextmanager
async def streaming():
    """Yield a stream whose head was received."""

    def start(connection, request):
        accepted = connection._transport.get_extra_info("socket")
        accepted.setsockopt(SOL_SOCKET, SO_SNDBUF, SMALL_BUFFER_BYTES)
        connection.start_stream(200, [])

    async with serving(start) as stream:
        head = await stream.receive(1)
        assert head.endswith(b"\r\n\r\n")
        yield stream


class TestStreamUnderWay:
    """Streams whose connection ends before they do."""

    async def test_exit_of_the_process(self):
        async with streaming() as stream:
            stream.send(EVENT)
            assert await stream.receive(len(EVENT)) == EVENT
            stream.connection.abort()
            with pytest.raises(ConnectionResetError):
                await stream.receive_all()

    async def test_caller_that_has_ended_its_sending(self):
        """Its request is dropped, which must not look like the end of the stream."""
        async with streaming() as stream:
            stream.send(EVENT)
            assert await stream.receive(len(EVENT)) == EVENT
            stream.caller.shutdown(SHUT_WR)
            with pytest.raises(ConnectionResetError):
                await stream.receive_all()
            assert stream.disconnects == 1

    async def test_caller_that_has_ended_its_sending_and_reads_slowly(self):
        """The rest that is buffered ends in the midst of the stream."""
        async with streaming() as stream:
            stream.send(LARGE)
            await sleep(LINGER_S)
            assert stream.connection.unsent_bytes > 0
            stream.caller.shutdown(SHUT_WR)
            with pytest.raises(ConnectionResetError):
                await stream.receive_all()

    async def test_truncated_stream(self):
        async with streaming() as stream:
            stream.send(EVENT)
            assert await stream.receive(len(EVENT)) == EVENT
            stream.connection.truncate_response()
            with pytest.raises(ConnectionResetError):
                await stream.receive_all()


class TestEndedStream:
    """Streams that are complete, but maybe not sent."""

    async def test_end_is_sent(self):
        async with streaming() as stream:
            stream.send(EVENT)
            stream.connection.end_stream()
            assert await stream.receive_all() == EVENT

    async def test_exit_of_the_process_before_the_caller_reads(self):
        """The whole stream has left the process."""
        async with streaming() as stream:
            stream.send(EVENT)
            stream.connection.end_stream()
            await sleep(0.01)
            assert stream.connection.unsent_bytes == 0
            stream.connection.abort()
            assert await stream.receive_all() == EVENT

    async def test_slow_reader_gets_the_whole_stream(self):
        """Also if the connection is closed once its buffer is empty."""
        async with streaming() as stream:
            stream.send(LARGE)
            stream.connection.end_stream()
            received = b""
            while len(received) < len(LARGE):
                received += await stream.receive(len(LARGE) / 8)
                await sleep(LINGER_S / 2)
            assert received + await stream.receive_all() == LARGE

    async def test_slow_reader_gets_the_end_of_a_connection_that_makes_room(self):
        """It is closed as soon as its buffer is empty, while the kernel has bytes."""
        async with streaming() as stream:
            stream.send(LARGE)
            stream.connection.end_stream()
            stream.connection._ending.stop_lingering()
            assert await stream.receive_all() == LARGE

    async def test_few_bytes_are_left_at_the_end(self):
        """Fewer than those from which writing is paused."""
        async with streaming() as stream:
            sent = 0
            while stream.connection.unsent_bytes == 0:
                stream.send(EVENT)
                sent += 1
                await sleep(0)
            stream.connection.end_stream()
            stream.connection._ending.stop_lingering()
            assert await stream.receive_all() == EVENT * sent

    async def test_exit_of_the_process_before_all_is_sent(self):
        async with streaming() as stream:
            stream.send(LARGE)
            stream.connection.end_stream()
            await sleep(LINGER_S / 2)
            assert stream.connection.unsent_bytes > 0
            stream.connection.abort()
            with pytest.raises(ConnectionResetError):
                await stream.receive_all()

    @pytest.mark.parametrize("max_bytes", [None, 2 * len(LARGE)])
    async def test_exit_of_the_process_before_the_last_bytes_are_sent(self, max_bytes):
        """However much may be buffered for the caller by then."""
        async with streaming() as stream:
            connection = stream.connection
            stream.send(LARGE)
            connection.end_stream()
            if max_bytes is not None:
                connection.bound_unsent(max_bytes)
            while connection.unsent_bytes > LAST_BYTES:
                await stream.receive(1)
                await sleep(0.001)
            assert connection.unsent_bytes > 0
            connection.abort()
            with pytest.raises(ConnectionResetError):
                await stream.receive_all()


class TestStatedLength:
    """Responses whose length tells their end."""

    @pytest.mark.parametrize("status", [200, 404, 503])
    async def test_plain_response_states_its_length(self, status):
        """Also to a caller of HTTP/1.0, so that a part of it does not look whole."""

        def respond(connection, request):
            connection.respond(status, [], EVENT)

        async with serving(respond) as stream:
            head, body = (await stream.receive_all()).split(b"\r\n\r\n", 1)
        assert b"Content-Length: %d" % len(EVENT) in head
        assert body == EVENT
