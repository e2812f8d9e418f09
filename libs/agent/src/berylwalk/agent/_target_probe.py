"""Requests that show whether the process of the target still runs.

The kernel ends the connections of a killed process in the same way as a target that has
sent its whole response. Only a response to a request that was sent after that end shows
that the process has outlived it.
"""

from collections.abc import Callable
from time import monotonic

from absl import logging
from anyio import Lock, move_on_after

from berylwalk.transport import (
    HttpResponse,
    KeptConnection,
    RequestFailed,
    SendState,
)

CONFIRM_TIMEOUT_S = 1.0
KEPT_IDLE_S = 0.9
"""Time without a request that a server must leave a connection open for it to count as
kept, in seconds; a little less than the interval of health checks."""


class TargetProbe:
    """Health requests to the target, on one connection where the target keeps it.

    A target that is replaced behind the same address is noticed by the end of that
    connection, or by a refused one. Where several processes accept connections at one
    address, a response of one says nothing about the others.

    Parameters
    ----------
    connect : callable
        Returns a new connection whose requests go to the health check of the target.
    clock : callable
        Monotonic clock, in seconds.

    """

    def __init__(
        self,
        connect: Callable[[], KeptConnection],
        *,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._connect = connect
        self._clock = clock
        self._lock = Lock()
        self._connection: KeptConnection | None = None
        self._answered_at: float | None = None
        self._is_kept = False
        self._begun = 0
        self._answers_last = False
        self._process_number = 0

    def current_process(self) -> int:
        """Return a number that changes once the target's process has ended."""
        connection = self._connection
        if connection is not None and connection.is_ended_by_peer:
            self._handle_lost_connection()
        return self._process_number

    async def request(self, timeout_s: float) -> HttpResponse | RequestFailed:
        """Send a health request.

        Parameters
        ----------
        timeout_s : float
            Timeout for the complete response, in seconds.
        """
        async with self._lock:
            return await self._request(timeout_s)

    async def confirms(self, process_number: int) -> bool:
        """Return whether the target's process runs after this call.

        Requests that wait for each other share the next response.

        Parameters
        ----------
        process_number : int
            `current_process` before the target got the request in question.
        """
        begun_before = self._begun
        with move_on_after(CONFIRM_TIMEOUT_S):
            async with self._lock:
                if self._begun == begun_before:
                    await self._request(CONFIRM_TIMEOUT_S)
                return self._answers_last and self._process_number == process_number
        return False

    async def close(self) -> None:
        """Close the connection."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            await connection.close()

    async def _request(self, timeout_s: float) -> HttpResponse | RequestFailed:
        self._answers_last = False
        connection = await self._open_connection()
        self._begun += 1
        with move_on_after(timeout_s):
            response = await connection.get()
            if isinstance(response, RequestFailed):
                self._handle_failure(response)
            else:
                self._handle_response()
            return response
        return RequestFailed(
            SendState.OUTCOME_UNKNOWN, f"no response within {timeout_s:g} s"
        )

    async def _open_connection(self) -> KeptConnection:
        connection = self._connection
        if connection is not None:
            if connection.is_ended_by_peer:
                self._handle_lost_connection()
            elif connection.is_reusable:
                return connection
            await self.close()
        self._answered_at = None
        self._is_kept = False
        self._connection = self._connect()
        return self._connection

    def _handle_response(self) -> None:
        now = self._clock()
        if self._answered_at is not None and now - self._answered_at >= KEPT_IDLE_S:
            self._is_kept = True
        self._answered_at = now
        self._answers_last = True

    def _handle_failure(self, failure: RequestFailed) -> None:
        if failure.state is SendState.NOT_SENT:
            self._count_end(failure.reason)
        else:
            self._handle_lost_connection()

    def _handle_lost_connection(self) -> None:
        # A server that closes idle connections early says nothing by it.
        if self._is_kept:
            self._is_kept = False
            self._count_end("its health connection ended")

    def _count_end(self, reason: str) -> None:
        self._process_number += 1
        logging.info("process of the target ended: %s", reason)
