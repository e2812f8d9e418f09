"""Client connection for one request and its response.

A streamed response consists of many small reads. As an `asyncio.Protocol` the
connection stays registered with the event loop between reads, and data that
arrives before the reader runs is delivered as one part.
"""

from asyncio import (
    Future,
    Protocol,
    Transport,
    get_running_loop,
    shield,
)
from collections.abc import Callable
from time import monotonic

import anyio
import httptools

from berylwalk.transport._pacing import Pacer

MAX_HEAD_BYTES = 64 * 1024
MAX_UNREAD_BYTES = 256 * 1024
"""Size of the unread body above which reading from the connection is paused."""
FIRST_FINAL_STATUS = 200

TryWrite = Callable[[bytes], bool]
"""Writes a part of the body without blocking; returns False if it cannot."""


class ResponseConnection(Protocol):
    """Incremental parser of a response; constructed by the event loop.

    Attributes
    ----------
    status : int
        HTTP status code, 0 until the head is complete.
    headers : dict of str to str
        Values by lower-case name.
    complete : bool
        Whether the complete response was received.
    ended_by_close : bool
        Whether only the end of the connection shows that the response is complete.
        The kernel ends the connections of a process that is killed in the same way.
    failure : str
        Reason why the response cannot be completed, or empty.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False
        self.ended_by_close = False
        self.failure = ""
        self._parser = httptools.HttpResponseParser(self)
        self._head_bytes = 0
        self._parts: list[bytes] = []
        self._unread_bytes = 0
        self._reading_paused = False
        self._transport: Transport | None = None
        self._waiter: Future[None] | None = None
        self._received_at = 0.0
        self._try_write: TryWrite | None = None
        self._pacer = Pacer(0.0)

    @property
    def has_data(self) -> bool:
        """Whether unread data of the body is available."""
        return bool(self._parts)

    def connection_made(self, transport: Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the data."""
        # Bytes after the end do not belong to this response.
        if self.complete or self.failure:
            return
        self._received_at = monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(format_error(error))
        if not self.status:
            self._count_head_bytes(len(data))
        self._deliver()

    def eof_received(self) -> bool:
        """Handle the end of the data; the connection is closed by `close`."""
        if self.status and not self.complete and self._ends_with_connection():
            self.complete = True
            self.ended_by_close = True
        self._fail("connection closed before the end of the body")
        self._deliver()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        self._fail("connection closed" if exc is None else format_error(exc))
        self._deliver()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header from the parser."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Handle the end of the head; an informational (1xx) head is discarded."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.headers.clear()
            return
        self.status = status

    def on_body(self, part: bytes) -> None:
        """Handle a part of the body from the parser."""
        self._parts.append(part)
        self._unread_bytes += len(part)
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Handle the end of the message."""
        self.complete = self.status != 0

    def send(self, head: bytes, body: bytes) -> None:
        """Write the complete request to the transport without waiting."""
        self._transport.writelines((head, body))

    async def wait(self, timeout_s: float | None) -> None:
        """Wait for data, the end of the response or a failure.

        Parameters
        ----------
        timeout_s : float or None
            Timeout in seconds; None for no timeout.

        Raises
        ------
        TimeoutError
            If nothing happened in time.
        """
        self._waiter = get_running_loop().create_future()
        if timeout_s is None:
            await self._waiter
            return
        with anyio.fail_after(timeout_s):
            await self._waiter

    async def forward(
        self, try_write: TryWrite, pacer: Pacer, timeout_s: float | None
    ) -> None:
        """Write parts from event loop callbacks, without waking a task for each.

        Returns when ``try_write`` refuses a part, which stays unread, when the
        response is complete, or when it fails.

        Parameters
        ----------
        try_write : callable
            Receives each part.
        pacer : Pacer
            Limits the rate of parts.
        timeout_s : float or None
            Timeout for each wait for data, in seconds; None for no timeout.

        Raises
        ------
        TimeoutError
            If no data arrived in time.
        Exception
            Any error raised by ``try_write``.
        """
        self._try_write = try_write
        self._pacer = pacer
        try:
            await self._wait_for_end(timeout_s)
        finally:
            self._stop_forwarding()

    def read_available(self) -> bytes:
        """Return the unread data of the body as one part."""
        parts = self._parts
        self._parts = []
        self._unread_bytes = 0
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def close(self) -> None:
        """Close the connection; unsent data is discarded."""
        self._transport.abort()

    def _ends_with_connection(self) -> bool:
        headers = self.headers
        return not ("transfer-encoding" in headers or "content-length" in headers)

    def _count_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail("response headers too large")

    def _fail(self, reason: str) -> None:
        if not self.complete and not self.failure:
            self.failure = reason

    def _deliver(self) -> None:
        """Write the unread data, now or at the end of the pacing interval."""
        if self._try_write is not None and self._parts and not self._must_wait():
            self._write_available(self._try_write)
        if self._try_write is None or self.complete or self.failure:
            self._wake()

    def _must_wait(self) -> bool:
        if self.complete or self.failure:
            return False
        return self._pacer.must_wait(self._deliver)

    def _write_available(self, try_write: TryWrite) -> None:
        part = self.read_available()
        try:
            is_written = try_write(part)
        except Exception as error:
            self._stop_forwarding()
            if not self._waiter.done():
                self._waiter.set_exception(error)
            return
        if not is_written:
            # The waiting task reads this part and those that follow, until it calls
            # `forward` again.
            self._stop_forwarding()
            self.on_body(part)

    def _stop_forwarding(self) -> None:
        self._try_write = None
        self._pacer.stop()

    async def _wait_for_end(self, timeout_s: float | None) -> None:
        """Wait until woken; each received part restarts the timeout."""
        waiter = self._waiter = get_running_loop().create_future()
        if timeout_s is None:
            await waiter
            return
        self._received_at = monotonic()
        while not waiter.done():
            remaining_s = self._received_at + timeout_s - monotonic()
            if remaining_s <= 0:
                raise TimeoutError
            with anyio.move_on_after(remaining_s):
                await shield(waiter)
        waiter.result()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


def format_error(error: Exception) -> str:
    """Return an error as text for the logs.

    Parameters
    ----------
    error : Exception
        The error.

    Returns
    -------
    str
        Type and message of the error.
    """
    return f"{type(error).__name__}: {error}"
