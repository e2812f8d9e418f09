"""Bounds what is read of connections after their last response.

Load that it answers: callers that are still sending when their connection ends, many of
them at once, some without end. Closing a socket with unread bytes resets the
connection, and the reset overtakes the response; RFC 9112, section 9.6, has the server
stop sending and read on for a while.
"""

from typing import Generic, Self, TypeVar

LINGER_S = 2.0
"""Time for which a connection is read on after its last response is flushed, in
seconds; a lost packet is sent again within it."""
MAX_CONNECTIONS = 256
"""Connections that are read on at once where the descriptors have no limit."""
DESCRIPTOR_SHARE = 1 / 16
"""Part of the limit of descriptors that these connections may take."""
LINK_SHARE = 0.1
"""Part of the link that the discarded bytes may take."""

ConnectionT = TypeVar("ConnectionT")


class LingeringConnections(Generic[ConnectionT]):
    """Counts the connections that are read on, and the bytes that are discarded.

    Parameters
    ----------
    max_connections : int
        Connections that are read on at once.
    bytes_per_s : float or None
        Rate of the bytes that are discarded of all of them, in bytes per second; bytes
        of one second may come at once. None for no bound.

    Attributes
    ----------
    max_connections : int
        The bound of the connections.
    """

    def __init__(
        self,
        *,
        max_connections: int = MAX_CONNECTIONS,
        bytes_per_s: float | None = None,
    ) -> None:
        self.max_connections = max_connections
        self._bytes_per_s = bytes_per_s
        self._left_bytes = bytes_per_s or 0.0
        self._counted_at = float("-inf")
        self._connections: dict[ConnectionT, None] = {}

    @classmethod
    def from_vm_limits(
        cls, *, descriptors: int | None, link_bytes_per_s: float | None
    ) -> Self:
        """Build it for a VM with a limit of descriptors and of its link, or without."""
        max_connections = MAX_CONNECTIONS
        if descriptors is not None:
            max_connections = max(1, int(descriptors * DESCRIPTOR_SHARE))
        is_bounded = link_bytes_per_s is not None
        rate = link_bytes_per_s * LINK_SHARE if is_bounded else None
        return cls(max_connections=max_connections, bytes_per_s=rate)

    def __len__(self) -> int:
        """Return the number of connections that are read on."""
        return len(self._connections)

    def add(self, connection: ConnectionT) -> ConnectionT | None:
        """Add a connection.

        Returns
        -------
        connection or None
            The one that has been read on for longest, if it has to be closed for the
            bound. It is removed.
        """
        oldest = None
        if len(self._connections) >= self.max_connections:
            oldest = next(iter(self._connections))
            self.remove(oldest)
        self._connections[connection] = None
        return oldest

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that is closed, if it is among them."""
        self._connections.pop(connection, None)

    def take(self, size: int, now: float) -> bool:
        """Count discarded bytes; returns whether the bound allows to read on.

        Parameters
        ----------
        size : int
            Bytes that were discarded.
        now : float
            Current time, in seconds.
        """
        if self._bytes_per_s is None:
            return True
        passed_s = min(1.0, now - self._counted_at)
        self._counted_at = now
        refilled = self._left_bytes + passed_s * self._bytes_per_s
        self._left_bytes = min(refilled, self._bytes_per_s) - size
        return self._left_bytes >= 0.0
