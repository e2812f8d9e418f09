"""Whole events of a ``text/event-stream``."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
"""An event longer than this is no event of a target."""


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Parameters
    ----------
    event_id : int or None
        Its id, if it is a number.
    data : bytes
        The event as it came, with the empty line at its end.
    """

    event_id: int | None
    data: bytes


class EventSplitter:
    """Cuts the body of a stream into whole events.

    A target may stop in the middle of an event; what was not completed is
    never passed on.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether a part of an event is left."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete now.

        Raises
        ------
        ValueError
            If an event is longer than any that a target sends.
        """
        data = self._rest + data
        events = []
        start = 0
        while True:
            end = _event_end(data, start)
            if end < 0:
                break
            whole = data[start:end]
            events.append(Event(_event_id(whole), whole))
            start = end
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event has no end")
        return events


def _event_end(data: bytes, start: int) -> int:
    plain = data.find(b"\n\n", start)
    crlf = data.find(b"\r\n\r\n", start)
    if plain < 0 and crlf < 0:
        return -1
    if crlf < 0 or 0 <= plain < crlf:
        return plain + 2
    return crlf + 4


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
