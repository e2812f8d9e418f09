"""Typed helpers for ASGI applications."""

from collections.abc import Awaitable, Callable, Iterable, Mapping, MutableMapping
from enum import StrEnum
from typing import Any

import anyio
import msgspec

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
Header = tuple[bytes, bytes]

JSON_CONTENT_TYPE = b"application/json"


class AbortConnection(Exception):  # noqa: N818 - control flow, not an error
    """Raised by an application to close the connection immediately.

    No terminating chunk is sent, so that the client detects that a response in
    progress is incomplete.
    """


class BodyFailure(StrEnum):
    """Reason why a request body could not be read."""

    TOO_LARGE = "too_large"
    TIMED_OUT = "timed_out"
    DISCONNECTED = "disconnected"


def read_headers(scope: Scope) -> dict[str, str]:
    """Return the headers of a request by lower-case name.

    The values of repeated headers are joined with ``", "``.

    Parameters
    ----------
    scope : mapping
        ASGI HTTP scope.

    Returns
    -------
    dict of str to str
        Values by lower-case name.
    """
    values_by_name: dict[str, str] = {}
    for raw_name, raw_value in scope["headers"]:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1")
        previous = values_by_name.get(name)
        values_by_name[name] = value if previous is None else f"{previous}, {value}"
    return values_by_name


async def read_body(
    receive: Receive, max_bytes: int, timeout_s: float
) -> bytes | BodyFailure:
    """Read a whole request body.

    Parameters
    ----------
    receive : callable
        ASGI receive callable.
    max_bytes : int
        Largest body accepted, in bytes.
    timeout_s : float
        Timeout for the whole body, in seconds.

    Returns
    -------
    bytes or BodyFailure
        The body, or the reason why it could not be read.
    """
    parts: list[bytes] = []
    size = 0
    with anyio.move_on_after(timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return BodyFailure.DISCONNECTED
            part = message.get("body", b"")
            size += len(part)
            if size > max_bytes:
                return BodyFailure.TOO_LARGE
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)
    return BodyFailure.TIMED_OUT


async def send_start(send: Send, status: int, headers: Iterable[Header] = ()) -> None:
    """Send the status and headers of a response.

    Parameters
    ----------
    send : callable
        ASGI send callable.
    status : int
        HTTP status code.
    headers : iterable of (bytes, bytes)
        Lower-case names and values. Without ``content-length`` the body is sent
        with chunked encoding.
    """
    await send(
        {"type": "http.response.start", "status": status, "headers": list(headers)}
    )


async def send_chunk(send: Send, chunk: bytes) -> None:
    """Send a part of the body that is not the last.

    Parameters
    ----------
    send : callable
        ASGI send callable.
    chunk : bytes
        The part, sent unchanged.
    """
    await send({"type": "http.response.body", "body": chunk, "more_body": True})


async def send_end(send: Send, chunk: bytes = b"") -> None:
    """Send the last part of the body and end the response.

    Parameters
    ----------
    send : callable
        ASGI send callable.
    chunk : bytes, optional
        The last part.
    """
    await send({"type": "http.response.body", "body": chunk, "more_body": False})


async def send_json(
    send: Send,
    status: int,
    document: object,
    headers: Mapping[str, str] | None = None,
) -> None:
    """Send a complete JSON response.

    Parameters
    ----------
    send : callable
        ASGI send callable.
    status : int
        HTTP status code.
    document : object
        Any value that msgspec can encode.
    headers : mapping of str to str, optional
        Additional headers.
    """
    body = msgspec.json.encode(document)
    raw_headers: list[Header] = [
        (b"content-type", JSON_CONTENT_TYPE),
        (b"content-length", str(len(body)).encode()),
    ]
    for name, value in (headers or {}).items():
        raw_headers.append((name.lower().encode("latin-1"), value.encode("latin-1")))
    await send_start(send, status, raw_headers)
    await send_end(send, body)
