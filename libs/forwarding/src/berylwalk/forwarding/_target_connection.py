"""Client side of a connection to a target."""

import re
from asyncio import Protocol, Transport
from collections.abc import Callable
from contextlib import suppress
from enum import StrEnum
from socket import IPPROTO_TCP, SHUT_RDWR
from typing import Protocol as Interface

import httptools

from berylwalk.forwarding._heads import (
    BODILESS_STATUSES,
    Headers,
    header_value,
    states_body,
)
from berylwalk.forwarding._traffic import TrafficCounter

DEFAULT_IDLE_LIMIT_S = 1.0
"""Idle time up to which a connection is reused if the target sends no keep-alive
timeout, in seconds."""
IDLE_TIMEOUT_FRACTION = 0.6
"""Fraction of the target's keep-alive timeout up to which a connection is reused, so
that the target does not close it while a request is being sent."""
KEEP_ALIVE_SECONDS = re.compile(rb"[0-9]{1,9}")
"""Keep-alive timeouts that are used; others count as none."""
PARSED_INTERIM_STATUSES = (100, 102, 103)
"""Interim statuses that the parser ends with their head, whatever length they state."""
READ_BYTES = 64 * 1024
"""Bytes that are read at once of a connection that has failed."""
TCP_USER_TIMEOUT = 18
"""Number of the socket option, which Python 3.11 does not define on all platforms."""
UNACKNOWLEDGED_MS = 1500
"""Time after which the kernel closes a connection with unacknowledged data."""
UNREAD_MS = 5000
"""The same time for a request that the kernel of the target may not hold as a whole:
what the target does not read remains unacknowledged, and a sound one may go on after a
second or two."""
LARGE_REQUEST_BYTES = 32 * 1024
"""Size of a request from which that is so; receive buffers are rarely smaller."""
MAX_HEAD_BYTES = 64 * 1024
"""Bytes of a response up to which none has to be part of a head or of a body that is
complete; the parser keeps them."""


class ResponseEnd(StrEnum):
    """How a response ended."""

    COMPLETE = "complete"
    AT_CLOSE = "at-close"
    """The target closed the connection, which ends a response without a length. If it
    crashed, the response may be incomplete."""
    CLOSED = "closed"
    """The target or its VM closed the connection before the response was complete."""
    UNREACHABLE = "unreachable"
    """The connection failed in the network; the state of the target is unknown."""
    INVALID = "invalid"
    """The data is not a valid response to the request."""


class _InvalidResponseError(Exception):
    """Raised in a parser callback for a response that the protocol doesn't allow."""


class Socket(Interface):
    """Part of a socket that is used to limit and to close a connection."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set an option."""

    def shutdown(self, how: int) -> None:
        """Shut down the connection."""


class ResponseSink(Interface):
    """Receives a response as it arrives."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Receive the status and headers."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self, end: ResponseEnd, detail: str) -> None:
        """Receive the end of the response; no further call follows."""


class TargetConnection(Protocol):
    """Sends one request at a time and passes the response to a sink.

    A late response to an earlier request is recognized by the request id, which
    targets repeat in a header, and discarded.

    Parameters
    ----------
    id_header : bytes
        Lower-case name of the header with the request id.
    on_bytes : callable
        Called whenever data arrives.
    clock : callable
        Clock of the event loop.
    traffic : TrafficCounter or None
        Counts the bytes on the link.

    Attributes
    ----------
    reusable : bool
        Whether another request can be sent.
    """

    def __init__(
        self,
        *,
        id_header: bytes,
        on_bytes: Callable[[], None],
        clock: Callable[[], float],
        traffic: TrafficCounter | None = None,
    ) -> None:
        self._id_header = id_header
        self._on_bytes = on_bytes
        self._clock = clock
        self._traffic = TrafficCounter() if traffic is None else traffic
        self._parser = httptools.HttpResponseParser(self)
        self._transport: Transport | None = None
        self._socket: Socket | None = None
        self._unacknowledged_ms = 0
        self._sink: ResponseSink | None = None
        self._request_id = b""
        self._is_head = False
        self._headers: Headers = []
        self._head_done = False
        self._discarding = False
        self._close_delimited = False
        self._has_surplus = False
        self._has_sent = False
        self._unused_bytes = 0
        self._idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._idle_since = 0.0
        self.reusable = True
        self.uses = 0

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as is known."""
        return self._transport is not None and not self._transport.is_closing()

    def is_fresh(self, now: float, *, idle_limit_s: float | None = None) -> bool:
        """Return whether the idle connection can be reused.

        Parameters
        ----------
        now : float
            Current time of the event loop.
        idle_limit_s : float or None
            Maximum idle time; by default a time for which the target reliably
            keeps the connection open.
        """
        if idle_limit_s is None:
            idle_limit_s = self._idle_limit_s
        is_recent = now - self._idle_since <= idle_limit_s
        return self.is_open and self.reusable and is_recent

    def send(
        self,
        data: bytes,
        request_id: bytes,
        sink: ResponseSink,
        *,
        is_head: bool = False,
    ) -> None:
        """Send a request; its response is passed to the sink.

        Parameters
        ----------
        data : bytes
            The encoded request.
        request_id : bytes
            Its id, which the response repeats.
        sink : ResponseSink
            Receives the response.
        is_head : bool
            Whether the method is ``HEAD``, so that the response ends with its head.
        """
        self._sink = sink
        self._request_id = request_id
        self._is_head = is_head
        self._unused_bytes = 0
        self.uses += 1
        is_large = len(data) >= LARGE_REQUEST_BYTES
        self._limit_unacknowledged(UNREAD_MS if is_large else UNACKNOWLEDGED_MS)
        self._traffic.note_sent(len(data))
        self._transport.write(data)
        self._has_sent = self.is_open

    def pause(self) -> None:
        """Stop reading until `resume` is called."""
        if self.is_open:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue reading."""
        if self.is_open:
            self._transport.resume_reading()

    def use_socket(self, connected: Socket) -> None:
        """Store the socket of the transport, which `close` shuts down."""
        self._socket = connected

    def _limit_unacknowledged(self, limit_ms: int) -> None:
        """Set the time after which the kernel gives up unacknowledged data."""
        if self._socket is None or limit_ms == self._unacknowledged_ms:
            return
        self._unacknowledged_ms = limit_ms
        with suppress(OSError):
            self._socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, limit_ms)

    def close(self) -> None:
        """Close immediately and abandon a request in progress.

        The event loop closes the socket in its next pass; the target learns of it now.
        """
        self._sink = None
        self.reusable = False
        if self._transport is None:
            return
        self._transport.abort()
        if self._socket is not None:
            # The target may have closed it, and uvloop's sockets can't be shut down.
            with suppress(OSError, TypeError):
                self._socket.shutdown(SHUT_RDWR)

    # Callbacks of the event loop.

    def connection_made(self, transport: Transport) -> None:  # type: ignore[override]
        """Store the transport."""
        self._transport = transport
        self._idle_since = self._clock()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        self._on_bytes()
        self._traffic.note_received(len(data))
        if self._sink is None:
            # No request is in progress, so the data belongs to none.
            self.close()
            return
        self._unused_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(ResponseEnd.INVALID, repr(error))
        if self._has_surplus:
            self.close()
        elif self._unused_bytes > MAX_HEAD_BYTES:
            self._end(ResponseEnd.INVALID, f"{self._unused_bytes} bytes without a head")

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        if self._close_delimited and self._head_done and not self._discarding:
            self._end(ResponseEnd.AT_CLOSE, "")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the response will not be completed, unless it was received."""
        transport, self._transport = self._transport, None
        self.reusable = False
        if isinstance(exc, ConnectionError) and transport is not None:
            self._receive_rest(transport)
        by_target = exc is None or isinstance(exc, ConnectionError)
        end = ResponseEnd.CLOSED if by_target else ResponseEnd.UNREACHABLE
        self._end(end, repr(exc) if exc else "closed")

    def _receive_rest(self, transport: Transport) -> None:
        """Parse what was received before a reset that showed when data was sent.

        A target may respond and close before it has read the whole request. What the
        end of the connection would complete is incomplete, as it ends with a reset. If
        nothing of the request was sent, nothing that was received belongs to it.
        """
        connected = transport.get_extra_info("socket")
        if not self._has_sent or connected is None:
            return
        # The reading ends with an error, either of the connection or that there is no
        # more; the first one is reported already.
        with suppress(OSError), connected.dup() as received:
            while self._sink is not None and (data := received.recv(READ_BYTES)):
                self.data_received(data)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        # The parser is in the midst of it and would join it with the next response.
        self._has_surplus = self._sink is None
        self._headers = []
        self._head_done = False
        self._discarding = False
        self._close_delimited = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink if it belongs to the request."""
        self._head_done = True
        status = self._parser.get_status_code()
        headers = self._headers
        has_stated_body = states_body(headers)
        if status < 200 and has_stated_body and status not in PARSED_INTERIM_STATUSES:
            raise _InvalidResponseError(f"interim response {status} with a body")
        if status < 200 or self._sink is None:
            self._discarding = True
            return
        self._unused_bytes = 0
        response_id = header_value(headers, self._id_header)
        if response_id is not None and response_id != self._request_id:
            self._discarding = True
            self.reusable = False
            return
        has_length = header_value(headers, b"content-length") is not None
        has_length = has_length or has_stated_body
        has_body = not self._is_head and status not in BODILESS_STATUSES
        self._close_delimited = not has_length and has_body
        if self._close_delimited or (has_stated_body and not has_body):
            # A target that sends a stated body all the same would send it as the
            # beginning of the next response.
            self.reusable = False
        self._apply_keep_alive(headers)
        self._sink.on_head(status, headers)
        if self._is_head:
            self._end_at_head(is_parsed=has_length and not has_stated_body)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the sink."""
        self._unused_bytes = 0
        if not self._discarding and self._sink is not None:
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._discarding:
            self._discarding = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._end(ResponseEnd.COMPLETE, "")

    def _end_at_head(self, *, is_parsed: bool) -> None:
        """Complete a response to ``HEAD``; the parser would wait for a body.

        Parameters
        ----------
        is_parsed : bool
            Whether the parser ends the response here as well.
        """
        if not is_parsed:
            self.reusable = False
            self._end(ResponseEnd.COMPLETE, "")

    def _apply_keep_alive(self, headers: Headers) -> None:
        value = header_value(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and KEEP_ALIVE_SECONDS.fullmatch(seconds):
                self._idle_limit_s = int(seconds) * IDLE_TIMEOUT_FRACTION

    def _end(self, end: ResponseEnd, detail: str) -> None:
        if end is not ResponseEnd.COMPLETE:
            self.reusable = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            # The target responded before it read the whole request. The unsent
            # remainder must not be mixed with the next request.
            self.reusable = False
        self._idle_since = self._clock()
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_end(end, detail)
        if not self.reusable and transport is not None:
            transport.abort()
