"""Client connection that is kept open for requests, one after the other."""

from typing import Self

import httpcore

from berylwalk.transport._http_exchange import exchange, new_request
from berylwalk.transport._http_results import HttpResponse, RequestFailed


class KeptConnection:
    """HTTP/1.1 connection to one server; it connects with the first request.

    Not safe for concurrent requests. It must be closed.

    Parameters
    ----------
    url : str
        ``http://`` URL of all requests, whose host is an IP address.
    connect_timeout_s : float
        Timeout for connecting, in seconds.
    """

    def __init__(self, url: str, *, connect_timeout_s: float) -> None:
        self._url = url
        self._connect_timeout_s = connect_timeout_s
        self._connection = httpcore.AsyncHTTPConnection(
            httpcore.URL(url).origin, network_backend=httpcore.AnyIOBackend()
        )

    @classmethod
    def from_config(cls, url: str, *, connect_timeout_s: float = 1.0) -> Self:
        """Construct from settings; see the class for parameters."""
        return cls(url, connect_timeout_s=connect_timeout_s)

    @property
    def is_reusable(self) -> bool:
        """Whether the last response left the connection open for another request."""
        return self._connection.is_available()

    @property
    def is_ended_by_peer(self) -> bool:
        """Whether the server has closed the connection while no request was sent."""
        return self._connection.has_expired()

    async def get(self) -> HttpResponse | RequestFailed:
        """Send a GET request and read the complete response, without a timeout."""
        request = new_request(
            "GET",
            self._url,
            connect_timeout_s=self._connect_timeout_s,
            read_timeout_s=None,
        )
        return await exchange(self._connection, request)

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.aclose()
