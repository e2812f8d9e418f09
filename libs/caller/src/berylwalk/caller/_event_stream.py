"""Server-sent events, split at event boundaries."""

import re

import msgspec

from berylwalk.caller._errors import ErrorDocument

CONTENT_TYPE = b"text/event-stream"
MAX_BUFFERED_EVENT_BYTES = 64 * 1024

_TAIL_BYTES = 64
_DONE = b"[DONE]"
_DONE_FIELD = b"data:"
_DONE_LINE = re.compile(rb"(?:^|[\r\n])data: ?\[DONE\]\s*\Z")


def is_event_stream(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a response with these headers is an event stream."""
    return any(
        name == b"content-type" and value.lower().startswith(CONTENT_TYPE)
        for name, value in headers
    )


class EventSplitter:
    """Buffers a partial event until the event is complete.

    A stream that breaks then ends between two events, so that an error event can
    follow. An event above `MAX_BUFFERED_EVENT_BYTES` is forwarded in pieces. The last
    event, ``data: [DONE]``, is buffered until the stream is known to be complete,
    because many clients stop reading there.
    """

    def __init__(self) -> None:
        self._buffered = b""
        self._tail = b""

    @property
    def ends_with_done(self) -> bool:
        """Whether the last event so far is ``data: [DONE]``."""
        return _DONE_LINE.search(self._tail) is not None

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes and return those that may be forwarded now."""
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]
        pending = self._buffered + chunk if self._buffered else chunk
        end = self._sendable_length(pending)
        self._buffered = pending[end:]
        return pending[:end]

    def flush(self) -> bytes:
        """Return the buffered bytes, at the end of a complete stream."""
        buffered, self._buffered = self._buffered, b""
        return buffered

    def _sendable_length(self, pending: bytes) -> int:
        done = self._start_of_done(pending)
        if done is not None:
            return done
        end = _end_of_last_event(pending)
        if len(pending) - end > MAX_BUFFERED_EVENT_BYTES:
            return len(pending)
        return end

    def _start_of_done(self, pending: bytes) -> int | None:
        if _DONE not in self._tail or not self.ends_with_done:
            return None
        start = pending.rfind(_DONE_FIELD)
        return start if start >= 0 else None


def error_event(document: ErrorDocument) -> bytes:
    """Return the event that reports an incomplete stream to the caller."""
    return b"event: error\ndata: " + msgspec.json.encode(document) + b"\n\n"


def _end_of_last_event(pending: bytes) -> int:
    if pending.endswith(b"\n\n"):
        return len(pending)
    after_lf = pending.rfind(b"\n\n")
    after_crlf = pending.rfind(b"\n\r\n")
    return max(
        after_lf + 2 if after_lf >= 0 else 0, after_crlf + 3 if after_crlf >= 0 else 0
    )
