"""State of the other processes and of the settings, as seen by a router."""

from dataclasses import dataclass
from time import monotonic
from typing import Self

from berylwalk.router._directory import Directory
from berylwalk.router._membership import MemberTable
from berylwalk.router._peers import PeerRouters
from berylwalk.settings import RouterSettings, SettingsReplica


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """State shared by the components of a router.

    Parameters
    ----------
    members : MemberTable
        The listed processes and their addresses.
    peers : PeerRouters
        Liveness of the other routers.
    directory : Directory
        Addresses and roles derived from the members and peers.
    replica : SettingsReplica
        The highest settings document seen.
    """

    members: MemberTable
    peers: PeerRouters
    directory: Directory
    replica: SettingsReplica

    @classmethod
    def from_config(cls, settings: RouterSettings) -> Self:
        """Build the initial state, without members or settings."""
        router = settings.node.id
        members = MemberTable(router)
        peers = PeerRouters(router)
        directory = Directory(settings, members, peers)
        seeds = tuple(directory.seed_addresses)
        return cls(
            members=members,
            peers=peers,
            directory=directory,
            replica=SettingsReplica(monotonic(), node_id=router, seeds=seeds),
        )
