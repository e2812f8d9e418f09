"""HTTP client that reports whether a failed request may have been received."""

from asyncio import get_running_loop
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Self

import anyio
import httpcore

from berylwalk.transport._asgi import Header
from berylwalk.transport._http_exchange import exchange, new_request
from berylwalk.transport._http_results import (
    HttpResponse,
    RequestFailed,
    SendState,
)
from berylwalk.transport._request_head import request_head
from berylwalk.transport._response_connection import ResponseConnection, format_error
from berylwalk.transport._response_stream import HttpStream

# Shorter than the keep-alive of the server, so that the client closes an idle
# connection first and a request is rarely sent while the server closes it.
KEEP_ALIVE_S = 15.0
DEFAULT_PORT = 80
MAX_KEEP_ALIVE_CONNECTIONS = 256


class HttpClient:
    """HTTP/1.1 client that never retries a request.

    `request` uses pooled connections. `open_stream` and `stream` use a new
    connection for each request, so that a stale connection cannot leave the
    outcome of a request unknown.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout for connecting, in seconds.
    read_timeout_s : float or None
        Timeout for each wait for data, in seconds; None for no timeout.
    max_connections : int or None
        Maximum number of pooled connections.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = 1.0,
        read_timeout_s: float | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._max_connections = max_connections
        self._pool: httpcore.AsyncConnectionPool | None = None

    @classmethod
    def from_config(
        cls,
        *,
        connect_timeout_s: float = 1.0,
        read_timeout_s: float | None = None,
        max_connections: int | None = None,
    ) -> Self:
        """Construct from settings; see the class for parameters."""
        return cls(
            connect_timeout_s=connect_timeout_s,
            read_timeout_s=read_timeout_s,
            max_connections=max_connections,
        )

    async def start(self) -> None:
        """Create the connection pool."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=self._max_connections,
            max_keepalive_connections=MAX_KEEP_ALIVE_CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE_S,
            retries=0,
            network_backend=httpcore.AnyIOBackend(),
        )

    async def close(self) -> None:
        """Close all pooled connections."""
        pool = self._pool
        self._pool = None
        if pool is not None:
            await pool.aclose()

    async def open_stream(
        self,
        method: str,
        url: str,
        *,
        headers: Iterable[Header] = (),
        body: bytes = b"",
        read_timeout_s: float | None = None,
        coalesce_s: float = 0.0,
    ) -> HttpStream | RequestFailed:
        """Send a request on a new connection and wait for the response headers.

        Parameters
        ----------
        method : str
            HTTP method other than HEAD.
        url : str
            ``http://`` URL whose host is an IP address.
        headers : iterable of (bytes, bytes)
            Names and values; ``host`` and ``content-length`` are added.
        body : bytes, optional
            The complete body.
        read_timeout_s : float, optional
            Overrides the read timeout of the client, in seconds.
        coalesce_s : float, optional
            Minimum time between two parts of the body, in seconds.

        Returns
        -------
        HttpStream or RequestFailed
            A stream that the caller must close, or the failure.
        """
        if self._pool is None:
            return RequestFailed(SendState.NOT_SENT, "client is not started")
        parsed_url = httpcore.URL(url)
        try:
            head = request_head(method, parsed_url, headers, len(body))
        except ValueError as error:
            # NOT_SENT would be attributed to the peer, but the request is at fault.
            return RequestFailed(SendState.OUTCOME_UNKNOWN, format_error(error))
        timeout_s = self._read_timeout_s if read_timeout_s is None else read_timeout_s
        connection = await self._connect(parsed_url)
        if isinstance(connection, RequestFailed):
            return connection
        failure = await _exchange_heads(connection, head, body, timeout_s)
        if failure is not None:
            return failure
        return HttpStream(connection, read_timeout_s=timeout_s, coalesce_s=coalesce_s)

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        *,
        headers: Iterable[Header] = (),
        body: bytes = b"",
        read_timeout_s: float | None = None,
        coalesce_s: float = 0.0,
    ) -> AsyncIterator[HttpStream | RequestFailed]:
        """Open a stream as `open_stream` does, and close it on exit."""
        opened = await self.open_stream(
            method,
            url,
            headers=headers,
            body=body,
            read_timeout_s=read_timeout_s,
            coalesce_s=coalesce_s,
        )
        try:
            yield opened
        finally:
            if isinstance(opened, HttpStream):
                await opened.close()

    async def request(
        self,
        method: str,
        url: str,
        *,
        headers: Iterable[Header] = (),
        body: bytes = b"",
        read_timeout_s: float | None = None,
    ) -> HttpResponse | RequestFailed:
        """Send a request on a pooled connection and read the complete response.

        See `open_stream` for the parameters.

        Returns
        -------
        HttpResponse or RequestFailed
            The response or the failure; a truncated body is a failure with
            `SendState.OUTCOME_UNKNOWN`.
        """
        if self._pool is None:
            return RequestFailed(SendState.NOT_SENT, "client is not started")
        timeout_s = self._read_timeout_s if read_timeout_s is None else read_timeout_s
        request = new_request(
            method,
            url,
            headers=headers,
            body=body,
            connect_timeout_s=self._connect_timeout_s,
            read_timeout_s=timeout_s,
        )
        return await exchange(self._pool, request)

    async def _connect(self, url: httpcore.URL) -> ResponseConnection | RequestFailed:
        host = url.host.decode("ascii")
        try:
            with anyio.fail_after(self._connect_timeout_s):
                _, connection = await get_running_loop().create_connection(
                    ResponseConnection, host, url.port or DEFAULT_PORT
                )
        except OSError as error:
            # TimeoutError is a subclass of OSError.
            return RequestFailed(SendState.NOT_SENT, format_error(error))
        return connection


async def _exchange_heads(
    connection: ResponseConnection, head: bytes, body: bytes, timeout_s: float | None
) -> RequestFailed | None:
    """Send the request and wait for the response head; close on failure."""
    try:
        connection.send(head, body)
        while not connection.status and not connection.failure:
            await connection.wait(timeout_s)
    except TimeoutError:
        connection.close()
        return RequestFailed(
            SendState.OUTCOME_UNKNOWN, "no response within the read timeout"
        )
    except BaseException:
        connection.close()
        raise
    if connection.status:
        return None
    connection.close()
    return RequestFailed(SendState.OUTCOME_UNKNOWN, connection.failure)
