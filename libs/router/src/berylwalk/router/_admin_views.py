"""Implementations of the admin API's interfaces for a router."""

from collections.abc import Callable
from time import monotonic

from berylwalk.admin import NodeRole, NodeStatus, TargetStatus, TierStatus
from berylwalk.platform import KeyValueStore
from berylwalk.router._machine import RouterMachine
from berylwalk.router._membership import MemberTable
from berylwalk.router._peers import PeerRouters
from berylwalk.router._settings_store import PlatformSettingsStore
from berylwalk.router._settings_sync import SettingsSync
from berylwalk.settings import (
    Accepted,
    Patch,
    ReadFailed,
    SettingsDocument,
    SettingsReplica,
    SubmitResult,
    Undecided,
    read_document,
    submit_patch,
)
from berylwalk.wire import Member

NEVER_HEARD_SILENCE_S = 1e9
"""Silence reported for a node that never sent a datagram, in seconds."""


class RouterSettingsService:
    """Implements `berylwalk.admin.SettingsService`.

    Parameters
    ----------
    replica : SettingsReplica
        Holds the document in force.
    sync : SettingsSync
        Announces accepted documents.
    store : KeyValueStore
        The key-value service.
    """

    def __init__(
        self, replica: SettingsReplica, sync: SettingsSync, store: KeyValueStore
    ) -> None:
        self._replica = replica
        self._sync = sync
        self._store = PlatformSettingsStore(store)

    @property
    def document(self) -> SettingsDocument | None:
        """Document in force at this router; None before the first arrives."""
        return self._replica.document

    async def latest(self) -> SettingsDocument | ReadFailed:
        """Read the latest document from the key-value service."""
        return await read_document(self._store)

    async def submit(self, patch: Patch, author: str) -> SubmitResult:
        """Write a patch and announce the accepted document to peers.

        Changes that the store has lost are written first: this router doesn't take a
        document without them, and would be the only one to know the new change.
        """
        if not await self._sync.write_back_changes():
            return Undecided(
                "the key-value service cannot be compared with this router"
            )
        result = await submit_patch(
            self._store,
            patch,
            author,
            minimum_version=self._replica.highest_known_version,
        )
        if isinstance(result, Accepted):
            self._sync.accept(result.document)
        return result


class RouterFleetView:
    """Implements `berylwalk.admin.FleetView`.

    Parameters
    ----------
    router : str
        Node identifier of this router.
    address, failure_domain : str
        Address and failure domain of this router.
    machine : RouterMachine
        Source of the agents' state.
    members : MemberTable
        Source of addresses.
    peers : PeerRouters
        Liveness of the other routers.
    replica : SettingsReplica
        Holds the document in force.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        router: str,
        address: str,
        failure_domain: str,
        machine: RouterMachine,
        members: MemberTable,
        peers: PeerRouters,
        replica: SettingsReplica,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._router = router
        self._address = address
        self._failure_domain = failure_domain
        self._machine = machine
        self._members = members
        self._peers = peers
        self._replica = replica
        self._clock = clock

    def nodes(self) -> list[NodeStatus]:
        """Return all known routers and agents, this router included."""
        return [self._own_status(), *self._router_nodes(), *self._agent_nodes()]

    def targets(self) -> list[TargetStatus]:
        """Return all known targets."""
        return [
            TargetStatus(
                agent=view.agent,
                address=self._members.address_of(view.agent) or "",
                failure_domain=view.failure_domain,
                resources=view.resources,
                reachable=view.reachable,
                leaving=view.leaving,
                slow=view.slow,
                running=view.running,
                limit=view.limit,
                waiting=sum(view.waiting_by_rank),
                target_reachable=view.target_reachable,
            )
            for view in self._machine.agents_view(self._clock())
        ]

    def tiers(self) -> list[TierStatus]:
        """Return the tiers with their waiting and running requests."""
        document = self._replica.document
        if document is None:
            return []
        counts_by_tier = self._machine.tier_counts()
        statuses = []
        for name, tier in document.tree.tiers_by_name.items():
            counts = counts_by_tier.get(name)
            waiting = counts.waiting if counts else 0
            running = counts.running if counts else 0
            statuses.append(TierStatus(name, tier.rank, waiting, running))
        return sorted(statuses, key=lambda status: status.rank)

    def _own_status(self) -> NodeStatus:
        return NodeStatus(
            node_id=self._router,
            role=NodeRole.ROUTER,
            address=self._address,
            failure_domain=self._failure_domain,
            settings_version=self._replica.version,
        )

    def _router_nodes(self) -> list[NodeStatus]:
        now = self._clock()
        members_by_id = {member.vm_id: member for member in self._members.members}
        return [
            self._router_node(members_by_id[router], now)
            for router in sorted(self._members.router_ids)
        ]

    def _router_node(self, member: Member, now: float) -> NodeStatus:
        last_heard_at = self._peers.last_heard_at(member.vm_id)
        return NodeStatus(
            node_id=member.vm_id,
            role=NodeRole.ROUTER,
            address=member.address,
            failure_domain=member.failure_domain,
            settings_version=self._peers.version_of(member.vm_id),
            silent_s=NEVER_HEARD_SILENCE_S
            if last_heard_at is None
            else now - last_heard_at,
        )

    def _agent_nodes(self) -> list[NodeStatus]:
        return [
            NodeStatus(
                node_id=view.agent,
                role=NodeRole.AGENT,
                address=self._members.address_of(view.agent) or "",
                failure_domain=view.failure_domain,
                settings_version=view.settings_version,
                silent_s=NEVER_HEARD_SILENCE_S
                if view.silent_s is None
                else view.silent_s,
            )
            for view in self._machine.agents_view(self._clock())
        ]
