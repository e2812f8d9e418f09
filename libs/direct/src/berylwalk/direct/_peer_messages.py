"""Messages between routers and their transport."""

from asyncio import DatagramProtocol
from collections.abc import Callable
from typing import Annotated

from msgspec import Meta, Struct, field

from berylwalk.direct._flow_control import SignalsUpdate
from berylwalk.dispatch import (
    Peer,
    RatesByService,
    RefusalRecords,
    RetryHistory,
    RetryTotals,
    StreamRecords,
)
from berylwalk.quarantine import QuarantineUpdate
from berylwalk.reading import Port
from berylwalk.rollout import RolloutUpdate

Load = Annotated[int, Meta(le=2**53)]
"""One load; sums over all routers fit into a message too."""
Loads = dict[str, tuple[Load, Load]]
"""Requests in flight and waiting prompt tokens, by incarnation id of the target."""

Usage = dict[str, dict[str, Load]]
"""Usage by service and account, in hundredths of a place; see `ToldUsage`."""

PrefixPlacements = list[tuple[int, str]]
"""Hashes of prompt prefixes with the target incarnations they were sent to."""


class MemberEntry(Struct):
    """Entry of a router in the store."""

    host: str
    port: Port
    life: str
    failure_domain: str = ""


class RouterUpdate(Struct, array_like=True):
    """State of one router.

    Parameters
    ----------
    name, host, port : str, str, int
        Name of the router and address for messages.
    incarnation : str
        Incarnation of the router, one per process.
    failure_domain : str
        Failure domain of its VM.
    age_s : float
        Age of the process, in seconds.
    sequence : int
        Increases with each message of a process.
    spent : dict
        Units spent since the start, by client account.
    demand : dict
        Most urgent rank seen and the units requested at it, by client account.
    store_healthy_s : float
        How long the store has been healthy for the router, in seconds.
    rollouts : list of RolloutUpdate
        Its view of the roll-outs in progress.
    retries : RetryTotals
        Its retries and requests by service.
    rates : dict
        Rates of its requests, by service with targets that advertise limits.
    unready_claim : int
        Pressure on its VM at which it began to want no new connections, in percent of a
        limit; 0 if it wants them.
    is_unready : bool
        Whether it tells the load balancer that it is not ready, for any reason.
    refused : dict
        Units refused for a quota since the start, by client account.
    is_full : bool
        Whether it turns new connections away to spare its VM.
    awaited : dict
        Units for which streams that are taken up wait there, by client account.
    """

    name: str
    host: str
    port: Port
    incarnation: str
    failure_domain: str
    age_s: float
    sequence: int
    spent: dict[str, int]
    demand: dict[str, tuple[int, int]] = field(default_factory=dict)
    store_healthy_s: float = 0.0
    rollouts: list[RolloutUpdate] = field(default_factory=list)
    retries: RetryTotals = field(default_factory=dict)
    rates: RatesByService = field(default_factory=dict)
    unready_claim: int = 0
    is_unready: bool = False
    refused: dict[str, int] = field(default_factory=dict)
    is_full: bool = False
    awaited: dict[str, int] = field(default_factory=dict)

    def to_peer(self) -> Peer:
        """Return the router as an entry of the peer table."""
        return Peer(
            self.name,
            self.host,
            self.port,
            self.incarnation,
            self.failure_domain,
            sequence=self.sequence,
            unready_claim=self.unready_claim,
            is_unready=self.is_unready,
            is_full=self.is_full,
        )


class PeerMessage(Struct, array_like=True, tag=1):
    """Message of a router to its direct peers.

    Parameters
    ----------
    update : RouterUpdate
        State of the sender.
    loads : dict
        Loads of the sender at targets.
    history_from : str or None
        Name of the peer that is asked for the spending before the sender's start.
    spending_history : dict or None
        Units spent by all routers in the window, by account and time bin; the
        response to a router that asked for it.
    placements : list of (int, str)
        Prefix placements since the previous message.
    quarantine : QuarantineUpdate
        Changes in the quarantine.
    signals : list of SignalsUpdate
        Signals of targets in the sender's responses.
    retry_history_from : str or None
        Name of the peer that is asked for the retries before the sender's start.
    retry_history : RetryHistory or None
        Retries and requests of all routers in the window; the response to a router
        that asked for it.
    known_routers : int
        Routers that the sender knows, including itself; with the history.
    streams : list of (int, str)
        Streams begun since the previous message, with their versions.
    refused : list of (int, int, int)
        Keys of requests refused since the previous message, with the time since their
        first arrival and until their callers give up, in milliseconds.
    usage : dict or None
        Places of the accounts with most usage, by service; None if the receiver keeps
        what it was told before.
    """

    update: RouterUpdate
    loads: Loads
    history_from: str | None = None
    spending_history: dict[str, list[float]] | None = None
    placements: PrefixPlacements = field(default_factory=list)
    quarantine: QuarantineUpdate = field(default_factory=QuarantineUpdate)
    signals: list[SignalsUpdate] = field(default_factory=list)
    retry_history_from: str | None = None
    retry_history: RetryHistory | None = None
    known_routers: int = 1
    streams: StreamRecords = field(default_factory=list)
    refused: RefusalRecords = field(default_factory=list)
    usage: Usage | None = None


class DomainMessage(Struct, array_like=True, tag=2):
    """Message of the relay of one failure domain to the relays of the others.

    Parameters
    ----------
    failure_domain : str
        The relay's failure domain.
    routers : list of RouterUpdate
        The relay and the live routers of its domain.
    loads : dict
        Their total loads at targets.
    is_forwarded : bool
        Whether the receiving relay has forwarded it within its own domain.
    placements : list of (int, str)
        Their prefix placements since the relay's previous message.
    quarantine : QuarantineUpdate
        Changes in the quarantine.
    signals : list of SignalsUpdate
        Signals of targets in their responses.
    streams : list of (int, str)
        Streams begun since the relay's previous message, with their versions.
    usage : dict or None
        Places of the accounts with most usage in the domain, by service; None from a
        relay that does not tell it.
    """

    failure_domain: str
    routers: list[RouterUpdate]
    loads: Loads
    is_forwarded: bool = False
    placements: PrefixPlacements = field(default_factory=list)
    quarantine: QuarantineUpdate = field(default_factory=QuarantineUpdate)
    signals: list[SignalsUpdate] = field(default_factory=list)
    streams: StreamRecords = field(default_factory=list)
    usage: Usage | None = None


class LoadMessage(Struct, array_like=True, tag=5):
    """Loads of a router at a few targets, sent immediately after a placement.

    Parameters
    ----------
    name, incarnation : str, str
        Name and incarnation of the sender, known from its regular messages.
    sequence : int
        Increases with each message of a process, regular ones included.
    loads : dict
        Loads of the sender at these targets.
    """

    name: str
    incarnation: str
    sequence: int
    loads: Loads


class VersionsQuery(Struct, array_like=True, tag=6):
    """Question at which versions of a service a router may have begun streams.

    Parameters
    ----------
    sender, host, port : str, str, int
        Name of the sender, and the address to which the reply is sent.
    number : int
        Repeated in the reply.
    service : str
        The service.
    """

    sender: str
    host: str
    port: Port
    number: int
    service: str


class VersionsReply(Struct, array_like=True, tag=7):
    """Reply to a `VersionsQuery`.

    Parameters
    ----------
    sender : str
        Name of the sender.
    number : int
        Number of the query.
    is_store_away : bool
        Whether the store does not answer the sender.
    versions : list of str or None
        Versions at which the sender may have begun streams; None if it does not know,
        since it has not read the history of the service.
    """

    sender: str
    number: int
    is_store_away: bool
    versions: list[str] | None


class PeerSocket(DatagramProtocol):
    """Receives the datagrams of peers.

    Parameters
    ----------
    on_datagram : callable
        Called with each datagram.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to the callback."""
        self._on_datagram(data)
