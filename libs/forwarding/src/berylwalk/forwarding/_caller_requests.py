"""Requests of callers, complete and while they are read, and their limits."""

from dataclasses import dataclass, field

from berylwalk.forwarding._heads import Headers
from berylwalk.quarantine import BodyHash


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the size and duration of requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True)
class CallerRequest:
    """One complete request of a caller.

    Attributes
    ----------
    method, target : bytes
        From the request line.
    headers : list of (bytes, bytes)
        As received, without trailers.
    body : bytes
        Decoded body.
    body_digest : bytes
        Hash of the body.
    arrived_at : float
        Time of the event loop when the last byte was read.
    read_delay_s : float
        Longest time from the arrival of its first byte until `arrived_at`, in seconds.
        The caller's time limit runs meanwhile.
    keep_alive : bool
        Whether the caller keeps the connection open.
    http_1_0 : bool
        Whether the caller speaks HTTP/1.0.
    served_before : int
        Requests that were answered before on its connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_digest: bytes
    arrived_at: float
    keep_alive: bool
    http_1_0: bool = False
    read_delay_s: float = 0.0
    served_before: int = 0

    @property
    def is_head(self) -> bool:
        """Whether its response ends with the head."""
        return self.method == b"HEAD"


@dataclass(slots=True)
class PartialRequest:
    """State of a request that is being read."""

    started_at: float
    ready_since: float
    """Earliest time at which its first byte can have arrived."""
    target: bytearray = field(default_factory=bytearray)
    headers: Headers = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_hash: BodyHash = field(default_factory=BodyHash)
    body_bytes: int = 0
    head_done: bool = False
    awaits_continue: bool = False
    """Whether the caller may wait for an interim response before it sends the body."""


class RestOfConnectionError(Exception):
    """What follows the last request on a connection; it is not read."""


class InvalidRequestError(Exception):
    """Raised in a parser callback; ``status`` is the status of the response."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status
