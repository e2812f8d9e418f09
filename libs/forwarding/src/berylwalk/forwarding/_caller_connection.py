"""The server's side of one caller's connection."""

from asyncio import Protocol, Transport
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from berylwalk.forwarding._heads import Headers, header_value, response_head
from berylwalk.quarantine import BodyHash

QUEUED_REQUESTS = 4
"""Requests sent ahead on one connection from which it isn't read further."""
CLOSE_FLUSH_S = 5.0
"""Time that a caller has to read the rest after the connection was closed."""


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True)
class CallerRequest:
    """One whole request of a caller.

    Attributes
    ----------
    method, target : bytes
        As sent.
    headers : list of (bytes, bytes)
        As sent, trailers left out.
    body : bytes
        Without its framing.
    body_digest : bytes
        Its hash.
    arrived_at : float
        Time of the loop when its last byte was read.
    keep_alive : bool
        Whether the caller keeps the connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_digest: bytes
    arrived_at: float
    keep_alive: bool
    http_1_0: bool = False


@dataclass(slots=True)
class _Reading:
    """A request that is being read."""

    started_at: float
    target: bytearray = field(default_factory=bytearray)
    headers: Headers = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_hash: BodyHash = field(default_factory=BodyHash)
    body_bytes: int = 0
    head_done: bool = False
    http_1_0: bool = False


class _InvalidRequestError(Exception):
    """Raised in a callback of the parser; carries the status of the answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class CallerConnection(Protocol):
    """Reads requests one after the other and writes their answers.

    Parameters
    ----------
    serve : callable
        Called with the connection and each request; it answers through the
        connection, once, and need not do so before it returns.
    on_disconnect : callable
        Called when the caller left while its request was unanswered.
    limits : callable
        Returns the limits in force.
    clock : callable
        Time of the loop.
    registry : set
        Holds the connection while it is open.
    call_later : callable
        Schedules a call after seconds.

    Attributes
    ----------
    closing : bool
        Answers tell the caller that no further request is taken.
    """

    def __init__(
        self,
        *,
        serve: Callable[["CallerConnection", CallerRequest], None],
        on_disconnect: Callable[["CallerConnection"], None],
        limits: Callable[[], ConnectionLimits],
        clock: Callable[[], float],
        registry: set["CallerConnection"],
        call_later: Callable[..., Any],
    ) -> None:
        self._serve = serve
        self._on_disconnect = on_disconnect
        self._limits = limits
        self._clock = clock
        self._registry = registry
        self._call_later = call_later
        self._parser = httptools.HttpRequestParser(self)
        self._transport: Transport | None = None
        self._reading: _Reading | None = None
        self._bytes_since_start = 0
        self._queue: deque[CallerRequest] = deque()
        self._active: CallerRequest | None = None
        self._broken_status: int | None = None
        self._reading_paused = False
        self._streaming = False
        self._idle_since = clock()
        self._writable = True
        self.closing = False
        self.served = 0
        self.on_writable: Callable[[bool], None] | None = None

    # The connection, as the loop sees it.

    def connection_made(self, transport: Transport) -> None:  # type: ignore[override]
        """Take note of the transport."""
        self._transport = transport
        self._registry.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, and begin with the next request."""
        if self._broken_status is not None:
            return
        if self._reading is None or not self._reading.head_done:
            self._bytes_since_start += len(data)
        try:
            self._parser.feed_data(data)
            self._check_head_size()
        except httptools.HttpParserUpgrade:
            self._broken_status = 400
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            known = isinstance(cause, _InvalidRequestError)
            self._broken_status = cause.status if known else 400
        except _InvalidRequestError as error:
            self._broken_status = error.status
        except httptools.HttpParserError:
            self._broken_status = 400
        self._begin_next()
        if len(self._queue) >= QUEUED_REQUESTS and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take the end of the caller's bytes for its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the caller has left."""
        self._registry.discard(self)
        self._queue.clear()
        transport, self._transport = self._transport, None
        if self._active is not None and transport is not None:
            self._active = None
            self._on_disconnect(self)

    def pause_writing(self) -> None:
        """Tell the writer of a stream that the caller does not keep up."""
        self._writable = False
        if self.on_writable is not None:
            self.on_writable(False)

    def resume_writing(self) -> None:
        """Tell the writer of a stream that the caller reads on."""
        self._writable = True
        if self.on_writable is not None:
            self.on_writable(True)

    # The request, as the parser sees it.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reading = _Reading(self._clock())

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are not passed on."""
        if not self._reading.head_done:
            self._reading.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        reading = self._reading
        reading.head_done = True
        hosts = [1 for name, _ in reading.headers if name.lower() == b"host"]
        if len(hosts) != 1 or not reading.target.startswith(b"/"):
            raise _InvalidRequestError(400)
        self._check_head_size()
        self._bytes_since_start = 0
        length = header_value(reading.headers, b"content-length")
        if length is not None and int(length) > self._limits().max_body_bytes:
            raise _InvalidRequestError(413)
        if header_value(reading.headers, b"expect") is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        reading = self._reading
        reading.body_bytes += len(data)
        if reading.body_bytes > self._limits().max_body_bytes:
            raise _InvalidRequestError(413)
        reading.body.append(data)
        reading.body_hash.add(data)

    def on_message_complete(self) -> None:
        """Queue the whole request."""
        reading, self._reading = self._reading, None
        self._bytes_since_start = 0
        self._queue.append(
            CallerRequest(
                method=self._parser.get_method(),
                target=bytes(reading.target),
                headers=reading.headers,
                body=b"".join(reading.body),
                body_digest=reading.body_hash.digest(),
                arrived_at=self._clock(),
                keep_alive=self._parser.should_keep_alive(),
                http_1_0=self._parser.get_http_version() == "1.0",
            )
        )

    # Answers.

    @property
    def is_open(self) -> bool:
        """Whether the caller is still there."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return (
            self._active is not None or self._reading is not None or bool(self._queue)
        )

    @property
    def is_writable(self) -> bool:
        """Whether the caller keeps up with what is written."""
        return self._writable

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer the present request with a whole answer."""
        if not self.is_open:
            return
        keep = self._keeps_connection()
        framing = [(b"Content-Length", b"%d" % len(body))]
        if not keep:
            framing.append((b"Connection", b"close"))
        self._transport.write(response_head(status, headers + framing) + body)
        self._finish(keep)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length."""
        if not self.is_open:
            return
        framing = []
        if not self._active.http_1_0:
            framing.append((b"Transfer-Encoding", b"chunked"))
        if not self._keeps_connection():
            framing.append((b"Connection", b"close"))
        self._streaming = True
        self._transport.write(response_head(status, headers + framing))

    def write(self, data: bytes) -> None:
        """Send a part of a streamed answer at once."""
        if not self.is_open or not data:
            return
        if self._active.http_1_0:
            self._transport.write(data)
        else:
            self._transport.write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Complete a streamed answer."""
        if not self.is_open:
            return
        keep = self._keeps_connection()
        if not self._active.http_1_0:
            self._transport.write(b"0\r\n\r\n")
        self._streaming = False
        self._finish(keep)

    def truncate_response(self) -> None:
        """End the connection so that a begun answer shows to be incomplete."""
        self._active = None
        self.close()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is None:
            return
        transport = self._transport
        transport.close()
        # A caller that reads nothing must not hold the connection for ever.
        self._call_later(CLOSE_FLUSH_S, transport.abort)

    def abort(self) -> None:
        """Drop the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_overdue(self, now: float) -> None:
        """Close the connection if the caller is idle or slow for too long."""
        limits = self._limits()
        if self._active is not None or not self.is_open:
            return
        if self._reading is not None:
            if now - self._reading.started_at > limits.header_timeout_s:
                self._broken_status = 408
                self._begin_next()
            return
        if now - self._idle_since > limits.idle_timeout_s:
            self.close()

    def _keeps_connection(self) -> bool:
        return self._active.keep_alive and not self.closing

    def _finish(self, keep: bool) -> None:
        self._active = None
        self.served += 1
        self._idle_since = self._clock()
        if not keep:
            self.close()
            return
        if self._reading_paused and len(self._queue) < QUEUED_REQUESTS:
            self._reading_paused = False
            self._transport.resume_reading()
        self._begin_next()

    def _begin_next(self) -> None:
        if self._active is not None or not self.is_open:
            return
        if self._queue:
            self._active = self._queue.popleft()
            self._serve(self, self._active)
            return
        if self._broken_status is not None:
            self._refuse(self._broken_status)

    def _refuse(self, status: int) -> None:
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self._transport.write(response_head(status, headers))
        self.close()

    def _check_head_size(self) -> None:
        reading = self._reading
        if reading is not None and reading.head_done:
            sizes = (len(name) + len(value) + 4 for name, value in reading.headers)
            size = len(reading.target) + sum(sizes)
        else:
            size = self._bytes_since_start if reading is not None else 0
        if size > self._limits().max_header_bytes:
            raise _InvalidRequestError(431)
