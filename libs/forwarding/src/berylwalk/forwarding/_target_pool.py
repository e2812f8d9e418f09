"""Pool of idle connections to targets."""

from asyncio import AbstractEventLoop
from collections.abc import Callable, Container
from enum import StrEnum
from typing import Protocol

from anyio import move_on_after

from berylwalk.forwarding._target_connection import TargetConnection
from berylwalk.forwarding._traffic import TrafficCounter

CONNECT_TIMEOUT_S = 0.3
"""Timeout of opening a connection; a request that hits it was certainly not sent."""


class ConnectFailure(StrEnum):
    """Why no connection to a target was opened."""

    REFUSED = "refused"
    """No process listens at its address."""

    UNREACHABLE = "unreachable"
    """It didn't respond in time, or the network or this VM prevented it; the state of
    the target is unknown."""


class Address(Protocol):
    """Address of one incarnation of a target."""

    incarnation_id: str
    host: str
    port: int


class TargetPool:
    """Idle connections, grouped by the incarnation of the target.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop that opens connections.
    clock : callable
        Monotonic clock, in seconds.
    id_header : bytes
        Lower-case name of the header with the request id.
    on_bytes : callable
        Called with the id of the incarnation whenever data from it arrives.
    on_opened : callable
        Called for each connection that was opened.
    traffic : TrafficCounter or None
        Counts the bytes on the link.
    """

    def __init__(
        self,
        loop: AbstractEventLoop,
        *,
        clock: Callable[[], float],
        id_header: bytes,
        on_bytes: Callable[[str], None],
        on_opened: Callable[[], None] = lambda: None,
        traffic: TrafficCounter | None = None,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._id_header = id_header
        self._on_bytes = on_bytes
        self._on_opened = on_opened
        self._traffic = traffic
        self._idle_by_id: dict[str, list[TargetConnection]] = {}

    def take_idle(self, incarnation_id: str) -> TargetConnection | None:
        """Return the most recently used idle connection that can be reused, or None."""
        idle = self._idle_by_id.get(incarnation_id)
        now = self._clock()
        while idle:
            connection = idle.pop()
            if connection.is_fresh(now):
                return connection
            connection.close()
        return None

    async def open(self, address: Address) -> TargetConnection | None:
        """Open a connection; returns None if that fails or times out."""
        connection = await self.connect(address)
        return None if isinstance(connection, ConnectFailure) else connection

    async def connect(self, address: Address) -> TargetConnection | ConnectFailure:
        """Open a connection; returns why there is none if that fails or times out."""

        def build() -> TargetConnection:
            return TargetConnection(
                id_header=self._id_header,
                on_bytes=lambda: self._on_bytes(address.incarnation_id),
                clock=self._clock,
                traffic=self._traffic,
            )

        with move_on_after(CONNECT_TIMEOUT_S):
            try:
                transport, connection = await self._loop.create_connection(
                    build, address.host, address.port
                )
            except ConnectionRefusedError:
                return ConnectFailure.REFUSED
            except OSError:
                return ConnectFailure.UNREACHABLE
            self._on_opened()
            connection.use_socket(transport.get_extra_info("socket"))
            return connection
        return ConnectFailure.UNREACHABLE

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle_by_id.values()))

    def release(self, incarnation_id: str, connection: TargetConnection) -> None:
        """Return a connection to the pool after a complete response."""
        if connection.reusable and connection.is_open:
            # It may have been paused for the caller of its last response.
            connection.resume()
            self._idle_by_id.setdefault(incarnation_id, []).append(connection)
        else:
            connection.close()

    def close_idle(self, incarnation_id: str) -> None:
        """Close the idle connections to one incarnation of a target."""
        for connection in self._idle_by_id.pop(incarnation_id, []):
            connection.close()

    def retain(self, incarnation_ids: Container[str]) -> None:
        """Close the idle connections to all other incarnations."""
        for incarnation_id in list(self._idle_by_id):
            if incarnation_id not in incarnation_ids:
                self.close_idle(incarnation_id)

    def close_stale(self) -> None:
        """Close idle connections that are too old to be reused."""
        now = self._clock()
        for incarnation_id, idle in list(self._idle_by_id.items()):
            fresh = [connection for connection in idle if connection.is_fresh(now)]
            for connection in idle:
                if connection not in fresh:
                    connection.close()
            if fresh:
                self._idle_by_id[incarnation_id] = fresh
            else:
                del self._idle_by_id[incarnation_id]

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation_id in list(self._idle_by_id):
            self.close_idle(incarnation_id)
