"""Stateful fuzz test of the router's state machine, checked by a model."""

from dataclasses import dataclass
from random import Random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from berylwalk.dispatch import GracefulStop
from berylwalk.model import (
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    TierPolicy,
    WorkEstimate,
)
from berylwalk.router._config import RouterConfig
from berylwalk.router._events import (
    AbandonGrant,
    AgentsListed,
    CallerDisconnected,
    ClaimKey,
    DatagramArrived,
    DrainFinished,
    DrainRequested,
    EndRequest,
    GrantLost,
    GrantNotSent,
    GrantRefused,
    IssueGrant,
    KeyClaimed,
    KeyRefused,
    ReleaseKey,
    RequestArrived,
    ResponseComplete,
    ResponseProgress,
    ResponseStarted,
    SendToAgent,
    Tick,
)
from berylwalk.router._machine import RouterMachine
from berylwalk.settings import RoutingPolicy
from berylwalk.wire import (
    Datagram,
    Digest,
    Grant,
    Queued,
    Ready,
    Refused,
    Reserve,
    RevokeResult,
    Withdraw,
)

AGENTS = ("a", "b", "c")
RESOURCE = "model:m"
SERVICE_POLICY = ServicePolicy("acme", "", TierPolicy("urgent", 0), max_waiting=6)
MAX_DEADLINE_S = 20.0
REQUESTS_BEFORE_STOP = 6
STEP_S = 0.25

agents = st.sampled_from(AGENTS)
REASONS = (
    RefusalReason.NO_SLOT,
    RefusalReason.QUEUE_FULL,
    RefusalReason.TOMBSTONE,
    RefusalReason.STALE_INCARNATION,
    RefusalReason.LEAVING,
)
reasons = st.sampled_from(REASONS)


@dataclass
class RequestModel:
    """Expected state of one request."""

    has_key: bool
    deadline_at: float
    claimed: bool = False
    ended: bool = False
    completed: bool = False
    started: bool = False
    released: bool = False
    unresolved: Grant | None = None
    last_granted: int = 0


class RouterFuzz(RuleBasedStateMachine):
    """Feeds events in any order and checks every action."""

    @initialize(
        seed=st.integers(0, 2**16),
        running=st.sampled_from([0, 2]),
        policy=st.sampled_from([RoutingPolicy.BERYLWALK] * 4 + [*RoutingPolicy]),
    )
    def start(self, seed, policy, running):
        """Create a machine that has a digest of each agent."""
        config = RouterConfig(router="r1", incarnation=1, policy=policy)
        self.machine = RouterMachine(config, rng=Random(seed))
        self.now = 100.0
        self.serial = 0
        self.sequence = 0
        self.incarnations = dict.fromkeys(AGENTS, 1)
        self.model: dict[RequestId, RequestModel] = {}
        self.sent: list[tuple[str, RequestId, int]] = []
        self.open_grants: dict[tuple[RequestId, int], Grant] = {}
        self.lost_grants: list[Grant] = []
        self.open_claims: list[RequestId] = []
        self.drains = 0
        self.graceful_stop: GracefulStop | None = None
        self.feed(AgentsListed(AGENTS))
        for agent in AGENTS:
            self.digest(agent, 2, running, False)

    def feed(self, event):
        """Feed an event to the machine and check its actions."""
        actions = self.machine.handle(event, self.now)
        withdrawn = {
            (action.agent, message.request_id, message.attempt)
            for action in actions
            if isinstance(action, SendToAgent)
            for message in action.messages
            if isinstance(message, Withdraw)
        }
        for action in actions:
            self.check(action, withdrawn)

    def check(self, action, withdrawn):
        """Check that one action is allowed."""
        if isinstance(action, IssueGrant):
            self.check_grant(action.grant)
        elif isinstance(action, EndRequest):
            self.check_end(action)
        elif isinstance(action, SendToAgent):
            self.check_messages(action, withdrawn)
        elif isinstance(action, AbandonGrant):
            name = (action.request_id, action.attempt)
            self.lost_grants.append(self.open_grants.pop(name))
        elif isinstance(action, ClaimKey):
            self.open_claims.append(action.request.request_id)
        elif isinstance(action, ReleaseKey):
            model = self.model[action.request.request_id]
            assert model.claimed
            assert not model.released
            model.released = True
        elif isinstance(action, DrainFinished):
            self.drains += 1
            assert all(model.ended for model in self.model.values())

    def check_grant(self, grant):
        """Allow one outstanding grant per request, each with a new attempt."""
        model = self.model[grant.request_id]
        assert not model.ended
        assert model.unresolved is None
        assert model.claimed or not model.has_key
        if self.graceful_stop is not None:
            assert model.deadline_at <= self.graceful_stop.exit_at
        assert grant.attempt > model.last_granted
        assert grant.agent_incarnation == self.incarnations[grant.agent]
        model.last_granted = grant.attempt
        model.unresolved = grant
        model.started = False
        self.open_grants[grant.request_id, grant.attempt] = grant
        self.sent.append((grant.agent, grant.request_id, grant.attempt))

    def check_end(self, action):
        """Allow one end per request, and not-run only if nothing can have run."""
        model = self.model[action.request_id]
        response = action.response
        assert not model.ended
        model.ended = True
        if response.outcome is Outcome.NOT_RUN:
            assert model.unresolved is None
            assert response.refusal.retry_after_ms > 0
        elif response.outcome is Outcome.UNKNOWN:
            assert model.unresolved is not None
        else:
            assert model.completed

    def check_messages(self, action, withdrawn):
        """Allow reservations only while no grant is outstanding.

        A reservation that the same step withdraws is allowed too.
        """
        for message in action.messages:
            if isinstance(message, Reserve):
                model = self.model[message.request_id]
                reservation = (action.agent, message.request_id, message.attempt)
                is_open = not model.ended and model.unresolved is None
                assert is_open or reservation in withdrawn
                self.sent.append(reservation)

    def deliver(self, agent, *messages, incarnation=None):
        """Deliver a datagram."""
        if incarnation is None:
            incarnation = self.incarnations[agent]
        self.feed(DatagramArrived(Datagram(agent, incarnation, 1, messages)))

    @rule(
        agent=agents,
        limit=st.integers(1, 3),
        running=st.integers(0, 3),
        leaving=st.sampled_from([False, False, False, True]),
    )
    def digest(self, agent, limit, running, leaving):
        """An agent reports its load."""
        self.sequence += 1
        digest = Digest(
            sequence=self.sequence,
            resources=(RESOURCE,),
            failure_domain="",
            leaving=leaving,
            slow=running == 3,
            running=running,
            ready=0,
            limit=limit,
            waiting_by_rank=(0,),
            wait_ms_by_rank=(0,),
            prefill_tokens_per_s=1000.0,
            token_gap_ms=10.0,
        )
        self.deliver(agent, digest)

    @rule(has_key=st.booleans(), deadline_s=st.sampled_from([0.3, MAX_DEADLINE_S]))
    def arrive(self, has_key, deadline_s):
        """A request arrives."""
        self.serial += 1
        request_id = RequestId("r1", 1, self.serial)
        self.model[request_id] = RequestModel(has_key, self.now + deadline_s)
        request = Request(
            request_id=request_id,
            service_policy=SERVICE_POLICY,
            call=TargetCall("POST", "/v1/completions", RESOURCE),
            estimate=WorkEstimate(),
            arrived_at=self.now,
            deadline_at=self.now + deadline_s,
            idempotency_key="k" if has_key else "",
        )
        self.feed(RequestArrived(request))

    @rule(steps=st.integers(1, 8), alive=st.sets(agents))
    def advance(self, steps, alive):
        """Time passes; the agents in ``alive`` send datagrams."""
        for _ in range(steps):
            self.now += STEP_S
            for agent in sorted(alive):
                self.deliver(agent)
            self.feed(Tick())

    @rule(agent=agents)
    def restart(self, agent):
        """An agent restarts as a new incarnation."""
        self.incarnations[agent] += 1
        self.deliver(agent)

    @rule(listed=st.sets(agents, min_size=1), leaving=st.sets(agents, max_size=1))
    def list_agents(self, listed, leaving):
        """The VM list changes."""
        self.feed(AgentsListed(tuple(sorted(listed)), frozenset(leaving & listed)))

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), kind=st.sampled_from(["queued", "ready", "refused"]))
    def answer_reservation(self, data, kind):
        """An agent answers one of the recently sent attempts."""
        agent, request_id, attempt = data.draw(st.sampled_from(self.sent[-8:]))
        if kind == "queued":
            self.deliver(agent, Queued(request_id, attempt, 10))
        elif kind == "ready":
            self.deliver(agent, Ready(request_id, attempt))
        else:
            reason = data.draw(reasons)
            self.deliver(agent, Refused(request_id, attempt, reason))

    @precondition(lambda self: self.lost_grants)
    @rule(data=st.data(), ran=st.booleans(), responder=st.sampled_from(["", *AGENTS]))
    def answer_revoke(self, data, ran, responder):
        """The agent of a lost grant, or another one, answers a Revoke."""
        grant = data.draw(st.sampled_from(self.lost_grants[-3:]))
        model = self.model[grant.request_id]
        agent = responder or grant.agent
        incarnation = self.incarnations[agent]
        expected = (grant.agent, grant.agent_incarnation)
        is_proof = model.unresolved is grant and (agent, incarnation) == expected
        if is_proof and not ran and not model.started and not model.ended:
            model.unresolved = None
        self.deliver(agent, RevokeResult(grant.request_id, grant.attempt, ran))

    @precondition(lambda self: self.open_grants)
    @rule(data=st.data())
    def start_answer(self, data):
        """The target's status and a chunk of the response arrive."""
        name = data.draw(st.sampled_from(sorted(self.open_grants)))
        self.model[name[0]].started = True
        self.feed(ResponseStarted(*name))
        self.feed(ResponseProgress(*name))

    @precondition(lambda self: self.open_grants)
    @rule(data=st.data(), kind=st.sampled_from(["refused", "complete", "lost"]))
    def end_connection(self, data, kind):
        """The connection of a grant ends."""
        name = data.draw(st.sampled_from(sorted(self.open_grants)))
        grant = self.open_grants.pop(name)
        model = self.model[grant.request_id]
        if kind == "complete":
            model.completed = True
            self.feed(ResponseComplete(*name))
        elif kind == "lost" or model.started:
            self.lost_grants.append(grant)
            self.feed(GrantLost(*name, started=model.started))
        else:
            self.refuse_grant(grant, data.draw(st.sampled_from([None, *REASONS])))

    def refuse_grant(self, grant, reason):
        """Refuse a grant, or report it as not sent if there is no reason."""
        model = self.model[grant.request_id]
        model.unresolved = None
        if reason is None:
            self.feed(GrantNotSent(grant.request_id, grant.attempt))
        else:
            refusal = Refusal(reason)
            self.feed(GrantRefused(grant.request_id, grant.attempt, refusal))

    @precondition(lambda self: self.open_grants)
    @rule(data=st.data())
    def refuse_as_duplicate(self, data):
        """An agent refuses a grant because it already dispatched the request."""
        name = data.draw(st.sampled_from(sorted(self.open_grants)))
        del self.open_grants[name]
        self.feed(GrantRefused(*name, Refusal(RefusalReason.DUPLICATE)))

    @precondition(lambda self: self.open_claims)
    @rule(data=st.data(), claimed=st.booleans())
    def answer_claim(self, data, claimed):
        """A key claim succeeds or fails."""
        request_id = data.draw(st.sampled_from(self.open_claims))
        self.open_claims.remove(request_id)
        if claimed:
            self.model[request_id].claimed = True
            self.feed(KeyClaimed(request_id))
        else:
            refusal = Refusal(RefusalReason.KEY_IN_USE)
            self.feed(KeyRefused(request_id, refusal))

    @precondition(lambda self: self.model)
    @rule(data=st.data())
    def disconnect_caller(self, data):
        """A caller disconnects."""
        request_id = data.draw(st.sampled_from(sorted(self.model)))
        self.feed(CallerDisconnected(request_id))

    @precondition(lambda self: self.serial >= REQUESTS_BEFORE_STOP)
    @precondition(lambda self: self.graceful_stop is None)
    @rule(grace_s=st.sampled_from([1.0, 8.0, 2 * MAX_DEADLINE_S]))
    def stop(self, grace_s):
        """The router gets SIGTERM, and is killed after a grace."""
        self.graceful_stop = GracefulStop.from_grace(self.now, grace_s)
        self.feed(DrainRequested(self.graceful_stop))

    def teardown(self):
        """Every request ends exactly once, even if no agent responds."""
        if not hasattr(self, "machine"):
            return
        self.feed(DrainRequested())
        for request_id in self.open_claims:
            self.feed(KeyRefused(request_id, Refusal(RefusalReason.PLATFORM_DOWN)))
        for _ in range(int((MAX_DEADLINE_S + 10.0) / STEP_S)):
            self.now += STEP_S
            self.feed(Tick())
        assert all(model.ended for model in self.model.values())
        assert self.drains == 1
        for model in self.model.values():
            assert model.released or not model.claimed or model.unresolved is not None
        assert not self.machine.requests_view(self.now)


RouterFuzz.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRouterFuzz = RouterFuzz.TestCase
