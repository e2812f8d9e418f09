"""Headers that go to the target and back."""

from collections.abc import Mapping

from berylwalk.transport import Header
from berylwalk.wire import Grant

GRANT_HEADER = "berylwalk-grant"
REFUSED_HEADER = "berylwalk-refused"
REQUEST_ID_HEADER = b"berylwalk-request-id"
TRACEPARENT_HEADER = b"traceparent"
DISPATCHED = (b"berylwalk-dispatched", b"1")
RESERVED_PREFIX = "berylwalk-"

_NOT_TO_TARGET = frozenset(
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
_NOT_TO_ROUTER = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"}
)


def target_headers(grant: Grant, traceparent: str) -> list[Header]:
    """Return the headers of the call to the target.

    Parameters
    ----------
    grant : Grant
        The call.
    traceparent : str
        W3C trace context of the hop.
    """
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in grant.headers
        if _is_forwarded(name, _NOT_TO_TARGET)
    ]
    headers.append((REQUEST_ID_HEADER, str(grant.request_id).encode("latin-1")))
    if traceparent:
        headers.append((TRACEPARENT_HEADER, traceparent.encode("latin-1")))
    return headers


def response_headers(headers: Mapping[str, str]) -> list[Header]:
    """Return the headers of the answer to the router.

    Parameters
    ----------
    headers : mapping of str to str
        The target's, by lower-case name.
    """
    passed = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
        if _is_forwarded(name, _NOT_TO_ROUTER)
    ]
    return [DISPATCHED, *passed]


def _is_forwarded(name: str, withheld: frozenset[str]) -> bool:
    lower = name.lower()
    return lower not in withheld and not lower.startswith(RESERVED_PREFIX)
