"""Server side of a connection from a caller."""

from asyncio import Protocol, Transport
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from berylwalk.forwarding._caller_buffers import CallerBuffers
from berylwalk.forwarding._caller_requests import (
    CallerRequest,
    ConnectionLimits,
    InvalidRequestError,
    PartialRequest,
    RestOfConnectionError,
)
from berylwalk.forwarding._close_behavior import reset
from berylwalk.forwarding._connection_ending import ConnectionEnding
from berylwalk.forwarding._heads import (
    BODILESS_STATUSES,
    Headers,
    response_head,
)
from berylwalk.forwarding._lingering_connections import LingeringConnections
from berylwalk.forwarding._request_reader import RequestReader

MAX_PIPELINED_REQUESTS = 4
"""Number of pipelined requests from which reading is paused."""
RETRY_AFTER_S = 1
"""``Retry-After`` of a request that is refused before its end, in seconds."""


class CallerConnection(Protocol):
    """Reads requests one at a time and writes their responses.

    Parameters
    ----------
    serve : callable
        Called with the connection and each request. It responds exactly once
        through the connection, possibly after it has returned.
    on_disconnect : callable
        Called if the caller disconnects before its request was answered.
    limits : callable
        Returns the current limits.
    clock : callable
        Clock of the event loop.
    registry : set
        Contains the connection while it is open.
    call_later : callable
        Schedules a callback after a delay in seconds.
    buffers : CallerBuffers or None
        Bounds what is held for all callers; None for no bound.
    accepts : callable
        Returns whether to read from this connection; otherwise it is reset.
    ready_since : callable or None
        Returns since when input can have waited that the event loop reported in this
        pass (given 0) or in the pass before (given 1); None if nothing waits.
    lingering : LingeringConnections or None
        Bounds what is read after the last response; None for no bound for all
        connections.

    Attributes
    ----------
    closing : bool
        Whether responses announce that the connection will be closed.
    disconnect_delay_s : float
        Longest time for which the caller's disconnect was not noticed, in seconds.
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
        buffers: CallerBuffers | None = None,
        accepts: Callable[[], bool] = lambda: True,
        ready_since: Callable[[int], float] | None = None,
        lingering: LingeringConnections[ConnectionEnding] | None = None,
    ) -> None:
        self._accepts = accepts
        self._lingering = LingeringConnections() if lingering is None else lingering
        self._ready_since = ready_since or (lambda passes_ago: clock())
        # The event loop accepts a socket in the pass before.
        self._accepted_at = self._ready_since(1)
        self._watched_from = clock()
        self._serve = serve
        self._on_disconnect = on_disconnect
        self._limits = limits
        self._clock = clock
        self._registry = registry
        self._buffers = buffers
        self._is_unframed = False
        self._ending = ConnectionEnding(
            lingering=self._lingering,
            call_later=call_later,
            discard=self.discard_response,
        )
        self._transport: Transport | None = None
        self._queue: deque[CallerRequest] = deque()
        self._reader = RequestReader(
            limits=limits,
            clock=clock,
            bodies=None if buffers is None else buffers.bodies,
            on_request=self._queue.append,
        )
        self._active: CallerRequest | None = None
        self._error_status: int | None = None
        self._discarded_bytes = 0
        self._reading_paused = False
        self._streaming = False
        self._closes_after_stream = False
        self._idle_since = clock()
        self._writable = True
        self.closing = False
        self.disconnect_delay_s = 0.0
        self.served = 0
        self.on_writable: Callable[[bool], None] | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: Transport) -> None:  # type: ignore[override]
        """Store the transport and register the connection, unless it is not taken."""
        if not self._accepts():
            reset(transport)
            return
        self._transport = transport
        self._ending.attach(transport)
        self._watched_from = self._clock()
        self._registry.add(self)
        if self._buffers is not None:
            self.bound_unsent(self._buffers.each_bytes)

    def data_received(self, data: bytes) -> None:
        """Parse received data and start to serve the next request."""
        if self._buffers is not None:
            self._buffers.traffic.note_received(len(data))
        if not self._reads_requests:
            self._discard_input(len(data))
            return
        try:
            self._reader.feed(data, self._earliest_arrival())
        except RestOfConnectionError:
            self._serve_next()
            return
        except InvalidRequestError as error:
            self._error_status = error.status
        self._serve_next()
        if len(self._queue) >= MAX_PIPELINED_REQUESTS and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    @property
    def _reads_requests(self) -> bool:
        """Whether what is received may be part of a request that is served."""
        is_over = self._ending.has_begun or self._reader.is_last_read
        return not is_over and self._error_status is None

    def _earliest_arrival(self) -> float:
        """Return the earliest time at which the input read now can have arrived.

        The first input of a connection may have been there when it was accepted, some
        passes of the event loop before it was first watched.
        """
        since = self._ready_since(0)
        return since if since > self._watched_from else self._accepted_at

    def _discard_input(self, size: int) -> None:
        """Count received bytes that no request is read from, up to a bound.

        Beyond it, reading is paused and the connection stays open: the caller has time
        to read the response before the connection is reset.
        """
        self._discarded_bytes += size
        limits = self._limits()
        max_bytes = limits.max_header_bytes + limits.max_body_bytes
        is_within = self._discarded_bytes <= max_bytes
        if self._ending.has_begun:
            is_within = self._lingering.take(size, self._clock()) and is_within
        if not is_within:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat the end of the input as a disconnect and report it at once.

        The event loop reports the loss of the connection only in a later pass.
        """
        if self._transport is not None:
            self._transport.close()
        self._report_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the caller has disconnected, unless that was done."""
        self._registry.discard(self)
        if self._buffers is not None and self._transport is not None:
            self._buffers.forget(self)
            self._reader.release_all()
        transport, self._transport = self._transport, None
        self._ending.detach()
        if transport is not None:
            self._report_disconnect()

    def _report_disconnect(self) -> None:
        """Drop what was read ahead and report an unanswered request."""
        self._queue.clear()
        active, self._active = self._active, None
        if active is not None:
            since = self._earliest_arrival()
            self.disconnect_delay_s = max(0.0, self._clock() - since)
            self._on_disconnect(self)

    def pause_writing(self) -> None:
        """Report that the write buffer is full because the caller reads too slowly."""
        self._writable = False
        if self.on_writable is not None:
            self.on_writable(False)

    def resume_writing(self) -> None:
        """Report that the write buffer has drained."""
        self._writable = True
        self._ending.note_drained()
        if self.on_writable is not None:
            self.on_writable(True)

    # Responses.

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and its last response has not ended."""
        if self._transport is None or self._ending.has_begun:
            return False
        return not self._transport.is_closing()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, queued or answered."""
        return (
            self._active is not None
            or self._reader.partial is not None
            or bool(self._queue)
        )

    def idle_s(self, now: float) -> float:
        """Return the seconds since the last response was written; 0 while busy."""
        return 0.0 if self.is_busy else now - self._idle_since

    @property
    def is_writable(self) -> bool:
        """Whether the write buffer has room."""
        return self._writable

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer that the caller has not read."""
        return self._ending.unsent_bytes

    def bound_unsent(self, max_bytes: int) -> None:
        """Set the size of the write buffer from which it is not writable.

        After the last response the buffer only drains, and its size is watched.
        """
        if self._transport is not None and not self._ending.has_begun:
            self._transport.set_write_buffer_limits(high=max_bytes)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response to the current request.

        The body is not sent where the response has none by its kind.
        """
        if not self.is_open:
            return
        if self.ends_with_head(status):
            length = b"%d" % len(body) if self._active.is_head else None
            self.respond_with_head(status, headers, length)
            return
        framing = [(b"Content-Length", b"%d" % len(body))]
        self._respond(status, headers + framing, body)

    def ends_with_head(self, status: int) -> bool:
        """Return whether a response to the current request has no body by its kind."""
        is_head = self._active is not None and self._active.is_head
        return is_head or status in BODILESS_STATUSES

    def respond_with_head(
        self, status: int, headers: Headers, length: bytes | None
    ) -> None:
        """Send a response that ends with its head.

        Parameters
        ----------
        status : int
            Its status.
        headers : list of (bytes, bytes)
            Its headers.
        length : bytes or None
            Length that a body would have; None to state none.
        """
        if not self.is_open:
            return
        if length is not None and status != HTTPStatus.NO_CONTENT:
            headers = [*headers, (b"Content-Length", length)]
        self._respond(status, headers, b"")

    def _respond(self, status: int, headers: Headers, body: bytes) -> None:
        keep_open = self._keeps_alive()
        if not keep_open:
            headers = [*headers, (b"Connection", b"close")]
        elif self._active.http_1_0:
            headers = [*headers, (b"Connection", b"keep-alive")]
        self._write(response_head(status, headers) + body)
        self._finish(keep_open)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Start a response of unknown length.

        Where only the end of the connection tells its end, the connection is reset if
        it is closed before, also by the exit of the process.
        """
        if not self.is_open:
            return
        framing = []
        self._is_unframed = self._active.http_1_0
        if self._is_unframed:
            self._ending.reset_unless_whole()
        else:
            framing.append((b"Transfer-Encoding", b"chunked"))
        self._closes_after_stream = self._is_unframed or not self._keeps_alive()
        if self._closes_after_stream:
            framing.append((b"Connection", b"close"))
        self._streaming = True
        self._write(response_head(status, headers + framing))

    def write(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        if not self.is_open or not data:
            return
        if self._active.http_1_0:
            self._write(data)
        else:
            self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Complete a streamed response."""
        if not self.is_open:
            return
        if not self._active.http_1_0:
            self._write(b"0\r\n\r\n")
        self._streaming = False
        self._finish(not self._closes_after_stream)

    def truncate_response(self) -> None:
        """Close the connection so that the caller detects an incomplete response."""
        self._end_connection()
        self._active = None

    def fail_response(
        self, request: CallerRequest, status: int, headers: Headers
    ) -> None:
        """End the response to a request after an error.

        Nothing is done if it is complete; the connection may serve another request.

        Parameters
        ----------
        request : CallerRequest
            The request that failed.
        status : int
            Status, unless the response has begun: then it is truncated.
        headers : list of (bytes, bytes)
            Headers of the response with this status.
        """
        if self._active is not request:
            return
        if self._streaming:
            self.truncate_response()
        else:
            self.respond(status, headers, b"")

    def discard_response(self) -> None:
        """Close the connection and discard what the caller has not read.

        A stream that the end of the connection would complete is reset instead, also if
        its last bytes are among the discarded ones.
        """
        self._active = None
        if self._is_unframed and self._transport is not None:
            reset(self._transport)
        else:
            self.abort()

    def close(self) -> None:
        """Close an idle connection at once, or end it once its response is flushed.

        A request that crosses the close of an idle connection is reset, from which its
        caller learns that it was not read.
        """
        if self.is_busy or self.unsent_bytes:
            self._end_connection()
        elif self._transport is not None:
            self._transport.close()

    def _end_connection(self) -> None:
        """Stop sending once the buffered data is flushed, and read on for a while.

        A stream that the end of the connection would complete is reset instead.
        """
        if not self.is_open:
            return
        transport, active = self._transport, self._active
        if self._streaming and active is not None and active.http_1_0:
            reset(transport)
            return
        self._forget_input()
        if not self._ending.begin():
            return
        if self._reading_paused:
            transport.resume_reading()
        self._ending.read_on()

    def _forget_input(self) -> None:
        """Release what was read of requests that are not served."""
        self._queue.clear()
        self._reader.forget()

    def abort(self) -> None:
        """Close the connection without flushing."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_overdue(self, now: float) -> bool:
        """Close the connection if the caller exceeded the idle or header timeout.

        Returns
        -------
        bool
            Whether it was idle for too long.
        """
        limits = self._limits()
        if self._active is not None or not self.is_open:
            return False
        if self._reader.partial is not None:
            if now - self._reader.partial.started_at > limits.header_timeout_s:
                self._error_status = 408
                self._serve_next()
            return False
        if self._ending.has_progress():
            self._idle_since = now
        if now - self._idle_since > limits.idle_timeout_s:
            self.close()
            return True
        return False

    def drop_waiting(self) -> int:
        """Drop requests that wait for the response to the one before.

        That response says that the connection is closed, if `closing` is set.

        Returns
        -------
        int
            Requests that were dropped.
        """
        dropped = len(self._queue)
        self._reader.release(sum(len(request.body) for request in self._queue))
        self._queue.clear()
        return dropped

    def refuse_partial(self) -> None:
        """Refuse a request that is not received to its end, after those before it.

        Its response says when to return.
        """
        if self._reader.partial is not None and self._error_status is None:
            self._error_status = HTTPStatus.SERVICE_UNAVAILABLE.value
            self._serve_next()

    def _write(self, data: bytes) -> None:
        self._transport.write(data)
        if self._buffers is not None:
            self._buffers.note_written(self, len(data))

    def _keeps_alive(self) -> bool:
        """Return whether to keep the connection for more than what was read ahead."""
        is_closing = self.closing and not self._queue
        return self._active.keep_alive and not is_closing

    def _finish(self, keep_open: bool) -> None:
        if self._active is not None:
            self._reader.release(len(self._active.body))
        self._active = None
        self.served += 1
        self._idle_since = self._clock()
        if not keep_open:
            self._end_connection()
            return
        if self._reading_paused and len(self._queue) < MAX_PIPELINED_REQUESTS:
            self._reading_paused = False
            self._transport.resume_reading()
        self._serve_next()

    def _serve_next(self) -> None:
        if self._active is not None or not self.is_open:
            return
        if self._queue:
            self._active = self._queue.popleft()
            self._active.served_before = self.served
            self._serve(self, self._active)
            return
        if self._error_status is not None:
            self._reject(self._error_status)
            return
        partial = self._reader.partial
        if partial is not None and partial.awaits_continue:
            self._continue(partial)

    def _continue(self, partial: PartialRequest) -> None:
        """Ask for the body of a request; none of the responses before is under way."""
        partial.awaits_continue = False
        if partial.body_bytes == 0:
            partial.started_at = self._clock()
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, status: int) -> None:
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b"Retry-After", b"%d" % RETRY_AFTER_S))
        self._transport.write(response_head(status, headers))
        self._end_connection()
