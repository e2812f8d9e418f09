"""Connections of callers and targets over a recorded transport."""

import pytest

from berylwalk.forwarding import (
    CallerConnection,
    ConnectionLimits,
    EventSplitter,
    ResponseEnd,
    TargetConnection,
    end_to_end,
)

LIMITS = ConnectionLimits(
    max_header_bytes=400, max_body_bytes=50, header_timeout_s=3.0, idle_timeout_s=15.0
)
HEAD = b"POST /r/x HTTP/1.1\r\nHost: h\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"


class RecordedTransport:
    """Keeps what is written; closes at once."""

    def __init__(self):
        self.written = b""
        self.closed = False
        self.aborted = False
        self.reading = True
        self.unsent = 0

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = self.aborted = True

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def get_write_buffer_size(self):
        return self.unsent


class Caller:
    """A caller's connection and what the router sees of it."""

    def __init__(self):
        self.now = 0.0
        self.requests = []
        self.gone = 0
        self.transport = RecordedTransport()
        self.connection = CallerConnection(
            serve=lambda _, request: self.requests.append(request),
            on_disconnect=lambda _: self.leave(),
            limits=lambda: LIMITS,
            clock=lambda: self.now,
            registry=set(),
            call_later=lambda *_: None,
        )
        self.connection.connection_made(self.transport)

    def leave(self):
        self.gone += 1

    def send(self, data):
        self.connection.data_received(data)


class Sink:
    """Takes an answer."""

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
    """A connection to a target with one request sent."""

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
    """Reading requests."""

    def test_request_in_pieces(self):
        """Bytes may arrive one by one."""
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
        """Trailers can't replace headers."""
        caller = Caller()
        caller.send(
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"3\r\nabc\r\n0\r\nTenant: x\r\n\r\n"
        )
        (request,) = caller.requests
        assert request.body == b"abc"
        assert b"Tenant" not in dict(request.headers)

    def test_requests_sent_ahead_are_answered_in_turn(self):
        """The second one waits for the answer to the first."""
        caller = Caller()
        caller.send((HEAD + b"Content-Length: 0\r\n\r\n") * 2)
        assert len(caller.requests) == 1
        caller.connection.respond(200, [], b"one")
        assert len(caller.requests) == 2
        caller.connection.respond(200, [], b"two")
        assert caller.transport.written.index(b"one") < caller.transport.written.index(
            b"two"
        )
        assert not caller.transport.closed

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
    def test_ambiguous_request_is_refused_and_ends_the_connection(self, rest):
        """No second request can be hidden inside the first."""
        caller = Caller()
        caller.send(HEAD + rest + b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n")
        assert caller.requests == []
        assert caller.transport.written.startswith(b"HTTP/1.1 400 ")
        assert caller.transport.closed

    def test_upgrade_is_not_taken_up_and_nothing_follows_it(self):
        """The request is served as it is; bytes behind it are no request."""
        caller = Caller()
        caller.send(HEAD + b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n" + HEAD)
        assert len(caller.requests) == 1
        caller.connection.respond(200, [], b"")
        assert len(caller.requests) == 1
        assert caller.transport.closed

    @pytest.mark.parametrize(
        ("rest", "status"),
        [
            (b"A: " + b"x" * 500 + b"\r\n\r\n", 431),
            (b"A: " + b"x" * 500, 431),
            (b"Content-Length: 51\r\n\r\n", 413),
            (b"Transfer-Encoding: chunked\r\n\r\n33\r\n" + b"x" * 51, 413),
        ],
    )
    def test_limits_of_the_configuration(self, rest, status):
        """A request that is too large is refused before it is whole."""
        caller = Caller()
        caller.send(HEAD + rest)
        assert caller.transport.written.startswith(b"HTTP/1.1 %d " % status)
        assert caller.transport.closed

    def test_error_behind_a_good_request_waits_for_its_answer(self):
        """The first request is answered before the connection ends."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\nnonsense\r\n\r\n")
        assert caller.transport.written == b""
        caller.connection.respond(200, [], b"one")
        assert b"200 OK" in caller.transport.written
        assert caller.transport.written.endswith(b"Connection: close\r\n\r\n")

    def test_slow_and_idle_callers(self):
        """A half-sent request and an idle connection end after their times."""
        slow, idle, busy = Caller(), Caller(), Caller()
        slow.send(HEAD)
        busy.send(HEAD + b"Content-Length: 0\r\n\r\n")
        for caller, now in ((slow, 3.1), (idle, 14.0), (busy, 1000.0)):
            caller.connection.close_if_overdue(now)
        assert slow.transport.written.startswith(b"HTTP/1.1 408 ")
        assert (slow.transport.closed, idle.transport.closed) == (True, False)
        assert not busy.transport.closed
        idle.connection.close_if_overdue(15.1)
        assert idle.transport.closed

    def test_leaving_is_told_only_while_an_answer_is_due(self):
        """A caller that has its answer may go."""
        caller, idle = Caller(), Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        for each in (caller, idle):
            each.connection.connection_lost(None)
        assert (caller.gone, idle.gone) == (1, 0)


class TestCallerAnswers:
    """Writing answers."""

    def test_stream_is_chunked_and_ends_properly(self):
        """Only `end_stream` makes a streamed answer complete."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.start_stream(200, [(b"A", b"b")])
        caller.connection.write(b"event")
        assert caller.transport.written.endswith(b"\r\n\r\n5\r\nevent\r\n")
        caller.connection.end_stream()
        assert caller.transport.written.endswith(b"0\r\n\r\n")
        assert not caller.transport.closed

    def test_cut_stream_shows_to_be_incomplete(self):
        """The connection ends without the last chunk."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.start_stream(200, [])
        caller.connection.write(b"event")
        caller.connection.truncate_response()
        assert not caller.transport.written.endswith(b"0\r\n\r\n")
        assert caller.transport.closed

    def test_stopping_router_says_so(self):
        """The answer in progress is whole and asks to go elsewhere."""
        caller = Caller()
        caller.send(HEAD + b"Content-Length: 0\r\n\r\n")
        caller.connection.closing = True
        caller.connection.respond(200, [], b"whole")
        assert b"Connection: close" in caller.transport.written
        assert caller.transport.written.endswith(b"whole")
        assert caller.transport.closed


class TestTargetAnswers:
    """Reading answers."""

    def test_whole_answer_and_reuse(self):
        """A connection is used again after a whole answer."""
        target = Target()
        target.receive(ANSWER + b"Content-Length: 2\r\n\r\nok")
        assert (target.sink.status, target.sink.body) == (200, b"ok")
        assert target.sink.end is ResponseEnd.COMPLETE
        assert target.connection.is_fresh(0.5)

    def test_answer_to_an_earlier_request_is_passed_over(self):
        """Late second answers belong to nobody."""
        target = Target()
        target.receive(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nContent-Length: 3\r\n\r\nold"
            + ANSWER
            + b"Content-Length: 2\r\n\r\nok"
        )
        assert (target.sink.status, target.sink.body) == (200, b"ok")
        assert not target.connection.is_fresh(0.0)

    def test_bytes_while_idle_end_the_connection(self):
        """Nothing is due, so they can't belong to the next request."""
        target = Target()
        target.receive(ANSWER + b"Content-Length: 2\r\n\r\nok")
        target.receive(ANSWER + b"Content-Length: 2\r\n\r\nno")
        assert target.sink.body == b"ok"
        assert not target.connection.is_fresh(0.0)

    def test_second_answer_in_the_same_bytes(self):
        """What follows a whole answer is not passed on."""
        target = Target()
        target.receive((ANSWER + b"Content-Length: 2\r\n\r\nok") * 2)
        assert target.sink.body == b"ok"
        assert target.sink.end is ResponseEnd.COMPLETE
        target.receive(b"x")
        assert not target.connection.is_fresh(0.0)

    @pytest.mark.parametrize(
        "received", [b"", ANSWER, ANSWER + b"Content-Length: 9\r\n\r\nhalf"]
    )
    def test_connection_that_ends_early(self, received):
        """A truncated answer is told from a whole one."""
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
    def test_who_ended_the_connection_is_told_apart(self, error, end):
        """A cut is no end of the target: nothing is known of it."""
        target = Target()
        target.connection.connection_lost(error)
        assert target.sink.end is end

    def test_bytes_that_are_no_answer(self):
        """They end the attempt and the connection."""
        target = Target()
        target.receive(b"\x00\x01garbage\r\n\r\n")
        assert target.sink.end is ResponseEnd.INVALID
        assert target.transport.aborted

    @pytest.mark.parametrize(
        ("error", "end"),
        [(None, ResponseEnd.COMPLETE), (ConnectionResetError(), ResponseEnd.CLOSED)],
    )
    def test_answer_without_a_length(self, error, end):
        """It ends with its connection, unless that was reset."""
        target = Target()
        target.receive(ANSWER + b"\r\nall")
        if error is None:
            target.connection.eof_received()
        target.connection.connection_lost(error)
        assert (target.sink.body, target.sink.end) == (b"all", end)

    def test_early_answer_ends_the_connection(self):
        """The rest of a long request must not be read as the next one."""
        target = Target()
        target.transport.unsent = 1000
        target.receive(ANSWER + b"Content-Length: 0\r\n\r\n")
        assert target.sink.end is ResponseEnd.COMPLETE
        assert target.transport.aborted

    @pytest.mark.parametrize(
        ("header", "idle_s", "fresh"),
        [
            (b"", 0.9, True),
            (b"", 1.1, False),
            (b"Keep-Alive: timeout=10\r\n", 5.0, True),
            (b"Keep-Alive: timeout=10\r\n", 7.0, False),
            (b"Connection: close\r\n", 0.0, False),
        ],
    )
    def test_idle_time(self, header, idle_s, fresh):
        """A connection is left alone well before the target closes it."""
        target = Target()
        target.receive(ANSWER + header + b"Content-Length: 0\r\n\r\n")
        assert target.connection.is_fresh(idle_s) is fresh


class TestEvents:
    """Whole events."""

    def test_pieces_make_whole_events(self):
        """An event is given once its empty line is there."""
        splitter = EventSplitter()
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata"
        events = [event for byte in data for event in splitter.feed(bytes([byte]))]
        assert [(event.event_id, event.data) for event in events] == [
            (1, b"id: 1\ndata: a\n\n"),
            (2, b"id: 2\r\ndata: b\r\n\r\n"),
        ]
        assert splitter.has_partial_event

    def test_event_without_an_end(self):
        """A target that never ends an event does not fill the memory."""
        with pytest.raises(ValueError, match="no end"):
            EventSplitter().feed(b"x" * 1_100_000)


class TestHeaders:
    """Headers of one connection."""

    def test_hop_by_hop_headers_stay_behind(self):
        """A caller can't have end-to-end headers removed."""
        headers = [
            (b"Connection", b"close, Model"),
            (b"Keep-Alive", b"timeout=1"),
            (b"Model", b"m"),
            (b"TE", b"trailers"),
        ]
        assert end_to_end(headers) == [(b"Model", b"m")]
