"""Connections of callers and targets over a recording transport."""

from asyncio import get_running_loop, run
from socket import create_server
from types import SimpleNamespace

import pytest

from berylwalk.forwarding import (
    CallerConnection,
    ConnectionLimits,
    EventSplitter,
    ResponseEnd,
    TargetConnection,
    TargetPool,
    end_to_end,
)

LIMITS = ConnectionLimits(
    max_header_bytes=400, max_body_bytes=50, header_timeout_s=3.0, idle_timeout_s=15.0
)
NEVER_S = 2.0
"""How long to wait in vain for what does not arrive, in seconds."""
HEAD = b"POST /r/x HTTP/1.1\r\nHost: h\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"


class RecordedTransport:
    """Records written data; closes immediately."""

    def __init__(self):
        self.written = b""
        self.stopped_sending = False
        self.closed = False
        self.aborted = False
        self.reading = True
        self.unsent = 0

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.stopped_sending = True

    def close(self):
        self.stopped_sending = self.closed = True

    def abort(self):
        self.stopped_sending = self.closed = self.aborted = True

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def get_write_buffer_size(self):
        return self.unsent

    def get_extra_info(self, name):
        return None


class Caller:
    """Connection of a caller, with the requests and disconnects it reported."""

    def __init__(self):
        self.now = 0.0
        self.requests = []
        self.disconnects = 0
        self.timers = []
        self.transport = RecordedTransport()
        self.delay_s = 0.0
        self.connection = CallerConnection(
            serve=lambda _, request: self.requests.append(request),
            on_disconnect=lambda _: self.disconnect(),
            limits=lambda: LIMITS,
            clock=lambda: self.now,
            registry=set(),
            call_later=lambda _, callback: self.timers.append(callback),
            ready_since=lambda passes_ago: self.now - self.delay_s,
        )
        self.connection.connection_made(self.transport)

    def run_timer(self):
        """Run the callback that was scheduled first."""
        self.timers.pop(0)()

    def has_ended(self):
        """Return whether the connection ends; it is read on until its timer runs."""
        is_read_on = self.transport.stopped_sending and not self.transport.closed
        self.run_timer()
        return is_read_on and self.transport.closed

    def disconnect(self):
        self.disconnects += 1

    def send(self, data):
        self.connection.data_received(data)


class Sink:
    """Records a response."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.end = None

    def on_head(self, status, headers):
        self.status = status

    def on_data(self, data):
        self.body += data

    def on_end(self, end, detail):
        self.end = end


class Target:
    """Connection to a target with a request in progress."""

    def __init__(self):
        self.now = 0.0
        self.transport = RecordedTransport()
        self.connection = TargetConnection(
            id_header=b"attempt-id", on_bytes=lambda: None, clock=lambda: self.now
        )
        self.connection.connection_made(self.transport)
        self.sink = self.send(b"r1")

    def send(self, request_id):
        sink = Sink()
        self.connection.send(b"(request)", request_id, sink)
        return sink

    def receive(self, data):
        self.connection.data_received(data)


class TestCallerRequests:
    """Reading of requests."""

    def test_request_byte_by_byte(self):
        """A request must be parsed even if it arrives byte by byte."""
        caller = Caller()
        for byte in HEAD + b"Content-Length: 3\r\n\r\nabc":
            caller.send(bytes([byte]))
        (request,) = caller.requests
        assert (request.method, request.target, request.body) == (
            b"POST",
            b"/r/x",
            b"abc",
        )

    def test_chunked_body_and_dropped_trailers(self):
        """Trailers must not add or replace headers."""
        caller = Caller()
        caller.send(
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"3\r\nabc\r\n0\r\nTenant: x\r\n\r\n"
        )
        (request,) = caller.requests
        assert request.body == b"abc"
        assert b"Tenant" not in dict(request.headers)

    def test_pipelined_requests_are_served_in_order(self):
        """The second request must wait for the response to the first."""
        caller = Caller()
        caller.send((HEAD + b"Content-Length: 0\r\n\r\n") * 2)
        assert len(caller.requests) == 1
        caller.connection.respond(200, [], b"one")
        assert len(caller.requests) == 2
        caller.connection.respond(200, [], b"two")
        assert caller.transport.written.index(b"one") < caller.transport.written.index(
            b"two"
        )
        assert not caller.transport.stopped_sending

    @pytest.mark.parametrize(
        "rest",
        [
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            b"Content-Length : 3\r\n\r\nabc",
            b"Content-Length: +3\r\n\r\nabc",
            b"A: b\r\n c: d\r\n\r\n",
            b"A: b\n\r\n",
            b"Host: other\r\n\r\n",
        ],
    )
    def test_ambiguous_request_is_rejected_and_closes_the_connection(self, rest):
        """Request smuggling must not be possible."""
        caller = Caller()
        caller.send(HEAD + rest + b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n")
        assert caller.requests == []
        assert caller.transport.written.startswith(b"HTTP/1.1 400 ")
        assert caller.has_ended()

    def test_upgrade_is_ignored_and_data_after_it_dropped(self):
        """Data after an upgrade request must not be parsed as a request."""
        caller = Caller()
        caller.send(HEAD + b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n" + HEAD)
        assert len(caller.requests) == 1
        caller.connection.respond(200, [], b"")
        assert len(caller.requests) == 1
        assert caller.has_ended()

    @pytest.mark.parametrize(
        "body",
        [
            b"Content-Length: 3\r\n\r\nabc",
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ],
    )
    @pytest.mark.parametrize("size", [1, 10, 1000])
    def test_body_is_dropped_where_a_request_offers_an_upgrade(self, body, size):
        """The offer is not taken, so that the body belongs to the request."""
        caller = Caller()
        offer = b"Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n"
        data = HEAD + offer + body + HEAD + b"Content-Length: 0\r\n\r\n"
        for begin in range(0, len(data), size):
            caller.send(data[begin : begin + size])
        (request,) = caller.requests
        assert request.body == b"abc"
        assert not request.keep_alive
        caller.connection.respond(200, [], b"only")
        assert caller.transport.written.endswith(b"only")
        assert caller.has_ended()
        assert len(caller.requests) == 1

    def test_interim_response_is_written_into_a_response_under_way(self):
        """A request that is sent ahead has to wait with its body anyway."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.start_stream(200, [])
        caller.send(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        assert b"100 Continue" not in caller.transport.written
        first = Caller()
        first.send(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        assert first.transport.written == b"HTTP/1.1 100 Continue\r\n\r\n"

    @pytest.mark.parametrize(
        ("rest", "status"),
        [
            (b"A: " + b"x" * 500 + b"\r\n\r\n", 431),
            (b"A: " + b"x" * 500, 431),
            (b"Content-Length: 51\r\n\r\n", 413),
            (b"Transfer-Encoding: chunked\r\n\r\n33\r\n" + b"x" * 51, 413),
        ],
    )
    def test_oversized_request_is_rejected(self, rest, status):
        """A request above a limit must be rejected before it is complete."""
        caller = Caller()
        caller.send(HEAD + rest)
        assert caller.transport.written.startswith(b"HTTP/1.1 %d " % status)
        assert caller.has_ended()

    def test_malformed_request_after_a_valid_one(self):
        """The valid request must be answered before the connection is closed."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\nnonsense\r\n\r\n")
        assert caller.transport.written == b""
        caller.connection.respond(200, [], b"one")
        assert b"200 OK" in caller.transport.written
        assert caller.transport.written.endswith(b"Connection: close\r\n\r\n")

    def test_slow_and_idle_callers(self):
        """Incomplete requests and idle connections time out; busy ones must not."""
        slow, idle, busy = Caller(), Caller(), Caller()
        slow.send(HEAD)
        busy.send(HEAD + b"Content-Length: 0\r\n\r\n")
        for caller, now in ((slow, 3.1), (idle, 14.0), (busy, 1000.0)):
            caller.connection.close_if_overdue(now)
        assert slow.transport.written.startswith(b"HTTP/1.1 408 ")
        assert (slow.has_ended(), idle.transport.stopped_sending) == (True, False)
        assert not busy.transport.stopped_sending
        idle.connection.close_if_overdue(15.1)
        assert idle.transport.closed

    @pytest.mark.parametrize(
        ("delay_s", "expected_s"),
        [(0.0, 0.0), (0.25, 0.25), (1.0, 1.5), (1.25, 1.5)],
    )
    def test_delay_of_the_first_input(self, delay_s, expected_s):
        """What was there when the socket was first watched is as old as its accept."""
        caller = Caller()
        caller.now = 0.5
        caller.connection.connection_made(caller.transport)
        caller.now, caller.delay_s = 1.5, delay_s
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        assert caller.requests[0].read_delay_s == expected_s

    def test_delay_counts_from_the_first_byte(self):
        """The caller's time limit runs while its request is sent."""
        caller = Caller()
        caller.now, caller.delay_s = 1.0, 0.25
        caller.send(HEAD + b"Content-Length: 1\r\n\r\n")
        caller.now = 3.0
        caller.send(b"x")
        assert caller.requests[0].read_delay_s == 2.25

    def test_disconnect_is_reported_only_during_a_request(self):
        """A caller without an open request may disconnect unnoticed."""
        caller, idle = Caller(), Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        for each in (caller, idle):
            each.connection.connection_lost(None)
        assert (caller.disconnects, idle.disconnects) == (1, 0)

    def test_end_of_the_input_is_reported_before_the_connection_is_lost(self):
        """The loop reports the loss one pass later, which is long on a busy VM."""
        caller, idle = Caller(), Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        for each in (caller, idle):
            assert not each.connection.eof_received()
        assert (caller.disconnects, idle.disconnects) == (1, 0)
        caller.connection.connection_lost(None)
        assert caller.disconnects == 1

    def test_request_that_was_read_ahead_is_not_served_after_the_end(self):
        """A response to the request before must not start the next one."""
        caller = Caller()
        caller.send((HEAD + b"Content-Length: 0\r\n\r\n") * 2)
        caller.connection.eof_received()
        caller.connection.respond(200, [], b"")
        assert len(caller.requests) == 1
        assert caller.transport.written == b""


class TestCallerResponses:
    """Writing of responses."""

    def test_stream_is_chunked_and_ends_properly(self):
        """Only `end_stream` may write the final chunk."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.start_stream(200, [(b"A", b"b")])
        caller.connection.write(b"event")
        assert caller.transport.written.endswith(b"\r\n\r\n5\r\nevent\r\n")
        caller.connection.end_stream()
        assert caller.transport.written.endswith(b"0\r\n\r\n")
        assert not caller.transport.stopped_sending

    def test_truncated_stream_has_no_final_chunk(self):
        """A truncated response must not look complete to the caller."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.start_stream(200, [])
        caller.connection.write(b"event")
        caller.connection.truncate_response()
        assert not caller.transport.written.endswith(b"0\r\n\r\n")
        assert caller.has_ended()

    def test_shutdown_is_announced_in_responses(self):
        """A response during shutdown must be complete and close the connection."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.closing = True
        caller.connection.respond(200, [], b"whole")
        assert b"Connection: close" in caller.transport.written
        assert caller.transport.written.endswith(b"whole")
        assert caller.has_ended()


class TestEndOfAStream:
    """What follows a streamed response on its connection."""

    def stream(self, caller, request_line=b"POST /r/x HTTP/1.1", more=b""):
        """Send a request and begin a stream as its response."""
        head = request_line + b"\r\nHost: h\r\n" + more
        caller.send(head + b"Content-Length: 0\r\n\r\n")
        caller.connection.start_stream(200, [])
        caller.connection.write(b"event")

    def test_request_that_is_read_before_a_shutdown_gets_a_response(self):
        """The head of the stream did not say that the connection is closed."""
        caller = Caller()
        self.stream(caller)
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.closing = True
        caller.connection.end_stream()
        assert len(caller.requests) == 2
        caller.connection.respond(200, [], b"second")
        assert b"Connection: close" in caller.transport.written
        assert caller.transport.written.endswith(b"second")
        assert caller.has_ended()

    def test_connection_closes_after_a_stream_that_announced_it(self):
        """A caller must be able to rely on the announcement."""
        caller = Caller()
        caller.connection.closing = True
        self.stream(caller)
        assert b"Connection: close" in caller.transport.written
        caller.connection.end_stream()
        assert caller.has_ended()

    def test_requests_that_were_read_ahead_are_dropped_at_a_shutdown(self):
        """Only the last of them may say that the connection is closed."""
        caller = Caller()
        caller.send((HEAD + b"Content-Length: 0\r\n\r\n") * 3)
        caller.connection.closing = True
        for number in range(3):
            assert not caller.transport.stopped_sending
            caller.connection.respond(200, [], b"answer %d" % number)
        assert len(caller.requests) == 3
        assert caller.transport.written.count(b"Connection: close") == 1
        assert caller.transport.written.endswith(b"answer 2")
        assert caller.has_ended()

    def test_stream_to_an_old_caller_ends_with_its_connection(self):
        """Nothing else tells a caller without chunked encoding where it ends."""
        caller = Caller()
        keep_alive = b"Connection: keep-alive\r\n"
        self.stream(caller, b"POST /r/x HTTP/1.0", keep_alive)
        caller.connection.end_stream()
        assert b"Connection: close" in caller.transport.written
        assert caller.has_ended()


class TestUnsentResponses:
    """Complete responses that are not sent yet, because their callers read slowly."""

    @pytest.fixture
    def caller(self):
        """Return a caller that has not read its response."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.respond(200, [], b"whole")
        caller.transport.unsent = 1000
        caller.connection.close_if_overdue(1.0)
        return caller

    def test_connection_that_is_read_is_not_idle(self, caller):
        caller.transport.unsent = 500
        caller.connection.close_if_overdue(14.0)
        caller.connection.close_if_overdue(28.0)
        assert not caller.transport.stopped_sending

    def test_connection_that_is_not_read_is_idle(self, caller):
        caller.connection.close_if_overdue(14.0)
        caller.connection.close_if_overdue(15.1)
        assert caller.transport.stopped_sending
        caller.run_timer()
        assert caller.transport.aborted

    def test_connection_that_is_read_on_is_flushed(self, caller):
        """The rest of a response is not discarded while it is read."""
        caller.connection.close()
        caller.transport.unsent = 500
        caller.run_timer()
        assert not caller.transport.aborted

    def test_connection_is_read_on_from_when_its_response_is_flushed(self, caller):
        """However long that took."""
        caller.connection.close()
        caller.transport.unsent = 0
        caller.run_timer()
        assert not caller.transport.closed
        caller.run_timer()
        assert caller.transport.closed
        assert not caller.transport.aborted

    def test_stream_is_reset_that_the_end_of_its_connection_would_complete(
        self, monkeypatch
    ):
        resets = []
        monkeypatch.setattr(
            "berylwalk.forwarding._caller_connection.reset", resets.append
        )
        caller = Caller()
        caller.send(b"POST /r/x HTTP/1.0\r\nHost: h\r\n\r\n")
        caller.connection.start_stream(200, [])
        caller.connection.close()
        assert resets == [caller.transport]

    def test_connection_that_is_not_read_on_is_discarded(self, caller):
        caller.connection.close()
        caller.transport.unsent = 500
        caller.run_timer()
        caller.run_timer()
        assert caller.transport.aborted


class TestTargetResponses:
    """Reading of responses."""

    def test_reuse_after_a_complete_response(self):
        """A complete response must leave the connection reusable."""
        target = Target()
        target.receive(RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nok")
        assert (target.sink.status, target.sink.body) == (200, b"ok")
        assert target.sink.end is ResponseEnd.COMPLETE
        assert target.connection.is_fresh(0.5)

    def test_response_to_an_earlier_request_is_discarded(self):
        """A late response must not be delivered to another request."""
        target = Target()
        target.receive(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nContent-Length: 3\r\n\r\nold"
            + RESPONSE_HEAD
            + b"Content-Length: 2\r\n\r\nok"
        )
        assert (target.sink.status, target.sink.body) == (200, b"ok")
        assert not target.connection.is_fresh(0.0)

    def test_data_on_an_idle_connection_closes_it(self):
        """Unexpected data must not be taken as the next response."""
        target = Target()
        target.receive(RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nok")
        target.receive(RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nno")
        assert target.sink.body == b"ok"
        assert not target.connection.is_fresh(0.0)

    def test_second_response_in_the_same_read(self):
        """Data after a complete response must not be delivered."""
        target = Target()
        target.receive((RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nok") * 2)
        assert target.sink.body == b"ok"
        assert target.sink.end is ResponseEnd.COMPLETE
        target.receive(b"x")
        assert not target.connection.is_fresh(0.0)

    @pytest.mark.parametrize(
        "received",
        [b"", RESPONSE_HEAD, RESPONSE_HEAD + b"Content-Length: 9\r\n\r\nhalf"],
    )
    def test_connection_that_ends_early(self, received):
        """A truncated response must not count as complete."""
        target = Target()
        if received:
            target.receive(received)
        target.connection.connection_lost(None)
        assert target.sink.end is ResponseEnd.CLOSED

    @pytest.mark.parametrize(
        ("error", "end"),
        [
            (ConnectionResetError(), ResponseEnd.CLOSED),
            (BrokenPipeError(), ResponseEnd.CLOSED),
            (TimeoutError(), ResponseEnd.UNREACHABLE),
            (OSError(113, "no route to host"), ResponseEnd.UNREACHABLE),
        ],
    )
    def test_network_failure_is_distinguished_from_a_close(self, error, end):
        """A network failure must not be taken for a crash of the target."""
        target = Target()
        target.connection.connection_lost(error)
        assert target.sink.end is end

    def test_malformed_response(self):
        """Malformed data must end the request and the connection."""
        target = Target()
        target.receive(b"\x00\x01garbage\r\n\r\n")
        assert target.sink.end is ResponseEnd.INVALID
        assert target.transport.aborted

    @pytest.mark.parametrize(
        ("error", "end"),
        [(None, ResponseEnd.AT_CLOSE), (ConnectionResetError(), ResponseEnd.CLOSED)],
    )
    def test_response_without_a_length(self, error, end):
        """The end of the connection completes the response, a reset must not."""
        target = Target()
        target.receive(RESPONSE_HEAD + b"\r\nall")
        if error is None:
            target.connection.eof_received()
        target.connection.connection_lost(error)
        assert (target.sink.body, target.sink.end) == (b"all", end)
        assert not target.connection.reusable

    def test_early_response_closes_the_connection(self):
        """The unsent rest of a request must not be read as the next request."""
        target = Target()
        target.transport.unsent = 1000
        target.receive(RESPONSE_HEAD + b"Content-Length: 0\r\n\r\n")
        assert target.sink.end is ResponseEnd.COMPLETE
        assert target.transport.aborted

    @pytest.mark.parametrize(
        ("header", "idle_s", "fresh"),
        [
            (b"", 0.9, True),
            (b"", 1.1, False),
            (b"Keep-Alive: timeout=10\r\n", 5.0, True),
            (b"Keep-Alive: timeout=10\r\n", 7.0, False),
            (b"Keep-Alive: timeout=" + b"9" * 400 + b"\r\n", 0.9, True),
            (b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n", 0.9, True),
            (b"Connection: close\r\n", 0.0, False),
        ],
    )
    def test_idle_limit(self, header, idle_s, fresh):
        """A connection must not be reused shortly before the target closes it."""
        target = Target()
        target.receive(RESPONSE_HEAD + header + b"Content-Length: 0\r\n\r\n")
        assert target.connection.is_fresh(idle_s) is fresh


class TestPooledConnections:
    """Connections of targets between two requests."""

    def test_connection_that_was_paused_is_read_again(self):
        """A response may end while its caller is too slow to take it."""
        target = Target()
        pool = TargetPool(
            None, clock=lambda: target.now, id_header=b"", on_bytes=lambda _: None
        )
        target.connection.pause()
        target.connection.data_received(RESPONSE_HEAD + b"Content-Length: 0\r\n\r\n")
        pool.release("i-1", target.connection)
        assert target.transport.reading
        assert pool.take_idle("i-1") is target.connection

    def test_close_reaches_the_target_before_the_next_pass_of_the_loop(self):
        """On a busy VM, the target would go on until then."""

        async def close_while_the_loop_rests(accepted_by):
            pool = TargetPool(
                get_running_loop(),
                clock=lambda: 0.0,
                id_header=b"attempt-id",
                on_bytes=lambda _: None,
                on_opened=lambda: None,
            )
            host, port = accepted_by.getsockname()
            address = SimpleNamespace(host=host, port=port, incarnation_id="i-1")
            connection = await pool.open(address)
            accepted, _ = accepted_by.accept()
            with accepted:
                accepted.settimeout(NEVER_S)
                connection.send(b"(request)", b"r1", Sink())
                connection.close()
                return [accepted.recv(100), accepted.recv(100)]

        with create_server(("127.0.0.1", 0)) as listening:
            received = run(close_while_the_loop_rests(listening))
        assert received == [b"(request)", b""]


class TestEvents:
    """Splitting of event streams."""

    def test_events_split_across_reads(self):
        """An event must be returned only when it is complete."""
        splitter = EventSplitter()
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata"
        events = [event for byte in data for event in splitter.feed(bytes([byte]))]
        assert [(event.event_id, event.data) for event in events] == [
            (1, b"id: 1\ndata: a\n\n"),
            (2, b"id: 2\r\ndata: b\r\n\r\n"),
        ]
        assert splitter.has_partial_event

    def test_event_without_an_end(self):
        """A target that never ends an event must not exhaust the memory."""
        with pytest.raises(ValueError, match="no end"):
            EventSplitter().feed(b"x" * 1_100_000)


class TestHeaders:
    """Hop-by-hop headers."""

    def test_hop_by_hop_headers_are_dropped(self):
        """Callers must not be able to remove end-to-end headers."""
        headers = [
            (b"Connection", b"close, Model"),
            (b"Keep-Alive", b"timeout=1"),
            (b"Model", b"m"),
            (b"TE", b"trailers"),
        ]
        assert end_to_end(headers) == [(b"Model", b"m")]


class TestBytesThatBelongToNoRequest:
    """What faulty targets send besides the responses that they were asked for."""

    RESPONSE = RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nok"
    SECOND = (
        b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
        b"Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n"
    )

    @pytest.mark.parametrize("length", range(1, len(SECOND) + 1))
    def test_bytes_with_the_end_of_a_response_are_joined_with_the_next_one(
        self, length
    ):
        """However much of a second response they are."""
        target = Target()
        target.receive(self.RESPONSE + self.SECOND[:length])
        assert target.sink.end is ResponseEnd.COMPLETE
        assert target.sink.body == b"ok"
        assert not target.connection.is_fresh(target.now)
        assert target.transport.aborted

    @pytest.mark.parametrize("split", range(1, len(RESPONSE)))
    def test_response_is_complete_however_it_is_split(self, split):
        """Nothing after it: the connection is used again."""
        target = Target()
        target.receive(self.RESPONSE[:split])
        target.receive(self.RESPONSE[split:])
        assert target.sink.end is ResponseEnd.COMPLETE
        assert target.connection.is_fresh(target.now)

    def test_interim_response_is_no_second_response(self):
        """The final response follows it."""
        target = Target()
        target.receive(b"HTTP/1.1 100 Continue\r\n\r\n" + self.RESPONSE)
        assert target.sink.body == b"ok"
        assert target.connection.is_fresh(target.now)

    @pytest.mark.parametrize(
        "begin",
        [
            b"HTTP/1.1 200 ",
            RESPONSE_HEAD + b"A: ",
            RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;",
            RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nA: ",
        ],
    )
    def test_head_without_end_fills_the_memory(self, begin):
        """Whatever such bytes are part of, the target is given up."""
        target = Target()
        target.receive(begin)
        for _ in range(40):
            if target.sink.end is None:
                target.receive(b"x" * 4096)
        assert target.sink.end is ResponseEnd.INVALID
        assert target.transport.aborted

    def test_interim_responses_without_end_are_given_up(self):
        """None of them is the response."""
        target = Target()
        for _ in range(4000):
            if target.sink.end is None:
                target.receive(b"HTTP/1.1 102 Processing\r\n\r\n")
        assert target.sink.end is ResponseEnd.INVALID

    def test_long_body_is_received(self):
        """Bytes of a body are progress."""
        target = Target()
        target.receive(RESPONSE_HEAD + b"Content-Length: 1000000\r\n\r\n")
        for _ in range(100):
            target.receive(b"x" * 10_000)
        assert target.sink.end is ResponseEnd.COMPLETE
        assert len(target.sink.body) == 1_000_000
