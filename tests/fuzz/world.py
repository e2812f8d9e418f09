"""Simulated fleet: the real state machines over a simulated network.

Datagrams, connections, the key-value service and the targets are simulated.
Processes can be killed, restarted, frozen and drained.
"""

from dataclasses import dataclass, field

from exchanges import step
from key_service import ClaimOutcome, KeyService
from machines import RESOURCE, TIERS, new_agent_machine, new_router_machine
from nodes import Node
from oracle import EntriesById, Oracle
from simulated_network import GrantConnection, PendingDatagram, SimulatedNetwork

from berylwalk.admission import EntryState
from berylwalk.agent import DatagramArrived as AgentDatagramArrived
from berylwalk.agent import DrainFinished as AgentDrainFinished
from berylwalk.agent import DrainRequested as AgentDrainRequested
from berylwalk.agent import RefuseGrant, SendToRouter, StartDispatch
from berylwalk.agent import Tick as AgentTick
from berylwalk.model import Request, RequestId, ServicePolicy, TargetCall, WorkEstimate
from berylwalk.router import (
    AbandonGrant,
    AgentsListed,
    CallerDisconnected,
    ClaimKey,
    EndRequest,
    IssueGrant,
    ReleaseKey,
    RequestArrived,
    SendToAgent,
)
from berylwalk.router import DatagramArrived as RouterDatagramArrived
from berylwalk.router import DrainFinished as RouterDrainFinished
from berylwalk.router import DrainRequested as RouterDrainRequested
from berylwalk.router import Tick as RouterTick
from berylwalk.router._request_state import Phase
from berylwalk.wire import Datagram, Refused

TICK_S = 0.05
CLOCK_STEP_S = 1000.0
SETTINGS_VERSION = 1
UNGRANTED = frozenset({Phase.UNPLACED, Phase.WAITING})


@dataclass(slots=True)
class World:
    """Simulated routers, agents, network and key service, and the oracle."""

    agent_ids: tuple[str, ...]
    router_ids: tuple[str, ...]
    now: float = 1000.0
    incarnations: int = 1
    network: SimulatedNetwork = field(default_factory=SimulatedNetwork)
    oracle: Oracle = field(default_factory=Oracle)
    keys: KeyService = field(default_factory=KeyService)
    agents_by_id: dict[str, Node] = field(default_factory=dict)
    routers_by_id: dict[str, Node] = field(default_factory=dict)
    lost_routers: set[tuple[str, int]] = field(default_factory=set)
    serial: int = 0
    steps: int = 0
    is_handling: bool = False

    def __post_init__(self) -> None:
        for agent in self.agent_ids:
            self.start_agent(agent)
        for router in self.router_ids:
            self.start_router(router)

    # Processes

    def start_agent(self, agent: str) -> None:
        """Start an agent with a new incarnation."""
        self.incarnations += 1
        machine = new_agent_machine(agent, self.incarnations)
        offset = CLOCK_STEP_S * (1 + self.agent_ids.index(agent))
        self.agents_by_id[agent] = Node(agent, self.incarnations, machine, offset)

    def start_router(self, router: str) -> None:
        """Start a router with a new incarnation."""
        self.incarnations += 1
        machine = new_router_machine(router, self.incarnations)
        offset = -CLOCK_STEP_S * (1 + self.router_ids.index(router)) / 10
        node = Node(router, self.incarnations, machine, offset)
        self.routers_by_id[router] = node
        self.list_agents(router, self.agent_ids)

    def kill_agent(self, agent: str) -> None:
        """Kill an agent; its connections break, but grants in transit stay."""
        node = self.agents_by_id[agent]
        node.alive = False
        for connection in self.network.connections:
            named = (connection.grant.agent, connection.grant.agent_incarnation)
            if named == node.identity and not connection.in_transit:
                connection.is_running = False
                connection.is_broken = True

    def kill_router(self, router: str) -> None:
        """Kill a router; its connections break."""
        node = self.routers_by_id[router]
        node.alive = False
        self.lost_routers.add(node.identity)
        for connection in self.network.connections:
            if connection.request_id[:2] == node.identity:
                connection.is_router_open = False

    def drain_agent(self, agent: str) -> None:
        """Ask an agent to drain."""
        node = self.agents_by_id[agent]
        if node.is_active:
            self.oracle.draining.add(node.identity)
            self.to_agent(node, AgentDrainRequested())

    def drain_router(self, router: str) -> None:
        """Ask a router to drain."""
        node = self.routers_by_id[router]
        if node.is_active:
            self.to_router(node, RouterDrainRequested())

    def list_agents(
        self,
        router: str,
        agents: tuple[str, ...],
        leaving: frozenset[str] = frozenset(),
    ) -> None:
        """Let a router read a VM list, which may be outdated."""
        node = self.routers_by_id[router]
        if node.is_active:
            self.to_router(node, AgentsListed(agents, leaving))

    # Time

    def advance(self, seconds: float) -> None:
        """Advance the time in steps, with a tick after each."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + TICK_S)
            self.tick()

    def tick(self) -> None:
        """Send a tick to every active process."""
        for node in list(self.agents_by_id.values()):
            if node.is_active:
                self.to_agent(node, AgentTick())
        for node in list(self.routers_by_id.values()):
            if node.is_active:
                self.to_router(node, RouterTick())
                self._check_deadlines(node)

    def _check_deadlines(self, node: Node) -> None:
        for view in node.machine.requests_view(self.now + node.clock_offset):
            is_late = view.phase in UNGRANTED and view.time_left_s < 0
            assert not is_late, "not ended at its deadline"

    # Requests

    def arrive(
        self, router: str, rank: int, account: str, key: str, deadline_s: float
    ) -> None:
        """Let a request arrive at a router."""
        node = self.routers_by_id[router]
        if not node.is_active:
            return
        self.serial += 1
        arrived_at = self.now + node.clock_offset
        request = Request(
            request_id=RequestId(router, node.incarnation, self.serial),
            service_policy=ServicePolicy(account, "", TIERS[rank]),
            call=TargetCall("POST", "/v1/completions", RESOURCE),
            estimate=WorkEstimate(prompt_tokens=20, output_tokens=1 + 10 * rank),
            arrived_at=arrived_at,
            deadline_at=arrived_at + deadline_s,
            idempotent=not key,
            idempotency_key=key,
        )
        self.oracle.accepted(request)
        self.to_router(node, RequestArrived(request))

    def disconnect_caller(self, request_id: RequestId) -> None:
        """Disconnect the caller of a request."""
        node = self.routers_by_id[request_id.router]
        if node.is_active and node.incarnation == request_id.incarnation:
            self.to_router(node, CallerDisconnected(request_id))

    # Network and keys

    def deliver(self, pending: PendingDatagram, *, keep: bool = False) -> None:
        """Deliver a datagram; `keep` leaves a copy in transit."""
        nodes = self.agents_by_id | self.routers_by_id
        node = nodes[pending.receiver]
        if node.frozen:
            return
        if not keep:
            self.network.datagrams.remove(pending)
        if not node.alive:
            return
        if node.node_id in self.agents_by_id:
            self.to_agent(node, AgentDatagramArrived(pending.datagram()))
        else:
            self.to_router(node, RouterDatagramArrived(pending.datagram()))

    def progress(self, connection: GrantConnection) -> None:
        """Make the next step of a connection."""
        step(self, connection)

    def settle_claim(self, request: Request, outcome: ClaimOutcome) -> None:
        """Let the key-value service process a claim, and its router get the result."""
        node = self.routers_by_id[request.request_id.router]
        if node.frozen:
            return
        result = self.keys.settle_claim(request, outcome)
        if node.alive and node.incarnation == request.request_id.incarnation:
            self.to_router(node, result)

    # Events and actions

    def to_agent(self, node: Node, event: object) -> list:
        """Pass an event to an agent and execute its actions."""
        self.steps += 1
        self.is_handling = True
        before = node.waiting()
        actions = node.machine.handle(event, self.now + node.clock_offset)
        unchanged = self._check_slot_offers(node, before)
        for action in actions:
            self._act_for_agent(node, action, before, unchanged)
        self.is_handling = False
        return actions

    def _check_slot_offers(self, node: Node, before: EntriesById) -> EntriesById:
        """Check the order of slot offers; return the unchanged queue entries."""
        after = node.waiting()
        unchanged = {one: after[one] for one in after if before.get(one) == after[one]}
        taken = [
            entry
            for one, entry in after.items()
            if entry.state is EntryState.TAKEN and before.get(one) != entry
        ]
        self.oracle.offered_slots(taken, unchanged)
        return unchanged

    def _act_for_agent(
        self, node: Node, action: object, before: EntriesById, unchanged: EntriesById
    ) -> None:
        if isinstance(action, SendToRouter):
            for message in action.messages:
                if isinstance(message, Refused):
                    self.oracle.refused(
                        node.identity, message.request_id, message.reason, unchanged
                    )
            self._send(node, action.router, action.messages)
        elif isinstance(action, RefuseGrant):
            grant = action.grant
            self.oracle.refused(
                node.identity, grant.request_id, action.refusal.reason, unchanged
            )
        elif isinstance(action, StartDispatch):
            grant = action.grant
            node.running.add(grant.request_id)
            if grant.conditional or grant.request_id not in before:
                self.oracle.dispatched_without_offer(grant, unchanged)
            self.oracle.dispatched(node.identity, grant.request_id)
        elif isinstance(action, AgentDrainFinished):
            assert not node.running, "drained while a request runs"

    def to_router(self, node: Node, event: object) -> list:
        """Pass an event to a router and execute its actions."""
        self.steps += 1
        self.is_handling = True
        actions = node.machine.handle(event, self.now + node.clock_offset)
        for action in actions:
            self._act_for_router(node, action)
        self.is_handling = False
        return actions

    def _act_for_router(self, node: Node, action: object) -> None:
        if isinstance(action, SendToAgent):
            self._send(node, action.agent, action.messages)
        elif isinstance(action, IssueGrant):
            self.network.open(action.grant, node.incarnation)
        elif isinstance(action, AbandonGrant):
            self._abandon(action)
        elif isinstance(action, ClaimKey):
            self.keys.claims.append(action.request)
        elif isinstance(action, ReleaseKey):
            self.keys.releases.append(action.request)
        elif isinstance(action, EndRequest):
            self.oracle.ended(action.request_id, action.response, self._reachable(node))
        elif isinstance(action, RouterDrainFinished):
            own = [
                one for one in self.oracle.open_requests() if one[:2] == node.identity
            ]
            assert not own, "drained with requests left"

    def _send(self, node: Node, receiver: str, messages: tuple) -> None:
        datagram = Datagram(node.node_id, node.incarnation, SETTINGS_VERSION, messages)
        self.network.send(receiver, datagram)

    def _abandon(self, action: AbandonGrant) -> None:
        for connection in self.network.connections:
            named = (connection.request_id, connection.grant.attempt)
            if named == (action.request_id, action.attempt):
                connection.is_router_open = False

    def _reachable(self, node: Node) -> set[tuple[str, int]]:
        """Return the agents that the router considers available."""
        views = node.machine.agents_view(self.now + node.clock_offset)
        return {(view.agent, view.incarnation) for view in views if view.takes_work}
