"""uvicorn's httptools protocol with timeouts, a header size limit and aborts."""

from asyncio import TimerHandle, Transport
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from functools import partial
from typing import Any

from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from berylwalk.transport._asgi import (
    AbortConnection,
    Application,
    Receive,
    Scope,
    Send,
)
from berylwalk.transport._chunk_sender import ChunkSender
from berylwalk.transport._close_delimited_sender import CloseDelimitedSender
from berylwalk.transport._send_buffers import unacknowledged_bytes

ABORT_EXTENSION = "berylwalk.abort"
NEXT_REQUEST_S = 0.1
"""Time in which the next request of a caller that sends without a pause arrives, in
seconds."""
WITHOUT_CHUNKS = "1.0"
"""HTTP version whose callers know no chunks."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Limits of one HTTP server.

    Parameters
    ----------
    header_timeout_s : float
        Timeout for receiving the headers, in seconds. It starts when the
        connection opens, or with the first byte of each later request.
    body_timeout_s : float
        Timeout for receiving the body, in seconds, from the end of the headers.
    keep_alive_s : float
        Time after which an idle connection is closed, in seconds.
    max_header_bytes : int
        Maximum size of the request line and headers.
    max_connections : int or None
        Connections above this number receive status 503.
    linger_s : float
        Time that an aborted connection has to flush its send buffer, in seconds.
    """

    header_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    keep_alive_s: float = 75.0
    max_header_bytes: int = 64 * 1024
    max_connections: int | None = 10_000
    linger_s: float = 5.0


class _Phase(Enum):
    IDLE = auto()
    HEADERS = auto()
    BODY = auto()


class LimitedHttpProtocol(HttpToolsProtocol):
    """Server connection that is constructed by uvicorn.

    uvicorn has no timeout for receiving a request; without one, a slow client can
    hold a connection indefinitely.

    A request that was read is always answered, also while the server drains: a
    response whose head has announced no close does not end its connection.
    """

    def __init__(
        self,
        limits: HttpLimits,
        announces_close: Callable[[], bool],
        **uvicorn_arguments: Any,
    ) -> None:
        super().__init__(**uvicorn_arguments)
        self._limits = limits
        self._announces_close = announces_close
        self._phase = _Phase.IDLE
        self._deadline: TimerHandle | None = None
        self._header_bytes = 0
        self._draining = False
        self._idle_since = 0.0
        self._closing_cycle: RequestResponseCycle | None = None

    def connection_made(self, transport: Transport) -> None:
        """Start the header deadline."""
        super().connection_made(transport)
        self._idle_since = self.loop.time()
        self._arm(self._limits.header_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the deadline."""
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the data; the first byte of a request starts the header deadline."""
        if self._is_awaiting_request():
            self._arm(self._limits.header_timeout_s)
        super().data_received(data)
        if self._phase is _Phase.HEADERS:
            self._count_header_bytes(len(data))

    def on_message_begin(self) -> None:
        """Start to receive a request, and add the abort extension to its scope."""
        super().on_message_begin()
        self._phase = _Phase.HEADERS
        self._header_bytes = 0
        if self._deadline is None:
            self._arm(self._limits.header_timeout_s)
        self.scope["extensions"] = {ABORT_EXTENSION: {"call": self._abort}}

    def on_headers_complete(self) -> None:
        """Replace the header deadline with the body deadline."""
        self._phase = _Phase.BODY
        self._disarm()
        self._arm(self._limits.body_timeout_s)
        self._withdraw_close()
        super().on_headers_complete()
        if self._announces_close():
            self.announce_close()

    def on_message_complete(self) -> None:
        """Cancel the deadline."""
        self._phase = _Phase.IDLE
        self._disarm()
        super().on_message_complete()
        if self._draining:
            self._close_once_idle()

    def on_response_complete(self) -> None:
        """Serve the next request; while the server drains, close once idle."""
        self._idle_since = self.loop.time()
        super().on_response_complete()
        if self._draining:
            self._close_once_idle()

    def announce_close(self) -> None:
        """Let the response to the last request that was read end the connection.

        Without effect if its head is sent already.
        """
        cycle = self.cycle
        if cycle is not None and cycle.keep_alive and not cycle.response_started:
            cycle.keep_alive = False
            self._closing_cycle = cycle

    def shutdown(self) -> None:
        """Close the connection once it is idle.

        One whose response has just ended is kept for a moment: a request that its
        caller sends at once is read and answered, instead of crossing the close.
        """
        self._draining = True
        self.announce_close()
        self._close_once_idle()

    def _withdraw_close(self) -> None:
        """Keep the connection for a request that was sent ahead."""
        cycle, self._closing_cycle = self._closing_cycle, None
        if cycle is not None and not cycle.response_started:
            cycle.keep_alive = True

    def _close_once_idle(self) -> None:
        if self.transport.is_closing() or not self._is_idle():
            return
        if unacknowledged_bytes(self.transport):
            # A request that arrives at a closed socket resets the connection, and the
            # rest of the response would be lost.
            self._idle_since = self.loop.time()
        remaining_s = self._idle_since + NEXT_REQUEST_S - self.loop.time()
        if remaining_s > 0:
            self.loop.call_later(remaining_s, self._close_once_idle)
        else:
            self.transport.close()

    def _is_idle(self) -> bool:
        if self._phase is not _Phase.IDLE:
            return False
        return self.cycle is None or self.cycle.response_complete

    def _is_awaiting_request(self) -> bool:
        return self._deadline is None and self._is_idle()

    def _arm(self, timeout_s: float) -> None:
        self._deadline = self.loop.call_later(timeout_s, self._expire)

    def _disarm(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _expire(self) -> None:
        self._deadline = None
        if self._is_serving_earlier_request():
            # The late request is pipelined after one whose response is in progress.
            self.cycle.keep_alive = False
            return
        self.transport.abort()

    def _is_serving_earlier_request(self) -> bool:
        if self._phase is not _Phase.HEADERS or self.cycle is None:
            return False
        return not self.cycle.response_complete

    def _count_header_bytes(self, received: int) -> None:
        self._header_bytes += received
        if self._header_bytes > self._limits.max_header_bytes:
            self.transport.abort()

    def _abort(self) -> None:
        if self.cycle is not None:
            self.cycle.disconnected = True
        self.transport.close()
        self.loop.call_later(self._limits.linger_s, self.transport.abort)


def protocol_factory(
    limits: HttpLimits, announces_close: Callable[[], bool]
) -> partial[LimitedHttpProtocol]:
    """Return the protocol factory that uvicorn calls for each connection.

    Parameters
    ----------
    limits : HttpLimits
        Limits of the server.
    announces_close : callable
        Returns whether responses that begin now end their connections.

    Returns
    -------
    callable
        Takes the keyword arguments that uvicorn passes to a protocol.
    """
    return partial(LimitedHttpProtocol, limits, announces_close)


def with_abort(application: Application) -> Application:
    """Wrap an application so that `AbortConnection` closes the connection.

    Parameters
    ----------
    application : callable
        ASGI application.

    Returns
    -------
    callable
        ASGI application.
    """

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        try:
            await application(scope, receive, _sender(scope, send))
        except AbortConnection:
            scope["extensions"][ABORT_EXTENSION]["call"]()

    return wrapped


def _sender(scope: Scope, send: Send) -> Send:
    if scope["http_version"] == WITHOUT_CHUNKS:
        return CloseDelimitedSender(send.__self__)
    return ChunkSender(send.__self__)
