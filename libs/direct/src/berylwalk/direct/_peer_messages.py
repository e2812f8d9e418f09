"""What routers tell each other, and how it travels."""

from asyncio import DatagramProtocol
from collections.abc import Callable

from msgspec import Struct


class MemberEntry(Struct):
    """How a router registers itself."""

    host: str
    port: int
    life: str


class PeerMessage(Struct, array_like=True):
    """What a router tells its peers.

    Parameters
    ----------
    name, host, port, life : str, str, int, str
        Who, and where it takes messages.
    age_s : float
        Age of that life, in seconds.
    sequence : int
        Grows with each message of a life.
    loads : dict
        Requests in flight and waiting prompt tokens by target id.
    spent : dict
        Units spent since the start, by client account.
    asks : str or None
        Name of the peer that shall tell what was spent before the sender's start.
    recent : dict or None
        Units that all routers spent in the window, by account and bin of time: the
        answer to one that asked.
    """

    name: str
    host: str
    port: int
    life: str
    age_s: float
    sequence: int
    loads: dict[str, tuple[int, int]]
    spent: dict[str, float]
    asks: str | None = None
    recent: dict[str, list[float]] | None = None


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
