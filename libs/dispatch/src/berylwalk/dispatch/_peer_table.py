"""Membership and liveness of the other routers."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import nsmallest
from math import log, log2
from random import choice
from typing import Self

from berylwalk.affinity import parts_hash
from berylwalk.dispatch._request_rates import RatesByService

PEER_TIMEOUT_S = 0.7
"""Time without a message after which a direct peer is no longer alive, in seconds."""

RELAYED_PEER_TIMEOUT_S = 1.3
"""Same for peers behind a relay, which may have to be replaced first."""

MAX_FULL_MESH_PEERS = 5
"""Maximum number of peers for a full mesh. In larger fleets, updates cross failure
domains through relays, since the number of messages grows with the square of the peers.
"""

STALE_INCARNATION_S = 0.3
"""Time for which messages of another incarnation are ignored after a message of the
current one, in seconds; they may be late."""

MAX_CACHED_SHARES = 10_000
"""Maximum number of cached rate shares."""
MAX_CACHED_RANKS = 100_000
"""Maximum number of cached ranks, one for each router and target with few senders."""

MIN_WEIGHT = 0.1
"""Weight of a router without requests, relative to the mean: what it may send before
the others learn that it has some."""
SHARES_INTERVAL_S = 0.25
"""Interval between two times at which shares are worked out from new rates."""
SHARES_INTERVAL_PER_ROUTER_S = 0.005
"""The same in large fleets, for each router: the work grows with their number."""
HASHES = 2**32


@dataclass(slots=True)
class Peer:
    """Another router.

    Parameters
    ----------
    name : str
        Name of its VM.
    host, port : str, int
        Address for peer messages.
    incarnation : str
        Identifies the process; changes with each restart.
    failure_domain : str
        Failure domain of its VM.
    last_heard_at : float
        Time of its last message, in seconds.
    sequence : int
        Sequence number of its last message.
    unready_claim : int
        Pressure on its VM at which it began to want no new connections, in percent of a
        limit; 0 if it wants them.
    is_unready : bool
        Whether it tells the load balancer that it is not ready.
    is_full : bool
        Whether it turns new connections away to spare its VM.
    """

    name: str
    host: str
    port: int
    incarnation: str
    failure_domain: str = ""
    last_heard_at: float = float("-inf")
    sequence: int = 0
    unready_claim: int = 0
    is_unready: bool = False
    is_full: bool = False


class PeerTable:
    """Other routers by name.

    Parameters
    ----------
    own_name : str
        Name of this router.
    failure_domain : str
        Failure domain of this router.
    """

    def __init__(self, own_name: str, failure_domain: str = "") -> None:
        self._own_name = own_name
        self._failure_domain = failure_domain
        self.by_name: dict[str, Peer] = {}
        self._names: list[str] = []
        self._names_at: float | None = None
        self._shares: dict[tuple[str, int, str], float] = {}
        self._rates_by_name: dict[str, RatesByService] = {}
        self._rates_changed = False
        self._shares_at = float("-inf")
        self._weights_by_service: dict[str, _Weights] = {}
        self._ranks: dict[str, dict[str, float]] = {}
        self._was_listed = False

    def is_direct(self, peer: Peer) -> bool:
        """Return whether messages are sent to a peer directly."""
        if len(self.by_name) <= MAX_FULL_MESH_PEERS:
            return True
        return peer.failure_domain == self._failure_domain

    def direct_peers(self) -> list[Peer]:
        """Return the peers to which messages are sent directly."""
        return [peer for peer in self.by_name.values() if self.is_direct(peer)]

    def relayed_domains(self) -> set[str]:
        """Return the failure domains that are reached through a relay."""
        return {
            peer.failure_domain
            for peer in self.by_name.values()
            if not self.is_direct(peer)
        }

    def is_alive(self, peer: Peer, now: float) -> bool:
        """Return whether a peer has sent a message within its timeout."""
        within_s = PEER_TIMEOUT_S if self.is_direct(peer) else RELAYED_PEER_TIMEOUT_S
        return now - peer.last_heard_at <= within_s

    def is_relay(self, now: float) -> bool:
        """Return whether this router is the relay of its failure domain."""
        first = self.first_direct_peer(now)
        return first is None or self._own_name <= first.name

    def first_direct_peer(self, now: float) -> Peer | None:
        """Return the live direct peer with the lowest name, or None."""
        alive = [peer for peer in self.direct_peers() if self.is_alive(peer, now)]
        return min(alive, key=lambda peer: peer.name, default=None)

    def is_leader(self, now: float) -> bool:
        """Return whether this router has the lowest name of the live routers."""
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
        """Return the relay of another failure domain, or None.

        If no router of the domain is alive, `pick` chooses one of them.
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

    def replace(
        self, listed: list[Peer], now: float, *, may_lack: bool = False
    ) -> list[Peer]:
        """Apply the list of routers; returns the incarnations that have ended.

        Parameters
        ----------
        listed : list of Peer
            The listed routers.
        now : float
            Current time in seconds.
        may_lack : bool
            Whether the list may lack routers or later incarnations of them, so that
            none ends.
        """
        self._was_listed = True
        listed_by_name = {
            peer.name: peer for peer in listed if peer.name != self._own_name
        }
        ended = []
        for name, peer in list(self.by_name.items()):
            new = listed_by_name.get(name)
            if may_lack or (new is None and self.is_alive(peer, now)):
                # It sends messages, or did so, but is not listed yet.
                continue
            if new is None or (
                new.incarnation != peer.incarnation and not self.is_alive(peer, now)
            ):
                ended.append(peer)
                del self.by_name[name]
                self._rates_by_name.pop(name, None)
        for name, new in listed_by_name.items():
            self.by_name.setdefault(name, new)
        return ended

    def record_message(self, sender: Peer, now: float) -> bool:
        """Record a message; returns False if it is outdated.

        A router may send messages before it is listed. A new incarnation replaces the
        known one once that has been silent for a moment.
        """
        peer = self.by_name.get(sender.name)
        if peer is not None and peer.incarnation != sender.incarnation:
            if now - peer.last_heard_at < STALE_INCARNATION_S:
                return False
            peer = None
        if peer is None:
            peer = self.by_name[sender.name] = sender
        elif sender.sequence <= peer.sequence:
            return False
        peer.sequence = sender.sequence
        peer.unready_claim, peer.is_unready = sender.unready_claim, sender.is_unready
        peer.is_full = sender.is_full
        peer.last_heard_at = now
        return True

    def record_heartbeat(
        self, name: str, incarnation: str, sequence: int, now: float
    ) -> bool:
        """Record a heartbeat; returns False if it is outdated or of an unknown peer."""
        peer = self.by_name.get(name)
        if peer is None or peer.incarnation != incarnation or sequence <= peer.sequence:
            return False
        peer.sequence = sequence
        peer.last_heard_at = now
        return True

    def record_rates(self, name: str, rates: RatesByService) -> None:
        """Record the rates of requests that a router has told, or told itself."""
        if self._rates_by_name.get(name) != rates:
            self._rates_by_name[name] = rates
            self._rates_changed = True

    def record_own_rates(self, rates: RatesByService) -> None:
        """Record the rates of requests that this router tells the others."""
        self.record_rates(self._own_name, rates)

    def rate_share(
        self, incarnation_id: str, senders: int, now: float, service: str = ""
    ) -> float:
        """Return this router's share of a target's rate limit.

        The senders are chosen by rendezvous hashing, without coordination, and share
        the limit by the rates of their requests for the service. Routers that are not
        alive keep their share, since they may still send behind a network partition.

        Parameters
        ----------
        incarnation_id : str
            Incarnation id of the target.
        senders : int
            Number of routers that send to it.
        now : float
            Current time in seconds.
        service : str
            Service of the target.
        """
        names = self._alive_names(now)
        key = (incarnation_id, senders, service)
        if key not in self._shares:
            weights = self._weights(names, service)
            own_weight = weights.by_name[self._own_name]
            if senders >= len(names):
                self._shares[key] = own_weight / weights.total
            else:
                chosen = self._choose_senders(incarnation_id, senders, weights)
                total = sum(weights.by_name[name] for name in chosen)
                has_part = self._own_name in chosen
                self._shares[key] = own_weight / total if has_part else 0.0
        return self._shares[key] * len(names) / self.known_count()

    def _weights(self, names: list[str], service: str) -> "_Weights":
        """Return the weights of routers by their rates of requests."""
        weights = self._weights_by_service.get(service)
        if weights is None:
            rates = {
                name: self._rates_by_name.get(name, {}).get(service, 0.0)
                for name in names
            }
            weights = self._weights_by_service[service] = _Weights.from_rates(rates)
        return weights

    def _choose_senders(
        self, incarnation_id: str, senders: int, weights: "_Weights"
    ) -> list[str]:
        """Choose routers by weighted rendezvous hashing, the same ones on all."""
        ranks = self._ranks.get(incarnation_id)
        if ranks is None:
            if len(self._ranks) * len(weights.by_name) > MAX_CACHED_RANKS:
                self._ranks.clear()
            ranks = self._ranks[incarnation_id] = {}
        for name in weights.by_name:
            if name not in ranks:
                ranks[name] = _rank(incarnation_id, name)
        return nsmallest(
            senders,
            weights.by_name,
            key=lambda name: ranks[name] / _power_of_two(weights.by_name[name]),
        )

    def _may_renew_shares(self, now: float) -> bool:
        interval_s = SHARES_INTERVAL_PER_ROUTER_S * self.known_count()
        return now - self._shares_at >= max(SHARES_INTERVAL_S, interval_s)

    def _forget_shares(self, now: float) -> None:
        self._shares.clear()
        self._weights_by_service.clear()
        self._rates_changed = False
        self._shares_at = now

    def _alive_names(self, now: float) -> list[str]:
        """Return the names of the live routers, including this one.

        Cached, since shares of many targets are looked up at the same time.
        """
        if now != self._names_at:
            names = [self._own_name]
            names += [
                name for name, peer in self.by_name.items() if self.is_alive(peer, now)
            ]
            if (
                names != self._names
                or len(self._shares) > MAX_CACHED_SHARES
                or (self._rates_changed and self._may_renew_shares(now))
            ):
                self._forget_shares(now)
            self._names, self._names_at = names, now
        return self._names

    def all_heard_until(self, now: float) -> float:
        """Return the time of the oldest last message of the live peers."""
        heard_at = [
            peer.last_heard_at
            for peer in self.by_name.values()
            if self.is_alive(peer, now)
        ]
        return min(heard_at, default=now)

    def known_count(self) -> int:
        """Return the number of known routers, including this one."""
        return len(self.by_name) + 1

    def all_alive(self, now: float) -> bool:
        """Return whether all listed routers are alive; not before the first list."""
        return self._was_listed and self.alive_count(now) == self.known_count()

    def alive_count(self, now: float) -> int:
        """Return the number of live routers, including this one."""
        return 1 + sum(self.is_alive(peer, now) for peer in self.by_name.values())


@dataclass(frozen=True, slots=True)
class _Weights:
    """Weights of routers for a service, and their sum."""

    by_name: dict[str, float]
    total: float

    @classmethod
    def from_rates(cls, rates: dict[str, float]) -> Self:
        """Weigh routers by their rates; equally if there are none."""
        total = sum(rates.values())
        if total <= 0:
            return cls(dict.fromkeys(rates, 1.0), float(len(rates)))
        least = MIN_WEIGHT * total / len(rates)
        by_name = {name: rate + least for name, rate in rates.items()}
        return cls(by_name, sum(by_name.values()))


def _power_of_two(weight: float) -> float:
    """Return the nearest power of two: small changes must not choose other senders."""
    return 2.0 ** round(log2(weight))


def _rank(incarnation_id: str, name: str) -> float:
    """Return a draw from an exponential distribution, the same on all routers.

    The router with the smallest draw divided by its weight is chosen in proportion to
    the weights.
    """
    drawn = parts_hash([incarnation_id.encode(), name.encode()])
    return -log((drawn + 1) / (HASHES + 1))
