"""ASGI send callable for callers that know no chunks.

HTTP/1.0 has none, so the end of the connection ends a response without a length. The
kernel would end it in the same way for a process that is killed; while the response is
in progress, the connection is therefore set to be reset instead.
"""

import socket
import struct
from collections.abc import Iterable

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from berylwalk.transport._asgi import Header, Message
from berylwalk.transport._chunk_sender import BODILESS_METHOD

CONTENT_LENGTH = b"content-length"
BODILESS_STATUS = frozenset({204, 304})
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SEND_ON_CLOSE = struct.pack("ii", 0, 0)
"""Values of ``SO_LINGER``: on or off, and the seconds to linger."""


class CloseDelimitedSender:
    """Send callable of one response to an HTTP/1.0 request.

    A response with a length, or without a body, is sent as by uvicorn.

    Parameters
    ----------
    cycle : RequestResponseCycle
        uvicorn's state of the request and its response.
    """

    __slots__ = ("_cycle", "_ends_with_connection")

    def __init__(self, cycle: RequestResponseCycle) -> None:
        self._cycle = cycle
        self._ends_with_connection = False

    async def __call__(self, message: Message) -> None:
        """Send an ASGI message."""
        if message["type"] == "http.response.start":
            if self._has_body_without_length(message["status"], message["headers"]):
                self._begin()
        elif self._ends_with_connection:
            await self._write(message.get("body", b""))
            if message.get("more_body", False):
                return
            await self._finish()
            message = {"type": "http.response.body"}
        await self._cycle.send(message)

    def _has_body_without_length(self, status: int, headers: Iterable[Header]) -> bool:
        if self._cycle.scope["method"] == BODILESS_METHOD or status in BODILESS_STATUS:
            return False
        return all(name.lower() != CONTENT_LENGTH for name, _ in headers)

    def _begin(self) -> None:
        self._ends_with_connection = True
        # uvicorn then adds no `transfer-encoding`.
        self._cycle.chunked_encoding = False
        # Writing is paused until all bytes are handed to the kernel.
        self._cycle.transport.set_write_buffer_limits(0)
        self._set_linger(RESET_ON_CLOSE)

    async def _write(self, body: bytes) -> None:
        await self._flush()
        if body and not self._cycle.disconnected:
            self._cycle.transport.write(body)

    async def _finish(self) -> None:
        """Let the kernel send what it holds when the connection closes."""
        await self._flush()
        if not self._cycle.disconnected:
            self._set_linger(SEND_ON_CLOSE)

    async def _flush(self) -> None:
        """Wait until the kernel holds all bytes, or the connection is lost."""
        if self._cycle.flow.write_paused and not self._cycle.disconnected:
            await self._cycle.flow.drain()

    def _set_linger(self, value: bytes) -> None:
        connection = self._cycle.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
