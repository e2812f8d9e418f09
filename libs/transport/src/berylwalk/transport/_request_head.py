"""Encoding of the request line and headers."""

import re
from collections.abc import Iterable

import httpcore

from berylwalk.transport._asgi import Header

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_TARGET = re.compile(rb"[\x21-\x7e]+")


def host_header(url: httpcore.URL) -> bytes:
    """Return the value of the Host header.

    Parameters
    ----------
    url : httpcore.URL
        URL of the request.
    """
    return url.host if url.port is None else b"%s:%d" % (url.host, url.port)


def request_head(
    method: str, url: httpcore.URL, headers: Iterable[Header], body_size: int
) -> bytes:
    """Return the encoded request line and headers of an HTTP/1.1 request.

    Parameters
    ----------
    method : str
        HTTP method.
    url : httpcore.URL
        URL of the request.
    headers : iterable of (bytes, bytes)
        Names and values; ``host`` and ``content-length`` are added.
    body_size : int
        Length of the body, in bytes.

    Raises
    ------
    ValueError
        If the method, the request target or a header contains characters that
        are not allowed there, such as line breaks.
    """
    method_bytes = method.encode("ascii")
    if not (_NAME.fullmatch(method_bytes) and _TARGET.fullmatch(url.target)):
        raise ValueError("invalid method or request target")
    lines = [
        b"%s %s HTTP/1.1" % (method_bytes, url.target),
        b"host: " + host_header(url),
        b"content-length: %d" % body_size,
    ]
    for name, value in headers:
        if not (_NAME.fullmatch(name) and _VALUE.fullmatch(value)):
            raise ValueError(f"invalid header {name!r}")
        lines.append(name + b": " + value)
    return b"\r\n".join(lines) + b"\r\n\r\n"
