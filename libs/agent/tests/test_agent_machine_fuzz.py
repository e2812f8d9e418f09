"""Stateful test of the agent's state machine under messages in any order."""

from copy import deepcopy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from berylwalk.admission import fixed, tiered_policy
from berylwalk.agent import (
    IDLE_TICK_S,
    AgentConfig,
    AgentMachine,
    DatagramArrived,
    DispatchEnd,
    DispatchEnded,
    DrainFinished,
    DrainRequested,
    GrantArrived,
    RefuseGrant,
    SendToRouter,
    StartDispatch,
    TargetChanged,
    Tick,
    TiersChanged,
)
from berylwalk.model import RefusalReason, RequestId, TierPolicy
from berylwalk.wire import (
    Datagram,
    Digest,
    Grant,
    Hello,
    Queued,
    Ready,
    Refused,
    Reserve,
    Revoke,
    RevokeResult,
    Withdraw,
)

LIMIT = 2
ASK_AHEAD = 1
FOR_ROOM = (RefusalReason.QUEUE_FULL, RefusalReason.EVICTED)
TIERS = (TierPolicy("t0", 0, headroom=0.4), TierPolicy("t1", 1), TierPolicy("t2", 2))

# Few values, so that many events concern the same request.
routers = st.sampled_from(["r1", "r1", "r1", "r2"])
serials = st.integers(1, 5)
attempts = st.integers(1, 2)
RARELY = st.sampled_from([False] * 9 + [True])


def is_timed(action):
    """Whether an action has a due time, unlike the timeout of a router."""
    return isinstance(action, SendToRouter) and any(
        isinstance(message, Ready | Digest)
        or (isinstance(message, Refused) and message.reason is RefusalReason.DEADLINE)
        for message in action.messages
    )


class AgentAgainstRules(RuleBasedStateMachine):
    """Remembers what was dispatched and what was said, and compares."""

    @initialize(remembered=st.sampled_from([3, 1000]))
    def start(self, remembered):
        self.now = 0.0
        self.forgets = remembered < 100
        self.machine = AgentMachine(
            AgentConfig(
                agent_id="a1",
                incarnation=1,
                resources=("model:m",),
                policy=tiered_policy(limit_rule=fixed()),
                initial_limit=LIMIT,
                ask_ahead=ASK_AHEAD,
                max_waiting=3,
                max_attempt_records=remembered,
            )
        )
        self.incarnations = {"r1": 1, "r2": 1}
        self.attempt_by_dispatched = {}
        self.running = {}
        self.not_run = set()
        self.draining = False
        self.drains_finished = 0
        self.handle(TiersChanged(1, TIERS))

    def request_id(self, router, serial):
        return RequestId(router, self.incarnations[router], serial)

    def rank_of(self, request_id):
        return request_id.serial % 3

    def handle(self, event, after=0.0):
        self.now += after
        for action in self.machine.handle(event, self.now):
            match action:
                case StartDispatch(grant):
                    self.check_dispatch(grant)
                case RefuseGrant(grant, refusal):
                    self.check_refused_grant(grant, refusal.reason)
                case SendToRouter(_, messages):
                    for message in messages:
                        self.check_message(message)
                case DrainFinished():
                    assert self.draining
                    assert not self.running
                    self.drains_finished += 1

    def check_dispatch(self, grant):
        assert not self.draining
        assert grant.agent_incarnation == 1
        assert grant.request_id not in self.attempt_by_dispatched
        assert (grant.request_id, grant.attempt) not in self.not_run
        self.attempt_by_dispatched[grant.request_id] = grant.attempt
        self.running[grant.request_id] = grant

    def check_refused_grant(self, grant, reason):
        was_dispatched = grant.request_id in self.attempt_by_dispatched
        if reason is RefusalReason.DUPLICATE:
            assert was_dispatched
        elif not self.forgets and grant.agent_incarnation == 1:
            assert not was_dispatched
            self.not_run.add((grant.request_id, grant.attempt))

    def check_message(self, message):
        match message:
            case Queued() | Ready():
                assert not self.draining
                assert message.request_id not in self.attempt_by_dispatched
            case Refused(request_id, attempt, reason):
                self.check_told_not_run(request_id, attempt)
                if reason in FOR_ROOM:
                    self.check_made_room(self.rank_of(request_id))
            case RevokeResult(request_id, attempt, ran):
                assert ran == (request_id in self.attempt_by_dispatched)
                if not ran:
                    self.not_run.add((request_id, attempt))

    def check_told_not_run(self, request_id, attempt):
        if not self.forgets:
            assert self.attempt_by_dispatched.get(request_id) != attempt
            self.not_run.add((request_id, attempt))

    def check_made_room(self, rank):
        waiting = self.machine.waiting_by_rank()
        assert not any(count for lower, count in waiting.items() if lower > rank)

    def receive(self, router, *messages):
        datagram = Datagram(router, self.incarnations[router], 0, messages)
        self.handle(DatagramArrived(datagram))

    @rule(
        router=routers,
        serial=serials,
        attempt=attempts,
        deadline_ms=st.sampled_from([50, 500, 60_000]),
        account=st.sampled_from("xy"),
    )
    def reserve(self, router, serial, attempt, deadline_ms, account):
        request_id = self.request_id(router, serial)
        rank = self.rank_of(request_id)
        self.receive(
            router,
            Reserve(
                request_id, attempt, "model:m", account, rank, 1.0, 10, 5, deadline_ms
            ),
        )

    @rule(
        router=routers,
        serial=serials,
        attempt=attempts,
        conditional=st.booleans(),
        incarnation=st.sampled_from([1, 1, 1, 0]),
    )
    def grant(self, router, serial, attempt, conditional, incarnation):
        request_id = self.request_id(router, serial)
        self.handle(
            GrantArrived(
                Grant(
                    request_id,
                    attempt,
                    router,
                    "a1",
                    incarnation,
                    conditional,
                    "model:m",
                    "x",
                    self.rank_of(request_id),
                    1.0,
                    10,
                    5,
                    60_000,
                    True,
                    "POST",
                    "/",
                )
            )
        )

    @rule(
        router=routers,
        serial=serials,
        attempt=attempts,
        message=st.sampled_from([Withdraw, Revoke]),
    )
    def kill(self, router, serial, attempt, message):
        self.receive(router, message(self.request_id(router, serial), attempt))

    @rule(data=st.data(), end=st.sampled_from(list(DispatchEnd)))
    def end(self, data, end):
        if not self.running:
            return
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[request_id]
        if end is DispatchEnd.NOT_SENT:
            attempt = self.attempt_by_dispatched.pop(request_id)
            self.not_run.add((request_id, attempt))
        self.handle(DispatchEnded(request_id, end))

    @rule(after=st.sampled_from([0.01, 0.06, 0.5, 4.0]))
    def tick(self, after):
        self.handle(Tick(), after)

    @rule(router=routers, digest_ms=st.sampled_from([50, 500]))
    def hello(self, router, digest_ms):
        self.receive(router, Hello(digest_ms=digest_ms))

    @rule(router=routers, really=RARELY)
    def restart_router(self, router, really):
        if not really:
            return
        self.incarnations[router] += 1
        self.receive(router, Hello())

    @rule(unreachable=RARELY)
    def change_target(self, unreachable):
        self.handle(TargetChanged(("model:m",), not unreachable))

    @rule(really=RARELY, surely=st.booleans())
    def drain(self, really, surely):
        if really and surely:
            self.draining = True
            self.handle(DrainRequested())

    @invariant()
    def slots_are_bounded(self):
        if hasattr(self, "machine"):
            in_use = self.machine.running_count + self.machine.ready_count
            assert in_use <= LIMIT + ASK_AHEAD
            assert self.machine.running_count == len(self.running)
            assert self.machine.waiting_count <= 3

    @invariant()
    def nothing_is_due_before_it_is_told(self):
        """A shell that sleeps until then is as good as one that asks all the time."""
        if not hasattr(self, "machine"):
            return
        is_idle = not self.machine.waiting_count + self.machine.ready_count
        # Changes of load are told a little later while nothing waits.
        if not is_idle:
            latest = self.now + IDLE_TICK_S
            before = min(self.machine.next_due(self.now), latest) - 1e-6
            if before > self.now:
                actions = deepcopy(self.machine).handle(Tick(), before)
                assert not any(map(is_timed, actions))

    @invariant()
    def drain_finishes_once(self):
        if hasattr(self, "machine"):
            finished = self.draining and not self.running
            assert self.drains_finished <= 1
            assert not finished or self.drains_finished == 1


TestAgentAgainstRules = AgentAgainstRules.TestCase
TestAgentAgainstRules.settings = settings(
    max_examples=200, stateful_step_count=50, derandomize=True, deadline=None
)
