"""Encoding of request and response heads, and helpers for headers."""

from collections.abc import Iterable
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]
"""Header names and values in order, names with their original case."""

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
"""Hop-by-hop headers, and headers that depend on the framing of the message."""

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of final responses that never have a body."""
REASON_BY_STATUS = {status.value: status.phrase.encode() for status in HTTPStatus}


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers to forward to the next hop."""
    headers = list(headers)
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    # Only extension headers may be declared hop-by-hop: callers must not be able to
    # remove other headers this way.
    named = {name for name in named if name.startswith(b"x-hop-")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    ]


def request_head(
    method: bytes, target: bytes, headers: Headers, *, version: bytes = b"1.1"
) -> bytes:
    """Encode the head of a request."""
    lines = [b"%s %s HTTP/%s\r\n" % (method, target, version)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    lines.append(b"\r\n")
    return b"".join(lines)


def response_head(status: int, headers: Headers) -> bytes:
    """Encode the head of a response."""
    reason = REASON_BY_STATUS.get(status, b"")
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    lines.append(b"\r\n")
    return b"".join(lines)


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header with a lower-case name, or None."""
    for each, value in headers:
        if each.lower() == name:
            return value
    return None


def is_encoded(headers: Headers) -> bool:
    """Return whether a head states a transfer encoding, such as ``chunked``."""
    return header_value(headers, b"transfer-encoding") is not None


def states_body(headers: Headers) -> bool:
    """Return whether a head states a body that is not empty."""
    length = header_value(headers, b"content-length")
    has_length = length is not None and length.strip(b" \t0") != b""
    return has_length or is_encoded(headers)
