"""Routers that the agent has heard of."""

from dataclasses import dataclass
from enum import Enum, auto

FORGET_AFTER_TIMEOUTS = 100


class IncarnationStatus(Enum):
    """What a message of a router means for its incarnation."""

    CURRENT = auto()
    REPLACED = auto()
    """Another incarnation than the one known; the known one is gone."""
    STALE = auto()
    """An earlier incarnation than the one known; to be ignored."""


@dataclass(slots=True)
class Peer:
    """One router.

    Parameters
    ----------
    incarnation : int
        Of its last accepted message.
    heard_at : float
        When that message came, in seconds.
    silent : bool
        Whether its silence was told.
    digest_s : float or None
        Least time between two unasked digests, in seconds; None for none.
    pushed_at : float
        When the last unasked digest was sent.
    """

    incarnation: int
    last_message_at: float
    timeout_reported: bool = False
    push_interval_s: float | None = None
    pushed_at: float = float("-inf")


class Peers:
    """Incarnations of the routers and when each was last heard.

    Parameters
    ----------
    timeout_s : float
        Silence after which a router counts as gone, in seconds.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._peers_by_id: dict[str, Peer] = {}

    def record_message(
        self, router: str, incarnation: int, now: float
    ) -> IncarnationStatus:
        """Record a message of a router and judge its incarnation."""
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
        """Note how often a router may be sent digests unasked; 0 for never."""
        push_interval_s = interval_ms / 1000 if interval_ms > 0 else None
        self._peers_by_id[router].push_interval_s = push_interval_s

    def digest_subscribers(self, now: float) -> list[tuple[str, Peer]]:
        """Return the routers heard within the timeout that want digests."""
        return [
            (router, peer)
            for router, peer in self._peers_by_id.items()
            if peer.push_interval_s is not None and not self._is_timed_out(peer, now)
        ]

    def newly_timed_out(self, now: float) -> list[str]:
        """Return the routers that became silent since the last call."""
        found = []
        for router, peer in tuple(self._peers_by_id.items()):
            if not self._is_timed_out(peer, now):
                continue
            if not peer.timeout_reported:
                peer.timeout_reported = True
                found.append(router)
            if now - peer.last_message_at > FORGET_AFTER_TIMEOUTS * self._timeout_s:
                del self._peers_by_id[router]
        return found

    def _is_timed_out(self, peer: Peer, now: float) -> bool:
        return now - peer.last_message_at > self._timeout_s
