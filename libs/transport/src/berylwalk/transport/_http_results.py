"""Results of requests of the HTTP client."""

from dataclasses import dataclass
from enum import StrEnum


class SendState(StrEnum):
    """Whether the peer may have received a request that failed.

    ``NOT_SENT``: no byte of the request was sent. ``OUTCOME_UNKNOWN``: the peer
    may have received and executed the request.
    """

    NOT_SENT = "not_sent"
    OUTCOME_UNKNOWN = "lost"


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """Failure of a request without a complete response.

    Parameters
    ----------
    state : SendState
        Whether the peer may have received the request.
    reason : str
        Description of the error, for the logs.
    """

    state: SendState
    reason: str


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Values by lower-case name.
    body : bytes
        The complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
