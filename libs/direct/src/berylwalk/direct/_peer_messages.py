"""What routers tell each other, and how it travels."""

from asyncio import DatagramProtocol
from collections.abc import Callable

from msgspec import Struct, field

from berylwalk.direct._statements import StatementUpdate
from berylwalk.dispatch import Peer
from berylwalk.quarantine import QuarantineUpdate
from berylwalk.rollout import RolloutUpdate

Loads = dict[str, tuple[int, int]]
"""Requests in flight and waiting prompt tokens by the life of a target."""

Reads = list[tuple[int, str]]
"""Hashes of prompt prefixes, and the lives of the targets that they were sent to."""


class MemberEntry(Struct):
    """How a router registers itself."""

    host: str
    port: int
    life: str
    failure_domain: str = ""


class RouterUpdate(Struct, array_like=True):
    """What is new of one router.

    Parameters
    ----------
    name, host, port : str, str, int
        Who, and where it takes messages.
    life : str
        Identifies one life of the process.
    failure_domain : str
        Where its VM is.
    age_s : float
        Age of that life, in seconds.
    sequence : int
        Grows with each message of a life.
    spent : dict
        Units spent since the start, by client account.
    demand : dict
        Likewise the most urgent rank that was seen, and the units that it asked.
    store_healthy_s : float
        For how long the store has been well for it, in seconds.
    rollouts : list of RolloutUpdate
        What it knows of roll-outs that are under way.
    """

    name: str
    host: str
    port: int
    life: str
    failure_domain: str
    age_s: float
    sequence: int
    spent: dict[str, int]
    demand: dict[str, tuple[int, int]] = field(default_factory=dict)
    store_healthy_s: float = 0.0
    rollouts: list[RolloutUpdate] = field(default_factory=list)

    def to_peer(self) -> Peer:
        """Return the router as an entry of the table of peers."""
        return Peer(
            self.name,
            self.host,
            self.port,
            self.life,
            self.failure_domain,
            sequence=self.sequence,
        )


class PeerMessage(Struct, array_like=True, tag=1):
    """What a router tells the peers near it.

    Parameters
    ----------
    news : RouterNews
        Of the sender.
    loads : dict
        What the sender has at targets.
    history_from : str or None
        Name of the peer that shall tell what was spent before the sender's start.
    spending_history : dict or None
        Units that all routers spent in the window, by account and bin of time: the
        answer to one that asked.
    reads : list of (int, str)
        What the sender sent where since its last message.
    quarantine : QuarantineUpdate
        What is new of requests under which targets ended.
    statements : list of StatementNews
        What targets said to the sender.
    """

    news: RouterUpdate
    loads: Loads
    history_from: str | None = None
    spending_history: dict[str, list[float]] | None = None
    reads: Reads = field(default_factory=list)
    quarantine: QuarantineUpdate = field(default_factory=QuarantineUpdate)
    statements: list[StatementUpdate] = field(default_factory=list)


class DomainMessage(Struct, array_like=True, tag=2):
    """What the relay of a failure domain tells those of the others.

    Parameters
    ----------
    failure_domain : str
        Of which it tells.
    routers : list of RouterNews
        The routers there that the relay hears, itself included.
    loads : dict
        What they have at targets, in all.
    is_forwarded : bool
        Whether it comes from a router of the receiver's own failure domain, which
        passes it on to all there.
    reads : list of (int, str)
        What they sent where since the relay's last message.
    quarantine : QuarantineUpdate
        What is new of requests under which targets ended.
    statements : list of StatementNews
        What targets said to routers there.
    """

    failure_domain: str
    routers: list[RouterUpdate]
    loads: Loads
    is_forwarded: bool = False
    reads: Reads = field(default_factory=list)
    quarantine: QuarantineUpdate = field(default_factory=QuarantineUpdate)
    statements: list[StatementUpdate] = field(default_factory=list)


class LoadMessage(Struct, array_like=True, tag=5):
    """What a router has at a few targets, told as soon as it sends there.

    Parameters
    ----------
    name, life : str, str
        Who tells; it is known from its longer messages.
    sequence : int
        Grows with each message of a life, the longer ones among them.
    loads : dict
        What it has at these targets.
    """

    name: str
    life: str
    sequence: int
    loads: Loads


class PeerSocket(DatagramProtocol):
    """Passes datagrams on.

    Parameters
    ----------
    on_datagram : callable
        Called with each datagram.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on."""
        self._on_datagram(data)
