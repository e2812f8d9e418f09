"""Relays the target's response to the caller."""

from enum import Enum, auto

from berylwalk.caller._errors import (
    AGENT_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    ErrorDocument,
)
from berylwalk.caller._event_stream import EventSplitter, error_event, is_event_stream
from berylwalk.caller._headers import response_headers
from berylwalk.caller._interfaces import Clock
from berylwalk.caller._limits import ByteReservation, CallerLimits
from berylwalk.model import Outcome
from berylwalk.transport import (
    AbortConnection,
    Send,
    chunk_sender,
    send_chunk,
    send_end,
    send_start,
)

OUTCOME_STREAMING = "streaming"
_OK = 200
_BODILESS_STATUS = frozenset({204, 304})


class _Mode(Enum):
    """How the response is relayed."""

    EMPTY = auto()
    """Nothing was received from the target yet."""

    BUFFERED = auto()
    """Buffered until complete; nothing was sent to the caller yet."""

    EVENTS = auto()
    """An event stream, sent to the caller as it is received."""

    BYTES = auto()
    """Too large to buffer; sent to the caller as it is received."""


class Relay:
    """Response sink of one request.

    Event streams are forwarded at once. Other responses are buffered, so that status
    and outcome header reflect the final outcome; those over the limit are forwarded
    as they are received.

    Parameters
    ----------
    send : callable
        ASGI send callable.
    request_id : str
        Request id, sent to the caller in a header.
    method : str
        HTTP method of the caller's request.
    needs_done : bool
        Whether a complete event stream has to end with a ``[DONE]`` event.
    limits : CallerLimits
        Maximum size of a buffered response, and write timeout.
    reservation : ByteReservation
        Budget for the buffered bytes.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        send: Send,
        *,
        request_id: str,
        method: str,
        needs_done: bool,
        limits: CallerLimits,
        reservation: ByteReservation,
        clock: Clock,
    ) -> None:
        self._send = send
        self._sender = chunk_sender(send)
        self._request_id = request_id
        self._method = method
        self._needs_done = needs_done
        self._limits = limits
        self._share = reservation
        self._clock = clock
        self._mode = _Mode.EMPTY
        self._status = 0
        self._agent = ""
        self._headers: list[tuple[bytes, bytes]] = []
        self._expected_size: int | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._events = EventSplitter()
        self._sending_since: float | None = None

    @property
    def status(self) -> int:
        """Status of the target's response, or 0 before it is known."""
        return self._status

    @property
    def has_sent_bytes(self) -> bool:
        """Whether a part of the response was sent to the caller."""
        return self._mode in (_Mode.EVENTS, _Mode.BYTES)

    def is_stalled(self) -> bool:
        """Return whether the pending write exceeds the write timeout."""
        if self._sending_since is None:
            return False
        return self._clock() - self._sending_since > self._limits.write_timeout_s

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...], agent: str
    ) -> None:
        """Receive the target's status and headers."""
        self._status = status
        self._agent = agent
        self._headers = response_headers(headers)
        self._mode = _Mode.BUFFERED
        if is_event_stream(self._headers) and self._has_body():
            self._mode = _Mode.EVENTS
            await self._send_start(OUTCOME_STREAMING)
            return
        self._expected_size = _content_length(headers) if self._has_body() else None

    async def chunk(self, body: bytes) -> None:
        """Receive a piece of the body."""
        self._size += len(body)
        if self._mode is _Mode.EVENTS:
            await self._send_chunk(self._events.feed(body))
        elif self._mode is _Mode.BYTES:
            await self._send_chunk(body)
        else:
            await self._buffer(body)

    def try_chunk(self, body: bytes) -> bool:
        """Receive a piece of the body if it can be forwarded without waiting.

        Returns
        -------
        bool
            False, without effect, when `chunk` has to be called instead.
        """
        sender = self._sender
        if sender is None or not self.has_sent_bytes or not sender.is_ready():
            return False
        self._size += len(body)
        is_events = self._mode is _Mode.EVENTS
        sender.write(self._events.feed(body) if is_events else body)
        return True

    def is_complete(self) -> bool:
        """Return whether the received response can be complete."""
        if self._mode is _Mode.EMPTY:
            return False
        if self._mode is _Mode.EVENTS:
            return self._events.ends_with_done or not self._requires_done()
        return self._expected_size in (None, self._size)

    async def complete(self) -> None:
        """Send the buffered bytes and terminate the response."""
        if self._mode is _Mode.EVENTS:
            await send_end(self._send, self._events.flush())
        elif self._mode is _Mode.BYTES:
            await send_end(self._send)
        else:
            await self._send_buffered()

    async def abort(self, document: ErrorDocument) -> None:
        """Cut off a response that has begun.

        Raises
        ------
        AbortConnection
            Always, so that the response is not terminated.
        """
        if self._mode is _Mode.EVENTS:
            await self._send_chunk(error_event(document))
        raise AbortConnection

    def _requires_done(self) -> bool:
        return self._needs_done and self._status == _OK

    def _has_body(self) -> bool:
        return self._method != "HEAD" and self._status not in _BODILESS_STATUS

    async def _buffer(self, body: bytes) -> None:
        self._parts.append(body)
        fits = self._size <= self._limits.max_buffered_bytes
        if fits and self._share.grow(len(body)):
            return
        self._mode = _Mode.BYTES
        if self._expected_size is not None:
            self._headers.append(_content_length_header(self._expected_size))
        await self._send_start(OUTCOME_STREAMING)
        parts, self._parts = self._parts, []
        await self._send_chunk(b"".join(parts))

    async def _send_buffered(self) -> None:
        if self._has_body():
            self._headers.append(_content_length_header(self._size))
        await self._send_start(Outcome.COMPLETE.value)
        await send_end(self._send, b"".join(self._parts))

    async def _send_start(self, outcome: str) -> None:
        self._headers.append((REQUEST_ID_HEADER.encode(), self._request_id.encode()))
        self._headers.append((OUTCOME_HEADER.encode(), outcome.encode()))
        if self._agent:
            self._headers.append((AGENT_HEADER.encode(), self._agent.encode()))
        await send_start(self._send, self._status, self._headers)

    async def _send_chunk(self, chunk: bytes) -> None:
        if not chunk:
            return
        self._sending_since = self._clock()
        await send_chunk(self._send, chunk)
        self._sending_since = None


def _content_length(headers: tuple[tuple[bytes, bytes], ...]) -> int | None:
    for name, value in headers:
        if name.lower() == b"content-length" and value.isdigit():
            return int(value)
    return None


def _content_length_header(size: int) -> tuple[bytes, bytes]:
    return (b"content-length", str(size).encode())
