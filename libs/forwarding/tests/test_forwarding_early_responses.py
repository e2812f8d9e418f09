"""Targets that respond and close while the request is still being sent.

Guards against responses that were lost because sending failed before they were read.
The sockets are real ones. The target acts between two steps of the event loop, so that
no test depends on who is faster.
"""

from asyncio import get_running_loop
from contextlib import asynccontextmanager, suppress
from select import select
from socket import SO_LINGER, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket
from struct import pack

import pytest
from anyio import fail_after, sleep

from berylwalk.forwarding import ResponseEnd, TargetConnection

pytestmark = pytest.mark.anyio
SMALL_BUFFER_BYTES = 4_096
LARGE_BUFFER_BYTES = 4 * 1024 * 1024
REQUEST = b"x" * 2_000_000
HEAD = b"HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\n"
REFUSAL = HEAD + b"Content-Length: 2\r\n\r\nno"
TEST_TIMEOUT_S = 10.0


@pytest.fixture
def anyio_backend():
    """Run on asyncio."""
    return "asyncio"


class Sink:
    """Records a response."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.ends = []

    def on_head(self, status, headers):
        self.status = status

    def on_data(self, data):
        self.body += data

    def on_end(self, end, detail):
        self.ends.append(end)


@asynccontextmanager
async def connected():
    """Yield a connection with small buffers for requests, and its target's socket."""
    loop = get_running_loop()
    with socket() as listener, socket() as client:
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
        listener.setsockopt(SOL_SOCKET, SO_SNDBUF, LARGE_BUFFER_BYTES)
        client.setsockopt(SOL_SOCKET, SO_SNDBUF, SMALL_BUFFER_BYTES)
        client.setsockopt(SOL_SOCKET, SO_RCVBUF, LARGE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client.connect(listener.getsockname())
        target, _ = listener.accept()
        client.setblocking(False)
        _, connection = await loop.create_connection(
            lambda: TargetConnection(
                id_header=b"attempt-id", on_bytes=lambda: None, clock=loop.time
            ),
            sock=client,
        )
        try:
            with target, fail_after(TEST_TIMEOUT_S):
                yield connection, target
        finally:
            connection.close()
            await sleep(0)


@asynccontextmanager
async def sending():
    """Yield a connection that sends a request, its sink and the target's socket."""
    async with connected() as (connection, target):
        sink = Sink()
        connection.send(REQUEST, b"r1", sink)
        assert connection._transport.get_write_buffer_size() > 0
        yield connection, sink, target


async def until(holds):
    """Wait until a condition holds."""
    while not holds():
        await sleep(0.005)


def respond_and_close(target, response):
    """Respond and close with unread bytes, which resets the connection."""
    target.sendall(response)
    target.close()


def respond_before_the_next_write(connection, target, response):
    """Respond and close once the loop is about to send more of the request.

    The loop has then found the socket writable and not readable.
    """
    client = connection._transport.get_extra_info("socket")
    target.setblocking(False)
    while not select([], [client], [], 0.01)[1]:
        with suppress(BlockingIOError):
            target.recv(SMALL_BUFFER_BYTES)
    get_running_loop().call_soon(respond_and_close, target, response)


class TestEarlyResponses:
    """Responses to requests that are not received to their end."""

    async def test_response_that_comes_just_before_sending_fails(self):
        """The loop finds the socket writable, and the reset at the next write."""
        async with sending() as (connection, sink, target):
            respond_before_the_next_write(connection, target, REFUSAL)
            await until(lambda: sink.ends)
        assert (sink.status, sink.body) == (429, b"no")
        assert sink.ends == [ResponseEnd.COMPLETE]

    async def test_response_longer_than_is_read_at_once(self):
        body = b"y" * 600_000
        response = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        async with sending() as (_, sink, target):
            respond_and_close(target, response)
            await until(lambda: sink.ends)
        assert sink.body == body
        assert sink.ends == [ResponseEnd.COMPLETE]

    async def test_response_that_is_not_read_yet(self):
        """Reading pauses while the caller is slow."""
        async with sending() as (connection, sink, target):
            connection.pause()
            respond_and_close(target, REFUSAL)
            await until(lambda: sink.ends)
        assert sink.body == b"no"
        assert sink.ends == [ResponseEnd.COMPLETE]

    async def test_response_without_a_length_is_not_complete(self):
        """Its end is a reset, so that more of it may have been lost."""
        async with sending() as (connection, sink, target):
            respond_before_the_next_write(connection, target, HEAD + b"\r\npart")
            await until(lambda: sink.ends)
        assert sink.body == b"part"
        assert sink.ends == [ResponseEnd.CLOSED]

    async def test_truncated_response(self):
        async with sending() as (connection, sink, target):
            respond_before_the_next_write(
                connection, target, HEAD + b"Content-Length: 9\r\n\r\npart"
            )
            await until(lambda: sink.ends)
        assert sink.body == b"part"
        assert sink.ends == [ResponseEnd.CLOSED]

    async def test_response_to_no_request(self):
        """Nothing of the request was sent, so that the target can't know of it."""
        timed_out = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"
        async with connected() as (connection, target):
            target.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
            respond_and_close(target, timed_out)
            sink = Sink()
            connection.send(REQUEST, b"r1", sink)
            await until(lambda: sink.ends)
        assert sink.status is None
        assert sink.ends == [ResponseEnd.CLOSED]
