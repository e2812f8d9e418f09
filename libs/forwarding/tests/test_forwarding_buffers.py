"""Bounds on the bytes that are held for callers."""

from berylwalk.forwarding import (
    DEFAULT_EACH_BYTES,
    BufferBounds,
    CallerBuffers,
    CallerConnection,
    ConnectionLimits,
    RequestBodies,
    ResponseBuffers,
)

MIB = 1024 * 1024
BOUNDS = BufferBounds(each_bytes=400, all_bytes=1000)
LIMITS = ConnectionLimits(
    max_header_bytes=400, max_body_bytes=50, header_timeout_s=3.0, idle_timeout_s=15.0
)


class TestBounds:
    """Bounds that follow from the memory of a VM."""

    def test_without_memory_limit_there_is_no_bound_for_all(self):
        """A missing limit must not end anything."""
        assert BufferBounds.from_memory_limit(None).all_bytes is None

    def test_small_vm(self):
        """All callers together must leave most of the memory to the router."""
        bounds = BufferBounds.from_memory_limit(160 * MIB)
        assert bounds.all_bytes == 40 * MIB
        assert bounds.each_bytes == 640 * 1024


class TestResponseBuffers:
    """Which responses are ended."""

    def test_nothing_is_ended_within_the_bound(self):
        """A caller that never reads is no harm while there is room."""
        buffers = ResponseBuffers(BOUNDS)
        buffers.record("a", 1000, 0.0)
        assert buffers.to_end(60.0) == []

    def test_slowest_reader_is_ended_first(self):
        """It holds the most bytes for the longest time; one suffices here."""
        buffers = ResponseBuffers(BOUNDS)
        buffers.record("recent", 400, 5.0)
        buffers.record("small", 100, 0.0)
        buffers.record("slowest", 400, 0.0)
        buffers.record("new", 300, 9.9)
        assert buffers.to_end(10.0) == ["slowest"]

    def test_as_many_as_necessary_are_ended(self):
        """The bytes are reduced to below the bound."""
        buffers = ResponseBuffers(BOUNDS)
        for name in "abcd":
            buffers.record(name, 400, 0.0)
        assert buffers.to_end(10.0) == ["a", "b"]

    def test_reader_that_keeps_up_is_never_ended(self):
        """A caller with much unread, all of it new, reads as fast as it is sent."""
        buffers = ResponseBuffers(BOUNDS)
        for step in range(100):
            buffers.record("a", 5_000, step / 10, written_bytes=5_000)
        assert buffers.to_end(10.0) == []

    def test_trickling_reader_is_behind(self):
        """Reading a few bytes now and then must not count as keeping up."""
        buffers = ResponseBuffers(BOUNDS)
        held = 0
        for step in range(100):
            held += 29
            buffers.record("a", held, step / 10, written_bytes=30)
        assert buffers.to_end(10.0) == ["a"]

    def test_suspension_is_not_slow_reading(self):
        """Callers can't read while the VM is suspended."""
        buffers = ResponseBuffers(BOUNDS)
        buffers.record("a", 2_000, 0.0)
        buffers.note_suspended(30.0)
        assert buffers.to_end(30.5) == []
        assert buffers.to_end(31.5) == ["a"]

    def test_read_and_closed_responses_are_not_counted(self):
        """What was read or discarded takes no memory."""
        buffers = ResponseBuffers(BOUNDS)
        buffers.record("a", 600, 0.0)
        buffers.record("b", 600, 0.0)
        assert buffers.exceeds_bound
        buffers.record("a", 0, 1.0)
        buffers.forget("b")
        assert (buffers.held_bytes, buffers.by_reader) == (0, {})


class FakeTransport:
    """Sends nothing, like the transport of a caller that does not read."""

    def __init__(self):
        self.written = b""
        self.is_aborted = False
        self.unsent = 0

    def set_write_buffer_limits(self, high):
        self.high = high

    def write(self, data):
        self.written += data
        self.unsent += len(data)

    def get_write_buffer_size(self):
        return self.unsent

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.is_aborted

    def write_eof(self):
        pass

    def close(self):
        pass

    def abort(self):
        self.is_aborted = True


class Callers:
    """Connections that share their bounds."""

    def __init__(self, *, max_body_bytes=None):
        self.now = 0.0
        self.ended = []
        self.responses = ResponseBuffers(BOUNDS)
        self.bodies = RequestBodies(max_body_bytes)
        self.buffers = CallerBuffers(
            self.responses,
            self.bodies,
            clock=lambda: self.now,
            on_slow_reader=self._end,
        )

    def _end(self, connection, held):
        self.ended.append((connection, held.held_bytes))
        connection.discard_response()

    def connect(self):
        connection = CallerConnection(
            serve=lambda *_: None,
            on_disconnect=lambda _: None,
            limits=lambda: LIMITS,
            clock=lambda: self.now,
            registry=set(),
            call_later=lambda *_: None,
            buffers=self.buffers,
        )
        connection.connection_made(FakeTransport())
        return connection

    def request(self, body=b"", *, declared=None, version=b"1.1"):
        connection = self.connect()
        head = b"POST /x HTTP/%s\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        length = len(body) if declared is None else declared
        connection.data_received(head % (version, length) + body)
        return connection


class TestConnections:
    """Connections whose callers do not read."""

    def test_target_is_read_on_up_to_the_bound(self):
        """The bound of one caller is that of its write buffer."""
        assert Callers().connect()._transport.high == BOUNDS.each_bytes

    def test_write_beyond_the_bound_for_all_ends_the_slowest(self):
        """The memory must be released at once, not when the connection times out."""
        callers = Callers()
        first, second = callers.request(), callers.request()
        first.start_stream(200, [])
        first.write(b"x" * 600)
        callers.now = 5.0
        second.start_stream(200, [])
        second.write(b"x" * 600)
        assert [connection for connection, _ in callers.ended] == [first]
        assert first._transport.is_aborted
        assert not first._transport.written.endswith(b"0\r\n\r\n")
        assert second.is_open
        assert callers.responses.held_bytes == second.unsent_bytes

    def test_less_is_read_on_beyond_the_bound_for_all(self):
        """In the first second nobody is behind, but the memory is short."""
        callers = Callers()
        connection = callers.request()
        connection.start_stream(200, [])
        connection.write(b"x" * 2_000)
        assert connection._transport.high == DEFAULT_EACH_BYTES
        connection._transport.unsent = 10
        callers.buffers.check()
        assert connection._transport.high == BOUNDS.each_bytes

    def test_unread_rest_of_an_ended_response_counts(self):
        """A response is held until it is read, even when its stream is complete."""
        callers = Callers()
        connection = callers.request()
        connection.respond(200, [], b"x" * 2_000)
        callers.now = 5.0
        callers.buffers.check()
        assert [each for each, _ in callers.ended] == [connection]

    def test_discarded_stream_without_framing_is_reset(self, monkeypatch):
        """A caller that speaks HTTP/1.0 takes the end of its connection for the end."""
        resets = []
        monkeypatch.setattr(
            "berylwalk.forwarding._caller_connection.reset", resets.append
        )
        connection = Callers().request(version=b"1.0")
        connection.start_stream(200, [])
        connection.write(b"event")
        connection.end_stream()
        connection.discard_response()
        assert resets == [connection._transport]


class TestRequestBodies:
    """Bodies that are sent slowly."""

    def test_body_beyond_the_bound_for_all_is_refused(self):
        """It gets a response with the time to return, and has not been served."""
        callers = Callers(max_body_bytes=60)
        callers.request(b"x" * 40, declared=50)
        refused = callers.request(b"x" * 30)
        assert refused._transport.written.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in refused._transport.written
        assert refused._active is None
        assert callers.bodies.refused == 1

    def test_bodies_are_released(self):
        """Answered and abandoned requests take no memory."""
        callers = Callers(max_body_bytes=60)
        partial = callers.request(b"x" * 20, declared=50)
        answered = callers.request(b"x" * 30)
        answered.respond(200, [], b"")
        assert callers.bodies.held_bytes == 20
        partial.connection_lost(None)
        answered.connection_lost(None)
        assert callers.bodies.held_bytes == 0
