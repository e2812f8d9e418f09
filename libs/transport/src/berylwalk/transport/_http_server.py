"""HTTP server based on uvicorn, with explicit start, drain and close."""

import socket
from functools import partial
from typing import Self

import anyio
from uvicorn import Config, Server

from berylwalk.transport._asgi import Application
from berylwalk.transport._http_protocol import (
    HttpLimits,
    LimitedHttpProtocol,
    protocol_factory,
    with_abort,
)

BACKLOG = 2048
CLOSE_POLL_INTERVAL_S = 0.02


class HttpServer:
    """HTTP server for one ASGI application on one address.

    uvicorn runs in the event loop of the caller, without signal handlers and
    without an access log.

    Parameters
    ----------
    application : callable
        ASGI application for HTTP scopes. It may raise `AbortConnection`.
    host : str
        Local IP address.
    port : int
        Local port; 0 selects a free port.
    limits : HttpLimits, optional
        Timeouts, sizes and number of connections.
    """

    def __init__(
        self,
        application: Application,
        host: str,
        port: int,
        *,
        limits: HttpLimits | None = None,
    ) -> None:
        self._bind_address = (host, port)
        self._announces_close = False
        limits = limits or HttpLimits()
        factory = protocol_factory(limits, lambda: self._announces_close)
        self._server = Server(_config(application, limits, factory))
        self._socket: socket.socket | None = None
        self._address: tuple[str, int] | None = None
        self._draining = False

    @classmethod
    def from_config(
        cls,
        application: Application,
        host: str,
        port: int,
        *,
        limits: HttpLimits | None = None,
    ) -> Self:
        """Construct from settings; see the class for parameters."""
        return cls(application, host, port, limits=limits)

    @property
    def address(self) -> tuple[str, int]:
        """Bound local address, available after `start`."""
        if self._address is None:
            raise RuntimeError("server is not started")
        return self._address

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    async def start(self) -> None:
        """Bind the address and start to accept connections.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._socket = _listening_socket(self._bind_address)
        self._address = self._socket.getsockname()
        self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup(sockets=[self._socket])

    def announce_close(self) -> None:
        """Let each response whose head is not sent yet end its connection.

        New connections are accepted as before.
        """
        self._announces_close = True
        for connection in list(self._server.server_state.connections):
            connection.announce_close()

    def begin_drain(self) -> None:
        """Stop accepting connections, and let requests in progress finish.

        Idle connections are closed; the others are closed after their response.
        """
        if self._draining or self._socket is None:
            return
        self._draining = True
        self._announces_close = True
        for listener in self._server.servers:
            listener.close()
        self._socket.close()
        for connection in list(self._server.server_state.connections):
            connection.shutdown()

    async def close(self, *, timeout_s: float = 0.0) -> bool:
        """Drain, then abort the remaining connections.

        Parameters
        ----------
        timeout_s : float
            Timeout for requests in progress, in seconds.

        Returns
        -------
        bool
            True if all requests finished in time.
        """
        self.begin_drain()
        with anyio.move_on_after(timeout_s):
            await self._wait_until_idle()
        finished = self._is_idle()
        self._abort_remaining()
        with anyio.CancelScope(shield=True):
            await self._wait_until_idle()
        return finished

    def _is_idle(self) -> bool:
        state = self._server.server_state
        return not state.connections and not state.tasks

    async def _wait_until_idle(self) -> None:
        while not self._is_idle():
            await anyio.sleep(CLOSE_POLL_INTERVAL_S)

    def _abort_remaining(self) -> None:
        state = self._server.server_state
        for connection in list(state.connections):
            connection.transport.abort()
        for task in list(state.tasks):
            task.cancel()


def _config(
    application: Application,
    limits: HttpLimits,
    factory: partial[LimitedHttpProtocol],
) -> Config:
    return Config(
        with_abort(application),
        http=factory,
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        backlog=BACKLOG,
        timeout_keep_alive=limits.keep_alive_s,
        limit_concurrency=limits.max_connections,
    )


def _listening_socket(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
