"""The caller's side of one answer, over several attempts."""

from collections.abc import Callable

from berylwalk.forwarding import CallerConnection, Event, Headers, end_to_end


class ResponseWriter:
    """Passes whole events on, in order and each once.

    Parameters
    ----------
    connection : CallerConnection
        The caller.
    last_event_id : int
        Last event that the caller has.

    Attributes
    ----------
    started : bool
        Whether the caller has got the head of the answer.
    last_event_id : int
        Last event passed on, or that the caller had before.
    """

    def __init__(self, connection: CallerConnection, *, last_event_id: int) -> None:
        self._connection = connection
        self.last_event_id = last_event_id
        self.started = False
        self.events = 0

    @property
    def is_writable(self) -> bool:
        """Whether the caller keeps up."""
        return self._connection.is_writable

    def set_on_writable(self, callback: Callable[[bool], None] | None) -> None:
        """Have changes of `is_writable` told."""
        self._connection.on_writable = callback

    def write_events(self, status: int, headers: Headers, events: list[Event]) -> None:
        """Send events that the caller does not have yet.

        The head is that of the first attempt that brought an event.
        """
        data = []
        for event in events:
            if event.event_id is not None:
                if event.event_id <= self.last_event_id:
                    continue
                self.last_event_id = event.event_id
            data.append(event.data)
        if not data:
            return
        if not self.started:
            self.started = True
            self._connection.start_stream(status, end_to_end(headers))
        self.events += len(data)
        self._connection.write(b"".join(data))

    def end(self, status: int, headers: Headers) -> None:
        """Complete the stream."""
        if not self.started:
            self.started = True
            self._connection.start_stream(status, end_to_end(headers))
        self._connection.end_stream()

    def write_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        self.started = True
        self._connection.respond(status, end_to_end(headers), body)

    def truncate_response(self) -> None:
        """Break off a stream that can't be completed."""
        self._connection.truncate_response()
