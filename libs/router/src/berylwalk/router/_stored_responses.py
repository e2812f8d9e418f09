"""Small responses, stored for replay to requests with the same idempotency key."""

import msgspec

MAX_STORED_BYTES = 16 * 1024
"""Maximum size of a stored response body."""

REPLAYED_HEADER = (b"berylwalk-replayed", b"true")
"""Marks a response as the replay of an earlier request's response."""

Header = tuple[bytes, bytes]


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """A complete response of a target.

    Parameters
    ----------
    status : int
        HTTP status of the target.
    headers : tuple of (bytes, bytes)
        Headers as passed to the sink.
    body : bytes
        The whole body.
    agent : str
        Node identifier of the agent that dispatched the request.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    agent: str = ""

    def replay_headers(self) -> tuple[Header, ...]:
        """Return the headers with the replay marker."""
        return (*self.headers, REPLAYED_HEADER)


class ResponseCopy:
    """Copy of a streamed response, discarded if the body is too large.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the body, in bytes.
    """

    def __init__(self, max_bytes: int = MAX_STORED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._parts: list[bytes] | None = []
        self._size = 0

    def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Store the status and headers."""
        self._status = status
        self._headers = headers

    def chunk(self, body: bytes) -> None:
        """Append a chunk of the body, unless the copy was discarded."""
        if self._parts is None:
            return
        self._size += len(body)
        if self._size > self._max_bytes:
            self._parts = None
            return
        self._parts.append(body)

    def stored(self, agent: str) -> StoredResponse | None:
        """Return the complete response, or None if it is too large to store."""
        if self._parts is None:
            return None
        return StoredResponse(self._status, self._headers, b"".join(self._parts), agent)
