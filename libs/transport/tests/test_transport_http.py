"""HTTP server and client, with each other and with raw sockets."""

from contextlib import asynccontextmanager
from socket import SO_RCVBUF, SOL_SOCKET, socket

import anyio
import pytest

from berylwalk.transport import (
    AbortConnection,
    BodyFailure,
    HttpClient,
    HttpLimits,
    HttpResponse,
    HttpServer,
    RequestFailed,
    SendState,
    StreamBrokenError,
    chunk_sender,
    read_body,
    read_headers,
    send_chunk,
    send_end,
    send_json,
    send_start,
)
from berylwalk.transport._http_protocol import NEXT_REQUEST_S

HOST = "127.78.1.1"
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
MAX_BODY_BYTES = 1000
NUMBERS = b"".join(b"%d," % number for number in range(300))
CHUNKS = 400
TEST_TIMEOUT_S = 20.0
LARGE = b"x" * 60_000
SMALL_BUFFER_BYTES = 2048

pytestmark = pytest.mark.parametrize("use_uvloop", [True, False])


def run(main, use_uvloop):
    """Run a coroutine function with a timeout, on uvloop or the asyncio loop."""

    async def with_timeout():
        with anyio.fail_after(TEST_TIMEOUT_S):
            await main()

    anyio.run(
        with_timeout, backend="asyncio", backend_options={"use_uvloop": use_uvloop}
    )


@asynccontextmanager
async def serving(application, **limits):
    """Start a server and a client; yield them and the URL of the server."""
    server = HttpServer.from_config(application, HOST, 0, limits=HttpLimits(**limits))
    client = HttpClient.from_config(connect_timeout_s=5.0)
    await server.start()
    await client.start()
    try:
        yield server, client, "http://{}:{}/".format(*server.address)
    finally:
        await client.close()
        await server.close()


@asynccontextmanager
async def raw_peer(reply):
    """Start a TCP server that reads once, sends a reply and closes; yield its URL."""

    async def handle(stream):
        async with stream:
            await stream.receive()
            await stream.send(reply)

    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"http://{host}:{port}/"
        tasks.cancel_scope.cancel()


async def read_to_end(stream):
    """Return all data that the peer sends until it closes the connection."""
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


async def receive_until(stream, end):
    """Return the data that the peer sends up to some bytes."""
    received = b""
    while end not in received:
        received += await stream.receive()
    return received


def read_all(connection):
    """Return all data that the peer sends until it closes the connection."""
    received = b""
    while part := connection.recv(65536):
        received += part
    return received


async def send_repeatedly(stream, data, pause_s):
    """Send data repeatedly until the peer closes the connection."""
    try:
        while True:
            await stream.send(data)
            await anyio.sleep(pause_s)
    except anyio.BrokenResourceError:
        return


async def collect(opened):
    """Return the body, and whether it is incomplete."""
    parts = []
    try:
        async for part in opened:
            parts.append(part)
    except StreamBrokenError:
        return b"".join(parts), True
    return b"".join(parts), False


async def echo(scope, receive, send):
    """Return the request body in two chunks, or the reason why it was not read."""
    body = await read_body(receive, MAX_BODY_BYTES, 5.0)
    if isinstance(body, BodyFailure):
        await send_json(send, 413, {"failure": body})
        return
    await send_start(send, 200, [(b"x-echo", read_headers(scope)["host"].encode())])
    await send_chunk(send, body[:1])
    await send_end(send, body[1:])


async def numbers(scope, receive, send):
    """Send a body of many small chunks."""
    await send_start(send, 200)
    for number in range(300):
        await send_chunk(send, b"%d," % number)
    await send_end(send)


async def abort_after_chunk(scope, receive, send):
    """Start a response and abort it."""
    await send_start(send, 200)
    await send_chunk(send, b"partial")
    raise AbortConnection


class TestRoundTrip:
    def test_body_is_delivered_unchanged(self, use_uvloop):
        """Pooled and streamed requests both deliver the complete body."""

        async def main():
            async with serving(echo) as (_, client, url):
                for _ in range(2):
                    response = await client.request("POST", url, body=b"abc")
                    assert isinstance(response, HttpResponse)
                    assert (response.status, response.body) == (200, b"abc")
                async with client.stream("POST", url, body=b"abc") as stream:
                    assert stream.headers["x-echo"] in url
                    assert await collect(stream) == (b"abc", False)

        run(main, use_uvloop)

    def test_coalesced_parts_lose_nothing(self, use_uvloop):
        """Coalescing joins chunks without loss and in order."""

        async def main():
            async with (
                serving(numbers) as (_, client, url),
                client.stream("GET", url, coalesce_s=0.001) as stream,
            ):
                body, broken = await collect(stream)
            assert not broken
            assert body == NUMBERS

        run(main, use_uvloop)

    def test_oversize_body_is_refused(self, use_uvloop):
        """A body over the limit is rejected."""

        async def main():
            async with serving(echo) as (_, client, url):
                body = b"x" * (MAX_BODY_BYTES + 1)
                response = await client.request("POST", url, body=body)
                assert response.status == 413
                assert b"too_large" in response.body

        run(main, use_uvloop)


class TestBrokenResponse:
    def test_abort_truncates_the_response(self, use_uvloop):
        """The client receives data sent before an abort, and sees the truncation."""

        async def main():
            async with serving(abort_after_chunk, linger_s=2 * TEST_TIMEOUT_S) as (
                _,
                client,
                url,
            ):
                async with client.stream("GET", url) as stream:
                    assert await collect(stream) == (b"partial", True)
                response = await client.request("GET", url)
                assert response.state is SendState.OUTCOME_UNKNOWN

        run(main, use_uvloop)

    def test_abort_before_response_has_unknown_outcome(self, use_uvloop):
        """An abort before the response sends nothing, so the outcome is unknown."""

        async def abort(scope, receive, send):
            raise AbortConnection

        async def main():
            async with serving(abort, linger_s=2 * TEST_TIMEOUT_S) as (_, client, url):
                response = await client.request("GET", url)
                assert response.state is SendState.OUTCOME_UNKNOWN

        run(main, use_uvloop)

    @pytest.mark.parametrize(
        "reply",
        [
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
        ],
    )
    def test_truncated_body_raises(self, use_uvloop, reply):
        """A connection closed before the end of the body is reported as an error."""

        async def main():
            async with raw_peer(reply) as url:
                client = HttpClient()
                await client.start()
                async with client.stream("GET", url) as stream:
                    assert await collect(stream) == (b"abc", True)
                failed = await client.request("GET", url)
                assert failed.state is SendState.OUTCOME_UNKNOWN
                await client.close()

        run(main, use_uvloop)

    def test_invalid_chunk_raises(self, use_uvloop):
        """An invalid chunk is reported as an error."""
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

        async def main():
            async with raw_peer(head + b"3\r\nabc\r\nnonsense\r\n") as url:
                client = HttpClient()
                await client.start()
                async with client.stream("GET", url) as stream:
                    _, broken = await collect(stream)
                await client.close()
            assert broken

        run(main, use_uvloop)

    def test_informational_head_is_skipped(self, use_uvloop):
        """A 100 response before the final one is skipped."""
        reply = (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
        )

        async def main():
            async with raw_peer(reply) as url:
                client = HttpClient()
                await client.start()
                async with client.stream("GET", url) as stream:
                    assert stream.status == 200
                    assert await collect(stream) == (b"abc", False)
                await client.close()

        run(main, use_uvloop)


class TestSendState:
    def test_refused_connection_was_not_sent(self, use_uvloop):
        """A refused connection is reported as not sent."""

        async def main():
            async with serving(echo) as (server, client, url):
                await server.close()
                for send in (client.request, client.open_stream):
                    failed = await send("POST", url, body=b"abc")
                    assert isinstance(failed, RequestFailed)
                    assert failed.state is SendState.NOT_SENT

        run(main, use_uvloop)

    def test_close_without_response_has_unknown_outcome(self, use_uvloop):
        """A peer that closes after it read the request may have executed it."""

        async def main():
            async with raw_peer(b"") as url:
                client = HttpClient()
                await client.start()
                for send in (client.request, client.open_stream):
                    failed = await send("POST", url, body=b"abc")
                    assert failed.state is SendState.OUTCOME_UNKNOWN
                await client.close()

        run(main, use_uvloop)

    def test_read_timeout_has_unknown_outcome(self, use_uvloop):
        """A request that times out after it was sent may have been executed."""

        async def silent(scope, receive, send):
            await anyio.sleep(TEST_TIMEOUT_S)

        async def main():
            async with serving(silent) as (_, client, url):
                for send in (client.request, client.open_stream):
                    failed = await send("GET", url, read_timeout_s=0.05)
                    assert failed.state is SendState.OUTCOME_UNKNOWN

        run(main, use_uvloop)


class TestLimits:
    @pytest.mark.parametrize(
        "first_bytes",
        [
            b"",
            b"GET / HTTP/1.1\r\nhost:",
            b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx",
        ],
    )
    def test_slow_request_closes_the_connection(self, use_uvloop, first_bytes):
        """A request that is not received within the timeout closes its connection."""

        async def main():
            limits = {"header_timeout_s": 0.1, "body_timeout_s": 0.1}
            async with serving(echo, **limits) as (server, _, _):
                stream = await anyio.connect_tcp(*server.address)
                if first_bytes:
                    await stream.send(first_bytes)
                assert await read_to_end(stream) == b""
                await stream.aclose()

        run(main, use_uvloop)

    def test_slow_headers_do_not_extend_the_deadline(self, use_uvloop):
        """A client that sends its headers slowly cannot hold a connection open."""

        async def main():
            async with serving(echo, header_timeout_s=0.2) as (server, _, _):
                stream = await anyio.connect_tcp(*server.address)
                await stream.send(b"GET / HTTP/1.1\r\nx-long: ")
                await send_repeatedly(stream, b"x", 0.02)
                await stream.aclose()

        run(main, use_uvloop)

    def test_oversize_headers_close_the_connection(self, use_uvloop):
        """Headers over the size limit close the connection before the deadline."""

        async def main():
            limits = {"header_timeout_s": 2 * TEST_TIMEOUT_S, "max_header_bytes": 2000}
            async with serving(echo, **limits) as (server, _, _):
                stream = await anyio.connect_tcp(*server.address)
                await stream.send(b"GET / HTTP/1.1\r\nx-long: ")
                await send_repeatedly(stream, b"x" * 500, 0.001)
                await stream.aclose()

        run(main, use_uvloop)

    def test_long_response_outlives_the_request_deadlines(self, use_uvloop):
        """The request deadlines do not apply to the response."""

        async def slow_response(scope, receive, send):
            await anyio.sleep(0.3)
            await send_json(send, 200, {})

        async def main():
            limits = {"header_timeout_s": 0.05, "body_timeout_s": 0.05}
            async with serving(slow_response, **limits) as (_, client, url):
                response = await client.request("POST", url, body=b"abc")
                assert response.status == 200

        run(main, use_uvloop)


class TestDrain:
    def test_request_in_progress_finishes(self, use_uvloop):
        """Drain refuses new connections, and lets a response in progress finish."""

        async def main():
            entered, release = anyio.Event(), anyio.Event()

            async def waiting(scope, receive, send):
                await send_start(send, 200)
                entered.set()
                await release.wait()
                await send_end(send, b"whole")

            async with serving(waiting) as (server, client, url):
                async with client.stream("GET", url) as stream:
                    await entered.wait()
                    server.begin_drain()
                    refused = await client.open_stream("GET", url)
                    assert refused.state is SendState.NOT_SENT
                    release.set()
                    assert await collect(stream) == (b"whole", False)
                assert await server.close(timeout_s=5.0)

        run(main, use_uvloop)

    def test_half_received_request_is_still_answered(self, use_uvloop):
        """A request whose headers are incomplete when the drain begins is served."""

        async def main():
            async with serving(echo) as (server, _, _):
                stream = await anyio.connect_tcp(*server.address)
                await stream.send(REQUEST[:-2])
                while not server.connection_count:
                    await anyio.sleep(0.001)
                await anyio.sleep(0.05)
                server.begin_drain()
                await stream.send(REQUEST[-2:])
                response = await read_to_end(stream)
                assert response.startswith(b"HTTP/1.1 200")
                await stream.aclose()

        run(main, use_uvloop)

    def test_requests_sent_ahead_are_answered_on_their_connection(self, use_uvloop):
        """The head of the first response was sent before, and announced no close."""

        async def main():
            release = anyio.Event()

            async def waiting(scope, receive, send):
                await send_start(send, 200)
                await send_chunk(send, b"first ")
                await release.wait()
                await send_end(send, b"last")

            async with serving(waiting) as (server, _, _):
                stream = await anyio.connect_tcp(*server.address)
                await stream.send(REQUEST)
                received = await receive_until(stream, b"first ")
                server.begin_drain()
                await stream.send(2 * REQUEST)
                await anyio.wait_all_tasks_blocked()
                release.set()
                received += await read_to_end(stream)
                assert received.count(b"HTTP/1.1 200") == 3
                assert received.count(b"0\r\n\r\n") == 3
                assert received.count(b"connection: close") == 1
                await stream.aclose()

        run(main, use_uvloop)

    def test_response_in_buffers_is_not_lost_to_a_request_sent_ahead(self, use_uvloop):
        """A request at a closed socket would reset the connection."""

        async def large(scope, receive, send):
            await send_start(send, 200)
            await send_end(send, LARGE)

        async def main():
            async with serving(large) as (server, _, _):
                with socket() as connection:
                    connection.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER_BYTES)
                    connection.connect(server.address)
                    connection.sendall(REQUEST)
                    while not server.connection_count:
                        await anyio.sleep(0.001)
                    await anyio.sleep(0.05)
                    server.begin_drain()
                    await anyio.sleep(2 * NEXT_REQUEST_S)
                    connection.sendall(REQUEST)
                    received = await anyio.to_thread.run_sync(read_all, connection)
                assert received.count(LARGE) == 2
                assert received.count(b"connection: close") == 1

        run(main, use_uvloop)

    def test_responses_that_begin_after_the_announcement_end_connections(
        self, use_uvloop
    ):
        """The caller learns from it that its next request belongs elsewhere."""

        async def main():
            async with serving(echo) as (server, _, _):
                kept = await anyio.connect_tcp(*server.address)
                await kept.send(REQUEST)
                before = await receive_until(kept, b"\r\n\r\n0\r\n\r\n")
                server.announce_close()
                new = await anyio.connect_tcp(*server.address)
                for stream in (kept, new):
                    await stream.send(REQUEST)
                    after = await read_to_end(stream)
                    assert b"connection: close" in after
                    assert after.endswith(b"0\r\n\r\n")
                    await stream.aclose()
                assert b"connection: close" not in before

        run(main, use_uvloop)

    def test_close_aborts_unfinished_responses(self, use_uvloop):
        """Close reports an aborted response, and the client sees the truncation."""

        async def endless(scope, receive, send):
            await send_start(send, 200)
            await send_chunk(send, b"x")
            await anyio.sleep(TEST_TIMEOUT_S)

        async def main():
            async with (
                serving(endless) as (server, client, url),
                client.stream("GET", url) as stream,
            ):
                assert not await server.close(timeout_s=0.05)
                assert (await collect(stream))[1]

        run(main, use_uvloop)


class TestForward:
    def test_refused_parts_keep_their_order(self, use_uvloop):
        """Parts that ``try_write`` refuses are written by the task, in order."""
        written = []

        def try_write(part):
            if len(written) % 3 == 2:
                return False
            written.append(part)
            return True

        async def write(part):
            await anyio.sleep(0.002)
            written.append(part)

        async def main():
            async with (
                serving(numbers) as (_, client, url),
                client.stream("GET", url, coalesce_s=0.001) as stream,
            ):
                await stream.forward(try_write, write)
            assert b"".join(written) == NUMBERS

        run(main, use_uvloop)

    def test_write_error_ends_forwarding(self, use_uvloop):
        """An error raised by ``try_write`` in a callback is raised by `forward`."""

        def fail(part):
            raise ZeroDivisionError

        async def late(scope, receive, send):
            await send_start(send, 200)
            await anyio.sleep(0.05)
            await send_end(send, b"late")

        async def main():
            async with (
                serving(late) as (_, client, url),
                client.stream("GET", url) as stream,
            ):
                with pytest.raises(ZeroDivisionError):
                    await stream.forward(fail, None)

        run(main, use_uvloop)

    @pytest.mark.parametrize("application", ["abort", "stalled"])
    def test_broken_body_raises(self, use_uvloop, application):
        """An aborted body and a stalled one are both reported as errors."""
        parts = []

        async def write(part):
            parts.append(part)

        async def stalled(scope, receive, send):
            await send_start(send, 200)
            await send_chunk(send, b"partial")
            await anyio.sleep(TEST_TIMEOUT_S)

        async def main():
            handler = stalled if application == "stalled" else abort_after_chunk
            async with (
                serving(handler) as (_, client, url),
                client.stream("GET", url, read_timeout_s=0.1) as stream,
            ):
                with pytest.raises(StreamBrokenError):
                    await stream.forward(lambda part: not parts.append(part), write)
            assert b"".join(parts) == b"partial"

        run(main, use_uvloop)

    def test_slow_reader_pauses_the_sender(self, use_uvloop):
        """A slow reader causes backpressure on the sender, without loss of data."""
        sent = []
        chunk = b"x" * 65536

        async def endless(scope, receive, send):
            await send_start(send, 200)
            for _ in range(CHUNKS):
                await send_chunk(send, chunk)
                sent.append(len(chunk))
            await send_end(send)

        async def main():
            written = []

            async def write(part):
                if not written:
                    before = -1
                    while before != len(sent):
                        before = len(sent)
                        await anyio.sleep(0.1)
                    assert before < CHUNKS
                written.append(len(part))

            async with (
                serving(endless) as (_, client, url),
                client.stream("GET", url) as stream,
            ):
                await stream.forward(lambda part: False, write)
            assert sum(written) == CHUNKS * len(chunk)

        run(main, use_uvloop)


class TestChunkSender:
    def test_direct_writes_form_a_valid_chunked_body(self, use_uvloop):
        """Direct writes, also of an empty chunk, and awaited sends form one body."""

        async def mixed(scope, receive, send):
            sender = chunk_sender(send)
            assert not sender.is_ready()
            await send_start(send, 200)
            for part in (b"a", b"", b"b" * 300):
                assert sender.is_ready()
                sender.write(part)
            await send_chunk(send, b"c")
            await send_end(send)
            assert not sender.is_ready()

        async def main():
            async with serving(mixed) as (_, client, url):
                response = await client.request("GET", url)
                assert response.body == b"a" + b"b" * 300 + b"c"

        run(main, use_uvloop)

    def test_full_send_buffer_is_not_ready(self, use_uvloop):
        """The send buffer of a client that does not read stays bounded."""
        stopped = anyio.Event()

        async def flood(scope, receive, send):
            sender = chunk_sender(send)
            await send_start(send, 200)
            while sender.is_ready():
                sender.write(b"x" * 65536)
            stopped.set()
            raise AbortConnection

        async def main():
            async with serving(flood) as (server, _, _):
                stream = await anyio.connect_tcp(*server.address)
                await stream.send(REQUEST)
                await stopped.wait()
                await stream.aclose()

        run(main, use_uvloop)


class TestHttp10:
    """HTTP/1.0 has no chunks, so that the end of the connection ends the body."""

    REQUEST = b"GET / HTTP/1.0\r\nhost: x\r\n\r\n"

    async def call(self, server, *, pause_s=0.0):
        """Return the head, the body and whether the connection was reset."""
        received = b""
        async with await anyio.connect_tcp(*server.address) as stream:
            await stream.send(self.REQUEST)
            is_reset = False
            try:
                while True:
                    received += await stream.receive()
                    await anyio.sleep(pause_s)
            except anyio.EndOfStream:
                pass
            except anyio.BrokenResourceError:
                is_reset = True
        head, _, body = received.partition(b"\r\n\r\n")
        return head.lower(), body, is_reset

    def test_whole_body_is_sent_without_chunks(self, use_uvloop):
        async def main():
            async with serving(numbers) as (server, _, _):
                head, body, is_reset = await self.call(server)
                assert b"transfer-encoding" not in head
                assert (body, is_reset) == (NUMBERS, False)

        run(main, use_uvloop)

    def test_body_with_a_length_is_sent_as_it_is(self, use_uvloop):
        async def document(scope, receive, send):
            await send_json(send, 200, [1, 2])

        async def main():
            async with serving(document) as (server, _, _):
                head, body, is_reset = await self.call(server)
                assert b"content-length: 5" in head
                assert (body, is_reset) == (b"[1,2]", False)

        run(main, use_uvloop)

    def test_aborted_response_is_reset(self, use_uvloop):
        async def main():
            async with serving(abort_after_chunk) as (server, _, _):
                _, _, is_reset = await self.call(server)
                assert is_reset

        run(main, use_uvloop)

    def test_response_of_a_failed_application_is_reset(self, use_uvloop):
        async def failing(scope, receive, send):
            await send_start(send, 200)
            await send_chunk(send, b"partial")
            raise RuntimeError

        async def main():
            async with serving(failing) as (server, _, _):
                _, _, is_reset = await self.call(server)
                assert is_reset

        run(main, use_uvloop)

    def test_slow_reader_gets_the_whole_body(self, use_uvloop):
        """The server holds the end until the kernel holds all bytes."""
        chunk = b"x" * 65536

        async def many(scope, receive, send):
            await send_start(send, 200)
            for _ in range(CHUNKS):
                await send_chunk(send, chunk)
            await send_end(send, b"end")

        async def main():
            async with serving(many) as (server, _, _):
                _, body, is_reset = await self.call(server, pause_s=0.002)
                assert not is_reset
                assert len(body) == CHUNKS * len(chunk) + len(b"end")

        run(main, use_uvloop)

    def test_reader_that_leaves_ends_the_request(self, use_uvloop):
        chunk = b"x" * 65536
        ended = []

        async def many(scope, receive, send):
            await send_start(send, 200)
            for _ in range(CHUNKS):
                await send_chunk(send, chunk)
            await send_end(send)
            ended.append(True)

        async def main():
            async with serving(many) as (server, _, _):
                stream = await anyio.connect_tcp(*server.address)
                await stream.send(self.REQUEST)
                await stream.receive(1)
                await stream.aclose()
                while not ended:
                    await anyio.sleep(0.01)

        run(main, use_uvloop)


class TestRequestHead:
    @pytest.mark.parametrize(
        "header",
        [(b"x", b"a\r\nb: c"), (b"x y", b"a"), (b"", b"a"), (b"x", b"\0")],
    )
    def test_header_injection_is_rejected(self, use_uvloop, header):
        """An invalid header fails the request before a connection is opened."""

        async def main():
            async with serving(echo) as (server, client, url):
                failed = await client.open_stream("GET", url, headers=[header])
                assert isinstance(failed, RequestFailed)
                assert server.connection_count == 0

        run(main, use_uvloop)

    @pytest.mark.parametrize("target", ["a b", "a\r\nx: y"])
    def test_target_injection_is_rejected(self, use_uvloop, target):
        """An invalid request target fails before a connection is opened."""

        async def main():
            async with serving(echo) as (server, client, url):
                failed = await client.open_stream("GET", url + target)
                assert isinstance(failed, RequestFailed)
                assert server.connection_count == 0

        run(main, use_uvloop)

    def test_oversize_response_head_fails(self, use_uvloop):
        """A response head over the size limit fails the request."""
        reply = b"HTTP/1.1 200 OK\r\n" + b"x: %s\r\n" % (b"y" * 70_000)

        async def main():
            async with raw_peer(reply) as url:
                client = HttpClient()
                await client.start()
                failed = await client.open_stream("GET", url)
                await client.close()
                assert failed.state is SendState.OUTCOME_UNKNOWN

        run(main, use_uvloop)
