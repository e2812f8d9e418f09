"""Callers that read slowly, with real sockets."""

from asyncio import get_running_loop, open_connection
from contextlib import asynccontextmanager
from socket import SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, socket

import pytest
from anyio import create_task_group, fail_after, move_on_after, sleep

from berylwalk.dispatch import VmLimits
from berylwalk.dispatch._graceful_stop import ACCEPT_S
from direct_fleet import CHUNKED, EVENTS, chunk, head, read_reply

pytestmark = pytest.mark.anyio
STREAM = ("streaming",)
EVENT_BYTES = 16 * 1024
EVENTS_OF_A_STREAM = 40
SLOW_CALLERS = 8
SOCKET_BUFFER_BYTES = 4096
LIMITS = VmLimits(memory_bytes=1024 * 1024)
"""Of which 256 KiB are for responses, less than the slow callers' streams together."""


def large_event(number):
    """Return an event that fills a good part of a socket's buffer."""
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)


STREAMED = b"".join(map(large_event, range(1, EVENTS_OF_A_STREAM + 1)))
LARGER_THAN_HELD = b"id: 1\ndata: %s\n\n" % (b"x" * 5 * EVENT_BYTES)


def start_stream(request, writer, *, framing=CHUNKED):
    """Write the head; what is written then waits for the router to read."""
    target = writer.transport.get_extra_info("socket")
    target.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)
    writer.transport.set_write_buffer_limits(high=EVENT_BYTES)
    writer.write(head(request, kind=EVENTS, more=framing))


async def streams_large_events(request, writer):
    """Stream more than the buffers of sockets hold."""
    start_stream(request, writer)
    for number in range(1, EVENTS_OF_A_STREAM + 1):
        writer.write(chunk(large_event(number)))
        await writer.drain()
        await sleep(0.01)
    writer.write(b"0\r\n\r\n")


async def streams_at_once(request, writer):
    """Send the end of a stream together with more than is held for a caller."""
    stream = head(request, kind=EVENTS, more=CHUNKED)
    writer.write(stream + chunk(LARGER_THAN_HELD) + b"0\r\n\r\n")


@pytest.fixture
def small_socket_buffers(monkeypatch):
    """Keep the kernel from holding responses, so that the router has to."""
    from berylwalk.forwarding import CallerConnection

    connection_made = CallerConnection.connection_made

    def made(connection, transport):
        accepted = transport.get_extra_info("socket")
        accepted.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)
        connection_made(connection, transport)

    monkeypatch.setattr(CallerConnection, "connection_made", made)


@asynccontextmanager
async def slow_caller(fleet):
    """Send a request for a stream on a connection with a small receive buffer."""
    address = fleet.settings.caller_address
    with socket() as caller:
        caller.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
        caller.setblocking(False)
        loop = get_running_loop()
        await loop.sock_connect(caller, (address.host, address.port))
        await loop.sock_sendall(
            caller, fleet.encoded("/streaming/x", Connection="close")
        )
        yield caller


async def read_rest(caller):
    """Read until the connection ends; returns what arrived."""
    received = b""
    loop = get_running_loop()
    try:
        while data := await loop.sock_recv(caller, 65536):
            received += data
    except ConnectionError:
        pass
    return received


def resumable(fleet):
    """Make the route resumable."""
    fleet.routes[0]["resumable"] = True


def endings(fleet, reason):
    """Return how many requests ended for a reason."""
    samples = fleet.router._context.metrics.requests.collect()[0].samples
    return sum(
        each.value
        for each in samples
        if each.name.endswith("_total") and each.labels["reason"] == reason
    )


@pytest.mark.usefixtures("small_socket_buffers")
class TestSlowReaders:
    """A router with little memory, and targets that stream on."""

    async def test_target_is_read_while_there_is_room(self, running):
        """A slow caller must not stop its target, which would end the stream."""
        limits = VmLimits(memory_bytes=512 * 1024 * 1024)
        async with (
            running(streams_large_events, routes=STREAM, limits=limits) as fleet,
            slow_caller(fleet) as caller,
        ):
            await fleet.until(lambda: fleet.targets[0].received)
            await fleet.until(lambda: fleet.targets[0].open_requests == 0)
            assert fleet.router._context.response_buffers.held_bytes > 0
            reader, writer = await open_connection(sock=caller.dup())
            with fail_after(10):
                reply = await read_reply(reader)
            writer.close()
        assert reply.is_complete
        assert reply.body == STREAMED

    async def test_slowest_readers_are_ended_others_are_served(self, running):
        """The sum is bounded, and a caller that keeps up gets its whole stream."""
        async with (
            running(
                streams_large_events,
                streams_large_events,
                streams_large_events,
                routes=STREAM,
                limits=LIMITS,
            ) as fleet,
            create_task_group() as tasks,
        ):
            context = fleet.router._context
            # The VM has so little memory that requests are refused at some moments.
            context.vm_capacity.refuses = lambda rank, **_: False
            largest = 0

            async def hold(done):
                async with slow_caller(fleet) as caller:
                    await fleet.until(lambda: endings(fleet, "slow-reader"))
                    done.append(await read_rest(caller))

            async def watch():
                nonlocal largest
                while True:
                    largest = max(largest, context.response_buffers.held_bytes)
                    await sleep(0.01)

            ended = []
            tasks.start_soon(watch)
            for _ in range(SLOW_CALLERS):
                tasks.start_soon(hold, ended)
            replies = []
            while not endings(fleet, "slow-reader"):
                replies.append(await fleet.call("/streaming/x"))
            await fleet.until(lambda: len(ended) == SLOW_CALLERS)
            cut = endings(fleet, "slow-reader")
            tasks.cancel_scope.cancel()
        assert all(reply.is_complete for reply in replies)
        assert {reply.body for reply in replies} == {STREAMED}
        assert 0 < cut < SLOW_CALLERS
        unfinished = [each for each in ended if not each.endswith(b"\r\n0\r\n\r\n")]
        assert len(unfinished) >= cut
        bounds = context.response_buffers.bounds
        # A bound is exceeded by what is read from the target at a time.
        at_most = (SLOW_CALLERS + 1) * (bounds.each_bytes + 8 * EVENT_BYTES)
        assert at_most < SLOW_CALLERS * len(STREAMED) / 2
        assert bounds.all_bytes < largest < at_most

    async def test_target_that_ends_an_unread_stream_is_not_blamed(self, running):
        """Its caller did not read; once it does, the rest comes from elsewhere."""

        async def ends_when_unread(request, writer):
            start_stream(request, writer)
            first = int(request.headers.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS_OF_A_STREAM + 1):
                writer.write(chunk(large_event(number)))
                with move_on_after(0.5) as scope:
                    await writer.drain()
                if scope.cancelled_caught:
                    writer.transport.abort()
                    return
            writer.write(b"0\r\n\r\n")

        async with (
            running(
                ends_when_unread, ends_when_unread, routes=STREAM, prepare=resumable
            ) as fleet,
            slow_caller(fleet) as caller,
        ):
            context = fleet.router._context
            await fleet.until(lambda: any(each.received for each in fleet.targets))
            await fleet.until(
                lambda: not any(each.open_requests for each in fleet.targets)
            )
            # It reads on: the rest comes from the other target.
            with fail_after(5):
                received = await read_rest(caller)
            assert received.endswith(b"\r\n0\r\n\r\n")
            assert {each.error_rate for each in context.targets.by_id.values()} == {0.0}
            assert len(context.quarantine) == 0


@pytest.mark.usefixtures("small_socket_buffers")
class TestStopping:
    """A router that stops while a caller has not read its response."""

    async def test_rest_of_a_response_is_sent(self, running):
        async with (
            running(streams_at_once, routes=STREAM) as fleet,
            slow_caller(fleet) as caller,
        ):
            await fleet.until(lambda: endings(fleet, "answered"))
            fleet.stop()
            await sleep(ACCEPT_S + 0.5)
            with fail_after(5):
                received = await read_rest(caller)
            await fleet.until(lambda: fleet.done)
        assert received.endswith(b"\r\n0\r\n\r\n")


@pytest.mark.usefixtures("small_socket_buffers")
class TestConnectionToTheTarget:
    """A connection to a target after a response that its caller did not read."""

    async def test_next_caller_gets_an_answer(self, running):
        """The end of the response arrives together with more than is held."""
        async with (
            running(streams_at_once, routes=STREAM) as fleet,
            slow_caller(fleet),
        ):
            pool = fleet.router._context.pool
            await fleet.until(pool.idle_count)
            with fail_after(5):
                reply = await fleet.call("/streaming/y")
        assert reply.is_complete
        assert reply.body == LARGER_THAN_HELD

    async def test_target_of_an_unread_stream_gets_other_requests(self, running):
        """It is not silent: this router does not read it."""
        async with (
            running(streams_large_events, routes=STREAM) as fleet,
            slow_caller(fleet),
        ):
            target = fleet.router._context.targets.by_id["i-0"]
            clock = fleet.router._context.clock
            await fleet.until(lambda: target.last_heard_at > 0)
            await fleet.until(lambda: clock() - target.last_heard_at > 1.0)
            reply = await fleet.call("/streaming/y")
        assert reply.status == 200
        assert reply.is_complete


@pytest.mark.usefixtures("small_socket_buffers")
class TestResponsesThatEndWithTheirConnection:
    """Callers that were slower than their target for a while."""

    async def test_whole_stream_counts_as_cut_after_short_pauses(self, running):
        """Its caller reads all the time, and the router pauses it now and then."""

        async def streams_unframed(request, writer):
            writer.write(head(request, kind=EVENTS))
            for number in range(1, EVENTS_OF_A_STREAM + 1):
                writer.write(large_event(number))
            await writer.drain()
            raise ConnectionResetError

        async with (
            running(streams_unframed, routes=STREAM) as fleet,
            slow_caller(fleet) as caller,
        ):
            with fail_after(5):
                received = await read_rest(caller)
        assert received.endswith(b"\r\n0\r\n\r\n")
        assert received.count(b"id: ") == EVENTS_OF_A_STREAM

    async def test_part_of_a_stream_looks_whole_after_a_long_pause(self, running):
        """Its target ends what is not read, in order, and goes on."""

        async def closes_when_unread(request, writer):
            start_stream(request, writer, framing="")
            for number in range(1, EVENTS_OF_A_STREAM + 1):
                writer.write(large_event(number))
                with move_on_after(0.5) as scope:
                    await writer.drain()
                if scope.cancelled_caught:
                    break
            raise ConnectionResetError

        async with (
            running(closes_when_unread, routes=STREAM) as fleet,
            slow_caller(fleet) as caller,
        ):
            await fleet.until(lambda: fleet.targets[0].received)
            await fleet.until(lambda: not fleet.targets[0].open_requests)
            with fail_after(5):
                received = await read_rest(caller)
        assert 0 < received.count(b"id: ") < EVENTS_OF_A_STREAM
        assert not received.endswith(b"\r\n0\r\n\r\n")
