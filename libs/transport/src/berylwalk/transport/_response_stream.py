"""Streamed response bodies."""

from collections.abc import AsyncIterator, Awaitable, Callable
from time import monotonic

import anyio

from berylwalk.transport._pacing import Pacer
from berylwalk.transport._response_connection import ResponseConnection, TryWrite


class StreamBrokenError(Exception):
    """The response body is incomplete."""


class HttpStream:
    """Response whose body is read in parts; it must always be closed.

    Iterate over it once. The body is complete only if the iteration ends without
    `StreamBrokenError`.

    Parameters
    ----------
    connection : ResponseConnection
        Connection that has received the response head.
    read_timeout_s : float or None
        Timeout for each wait for data, in seconds; None for no timeout.
    coalesce_s : float
        Minimum time between two parts, in seconds. Data that arrives earlier is
        joined into the next part; the first part is never delayed. 0 delivers
        data without delay.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Values by lower-case name.
    """

    def __init__(
        self,
        connection: ResponseConnection,
        *,
        read_timeout_s: float | None = None,
        coalesce_s: float = 0.0,
    ) -> None:
        self.status = connection.status
        self.headers = connection.headers
        self._connection = connection
        self._read_timeout_s = read_timeout_s
        self._coalesce_s = coalesce_s
        self._pacer = Pacer(coalesce_s)

    @property
    def ended_by_close(self) -> bool:
        """Whether only the end of the connection shows that the body is complete.

        A response without a length or chunks ends so, and the kernel ends the
        connections of a process that is killed in the same way.
        """
        return self._connection.ended_by_close

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive, without content decoding."""
        connection = self._connection
        next_part_at = 0.0
        while True:
            if connection.has_data:
                if self._coalesce_s:
                    await self._wait_to_coalesce(next_part_at)
                    next_part_at = monotonic() + self._coalesce_s
                yield connection.read_available()
            elif connection.complete:
                return
            elif connection.failure:
                raise StreamBrokenError(connection.failure)
            else:
                await self._wait()

    async def forward(
        self, try_write: TryWrite, write: Callable[[bytes], Awaitable[None]]
    ) -> None:
        """Write the parts of the body as they arrive, until its end.

        It has less overhead than iteration, because no task is woken for each
        part. A stream can be forwarded or iterated over, but not both.

        Parameters
        ----------
        try_write : callable
            Called by the event loop with a part, outside of any task. Returns
            False, without effect, if it cannot write the part without blocking.
        write : callable
            Coroutine function that writes the parts that ``try_write`` refused.

        Raises
        ------
        StreamBrokenError
            If the body is incomplete.
        """
        connection = self._connection
        while True:
            if connection.has_data:
                await write(connection.read_available())
            elif connection.complete:
                return
            elif connection.failure:
                raise StreamBrokenError(connection.failure)
            else:
                await self._forward(try_write)

    async def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    async def _wait_to_coalesce(self, until: float) -> None:
        delay_s = until - monotonic()
        if delay_s > 0 and not self._connection.complete:
            await anyio.sleep(delay_s)

    async def _forward(self, try_write: TryWrite) -> None:
        try:
            await self._connection.forward(try_write, self._pacer, self._read_timeout_s)
        except TimeoutError as error:
            raise StreamBrokenError("no data within the read timeout") from error

    async def _wait(self) -> None:
        try:
            await self._connection.wait(self._read_timeout_s)
        except TimeoutError as error:
            raise StreamBrokenError("no data within the read timeout") from error
