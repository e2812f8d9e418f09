"""Headers of requests to the target and of responses to the router."""

from collections.abc import Mapping

from berylwalk.transport import Header
from berylwalk.wire import Grant

GRANT_HEADER = "berylwalk-grant"
REFUSED_HEADER = "berylwalk-refused"
REQUEST_ID_HEADER = b"berylwalk-request-id"
TRACEPARENT_HEADER = b"traceparent"
DISPATCHED_HEADER = (b"berylwalk-dispatched", b"1")
RESERVED_PREFIX = "berylwalk-"

_NOT_FORWARDED_TO_TARGET = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "traceparent",
        "transfer-encoding",
        "upgrade",
    }
)
_NOT_FORWARDED_TO_ROUTER = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"}
)


def target_headers(grant: Grant, traceparent: str) -> list[Header]:
    """Return the headers of the request to the target.

    Parameters
    ----------
    grant : Grant
        Grant of the request.
    traceparent : str
        W3C trace context of the span.
    """
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in grant.headers
        if _is_forwarded(name, _NOT_FORWARDED_TO_TARGET)
    ]
    headers.append((REQUEST_ID_HEADER, str(grant.request_id).encode("latin-1")))
    if traceparent:
        headers.append((TRACEPARENT_HEADER, traceparent.encode("latin-1")))
    return headers


def response_headers(headers: Mapping[str, str]) -> list[Header]:
    """Return the headers of the response to the router.

    Parameters
    ----------
    headers : mapping of str to str
        Response headers of the target, by lower-case name.
    """
    forwarded = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
        if _is_forwarded(name, _NOT_FORWARDED_TO_ROUTER)
    ]
    return [DISPATCHED_HEADER, *forwarded]


def _is_forwarded(name: str, excluded: frozenset[str]) -> bool:
    lower = name.lower()
    return lower not in excluded and not lower.startswith(RESERVED_PREFIX)
