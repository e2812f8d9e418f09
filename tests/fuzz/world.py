"""A fleet of real state machines over the simulated network.

Only the shells are replaced: datagrams, connections, the key-value service and
the targets. Processes can be killed, restarted, frozen and drained.
"""

from dataclasses import dataclass, field

from exchanges import step
from key_service import ClaimFate, KeyService
from machines import RESOURCE, TIERS, new_agent_machine, new_router_machine
from nodes import Node
from oracle import Oracle, WaitingById
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
    """Routers, agents, network, keys and the oracle."""

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
    handling: bool = False

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
        """End an agent at once; what it has read is cut, what it has not may wait."""
        node = self.agents_by_id[agent]
        node.alive = False
        for connection in self.network.connections:
            named = (connection.grant.agent, connection.grant.agent_incarnation)
            if named == node.name and not connection.arrives:
                connection.runs = False
                connection.broken = True

    def kill_router(self, router: str) -> None:
        """End a router at once; its connections break."""
        node = self.routers_by_id[router]
        node.alive = False
        self.lost_routers.add(node.name)
        for connection in self.network.connections:
            if connection.request_id[:2] == node.name:
                connection.router_open = False

    def drain_agent(self, agent: str) -> None:
        """Ask an agent to take no new work."""
        node = self.agents_by_id[agent]
        if node.acting:
            self.oracle.draining.add(node.name)
            self.to_agent(node, AgentDrainRequested())

    def drain_router(self, router: str) -> None:
        """Ask a router to accept nothing more."""
        node = self.routers_by_id[router]
        if node.acting:
            self.to_router(node, RouterDrainRequested())

    def list_agents(
        self,
        router: str,
        agents: tuple[str, ...],
        leaving: frozenset[str] = frozenset(),
    ) -> None:
        """Let a router read the VM list, which may be out of date."""
        node = self.routers_by_id[router]
        if node.acting:
            self.to_router(node, AgentsListed(agents, leaving))

    # Time

    def advance(self, seconds: float) -> None:
        """Let time pass; every process that acts gets its ticks."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + TICK_S)
            self.tick()

    def tick(self) -> None:
        """Tell every process that acts that time has passed."""
        for node in list(self.agents_by_id.values()):
            if node.acting:
                self.to_agent(node, AgentTick())
        for node in list(self.routers_by_id.values()):
            if node.acting:
                self.to_router(node, RouterTick())
                self._check_deadlines(node)

    def _check_deadlines(self, node: Node) -> None:
        for view in node.machine.requests_view(self.now + node.clock_offset):
            is_late = view.phase in UNGRANTED and view.time_left_s < 0
            assert not is_late, "not given up at its deadline"

    # Requests

    def arrive(
        self, router: str, rank: int, account: str, key: str, deadline_s: float
    ) -> None:
        """Let a caller's request arrive at a router."""
        node = self.routers_by_id[router]
        if not node.acting:
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

    def caller_gone(self, request_id: RequestId) -> None:
        """Let a caller go away."""
        node = self.routers_by_id[request_id.router]
        if node.acting and node.incarnation == request_id.incarnation:
            self.to_router(node, CallerDisconnected(request_id))

    # Network and keys

    def deliver(self, pending: PendingDatagram, *, keep: bool = False) -> None:
        """Deliver a datagram; `keep` leaves a copy under way."""
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
        """Let a connection make one step, whichever is next."""
        step(self, connection)

    def settle_claim(self, request: Request, fate: ClaimFate) -> None:
        """Let a claim arrive at the key-value service and be answered."""
        node = self.routers_by_id[request.request_id.router]
        if node.frozen:
            return
        answer = self.keys.settle_claim(request, fate)
        if node.alive and node.incarnation == request.request_id.incarnation:
            self.to_router(node, answer)

    # Events and actions

    def to_agent(self, node: Node, event: object) -> list:
        """Hand an event to an agent and carry out its actions."""
        self.steps += 1
        self.handling = True
        before = node.waiting()
        actions = node.machine.handle(event, self.now + node.clock_offset)
        stayed = self._check_turns(node, before)
        for action in actions:
            self._act_for_agent(node, action, before, stayed)
        self.handling = False
        return actions

    def _check_turns(self, node: Node, before: WaitingById) -> WaitingById:
        """Check who was offered slots; return who waited before and still does."""
        after = node.waiting()
        stayed = {one: after[one] for one in after if before.get(one) == after[one]}
        taken = [
            entry
            for one, entry in after.items()
            if entry.state is EntryState.TAKEN and before.get(one) != entry
        ]
        self.oracle.given_turns(taken, stayed)
        return stayed

    def _act_for_agent(
        self, node: Node, action: object, before: WaitingById, stayed: WaitingById
    ) -> None:
        if isinstance(action, SendToRouter):
            for message in action.messages:
                if isinstance(message, Refused):
                    self.oracle.refused(
                        node.name, message.request_id, message.reason, stayed
                    )
            self._send(node, action.router, action.messages)
        elif isinstance(action, RefuseGrant):
            grant = action.grant
            self.oracle.refused(
                node.name, grant.request_id, action.refusal.reason, stayed
            )
        elif isinstance(action, StartDispatch):
            grant = action.grant
            node.running.add(grant.request_id)
            if grant.conditional or grant.request_id not in before:
                self.oracle.dispatched_past(grant, stayed)
            self.oracle.dispatched(node.name, grant.request_id)
        elif isinstance(action, AgentDrainFinished):
            assert not node.running, "drained while a request runs"

    def to_router(self, node: Node, event: object) -> list:
        """Hand an event to a router and carry out its actions."""
        self.steps += 1
        self.handling = True
        actions = node.machine.handle(event, self.now + node.clock_offset)
        for action in actions:
            self._act_for_router(node, action)
        self.handling = False
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
            own = [one for one in self.oracle.unanswered() if one[:2] == node.name]
            assert not own, "drained with requests left"

    def _send(self, node: Node, receiver: str, messages: tuple) -> None:
        datagram = Datagram(node.node_id, node.incarnation, SETTINGS_VERSION, messages)
        self.network.send(receiver, datagram)

    def _abandon(self, action: AbandonGrant) -> None:
        for connection in self.network.connections:
            named = (connection.request_id, connection.grant.attempt)
            if named == (action.request_id, action.attempt):
                connection.router_open = False

    def _reachable(self, node: Node) -> set[tuple[str, int]]:
        """Agents that the router itself believes it can reach."""
        views = node.machine.agents_view(self.now + node.clock_offset)
        return {(view.agent, view.incarnation) for view in views if view.takes_work}
