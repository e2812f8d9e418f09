"""Ends a caller's connection in steps after its last response.

Load that it answers: callers that are still sending, or read slowly, when their last
response is written; see RFC 9112, section 9.6. Streams whose end only the end of the
connection tells: it must not be sent before they are whole.
"""

from asyncio import Transport
from collections.abc import Callable
from typing import Any

from berylwalk.forwarding._close_behavior import end_on_close, reset_on_close
from berylwalk.forwarding._lingering_connections import (
    LINGER_S,
    LingeringConnections,
)

CLOSE_TIMEOUT_S = 5.0
"""Time without progress after which a closing connection is aborted, in seconds."""


class ConnectionEnding:
    """Stops sending, reads on for a while and closes the connection.

    Parameters
    ----------
    lingering : LingeringConnections
        Bounds what is read after the last response.
    call_later : callable
        Schedules a callback after a delay in seconds.
    discard : callable
        Closes the connection and discards what its caller has not read.

    Attributes
    ----------
    has_begun : bool
        Whether the last response has ended.
    """

    def __init__(
        self,
        *,
        lingering: LingeringConnections["ConnectionEnding"],
        call_later: Callable[..., Any],
        discard: Callable[[], None],
    ) -> None:
        self._lingering = lingering
        self._call_later = call_later
        self._discard = discard
        self._transport: Transport | None = None
        self._resets_on_close = False
        self._unsent_before = 0
        self.has_begun = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer that the caller has not read."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def attach(self, transport: Transport) -> None:
        """Set the transport of the connection."""
        self._transport = transport

    def detach(self) -> None:
        """Forget the connection, which is closed."""
        self._transport = None
        self._lingering.remove(self)

    def reset_unless_whole(self) -> None:
        """Have the connection reset if it is closed before its response is flushed."""
        self._resets_on_close = True
        reset_on_close(self._transport)

    def begin(self) -> bool:
        """Stop sending once the buffered data is flushed.

        Returns
        -------
        bool
            Whether to read on; False if the caller has reset the connection.
        """
        self.has_begun = True
        self._await_flush()
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()
            return False
        return True

    def read_on(self) -> None:
        """Read on until the caller has closed the connection, within bounds."""
        oldest = self._lingering.add(self)
        if oldest is not None:
            oldest.stop_lingering()
        self.has_progress()
        self._await_close()

    def stop_lingering(self) -> None:
        """Close the connection once its response is flushed."""
        if self._transport is None:
            return
        self._transport.close()
        self.has_progress()
        if self.unsent_bytes:
            # A caller that does not read must not keep the connection open forever.
            self._call_later(CLOSE_TIMEOUT_S, self._discard_unread)

    def note_drained(self) -> None:
        """Record that the write buffer has room, or is empty after the last response.

        Closing then sends the end of the connection: the response is whole.
        """
        if self.has_begun and self._resets_on_close and self._transport is not None:
            self._resets_on_close = False
            end_on_close(self._transport)

    def has_progress(self) -> bool:
        """Return whether the caller has read unsent bytes since the last call."""
        before, self._unsent_before = self._unsent_before, self.unsent_bytes
        return self._unsent_before < before

    def _await_flush(self) -> None:
        """Have it reported when the write buffer is empty, if that matters."""
        if not self._resets_on_close:
            return
        if self.unsent_bytes == 0:
            self.note_drained()
        else:
            # Writing is paused until the buffer is empty.
            self._transport.set_write_buffer_limits(high=0)

    def _await_close(self) -> None:
        is_flushed = self.unsent_bytes == 0
        self._call_later(
            LINGER_S if is_flushed else CLOSE_TIMEOUT_S,
            lambda: self._check_close(was_flushed=is_flushed),
        )

    def _check_close(self, *, was_flushed: bool) -> None:
        """Close the connection, unless its response was flushed or read meanwhile."""
        if was_flushed:
            self.stop_lingering()
        elif self.unsent_bytes == 0 or self.has_progress():
            self._await_close()
        else:
            self._discard()

    def _discard_unread(self) -> None:
        """Discard what is not sent, unless the caller has read on."""
        if self.has_progress():
            self._call_later(CLOSE_TIMEOUT_S, self._discard_unread)
        else:
            self._discard()
