"""Listening sockets of a direct router."""

from asyncio import AbstractEventLoop, Server
from collections.abc import Callable

from berylwalk.dispatch import CallerLimits, SocketAddress
from berylwalk.forwarding import (
    CallerBuffers,
    CallerConnection,
    CallerRequest,
    ConnectionEnding,
    ConnectionLimits,
    LingeringConnections,
)

BACKLOG = 1024
NEXT_REQUEST_S = 0.1
"""Time in which the next request of a caller that sends without a pause arrives, in
seconds."""

Serve = Callable[[CallerConnection, CallerRequest], None]


def connection_limits(limits: CallerLimits) -> ConnectionLimits:
    """Convert the limits of a configuration to those of a connection."""
    return ConnectionLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


class Listener:
    """A listening socket and its open connections.

    Parameters
    ----------
    loop : AbstractEventLoop
        Serves the connections.
    address : SocketAddress
        Address to listen on.
    clock : callable
        Time in seconds.
    serve : callable
        Handles one request.
    on_disconnect : callable
        Called with connections that closed before their response.
    limits : callable
        Returns the limits in force.
    buffers : CallerBuffers or None
        Bounds what is held for all callers; None for no bound.
    takes_connection : callable
        Returns whether to take a new connection. While it doesn't, nothing is read from
        new connections: the socket is closed, so that their callers learn at once that
        they have to reach another router.
    ready_since : callable or None
        As of `CallerConnection`.
    lingering : LingeringConnections or None
        Bounds what is read of connections after their last response; None for no bound
        of the bytes.
    """

    def __init__(
        self,
        loop: AbstractEventLoop,
        address: SocketAddress,
        *,
        clock: Callable[[], float],
        serve: Serve,
        on_disconnect: Callable[[CallerConnection], None] = lambda connection: None,
        limits: Callable[[], CallerLimits] = CallerLimits,
        buffers: CallerBuffers | None = None,
        takes_connection: Callable[[], bool] = lambda: True,
        ready_since: Callable[[int], float] | None = None,
        lingering: LingeringConnections[ConnectionEnding] | None = None,
    ) -> None:
        self._ready_since = ready_since
        self._loop = loop
        self._address = address
        self._takes_connection = takes_connection
        self._clock = clock
        self._serve = serve
        self._on_disconnect = on_disconnect
        self._limits = limits
        self._buffers = buffers
        self._lingering = LingeringConnections() if lingering is None else lingering
        self._server: Server | None = None
        self._is_closed = False
        self._is_starting = False
        self.connections: set[CallerConnection] = set()
        self.closing = False

    async def start(self) -> None:
        """Listen; connections are turned away while `takes_connection` says so.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._is_starting = True
        try:
            server = await self._loop.create_server(
                self._create_connection,
                self._address.host,
                self._address.port,
                backlog=BACKLOG,
                reuse_address=True,
            )
        finally:
            self._is_starting = False
        if self._is_closed:
            server.close()
        else:
            self._server = server

    async def resume(self) -> None:
        """Listen again after connections were turned away."""
        if self.is_paused:
            await self.start()

    @property
    def is_paused(self) -> bool:
        """Whether new connections are turned away."""
        is_listening = self._server is not None or self._is_starting
        return not is_listening and not self._is_closed

    def close(self) -> None:
        """Stop accepting connections for good; open ones are kept."""
        self._is_closed = True
        self._stop_listening()

    def _stop_listening(self) -> None:
        server, self._server = self._server, None
        if server is not None:
            server.close()

    def _accepts(self) -> bool:
        """Return whether to read from a connection that was just made."""
        takes_connection = self._takes_connection()
        if not takes_connection:
            self._stop_listening()
        return takes_connection

    def abort(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self.close()
        for connection in list(self.connections):
            connection.abort()

    def announce_closing(self) -> None:
        """Announce in each further response that the connection will be closed."""
        self.closing = True
        for connection in self.connections:
            connection.closing = True

    def close_idle(self) -> None:
        """Close connections without a request in progress, once they are flushed.

        One whose response has just ended is kept for a moment: a request that its
        caller sends at once is read and answered, instead of crossing the close.
        """
        now = self._clock()
        for connection in list(self.connections):
            if connection.is_open and connection.idle_s(now) > NEXT_REQUEST_S:
                connection.close()

    def end_input(self) -> int:
        """Drop requests that wait, and refuse those not received to their end.

        Returns
        -------
        int
            Requests that were dropped.
        """
        dropped = 0
        for connection in list(self.connections):
            dropped += connection.drop_waiting()
            connection.refuse_partial()
        return dropped

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffers that callers have not read."""
        return sum(connection.unsent_bytes for connection in self.connections)

    def sweep(self) -> int:
        """Close connections that exceed the idle or header timeout.

        Returns
        -------
        int
            Connections that were idle for too long.
        """
        now = self._clock()
        return sum(
            connection.close_if_overdue(now) for connection in list(self.connections)
        )

    def _create_connection(self) -> CallerConnection:
        connection = CallerConnection(
            serve=self._serve,
            on_disconnect=self._on_disconnect,
            limits=lambda: connection_limits(self._limits()),
            clock=self._clock,
            registry=self.connections,
            call_later=self._loop.call_later,
            buffers=self._buffers,
            accepts=self._accepts,
            ready_since=self._ready_since,
            lingering=self._lingering,
        )
        connection.closing = self.closing
        return connection
