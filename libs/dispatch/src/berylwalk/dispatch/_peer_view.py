"""Which routers are there, and which of them are heard."""

from dataclasses import dataclass

HEARD_WITHIN_S = 0.7
"""A peer without a message for this long, in seconds, is taken for silent."""

REPLACED_AFTER_S = 0.3
"""A late message of a life that has ended must not bring it back, in seconds."""


@dataclass(slots=True)
class Peer:
    """One other router.

    Parameters
    ----------
    name : str
        Name of its VM.
    host, port : str, int
        Where it takes messages of its peers.
    life : str
        Identifies one life of the process.
    heard_at : float
        When its last message came.
    sequence : int
        Number of its last message.
    """

    name: str
    host: str
    port: int
    life: str
    heard_at: float = float("-inf")
    sequence: int = 0

    def is_heard(self, now: float) -> bool:
        """Return whether a message came not long ago."""
        return now - self.heard_at <= HEARD_WITHIN_S


class PeerTable:
    """The other routers by name.

    Parameters
    ----------
    own_name : str
        Name of this router, which is left out.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self.by_name: dict[str, Peer] = {}

    def replace(self, listed: list[Peer], now: float) -> list[Peer]:
        """Take the list of routers; returns the lives that have ended."""
        listed_by_name = {
            peer.name: peer for peer in listed if peer.name != self._own_name
        }
        ended = []
        for name, peer in list(self.by_name.items()):
            new = listed_by_name.get(name)
            if new is None and now - peer.heard_at <= HEARD_WITHIN_S:
                # It has begun to tell before its entry was listed.
                continue
            if new is None or (new.life != peer.life and not peer.is_heard(now)):
                ended.append(peer)
                del self.by_name[name]
        for name, new in listed_by_name.items():
            self.by_name.setdefault(name, new)
        return ended

    def hear(self, sender: Peer, now: float) -> bool:
        """Note a message; False if it is an old one.

        A router is known from its first message on, before it is listed. One
        that says nothing any more may have been replaced by a new life.
        """
        peer = self.by_name.get(sender.name)
        if peer is not None and peer.life != sender.life:
            if now - peer.heard_at < REPLACED_AFTER_S:
                return False
            peer = None
        if peer is None:
            peer = self.by_name[sender.name] = sender
        elif sender.sequence <= peer.sequence:
            return False
        peer.sequence = sender.sequence
        peer.heard_at = now
        return True

    def known(self) -> int:
        """Return the number of routers, this one included."""
        return len(self.by_name) + 1

    def heard(self, now: float) -> int:
        """Return the number of routers that are heard, this one included."""
        return 1 + sum(peer.is_heard(now) for peer in self.by_name.values())
