"""Writes the response to a caller across several attempts."""

from collections.abc import Callable

from berylwalk.direct._event_order import EventOrder
from berylwalk.forwarding import (
    CallerConnection,
    Event,
    Headers,
    end_to_end,
    header_value,
)


class ResponseWriter:
    """Forwards complete events in order and without duplicates.

    Parameters
    ----------
    connection : CallerConnection
        Connection to the caller.
    last_event_id : int
        Id of the last event that the caller has received before.

    Attributes
    ----------
    started : bool
        Whether the response head has been sent.
    event_order : EventOrder
        Decides which events are sent.
    """

    def __init__(self, connection: CallerConnection, *, last_event_id: int) -> None:
        self._connection = connection
        self.event_order = EventOrder(last_event_id)
        self.started = False
        self.events = 0
        self._is_held = False
        self._held_head: tuple[int, Headers] | None = None
        self._held_events: list[bytes] = []

    @property
    def is_writable(self) -> bool:
        """Whether the caller's receive buffer has room."""
        return self._connection.is_writable

    @property
    def last_event_id(self) -> int:
        """Id of the last event that the caller has."""
        return self.event_order.last_event_id

    def begin_stream(self) -> None:
        """Begin the events of another target."""
        self.event_order.begin_attempt(is_continuation=self.started)

    def set_on_writable(self, callback: Callable[[bool], None] | None) -> None:
        """Set the callback for changes of `is_writable`; None removes it."""
        self._connection.on_writable = callback

    def write_events(self, status: int, headers: Headers, events: list[Event]) -> None:
        """Send the events that the caller does not have yet.

        The response head is that of the first attempt that yields an event.

        Raises
        ------
        EventOrderError
            If an event does not follow those before; they are sent.
        """
        data = []
        try:
            for event in events:
                if self.event_order.is_next(event):
                    data.append(event.data)
        finally:
            if data:
                self._write(status, headers, data)

    def _write(self, status: int, headers: Headers, data: list[bytes]) -> None:
        if not self.started:
            self.started = True
            self._start_stream(status, headers)
        self.events += len(data)
        if self._is_held:
            self._held_events += data
        else:
            self._connection.write(b"".join(data))

    def hold(self) -> None:
        """Keep what is written from now on, until `release` is called.

        Events count as those that the caller has: they are sent in any case, unless the
        caller has left.
        """
        self._is_held = True

    def release(self) -> None:
        """Send what is held."""
        if not self._is_held:
            return
        self._is_held = False
        head, self._held_head = self._held_head, None
        events, self._held_events = self._held_events, []
        if head is not None:
            self._connection.start_stream(*head)
        if events:
            self._connection.write(b"".join(events))

    def discard(self) -> None:
        """Drop what is held: its caller has left, or has been answered."""
        self._is_held = False
        self._held_head = None
        self._held_events = []

    def _start_stream(self, status: int, headers: Headers) -> None:
        if self._is_held:
            self._held_head = (status, end_to_end(headers))
        else:
            self._connection.start_stream(status, end_to_end(headers))

    def end(self, status: int, headers: Headers) -> None:
        """Complete the stream."""
        self.release()
        if not self.started:
            self.started = True
            self._start_stream(status, headers)
        self._connection.end_stream()

    def write_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response, with the length that its target has stated."""
        self.release()
        self.started = True
        if self._connection.ends_with_head(status):
            length = header_value(headers, b"content-length")
            self._connection.respond_with_head(status, end_to_end(headers), length)
        else:
            self._connection.respond(status, end_to_end(headers), body)

    def truncate_response(self) -> None:
        """Truncate a stream that can't be completed."""
        self.release()
        self._connection.truncate_response()
