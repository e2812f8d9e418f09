"""Liveness and settings versions of the other routers, from their datagrams."""

from collections import deque
from collections.abc import Iterable
from hashlib import blake2b
from math import ceil

LIVENESS_TIMEOUT_S = 3.0
"""Minimum silence after which a router is not considered live."""

MAX_HELLOS_PER_S = 20
"""Maximum number of heartbeats to other routers per second."""


def router_rank(router: str) -> bytes:
    """Return the sort key of a router in an order that all routers share.

    The hash spreads the lowest ranks over the failure domains.
    """
    return blake2b(router.encode(), digest_size=8).digest()


class PeerRouters:
    """Tracks the other routers and schedules heartbeats to them.

    Parameters
    ----------
    router : str
        Node identifier of this router.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._last_heard_at_by_id: dict[str, float] = {}
        self._version_by_id: dict[str, int] = {}
        self._rotation: deque[str] = deque()

    def record_datagram(self, router: str, settings_version: int, now: float) -> None:
        """Record a datagram of a router."""
        self._last_heard_at_by_id[router] = now
        self._version_by_id[router] = settings_version

    def last_heard_at(self, router: str) -> float | None:
        """Return the time of a router's last datagram, or None."""
        return self._last_heard_at_by_id.get(router)

    def version_of(self, router: str) -> int:
        """Return the last settings version a router reported; 0 if none."""
        return self._version_by_id.get(router, 0)

    def live(self, now: float) -> list[str]:
        """Return the routers with a recent datagram, sorted."""
        live_s = self._liveness_timeout_s()
        return sorted(
            router
            for router, last_heard_at in self._last_heard_at_by_id.items()
            if now - last_heard_at < live_s
        )

    def is_among_lowest_ranked(self, count: int, now: float) -> bool:
        """Return whether this router is among the ``count`` lowest-ranked live ones."""
        own_rank = router_rank(self._router)
        lower = sum(router_rank(router) < own_rank for router in self.live(now))
        return lower < count

    def next_heartbeat_recipients(self, routers: Iterable[str]) -> list[str]:
        """Return the routers that are sent a heartbeat in this second.

        All routers if there are at most `MAX_HELLOS_PER_S`, otherwise round-robin,
        so that the cost does not grow with the number of routers.
        """
        wanted = set(routers)
        known = [router for router in self._rotation if router in wanted]
        added = sorted(wanted.difference(known))
        self._rotation = deque(known + added)
        chosen = list(self._rotation)[:MAX_HELLOS_PER_S]
        self._rotation.rotate(-len(chosen))
        return chosen

    def retain(self, routers: Iterable[str], now: float) -> list[str]:
        """Remove and return the routers that are neither listed nor live."""
        kept = {*routers, *self.live(now)}
        removed = [router for router in self._last_heard_at_by_id if router not in kept]
        for router in removed:
            del self._last_heard_at_by_id[router]
            del self._version_by_id[router]
        return removed

    def _liveness_timeout_s(self) -> float:
        rounds = ceil(len(self._rotation) / MAX_HELLOS_PER_S)
        return LIVENESS_TIMEOUT_S * max(1, rounds)
