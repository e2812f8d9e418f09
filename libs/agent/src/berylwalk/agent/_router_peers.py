"""Routers known to the agent, and their liveness."""

from dataclasses import dataclass
from enum import Enum, auto

# Peers are removed after this many timeouts.
REMOVE_AFTER_TIMEOUTS = 100


class IncarnationStatus(Enum):
    """Incarnation of a message compared with the known one of its router."""

    CURRENT = auto()
    REPLACED = auto()
    """Replaces the known incarnation, which has ended."""
    STALE = auto()
    """Older than the known incarnation; the message is ignored."""


@dataclass(slots=True)
class Peer:
    """State of one router.

    Parameters
    ----------
    incarnation : int
        Incarnation in its last accepted message.
    last_message_at : float
        Time of that message, in seconds.
    timeout_reported : bool
        Whether `newly_timed_out` has returned it since that message.
    push_interval_s : float or None
        Least time between two pushed digests, in seconds; None if not subscribed.
    pushed_at : float
        Time of the last pushed digest, in seconds.
    """

    incarnation: int
    last_message_at: float
    timeout_reported: bool = False
    push_interval_s: float | None = None
    pushed_at: float = float("-inf")


class Peers:
    """Incarnation and last message of each router.

    Parameters
    ----------
    timeout_s : float
        Time without a message after which a router counts as failed, in seconds.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._peers_by_id: dict[str, Peer] = {}

    def record_message(
        self, router: str, incarnation: int, now: float
    ) -> IncarnationStatus:
        """Record a message of a router and compare its incarnation."""
        peer = self._peers_by_id.get(router)
        if peer is None:
            self._peers_by_id[router] = Peer(incarnation, now)
            return IncarnationStatus.CURRENT
        if incarnation < peer.incarnation and not self._is_timed_out(peer, now):
            return IncarnationStatus.STALE
        if incarnation != peer.incarnation:
            self._peers_by_id[router] = Peer(incarnation, now)
            return IncarnationStatus.REPLACED
        peer.last_message_at = now
        peer.timeout_reported = False
        return IncarnationStatus.CURRENT

    def subscribe_digests(self, router: str, interval_ms: int) -> None:
        """Set how often digests are pushed to a router; 0 unsubscribes it."""
        push_interval_s = interval_ms / 1000 if interval_ms > 0 else None
        self._peers_by_id[router].push_interval_s = push_interval_s

    def digest_subscribers(self, now: float) -> list[tuple[str, Peer]]:
        """Return the live routers that subscribed to digests."""
        return [
            (router, peer)
            for router, peer in self._peers_by_id.items()
            if peer.push_interval_s is not None and not self._is_timed_out(peer, now)
        ]

    def newly_timed_out(self, now: float) -> list[str]:
        """Return the routers that timed out since the last call."""
        timed_out = []
        for router, peer in tuple(self._peers_by_id.items()):
            if not self._is_timed_out(peer, now):
                continue
            if not peer.timeout_reported:
                peer.timeout_reported = True
                timed_out.append(router)
            if now - peer.last_message_at > REMOVE_AFTER_TIMEOUTS * self._timeout_s:
                del self._peers_by_id[router]
        return timed_out

    def _is_timed_out(self, peer: Peer, now: float) -> bool:
        return now - peer.last_message_at > self._timeout_s
