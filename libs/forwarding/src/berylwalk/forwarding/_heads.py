"""Heads of requests and answers as bytes."""

from collections.abc import Iterable
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]
"""Names as they came and values, in order."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that concern one connection, and those that framing replaces."""

REASON_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that are passed on to the next hop."""
    headers = list(headers)
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    # Only headers of extensions may be named as those of one connection; a
    # caller must not have others removed that way.
    named = {name for name in named if name.startswith(b"x-hop-")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    ]


def request_head(method: bytes, target: bytes, headers: Headers) -> bytes:
    """Return the head of a request."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    lines.append(b"\r\n")
    return b"".join(lines)


def response_head(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    reason = REASON_BY_STATUS.get(status, b"")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    lines.append(b"\r\n")
    return b"".join(lines)


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, by its lower-case name."""
    for each, value in headers:
        if each.lower() == name:
            return value
    return None
