"""Which routers are there, and which of them are heard."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import nsmallest
from random import choice

from berylwalk.affinity import parts_hash

PEER_TIMEOUT_S = 0.7
"""A peer without a message for this long, in seconds, is taken for silent."""

RELAYED_PEER_TIMEOUT_S = 1.3
"""The same for a peer whose news are passed on by others: their relay may have to be
replaced first."""

MAX_FULL_MESH_PEERS = 5
"""Peers up to which each router tells each other one itself. More are told by
failure domain: the messages would grow with the square of their number."""

REPLACED_AFTER_S = 0.3
"""A late message of a life that has ended must not bring it back, in seconds."""

MAX_CACHED_SHARES = 10_000
"""Bound of the parts that are remembered; targets come and go."""


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
    failure_domain : str
        Where its VM is.
    heard_at : float
        When its last message came.
    sequence : int
        Number of its last message.
    """

    name: str
    host: str
    port: int
    incarnation: str
    failure_domain: str = ""
    last_heard_at: float = float("-inf")
    sequence: int = 0


class PeerTable:
    """The other routers by name.

    Parameters
    ----------
    own_name : str
        Name of this router, which is left out.
    failure_domain : str
        Where this router runs.
    """

    def __init__(self, own_name: str, failure_domain: str = "") -> None:
        self._own_name = own_name
        self._failure_domain = failure_domain
        self.by_name: dict[str, Peer] = {}
        self._names: list[str] = []
        self._names_at: float | None = None
        self._shares: dict[tuple[str, int], float] = {}

    def is_direct(self, peer: Peer) -> bool:
        """Return whether a peer is told directly and often."""
        if len(self.by_name) <= MAX_FULL_MESH_PEERS:
            return True
        return peer.failure_domain == self._failure_domain

    def direct_peers(self) -> list[Peer]:
        """Return the peers that are told directly and often."""
        return [peer for peer in self.by_name.values() if self.is_direct(peer)]

    def relayed_domains(self) -> set[str]:
        """Return the failure domains whose routers are told through a relay."""
        return {
            peer.failure_domain
            for peer in self.by_name.values()
            if not self.is_direct(peer)
        }

    def is_alive(self, peer: Peer, now: float) -> bool:
        """Return whether a peer has given a sign of life not long ago."""
        within_s = PEER_TIMEOUT_S if self.is_direct(peer) else RELAYED_PEER_TIMEOUT_S
        return now - peer.last_heard_at <= within_s

    def is_relay(self, now: float) -> bool:
        """Return whether it is for this router to speak for its failure domain."""
        first = self.first_direct_peer(now)
        return first is None or self._own_name <= first.name

    def first_direct_peer(self, now: float) -> Peer | None:
        """Return the first of the near peers that are heard, or None."""
        alive = [peer for peer in self.direct_peers() if self.is_alive(peer, now)]
        return min(alive, key=lambda peer: peer.name, default=None)

    def is_leader(self, now: float) -> bool:
        """Return whether it is for this router to do what one does for all."""
        names = [
            peer.name for peer in self.by_name.values() if self.is_alive(peer, now)
        ]
        return self._own_name <= min(names, default=self._own_name)

    def relay_of(
        self,
        failure_domain: str,
        now: float,
        *,
        pick: Callable[[list[Peer]], Peer] = choice,
    ) -> Peer | None:
        """Return the router that passes news on in another failure domain.

        While none of them is heard, any may be the one that is there.
        """
        peers = [
            peer
            for peer in self.by_name.values()
            if peer.failure_domain == failure_domain
        ]
        alive = [peer for peer in peers if self.is_alive(peer, now)]
        if alive:
            return min(alive, key=lambda peer: peer.name)
        return pick(peers) if peers else None

    def replace(self, listed: list[Peer], now: float) -> list[Peer]:
        """Take the list of routers; returns the lives that have ended."""
        listed_by_name = {
            peer.name: peer for peer in listed if peer.name != self._own_name
        }
        ended = []
        for name, peer in list(self.by_name.items()):
            new = listed_by_name.get(name)
            if new is None and self.is_alive(peer, now):
                # It has begun to tell before its entry was listed.
                continue
            if new is None or (
                new.incarnation != peer.incarnation and not self.is_alive(peer, now)
            ):
                ended.append(peer)
                del self.by_name[name]
        for name, new in listed_by_name.items():
            self.by_name.setdefault(name, new)
        return ended

    def record_message(self, sender: Peer, now: float) -> bool:
        """Note a message; False if it is an old one.

        A router is known from its first message on, before it is listed. One
        that says nothing any more may have been replaced by a new life.
        """
        peer = self.by_name.get(sender.name)
        if peer is not None and peer.incarnation != sender.incarnation:
            if now - peer.last_heard_at < REPLACED_AFTER_S:
                return False
            peer = None
        if peer is None:
            peer = self.by_name[sender.name] = sender
        elif sender.sequence <= peer.sequence:
            return False
        peer.sequence = sender.sequence
        peer.last_heard_at = now
        return True

    def record_heartbeat(
        self, name: str, incarnation: str, sequence: int, now: float
    ) -> bool:
        """Note a short message of a peer; False if it is old, or of no known life."""
        peer = self.by_name.get(name)
        if peer is None or peer.incarnation != incarnation or sequence <= peer.sequence:
            return False
        peer.sequence = sequence
        peer.last_heard_at = now
        return True

    def rate_share(self, incarnation_id: str, senders: int, now: float) -> float:
        """Return this router's part of what a target takes of all routers.

        Few of them send: those that come first by a hash of their names and the
        target's life, so that none needs to be told. Routers that are not heard keep
        their part, for they may send it behind a cut.

        Parameters
        ----------
        incarnation_id : str
            The life of the target.
        senders : int
            How many routers send to it.
        now : float
            Time in seconds.
        """
        names = self._alive_names(now)
        key = (incarnation_id, senders)
        if key not in self._shares:
            first = nsmallest(
                senders,
                names,
                key=lambda name: parts_hash([incarnation_id.encode(), name.encode()]),
            )
            has_part = self._own_name in first
            self._shares[key] = 1 / len(first) if has_part else 0.0
        return self._shares[key] * len(names) / self.known_count()

    def _alive_names(self, now: float) -> list[str]:
        """Return the names of the routers that are heard, this one included.

        Many targets are asked about at one moment, and seldom are other ones heard.
        """
        if now != self._names_at:
            names = [self._own_name]
            names += [
                name for name, peer in self.by_name.items() if self.is_alive(peer, now)
            ]
            if names != self._names or len(self._shares) > MAX_CACHED_SHARES:
                self._shares.clear()
            self._names, self._names_at = names, now
        return self._names

    def known_count(self) -> int:
        """Return the number of routers, this one included."""
        return len(self.by_name) + 1

    def alive_count(self, now: float) -> int:
        """Return the number of routers that are heard, this one included."""
        return 1 + sum(self.is_alive(peer, now) for peer in self.by_name.values())
