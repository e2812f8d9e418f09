"""Membership of routers and agents, from the VM list and heartbeats."""

from collections.abc import Iterable
from dataclasses import dataclass

from berylwalk.platform import Vm, VmRole
from berylwalk.router._events import AgentsListed
from berylwalk.wire import Member

PEER_TIMEOUT_S = 3.0
"""Silence after which a member is not considered alive."""


@dataclass(slots=True)
class _KnownMember:
    member: Member
    last_heard_at: float = float("-inf")


def member_from_vm(vm: Vm) -> Member:
    """Return the member for a VM of the list."""
    return Member(
        vm_id=vm.vm_id,
        address=vm.address,
        failure_domain=vm.failure_domain,
        role=str(vm.role),
        leaving=vm.leaving,
    )


class MemberTable:
    """The last known members; the VM list lags and may be unavailable.

    A member that is missing from the list stays while it sends datagrams, unless
    the last list that contained it marked it as leaving.

    Parameters
    ----------
    node_id : str
        Node identifier of this router.
    peer_timeout_s : float
        Silence after which a member is not considered alive, in seconds.
    """

    def __init__(self, node_id: str, *, peer_timeout_s: float = PEER_TIMEOUT_S) -> None:
        self._node_id = node_id
        self._peer_timeout_s = peer_timeout_s
        self._known_by_id: dict[str, _KnownMember] = {}

    @property
    def members(self) -> tuple[Member, ...]:
        """All members, including this router once it is listed."""
        return tuple(known.member for known in self._known_by_id.values())

    @property
    def router_ids(self) -> tuple[str, ...]:
        """Node identifiers of the other routers."""
        return tuple(
            member.vm_id
            for member in self.members
            if member.role == VmRole.ENTRY and member.vm_id != self._node_id
        )

    @property
    def agent_ids(self) -> tuple[str, ...]:
        """Node identifiers of the agents, sorted."""
        return tuple(
            sorted(
                member.vm_id for member in self.members if member.role == VmRole.TARGET
            )
        )

    @property
    def agent_count(self) -> int:
        """Number of agents."""
        return sum(
            known.member.role == VmRole.TARGET for known in self._known_by_id.values()
        )

    def agents_listed(self) -> AgentsListed:
        """Return the agents as an event for the state machine."""
        leaving = frozenset(
            member.vm_id
            for member in self.members
            if member.role == VmRole.TARGET and member.leaving
        )
        return AgentsListed(self.agent_ids, leaving)

    def address_of(self, node_id: str) -> str | None:
        """Return the IP address of a member, or None if it is not known."""
        known = self._known_by_id.get(node_id)
        return None if known is None else known.member.address

    def is_router(self, node_id: str) -> bool:
        """Return whether a member is a router."""
        known = self._known_by_id.get(node_id)
        return known is not None and known.member.role == VmRole.ENTRY

    def record_datagram(self, node_id: str, now: float) -> None:
        """Record that a member sent a datagram."""
        known = self._known_by_id.get(node_id)
        if known is not None:
            known.last_heard_at = now

    def add_router(self, node_id: str, address: str, now: float) -> None:
        """Add a router that sent a datagram before the list contained it."""
        if node_id != self._node_id and node_id not in self._known_by_id:
            member = Member(node_id, address, "", str(VmRole.ENTRY), leaving=False)
            self._known_by_id[node_id] = _KnownMember(member, now)

    def apply_list(self, members: Iterable[Member], now: float) -> None:
        """Apply the platform's VM list.

        Parameters
        ----------
        members : iterable of Member
            The whole list.
        now : float
            Monotonic clock, in seconds.
        """
        listed_by_id = {member.vm_id: member for member in members}
        for vm_id in [*self._known_by_id]:
            if vm_id not in listed_by_id and self._may_remove(vm_id, now):
                del self._known_by_id[vm_id]
        for member in listed_by_id.values():
            self._put(member)

    def merge_peer_list(self, members: Iterable[Member]) -> None:
        """Add the members of a peer while the platform's list is unavailable.

        No member is removed, and none that is leaving is marked as staying.
        """
        for member in members:
            known = self._known_by_id.get(member.vm_id)
            if known is None or (member.leaving and not known.member.leaving):
                self._put(member)

    def _put(self, member: Member) -> None:
        known = self._known_by_id.get(member.vm_id)
        if known is None:
            self._known_by_id[member.vm_id] = _KnownMember(member)
        else:
            known.member = member

    def _may_remove(self, vm_id: str, now: float) -> bool:
        known = self._known_by_id[vm_id]
        is_silent = now - known.last_heard_at >= self._peer_timeout_s
        return known.member.leaving or is_silent
