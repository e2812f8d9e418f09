"""Addresses of the other processes, and this router's role among the routers."""

from collections.abc import Callable
from time import monotonic

from berylwalk.router._membership import MemberTable
from berylwalk.router._peers import PeerRouters
from berylwalk.settings import RouterSettings

DISPATCH_PATH = "/v1/dispatch"
ORDERS_PATH = "/v1/orders"
WATCHER_COUNT = 4
"""Number of routers in the fleet that watch the settings."""

PULL_JITTER_PER_ROUTER_S = 0.003
MAX_PULL_JITTER_S = 0.5


class Directory:
    """Looks up addresses and roles from the settings, member list and heartbeats.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the node.
    members : MemberTable
        Source of addresses.
    peers : PeerRouters
        Liveness of the other routers.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        settings: RouterSettings,
        members: MemberTable,
        peers: PeerRouters,
        *,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._settings = settings
        self._members = members
        self._peers = peers
        self._clock = clock

    @property
    def seed_addresses(self) -> list[str]:
        """Addresses of the other routers in the settings file."""
        own = self._settings.node.address
        return [address for address in self._settings.fleet.peers if address != own]

    def peer_addresses(self) -> list[str]:
        """Return the addresses of live routers, or else the seed addresses."""
        live = self._peers.live(self._clock())
        addresses = [self._members.address_of(router) for router in live]
        return [*filter(None, addresses)] or self.seed_addresses

    def dispatch_url(self, agent: str) -> str | None:
        """Return the URL for grants to an agent, or None if its address is unknown."""
        return self._agent_url(agent, DISPATCH_PATH)

    def orders_url(self, agent: str) -> str | None:
        """Return the URL for orders to an agent, or None if its address is unknown."""
        return self._agent_url(agent, ORDERS_PATH)

    def is_watcher(self) -> bool:
        """Return whether this router is one of those that watch the settings."""
        return self._peers.is_among_lowest_ranked(WATCHER_COUNT, self._clock())

    def pull_jitter_s(self) -> float:
        """Return the maximum random delay of a pull, in seconds."""
        routers = len(self._members.router_ids)
        return min(MAX_PULL_JITTER_S, routers * PULL_JITTER_PER_ROUTER_S)

    def _agent_url(self, agent: str, path: str) -> str | None:
        address = self._members.address_of(agent)
        if address is None:
            return None
        return f"http://{address}:{self._settings.ports.dispatch}{path}"
