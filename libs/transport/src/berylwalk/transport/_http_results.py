"""What becomes of a request of the HTTP client."""

from dataclasses import dataclass
from enum import StrEnum


class SendState(StrEnum):
    """What is known about a request that failed.

    ``NOT_SENT``: not a byte left this process. ``OUTCOME_UNKNOWN``: the peer may have
    received and acted on it.
    """

    NOT_SENT = "not_sent"
    OUTCOME_UNKNOWN = "lost"


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request without a response.

    Parameters
    ----------
    state : SendState
        Whether the peer may have received it.
    reason : str
        The error, for the logs.
    """

    state: SendState
    reason: str


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Values by lower-case name.
    body : bytes
        The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
