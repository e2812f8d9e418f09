"""Simulated network: holds messages until the fuzzer delivers or drops them."""

from dataclasses import dataclass, field

from berylwalk.model import Refusal, RequestId
from berylwalk.wire import Datagram, Grant, decode_datagram, encode_datagram

RESPONSE_CHUNKS = 3
"""Number of chunks of a complete response."""


@dataclass(frozen=True, slots=True)
class PendingDatagram:
    """A datagram in transit."""

    receiver: str
    payload: bytes

    def datagram(self) -> Datagram:
        """Decode the payload."""
        return decode_datagram(self.payload)


@dataclass(frozen=True, slots=True)
class Chunk:
    """One chunk of a target's response."""

    request_id: RequestId
    number: int


@dataclass(slots=True, eq=False)
class GrantConnection:
    """One HTTP exchange: ordered, without duplicates, may break at any time.

    Each side detects a break on its own: a grant that its router has abandoned
    may still reach an agent that was frozen.

    Parameters
    ----------
    grant : Grant
        The grant that the router sent.
    router_incarnation : int
        Incarnation of the router that sent it.
    in_transit : bool
        Whether the grant has not reached the agent yet.
    delayed : bool
        Whether the network currently delays the grant.
    connect_failed : bool
        Whether the agent's port was closed.
    refusal : Refusal or None
        The agent's refusal, in transit to the router.
    is_running : bool
        Whether the request runs at the target.
    produced_count : int
        Number of chunks that the target produced.
    sent : list of Chunk
        Chunks that the agent wrote to the connection.
    read_count : int
        Number of chunks that the router read.
    has_ended : bool
        Whether the agent ended the response regularly.
    is_broken : bool
        Whether the connection broke.
    is_router_open : bool
        Whether the router's side is open.
    """

    grant: Grant
    router_incarnation: int
    in_transit: bool = True
    delayed: bool = False
    connect_failed: bool = False
    refusal: Refusal | None = None
    is_running: bool = False
    produced_count: int = 0
    sent: list[Chunk] = field(default_factory=list)
    read_count: int = 0
    has_ended: bool = False
    is_broken: bool = False
    is_router_open: bool = True

    @property
    def request_id(self) -> RequestId:
        """Request that the grant is for."""
        return self.grant.request_id

    @property
    def in_use(self) -> bool:
        """Whether the connection can still have an effect."""
        return self.is_router_open or self.in_transit or self.is_running

    def disconnect(self, *, lose_unread: bool) -> None:
        """Break the connection; chunks already sent may still be read."""
        self.is_broken = True
        if lose_unread:
            del self.sent[self.read_count :]
            self.refusal = None


@dataclass(slots=True)
class SimulatedNetwork:
    """Datagrams in transit, and connections."""

    datagrams: list[PendingDatagram] = field(default_factory=list)
    connections: list[GrantConnection] = field(default_factory=list)

    def send(self, receiver: str, datagram: Datagram) -> None:
        """Send a datagram."""
        self.datagrams.append(PendingDatagram(receiver, encode_datagram(datagram)))

    def open(self, grant: Grant, router_incarnation: int) -> None:
        """Open a connection that carries a grant."""
        self.connections.append(GrantConnection(grant, router_incarnation))

    def forget_closed(self) -> None:
        """Remove connections that can have no further effect."""
        self.connections = [
            connection for connection in self.connections if connection.in_use
        ]
