"""Requests over httpcore, whose failures are returned as values."""

from collections.abc import Iterable

import anyio
import httpcore

from berylwalk.transport._asgi import Header
from berylwalk.transport._http_results import HttpResponse, RequestFailed, SendState
from berylwalk.transport._request_head import host_header
from berylwalk.transport._response_connection import format_error

# Raised only before the first byte of the request is written.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)

_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def new_request(
    method: str,
    url: str,
    *,
    headers: Iterable[Header] = (),
    body: bytes = b"",
    connect_timeout_s: float,
    read_timeout_s: float | None,
) -> httpcore.Request:
    """Return a request with its ``host`` and ``content-length`` headers.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        ``http://`` URL whose host is an IP address.
    headers : iterable of (bytes, bytes)
        Further names and values.
    body : bytes
        The complete body.
    connect_timeout_s : float
        Timeout for a connection, in seconds.
    read_timeout_s : float or None
        Timeout for each wait for data, in seconds; None for no timeout.
    """
    parsed_url = httpcore.URL(url)
    timeouts = {
        "connect": connect_timeout_s,
        "pool": connect_timeout_s,
        "read": read_timeout_s,
    }
    return httpcore.Request(
        method,
        parsed_url,
        headers=[
            (b"host", host_header(parsed_url)),
            (b"content-length", str(len(body)).encode()),
            *headers,
        ],
        content=body,
        extensions={"timeout": timeouts},
    )


async def exchange(
    sender: httpcore.AsyncConnectionInterface, request: httpcore.Request
) -> HttpResponse | RequestFailed:
    """Send a request and read the complete response.

    Parameters
    ----------
    sender : httpcore.AsyncConnectionInterface
        Connection or pool of connections.
    request : httpcore.Request
        The request.

    Returns
    -------
    HttpResponse or RequestFailed
        The response or the failure; a truncated body is a failure with
        `SendState.OUTCOME_UNKNOWN`.
    """
    response = await _send(sender, request)
    if isinstance(response, RequestFailed):
        return response
    try:
        content = await response.aread()
    except _NETWORK_ERRORS as error:
        return RequestFailed(SendState.OUTCOME_UNKNOWN, format_error(error))
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()
    return HttpResponse(response.status, _decode(response.headers), content)


async def _send(
    sender: httpcore.AsyncConnectionInterface, request: httpcore.Request
) -> httpcore.Response | RequestFailed:
    try:
        return await sender.handle_async_request(request)
    except _NOT_SENT_ERRORS as error:
        return RequestFailed(SendState.NOT_SENT, format_error(error))
    except _NETWORK_ERRORS as error:
        return RequestFailed(SendState.OUTCOME_UNKNOWN, format_error(error))


def _decode(headers: Iterable[Header]) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in headers
    }
