"""Keeps what is held for callers within its bounds."""

from collections.abc import Callable
from typing import Protocol

from berylwalk.forwarding._request_bodies import RequestBodies
from berylwalk.forwarding._response_buffers import (
    DEFAULT_EACH_BYTES,
    HeldResponse,
    ResponseBuffers,
)
from berylwalk.forwarding._traffic import TrafficCounter

CHECK_INTERVAL_S = 0.05
"""Shortest interval between two checks of all connections that writes cause."""


class BufferedConnection(Protocol):
    """Connection of a caller whose write buffer is measured and bounded."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer that the caller has not read."""

    def bound_unsent(self, max_bytes: int) -> None:
        """Set the size of the write buffer from which it is not writable."""


OnSlowReader = Callable[[BufferedConnection, HeldResponse], None]


class CallerBuffers:
    """Measures the write buffers of connections and ends the slowest readers.

    Parameters
    ----------
    responses : ResponseBuffers
        Counts the bytes of responses.
    bodies : RequestBodies
        Counts the bytes of request bodies.
    clock : callable
        Time in seconds.
    on_slow_reader : callable
        Called with each connection whose response has to be ended, and with what is
        held for it. It discards the response.
    traffic : TrafficCounter or None
        Counts the bytes on the link.
    """

    def __init__(
        self,
        responses: ResponseBuffers[BufferedConnection],
        bodies: RequestBodies,
        *,
        clock: Callable[[], float],
        on_slow_reader: OnSlowReader,
        traffic: TrafficCounter | None = None,
    ) -> None:
        self._responses = responses
        self._clock = clock
        self._on_slow_reader = on_slow_reader
        self._checked_at = float("-inf")
        self._reduced: set[BufferedConnection] = set()
        self.bodies = bodies
        self.traffic = TrafficCounter() if traffic is None else traffic

    @property
    def each_bytes(self) -> int:
        """Bytes held for one caller beyond which its target is not read."""
        return self._responses.bounds.each_bytes

    def note_written(self, connection: BufferedConnection, written_bytes: int) -> None:
        """Record a write to a connection."""
        self.traffic.note_sent(written_bytes)
        now = self._clock()
        held_bytes = connection.unsent_bytes
        self._responses.record(connection, held_bytes, now, written_bytes=written_bytes)
        is_due = now - self._checked_at >= CHECK_INTERVAL_S
        if self._responses.exceeds_bound and is_due:
            self.check()

    def check(self) -> None:
        """Measure all connections with unread bytes, and end the slowest readers."""
        responses, now = self._responses, self._clock()
        self._checked_at = now
        for connection in list(responses.by_reader):
            responses.record(connection, connection.unsent_bytes, now)
        for connection in responses.to_end(now):
            held = responses.by_reader[connection]
            responses.forget(connection)
            self._on_slow_reader(connection, held)
        self._adjust_bounds()

    def forget(self, connection: BufferedConnection) -> None:
        """Forget a connection that is closed."""
        self._responses.forget(connection)
        self._reduced.discard(connection)

    def _adjust_bounds(self) -> None:
        """Read on less for each caller while the bound for all is exceeded."""
        responses = self._responses
        if responses.exceeds_bound:
            for connection in responses.by_reader:
                if connection not in self._reduced:
                    connection.bound_unsent(DEFAULT_EACH_BYTES)
            self._reduced.update(responses.by_reader)
        else:
            for connection in self._reduced:
                connection.bound_unsent(self.each_bytes)
            self._reduced.clear()
