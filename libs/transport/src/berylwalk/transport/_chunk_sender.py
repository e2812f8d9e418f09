"""ASGI send callable with a synchronous write of body chunks."""

from collections.abc import Awaitable

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from berylwalk.transport._asgi import Message, Send

BODILESS_METHOD = "HEAD"


class ChunkSender:
    """Send callable of one response.

    `write` writes a chunk to the transport directly, without an ASGI message
    and without awaiting.

    Parameters
    ----------
    cycle : RequestResponseCycle
        uvicorn's state of the request and its response.
    """

    __slots__ = ("_cycle", "_has_body")

    def __init__(self, cycle: RequestResponseCycle) -> None:
        self._cycle = cycle
        self._has_body = cycle.scope["method"] != BODILESS_METHOD

    def __call__(self, message: Message) -> Awaitable[None]:
        """Send an ASGI message."""
        return self._cycle.send(message)

    def is_ready(self) -> bool:
        """Return whether `write` may be called.

        It requires a response in progress with a chunked body, and a transport
        whose send buffer is not full.
        """
        cycle = self._cycle
        if cycle.response_complete or cycle.flow.write_paused:
            return False
        return cycle.chunked_encoding is True and self._has_body

    def write(self, chunk: bytes) -> None:
        """Send a part of the body that is not the last; requires `is_ready`."""
        # An empty chunk terminates a chunked body.
        if chunk and not self._cycle.disconnected:
            self._cycle.transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))


def chunk_sender(send: Send) -> ChunkSender | None:
    """Return the send callable as a `ChunkSender`, or None if it is not one.

    Parameters
    ----------
    send : callable
        ASGI send callable, possibly of another ASGI server.
    """
    return send if isinstance(send, ChunkSender) else None
