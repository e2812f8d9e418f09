"""Splitting of a ``text/event-stream`` into events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of one event."""


MAX_ID_DIGITS = 18
"""Digits of an id beyond which it is no number."""


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Parameters
    ----------
    event_id : int or None
        Value of the ``id`` field, if it is a number.
    data : bytes
        The event as received, including the empty line at its end.
    """

    event_id: int | None
    data: bytes

    @property
    def has_data(self) -> bool:
        """Whether it has a ``data`` field; without one it is only a comment."""
        return self.data.startswith(b"data") or b"\ndata" in self.data


class EventSplitter:
    """Splits the body of an event stream into complete events.

    An event that the target does not complete is never returned.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add data and return the events that it completes.

        Raises
        ------
        ValueError
            If an incomplete event exceeds the maximum size.
        """
        data = self._buffer + data
        events = []
        start = 0
        while True:
            end = _event_end(data, start)
            if end < 0:
                break
            event_bytes = data[start:end]
            events.append(Event(_event_id(event_bytes), event_bytes))
            start = end
        self._buffer = data[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event exceeds the maximum size and has no end")
        return events


def _event_end(data: bytes, start: int) -> int:
    lf_end = data.find(b"\n\n", start)
    crlf_end = data.find(b"\r\n\r\n", start)
    if lf_end < 0 and crlf_end < 0:
        return -1
    if crlf_end < 0 or 0 <= lf_end < crlf_end:
        return lf_end + 2
    return crlf_end + 4


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            is_number = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_number else None
    return None
