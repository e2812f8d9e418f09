"""The client's side of one connection to a target."""

from asyncio import Protocol, Transport
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol as Interface

import httptools

from berylwalk.forwarding._heads import Headers, header_value

DEFAULT_IDLE_S = 1.0
"""Idle time after which a connection is not used again if the target does not
say how long it keeps one, in seconds."""
IDLE_SHARE = 0.6
"""Part of the time stated by the target for which a connection is used again: a
request must not meet the target's closing."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class ResponseEnd(StrEnum):
    """How an answer ended."""

    COMPLETE = "complete"
    CLOSED = "closed"
    """The target, or its VM, ended the connection before the answer did."""
    UNREACHABLE = "unreachable"
    """The network gave the connection up: nothing is known of the target."""
    INVALID = "invalid"
    """Bytes that are no answer, or none to this request."""


class ResponseSink(Interface):
    """Takes an answer as it arrives."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Take the status and headers."""

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_end(self, end: ResponseEnd, detail: str) -> None:
        """Take the end; nothing follows."""


class TargetConnection(Protocol):
    """Sends one request at a time and passes its answer to a sink.

    An answer to an earlier request may arrive in place of the one that is due;
    targets repeat the id of the request in a header, by which it is told.

    Parameters
    ----------
    id_header : bytes
        Lower-case name of the header with the request's id.
    on_bytes : callable
        Called whenever bytes arrive.
    clock : callable
        Time of the loop.

    Attributes
    ----------
    reusable : bool
        Whether another request may be sent.
    """

    def __init__(
        self,
        *,
        id_header: bytes,
        on_bytes: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._id_header = id_header
        self._on_bytes = on_bytes
        self._clock = clock
        self._parser = httptools.HttpResponseParser(self)
        self._transport: Transport | None = None
        self._sink: ResponseSink | None = None
        self._request_id = b""
        self._headers: Headers = []
        self._head_done = False
        self._skipping = False
        self._until_close = False
        self._idle_limit_s = DEFAULT_IDLE_S
        self._idle_since = 0.0
        self.reusable = True
        self.uses = 0

    @property
    def is_open(self) -> bool:
        """Whether the connection stands, as far as is known."""
        return self._transport is not None and not self._transport.is_closing()

    def is_fresh(self, now: float, *, idle_limit_s: float | None = None) -> bool:
        """Return whether the idle connection may be used again.

        Parameters
        ----------
        now : float
            Time of the loop.
        idle_limit_s : float or None
            Idle time up to which it may; by default that for which the target
            surely keeps it.
        """
        if idle_limit_s is None:
            idle_limit_s = self._idle_limit_s
        is_recent = now - self._idle_since <= idle_limit_s
        return self.is_open and self.reusable and is_recent

    def send(self, data: bytes, request_id: bytes, sink: ResponseSink) -> None:
        """Send a request; its answer goes to the sink."""
        self._sink = sink
        self._request_id = request_id
        self.uses += 1
        self._transport.write(data)

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self.is_open:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.is_open:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close at once; a request in progress is given up."""
        self._sink = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    # The connection, as the loop sees it.

    def connection_made(self, transport: Transport) -> None:  # type: ignore[override]
        """Take note of the transport."""
        self._transport = transport
        self._idle_since = self._clock()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        self._on_bytes()
        if self._sink is None:
            # Nothing is due: these bytes belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(ResponseEnd.INVALID, repr(error))

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        if self._until_close and self._head_done and not self._skipping:
            self._end(ResponseEnd.COMPLETE, "")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that an answer won't be completed."""
        self._transport = None
        by_target = exc is None or isinstance(exc, ConnectionError)
        end = ResponseEnd.CLOSED if by_target else ResponseEnd.UNREACHABLE
        self._end(end, repr(exc) if exc else "closed")

    # The answer, as the parser sees it.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._head_done = False
        self._skipping = False
        self._until_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are not passed on."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on if it belongs to the request."""
        self._head_done = True
        status = self._parser.get_status_code()
        if status < 200 or self._sink is None:
            self._skipping = True
            return
        headers = self._headers
        answered_id = header_value(headers, self._id_header)
        if answered_id is not None and answered_id != self._request_id:
            self._skipping = True
            self.reusable = False
            return
        self._until_close = (
            header_value(headers, b"content-length") is None
            and header_value(headers, b"transfer-encoding") is None
            and status not in (204, 304)
        )
        self._note_keep_alive(headers)
        self._sink.on_head(status, headers)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self._skipping and self._sink is not None:
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """Complete the answer."""
        if self._skipping:
            self._skipping = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._end(ResponseEnd.COMPLETE, "")

    def _note_keep_alive(self, headers: Headers) -> None:
        value = header_value(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self._idle_limit_s = int(seconds) * IDLE_SHARE

    def _end(self, end: ResponseEnd, detail: str) -> None:
        if end is not ResponseEnd.COMPLETE:
            self.reusable = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            # The target answered before it read the whole request. What is
            # left of it must not be mixed with the next one.
            self.reusable = False
        self._idle_since = self._clock()
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.on_end(end, detail)
        if not self.reusable and transport is not None:
            transport.abort()
