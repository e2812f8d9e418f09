"""Requests and responses of the administration API."""

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from dataclasses import dataclass, field
from typing import Any

MAX_BODY_BYTES = 2 * 1024 * 1024
BODY_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class AdminCall:
    """One authenticated request.

    Parameters
    ----------
    author : str
        Operator that sends it, identified by its token.
    argument : str
        Last segment of the path if it is a parameter of the route, else empty.
    query : mapping of str to str
        Query parameters.
    headers : mapping of str to str
        Headers by lower-case name.
    body : bytes
        The complete body.
    """

    author: str
    argument: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """A successful response.

    Parameters
    ----------
    document : object
        Object that msgspec encodes as JSON, or plain text.
    headers : mapping of str to str
        Further headers.
    """

    document: object
    headers: Mapping[str, str] = field(default_factory=dict)


Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]
Handler = Callable[[AdminCall], Awaitable[Response]]
RouteKey = tuple[str, str]
"""Method and path; a path that ends with a slash has a parameter as last segment."""
