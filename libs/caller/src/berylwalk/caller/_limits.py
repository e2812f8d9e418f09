"""Limits of the caller API and its memory budget."""

from dataclasses import dataclass
from typing import Self

from berylwalk.settings import CallerSection

MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits of the caller API.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of a request body.
    max_total_held_bytes : int
        Maximum size of the request bodies and buffered responses of all requests
        together.
    max_buffered_bytes : int
        Maximum size of a buffered response; larger responses are streamed.
    body_timeout_s : float
        Timeout for receiving a body. It must be below the timeout of the HTTP
        server, which closes the connection without a response.
    write_timeout_s : float
        Time after which a caller that leaves sent bytes unread counts as disconnected.
    max_deadline_s : float
        Maximum deadline that a caller may request.
    max_key_length : int
        Maximum length of ``Idempotency-Key``, in characters.
    max_forwarded_header_bytes : int
        Maximum size of the path and headers for a target, in bytes. With the grant
        they must fit into the agents' limit on headers.
    max_choices : int
        Maximum number of outputs of one model call.
    retry_after_ms : int
        Retry delay sent to callers when the refusal has none.
    retry_jitter : float
        Maximum random addition, as a fraction of the retry delay, from 0 to 1.
    """

    max_body_bytes: int = 8 * MEBIBYTE
    max_total_held_bytes: int = 512 * MEBIBYTE
    max_buffered_bytes: int = 1 * MEBIBYTE
    body_timeout_s: float = 30.0
    write_timeout_s: float = 60.0
    max_deadline_s: float = 24 * 3600.0
    max_key_length: int = 255
    max_forwarded_header_bytes: int = 16 * 1024
    max_choices: int = 128
    retry_after_ms: int = 1000
    retry_jitter: float = 0.25

    @classmethod
    def from_config(cls, section: CallerSection) -> Self:
        """Construct from the settings file; other limits keep their defaults."""
        return cls(
            max_body_bytes=section.max_body_bytes,
            body_timeout_s=section.body_timeout_s,
        )


class ByteBudget:
    """Limit on the bytes held by all requests together.

    Parameters
    ----------
    max_bytes : int
        The limit.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes held at present."""
        return self._held

    def reservation(self) -> "ByteReservation":
        """Return an empty reservation for one request."""
        return ByteReservation(self)

    def _grow(self, size: int) -> bool:
        if self._held + size > self._max_bytes:
            return False
        self._held += size
        return True

    def _release(self, size: int) -> None:
        self._held -= size


class ByteReservation:
    """Bytes that one request reserves of the common budget."""

    def __init__(self, total: ByteBudget) -> None:
        self._total = total
        self._size = 0

    def grow(self, size: int) -> bool:
        """Reserve `size` bytes; return False without effect when over the limit."""
        if not self._total._grow(size):
            return False
        self._size += size
        return True

    def close(self) -> None:
        """Return all bytes to the budget."""
        self._total._release(self._size)
        self._size = 0
