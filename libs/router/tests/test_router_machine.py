"""The router's state machine, driven event by event."""

from itertools import permutations
from random import Random

import pytest

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
from berylwalk.router._config import PEER_TIMEOUT_S, RouterConfig
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
    ResponseStarted,
    SendToAgent,
    Tick,
)
from berylwalk.router._machine import RouterMachine
from berylwalk.settings import RoutingPolicy
from berylwalk.wire import (
    Datagram,
    Digest,
    Hello,
    Queued,
    Ready,
    Refused,
    Reserve,
    Revoke,
    RevokeResult,
    Withdraw,
)

TIER = TierPolicy(name="urgent", rank=0)
RESOURCE = "model:m"
STEP_S = 0.01


def service_policy(**changes):
    """Return the service policy of the account."""
    return ServicePolicy(client_account="acme", service="", tier=TIER, **changes)


class Driver:
    """Feeds events to a machine, with a simulated clock, and collects its actions."""

    def __init__(self, *agents, limit=1, **config):
        config = RouterConfig(router="r1", incarnation=1, **config)
        self.machine = RouterMachine(config, rng=Random(7))
        self.now = 100.0
        self.actions = []
        self.serial = 0
        self.sequence = 0
        self.incarnations = dict.fromkeys(agents, 1)
        self.feed(AgentsListed(tuple(agents)))
        for agent in agents:
            self.digest(agent, limit=limit)
        self.actions.clear()

    def feed(self, event):
        """Feed one event to the machine."""
        self.actions += self.machine.handle(event, self.now)

    def deliver(self, agent, *messages, incarnation=None):
        """Deliver a datagram of an agent."""
        if incarnation is None:
            incarnation = self.incarnations[agent]
        self.feed(DatagramArrived(Datagram(agent, incarnation, 1, messages)))

    def digest(self, agent, *, limit=1, running=0, leaving=False, domain="", up=True):
        """Deliver a digest of an agent."""
        self.sequence += 1
        self.deliver(
            agent,
            Digest(
                sequence=self.sequence,
                resources=(RESOURCE,),
                failure_domain=domain,
                leaving=leaving,
                slow=False,
                running=running,
                ready=0,
                limit=limit,
                waiting_by_rank=(0,),
                wait_ms_by_rank=(0,),
                prefill_tokens_per_s=1000.0,
                token_gap_ms=10.0,
                target_reachable=up,
            ),
        )

    def fill(self, *agents):
        """Deliver digests of agents without a free slot."""
        for agent in agents:
            self.digest(agent, limit=1, running=1)

    def restart(self, agent):
        """Deliver a datagram of a new incarnation of the agent."""
        self.incarnations[agent] += 1
        self.deliver(agent)

    def arrive(
        self, *, deadline_s=30.0, key="", resource=RESOURCE, settings=None, prefix=()
    ):
        """Submit a request and return its identifier."""
        self.serial += 1
        request = Request(
            request_id=RequestId("r1", 1, self.serial),
            service_policy=settings or service_policy(),
            call=TargetCall("POST", "/v1/completions", resource),
            estimate=WorkEstimate(prompt_tokens=10, output_tokens=10),
            arrived_at=self.now,
            deadline_at=self.now + deadline_s,
            idempotency_key=key,
            prefix=prefix,
        )
        self.feed(RequestArrived(request))
        return request.request_id

    def advance(self, seconds, *, alive=()):
        """Advance the clock in small steps; agents in ``alive`` send datagrams."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for agent in alive:
                self.deliver(agent)
            self.feed(Tick())

    def actions_of(self, kind):
        """Return the actions of one type."""
        return [action for action in self.actions if isinstance(action, kind)]

    def sent(self, kind):
        """Return (agent, message) of the sent messages of one type."""
        return [
            (action.agent, message)
            for action in self.actions_of(SendToAgent)
            for message in action.messages
            if isinstance(message, kind)
        ]

    def last_grant(self):
        """Return the latest issued grant."""
        return self.actions_of(IssueGrant)[-1].grant

    def end(self):
        """Return the final response of the only request that ended."""
        [action] = self.actions_of(EndRequest)
        return action.response

    def reserved(self):
        """Return the latest reserved attempt by agent."""
        return {agent: message.attempt for agent, message in self.sent(Reserve)}


def granted(*agents):
    """Return a driver with one request granted conditionally."""
    driver = Driver(*agents)
    request_id = driver.arrive()
    return driver, request_id, driver.last_grant()


def waiting_at_two():
    """Return a driver with one request that waits at both agents."""
    driver = Driver("a", "b")
    driver.fill("a", "b")
    request_id = driver.arrive()
    driver.advance(0.05, alive=("a", "b"))
    assert set(driver.reserved()) == {"a", "b"}
    return driver, request_id


class TestGrants:
    def test_free_slot_gets_conditional_grant_at_once(self):
        """With a free slot, no reservation round trip precedes the grant."""
        driver, request_id, grant = granted("a")
        assert grant.conditional
        assert grant.agent_incarnation == 1
        driver.feed(ResponseStarted(request_id, grant.attempt))
        driver.feed(ResponseComplete(request_id, grant.attempt))
        assert driver.end().outcome is Outcome.COMPLETE
        assert not driver.sent(Reserve)

    def test_no_slot_turns_into_a_reservation_there(self):
        """A refused conditional grant does not exclude the agent."""
        driver, request_id, grant = granted("a")
        driver.feed(
            GrantRefused(request_id, grant.attempt, Refusal(RefusalReason.NO_SLOT))
        )
        [(agent, reserve)] = driver.sent(Reserve)
        assert (agent, reserve.attempt) == ("a", grant.attempt + 1)
        assert not driver.actions_of(EndRequest)

    def test_ready_gets_the_grant_and_the_other_reservation_is_withdrawn(self):
        """The first of two reservations to become ready is granted."""
        driver, request_id = waiting_at_two()
        attempts = driver.reserved()
        driver.deliver("b", Ready(request_id, attempts["b"]))
        grant = driver.last_grant()
        assert (grant.agent, grant.attempt) == ("b", attempts["b"])
        assert not grant.conditional
        assert ("a", Withdraw(request_id, attempts["a"])) in driver.sent(Withdraw)

    def test_shared_prefix_delays_the_second_reservation(self):
        """With a cached prefix, the second reservation waits for half of the time."""
        driver = Driver("a", "b")
        prefix = (11, 12, 13, 14)
        driver.arrive(prefix=prefix)
        first = driver.actions_of(IssueGrant)[0].agent
        driver.fill("a", "b")
        driver.actions.clear()
        driver.arrive(prefix=prefix, deadline_s=2.0)
        driver.advance(0.9, alive=("a", "b"))
        asked = {agent for agent, _ in driver.sent(Reserve)}
        assert asked == {first}
        driver.advance(0.2, alive=("a", "b"))
        asked = {agent for agent, _ in driver.sent(Reserve)}
        assert asked == {"a", "b"}

    def test_duplicate_and_late_ready_give_one_grant(self):
        """A duplicate Ready is ignored, and a late one gets a Withdraw in response."""
        driver, request_id = waiting_at_two()
        attempts = driver.reserved()
        driver.deliver("a", Ready(request_id, attempts["a"]))
        driver.deliver("a", Ready(request_id, attempts["a"]))
        driver.actions = driver.actions_of(IssueGrant)
        driver.deliver("b", Ready(request_id, attempts["b"]))
        assert len(driver.actions_of(IssueGrant)) == 1
        assert driver.sent(Withdraw) == [("b", Withdraw(request_id, attempts["b"]))]

    def test_ready_of_a_forgotten_request_is_withdrawn(self):
        """An agent does not hold a slot for a request that has ended."""
        driver = Driver("a")
        unknown = RequestId("r1", 1, 99)
        driver.deliver("a", Ready(unknown, 3))
        assert driver.sent(Withdraw) == [("a", Withdraw(unknown, 3))]

    @pytest.mark.parametrize("order", list(permutations(["ready", "no-slot", "lost"])))
    def test_one_grant_at_a_time_in_any_order(self, order):
        """In any order of events, no grant is issued while one is outstanding."""
        driver, request_id, first = granted("a", "b")
        events = {
            "ready": lambda: driver.deliver("b", Ready(request_id, 2)),
            "no-slot": lambda: driver.feed(
                GrantRefused(request_id, 1, Refusal(RefusalReason.NO_SLOT))
            ),
            "lost": lambda: driver.feed(GrantLost(request_id, 1, started=False)),
        }
        settled = False
        for name in order:
            events[name]()
            settled = settled or name == "no-slot"
            assert len(driver.actions_of(IssueGrant)) == 1 or settled
        assert first.attempt == 1
        assert not driver.actions_of(EndRequest)


class TestLostGrants:
    def test_revoked_unused_grant_is_placed_again(self):
        """A second grant requires the agent's confirmation that nothing ran."""
        driver, request_id, grant = granted("a", "b")
        driver.feed(GrantLost(request_id, grant.attempt, started=False))
        driver.advance(0.5, alive=("a", "b"))
        assert len(driver.actions_of(IssueGrant)) == 1
        assert len(driver.sent(Revoke)) > 1
        driver.deliver(grant.agent, RevokeResult(request_id, grant.attempt, False))
        driver.advance(1.0, alive=("a", "b"))
        assert len(driver.actions_of(IssueGrant)) == 2
        assert driver.last_grant().attempt > grant.attempt

    @pytest.mark.parametrize("started", [True, False])
    def test_proof_of_dispatch_ends_unknown(self, started):
        """A dispatched request with a truncated response is not placed again."""
        driver, request_id, grant = granted("a", "b")
        driver.feed(GrantLost(request_id, grant.attempt, started=started))
        if not started:
            driver.deliver(grant.agent, RevokeResult(request_id, grant.attempt, True))
        assert driver.end().outcome is Outcome.UNKNOWN
        assert driver.end().started is started

    def test_silence_after_a_loss_ends_unknown(self):
        """Without the agent's confirmation, a lost grant is not reported as not-run."""
        driver, request_id, grant = granted("a")
        driver.feed(GrantLost(request_id, grant.attempt, started=False))
        driver.advance(3.0)
        assert driver.end().outcome is Outcome.UNKNOWN

    def test_restart_after_a_loss_ends_unknown(self):
        """A result of a new incarnation does not apply to the grant of the old one."""
        driver, request_id, grant = granted("a")
        driver.feed(GrantLost(request_id, grant.attempt, started=False))
        driver.restart("a")
        driver.deliver("a", RevokeResult(request_id, grant.attempt, False))
        assert driver.end().outcome is Outcome.UNKNOWN

    def test_duplicate_is_not_read_as_not_run(self):
        """A DUPLICATE refusal proves an earlier dispatch."""
        driver, request_id, grant = granted("a", "b")
        refusal = Refusal(RefusalReason.DUPLICATE)
        driver.feed(GrantRefused(request_id, grant.attempt, refusal))
        assert driver.end().outcome is Outcome.UNKNOWN
        assert len(driver.actions_of(IssueGrant)) == 1

    def test_silent_agent_is_abandoned_and_not_placed_elsewhere(self):
        """A silent agent may still run its grant, so the request ends unknown."""
        driver, _, grant = granted("a", "b")
        other = "b" if grant.agent == "a" else "a"
        driver.advance(8.0, alive=(other,))
        assert len(driver.actions_of(AbandonGrant)) == 1
        assert len(driver.actions_of(IssueGrant)) == 1
        assert driver.end().outcome is Outcome.UNKNOWN

    def test_slow_response_of_a_live_agent_is_not_ended(self):
        """Neither a silent target nor the deadline aborts a granted request."""
        driver, request_id, grant = granted("a")
        driver.advance(40.0, alive=("a",))
        assert not driver.actions_of(AbandonGrant)
        assert not driver.actions_of(EndRequest)
        driver.feed(ResponseComplete(request_id, grant.attempt))
        assert driver.end().outcome is Outcome.COMPLETE

    def test_refusal_of_an_earlier_incarnation_does_not_count(self):
        """After a refusal by an earlier incarnation, the new one is asked."""
        driver, request_id, grant = granted("a")
        driver.restart("a")
        driver.digest("a")
        refusal = Refusal(RefusalReason.DEADLINE, 1000)
        driver.feed(GrantRefused(request_id, grant.attempt, refusal))
        assert not driver.actions_of(EndRequest)
        assert driver.last_grant().agent_incarnation == 2

    def test_unsent_grant_goes_elsewhere_at_once(self):
        """A refused connection proves that nothing ran, so no retry delay applies."""
        driver, request_id, grant = granted("a", "b")
        driver.feed(GrantNotSent(request_id, grant.attempt))
        assert driver.last_grant().agent != grant.agent


class TestAgents:
    def test_restart_cancels_reservations_and_keeps_started_grants(self):
        """After a restart, waiting requests are placed again and streams continue."""
        driver = Driver("a", limit=1)
        running = driver.arrive()
        driver.feed(ResponseStarted(running, 1))
        driver.fill("a")
        driver.arrive()
        driver.restart("a")
        driver.actions.clear()
        driver.digest("a", limit=2)
        assert driver.last_grant().agent_incarnation == 2
        assert not driver.actions_of(EndRequest)

    def test_restarted_agent_is_asked_before_a_request_is_shed(self):
        """The digest that comes with a restart counts in the same step."""
        driver, request_id = waiting_at_two()
        attempt = driver.reserved()["b"]
        full = RefusalReason.QUEUE_FULL
        driver.deliver("b", Refused(request_id, attempt, full, 100))
        driver.incarnations["a"] += 1
        driver.digest("a")
        assert not driver.actions_of(EndRequest)
        assert driver.last_grant().agent_incarnation == 2

    def test_older_incarnation_is_ignored(self):
        """A delayed datagram of an earlier incarnation has no effect."""
        driver, request_id = waiting_at_two()
        attempt = driver.reserved()["a"]
        driver.restart("a")
        driver.deliver("a", Ready(request_id, attempt), incarnation=1)
        assert not driver.actions_of(IssueGrant)

    def test_reservation_is_repeated_until_answered(self):
        """A lost Reserve datagram does not lose the request."""
        driver = Driver("a")
        driver.fill("a")
        request_id = driver.arrive()
        driver.advance(0.5, alive=("a",))
        assert len(driver.sent(Reserve)) > 2
        driver.deliver("a", Queued(request_id, 1, 100))
        driver.actions.clear()
        driver.advance(0.5, alive=("a",))
        driver.advance(0.5, alive=("a",))
        assert len(driver.sent(Reserve)) <= 1

    def test_silent_agent_loses_its_reservations(self):
        """A request does not wait at a failed agent until its deadline."""
        driver = Driver("a", "b")
        driver.fill("a", "b")
        driver.arrive()
        [first] = driver.reserved()
        other = "b" if first == "a" else "a"
        driver.advance(3.5, alive=(other,))
        assert driver.machine.requests_view(driver.now)[0].agents == (other,)

    def test_leaving_agent_gets_no_new_work(self):
        """Waiting requests leave a leaving agent, and it gets no grants."""
        driver, _ = waiting_at_two()
        driver.digest("a", limit=5, leaving=True)
        assert driver.machine.requests_view(driver.now)[0].agents == ("b",)
        driver.feed(AgentsListed(("a", "b"), frozenset({"b"})))
        assert driver.machine.requests_view(driver.now)[0].agents == ()
        driver.advance(1.2, alive=("a", "b"))
        assert driver.end().refusal.reason is RefusalReason.NO_TARGET

    def test_target_that_is_down_gets_no_new_work_but_stays_known(self):
        """An outage of targets does not make their resource unknown."""
        driver = Driver("a1", "a2")
        driver.digest("a1", up=False)
        driver.arrive()
        assert driver.last_grant().agent == "a2"
        driver.digest("a2", up=False)
        driver.arrive()
        driver.advance(3.0, alive=("a1", "a2"))
        assert len(driver.actions_of(IssueGrant)) == 1
        assert driver.end().refusal.reason is RefusalReason.NO_TARGET
        assert driver.machine.resources_when_complete(2) == {RESOURCE}
        views = driver.machine.agents_view(driver.now)
        assert not any(view.target_reachable or view.takes_work for view in views)

    def test_resources_of_a_restarted_agent_are_not_known(self):
        """No resource is reported as unknown before the agent's first digest."""
        driver = Driver("a1")
        driver.restart("a1")
        assert driver.machine.resources_when_complete(1) == frozenset()

    def test_heartbeats_go_out_each_second(self):
        """An idle router sends each agent one heartbeat per second and nothing else."""
        driver = Driver("a", "b", "c")
        driver.advance(5.0, alive=("a", "b", "c"))
        hellos = driver.sent(Hello)
        assert len(hellos) == 15
        assert len(driver.actions) == len(hellos)


class TestShedding:
    def test_shed_only_after_every_eligible_agent_refused(self):
        """A request waits as long as one eligible agent has not refused it."""
        driver, request_id = waiting_at_two()
        attempts = driver.reserved()
        driver.deliver(
            "a", Refused(request_id, attempts["a"], RefusalReason.EVICTED, 900)
        )
        assert not driver.actions_of(EndRequest)
        refused = Refused(request_id, attempts["b"], RefusalReason.QUEUE_FULL, 400)
        driver.deliver("b", refused)
        response = driver.end()
        assert response.outcome is Outcome.NOT_RUN
        assert response.refusal.retry_after_ms == 400

    def test_agent_with_an_expired_refusal_is_asked_again(self):
        """An expired refusal does not shed the request."""
        driver, request_id = waiting_at_two()
        attempts = driver.reserved()
        driver.deliver(
            "a", Refused(request_id, attempts["a"], RefusalReason.QUEUE_FULL)
        )
        driver.advance(1.0, alive=("a", "b"))
        driver.deliver(
            "b", Refused(request_id, attempts["b"], RefusalReason.QUEUE_FULL)
        )
        assert not driver.actions_of(EndRequest)
        driver.advance(0.5, alive=("a", "b"))
        assert driver.reserved()["a"] > attempts["b"]

    def test_deadline_ends_a_waiting_request(self):
        """The caller is refused at the deadline, with a retry-after time."""
        driver = Driver("a")
        driver.fill("a")
        request_id = driver.arrive(deadline_s=0.2)
        driver.advance(0.25, alive=("a",))
        response = driver.end()
        assert response.refusal.reason is RefusalReason.DEADLINE
        assert response.refusal.retry_after_ms > 0
        assert driver.sent(Withdraw) == [("a", Withdraw(request_id, 1))]

    def test_exhausted_retry_budget_delays_but_does_not_shed(self):
        """A request that no agent refused waits for the budget or its deadline."""
        driver = Driver("a", limit=50, retry_ratio=0.0)
        for _ in range(30):
            request_id = driver.arrive(deadline_s=5.0)
            driver.feed(GrantLost(request_id, 1, started=False))
            driver.deliver("a", RevokeResult(request_id, 1, False))
        driver.advance(4.0, alive=("a",))
        retried = len(driver.actions_of(IssueGrant)) - 30
        assert 0 < retried < 30
        assert not driver.actions_of(EndRequest)
        driver.advance(2.0, alive=("a",))
        reasons = [end.response.refusal.reason for end in driver.actions_of(EndRequest)]
        assert reasons == [RefusalReason.DEADLINE] * (30 - retried)

    @pytest.mark.parametrize("limit", ["max_waiting", "max_running"])
    def test_account_limit_refuses_at_arrival(self, limit):
        """Requests above an account limit are refused with a retry-after time."""
        driver = Driver("a")
        if limit == "max_waiting":
            driver.fill("a")
        settings = service_policy(**{limit: 1})
        driver.arrive(settings=settings)
        driver.arrive(settings=settings)
        refusal = driver.end().refusal
        assert refusal.reason is RefusalReason.ACCOUNT_LIMIT
        assert refusal.retry_after_ms > 0

    def test_caller_disconnected_withdraws_or_abandons(self):
        """On a disconnect, a waiting request is withdrawn and a grant abandoned."""
        driver, request_id = waiting_at_two()
        driver.feed(CallerDisconnected(request_id))
        assert driver.end().refusal.reason is RefusalReason.WITHDRAWN
        assert len(driver.sent(Withdraw)) == 2
        driver, request_id, grant = granted("a")
        driver.feed(CallerDisconnected(request_id))
        assert driver.actions_of(AbandonGrant) == [
            AbandonGrant(request_id, grant.attempt)
        ]
        assert driver.end().outcome is Outcome.UNKNOWN


class TestKeys:
    def test_no_grant_before_the_key_is_claimed(self):
        """A Ready that precedes the claim is granted once the key is claimed."""
        driver = Driver("a")
        request_id = driver.arrive(key="k")
        assert len(driver.actions_of(ClaimKey)) == 1
        driver.deliver("a", Ready(request_id, driver.reserved()["a"]))
        assert not driver.actions_of(IssueGrant)
        driver.feed(KeyClaimed(request_id))
        assert driver.last_grant().attempt == 1

    def test_refused_key_withdraws_and_releases_nothing(self):
        """The record of another request is not released."""
        driver = Driver("a")
        request_id = driver.arrive(key="k")
        refusal = Refusal(RefusalReason.KEY_IN_USE)
        driver.feed(KeyRefused(request_id, refusal))
        assert driver.end().refusal.reason is RefusalReason.KEY_IN_USE
        assert driver.sent(Withdraw)
        assert not driver.actions_of(ReleaseKey)

    def test_key_of_a_request_that_did_not_run_is_released(self):
        """The key is released even if the claim succeeds after the request ended."""
        driver = Driver("a")
        request_id = driver.arrive(key="k")
        driver.feed(CallerDisconnected(request_id))
        driver.feed(DrainRequested())
        assert not driver.actions_of(DrainFinished)
        driver.feed(KeyClaimed(request_id))
        assert len(driver.actions_of(ReleaseKey)) == 1
        assert len(driver.actions_of(DrainFinished)) == 1

    def test_key_of_an_unknown_outcome_is_kept(self):
        """A repeat of a request that may have run must find the record."""
        driver = Driver("a")
        request_id = driver.arrive(key="k")
        driver.feed(KeyClaimed(request_id))
        driver.deliver("a", Ready(request_id, 1))
        driver.feed(GrantLost(request_id, 1, started=True))
        assert driver.end().outcome is Outcome.UNKNOWN
        assert not driver.actions_of(ReleaseKey)


class TestDrain:
    def test_drain_refuses_new_and_finishes_accepted_requests(self):
        """A drain aborts no accepted request."""
        driver, request_id, grant = granted("a")
        driver.feed(DrainRequested())
        driver.arrive()
        assert driver.end().refusal.reason is RefusalReason.LEAVING
        assert not driver.actions_of(DrainFinished)
        driver.feed(ResponseComplete(request_id, grant.attempt))
        driver.advance(1.0)
        assert len(driver.actions_of(DrainFinished)) == 1


class TestStopWithGrace:
    """A router that the platform kills a time after SIGTERM."""

    GRACE_S = 8.0

    def stop(self, driver):
        """Request the stop; return when requests that remain are ended."""
        stop = GracefulStop.from_grace(driver.now, self.GRACE_S)
        driver.feed(DrainRequested(stop))
        return stop.exit_at

    def test_waiting_request_that_may_outlast_the_process_is_not_begun(self):
        """It would be cut with its target at work; another router has the time."""
        driver, request_id = waiting_at_two()
        self.stop(driver)
        assert driver.end().outcome is Outcome.NOT_RUN
        assert driver.end().refusal.reason is RefusalReason.LEAVING
        assert {agent for agent, _ in driver.sent(Withdraw)} == {"a", "b"}
        for agent, attempt in driver.reserved().items():
            driver.deliver(agent, Ready(request_id, attempt))
        assert not driver.actions_of(IssueGrant)
        assert len(driver.actions_of(DrainFinished)) == 1

    def test_waiting_request_whose_deadline_comes_first_is_served(self):
        """It ends before the process, whatever happens to it."""
        driver = Driver("a")
        driver.fill("a")
        request_id = driver.arrive(deadline_s=self.GRACE_S / 2)
        self.stop(driver)
        driver.deliver("a", Ready(request_id, 1))
        assert driver.last_grant().request_id == request_id
        assert not driver.actions_of(EndRequest)

    @pytest.mark.parametrize("reason", [RefusalReason.NO_SLOT, RefusalReason.TOMBSTONE])
    def test_refused_grant_is_not_issued_again(self, reason):
        """The request has not run, and may outlast the process."""
        driver, request_id, grant = granted("a", "b")
        self.stop(driver)
        driver.feed(GrantRefused(request_id, grant.attempt, Refusal(reason)))
        driver.advance(1.0, alive=("a", "b"))
        assert len(driver.actions_of(IssueGrant)) == 1
        assert driver.end().refusal.reason is RefusalReason.LEAVING

    def test_lost_grant_that_did_not_run_is_not_issued_again(self):
        """Its agent confirms the revocation while the router stops."""
        driver, request_id, grant = granted("a")
        driver.feed(GrantLost(request_id, grant.attempt, started=False))
        self.stop(driver)
        driver.deliver("a", RevokeResult(request_id, grant.attempt, ran=False))
        driver.advance(3.0, alive=("a",))
        assert len(driver.actions_of(IssueGrant)) == 1
        assert driver.end().refusal.reason is RefusalReason.LEAVING

    def test_request_that_runs_at_the_end_is_ended_as_unknown(self):
        """Its caller is told before the process is killed, and its target freed."""
        driver, _, grant = granted("a")
        exit_at = self.stop(driver)
        driver.advance(exit_at - driver.now - 2 * STEP_S, alive=("a",))
        assert not driver.actions_of(EndRequest)
        driver.advance(4 * STEP_S, alive=("a",))
        assert driver.end().outcome is Outcome.UNKNOWN
        [abandoned] = driver.actions_of(AbandonGrant)
        assert abandoned.attempt == grant.attempt
        assert len(driver.actions_of(DrainFinished)) == 1

    def test_stop_without_a_grace_begins_what_waits(self):
        """Nothing ends the process before its accepted requests have ended."""
        driver = Driver("a")
        driver.fill("a")
        request_id = driver.arrive()
        driver.feed(DrainRequested())
        driver.deliver("a", Ready(request_id, 1))
        assert driver.last_grant().request_id == request_id


class TestRoundRobin:
    def test_agents_get_grants_in_turn(self):
        """The round-robin baseline ignores load and sends no reservations."""
        driver = Driver("a", "b", policy=RoutingPolicy.ROUND_ROBIN)
        driver.fill("a", "b")
        for _ in range(4):
            driver.arrive()
        agents = [action.agent for action in driver.actions_of(IssueGrant)]
        assert agents == ["a", "b", "a", "b"]
        assert not driver.sent(Reserve)


class TestStandstill:
    """The router itself stood still, with datagrams and responses in its buffers."""

    STANDSTILL_S = 5.0

    def test_running_request_is_kept(self):
        """The first scan must not take the own standstill for silence of the agent."""
        driver, request_id, grant = granted("a")
        driver.feed(ResponseStarted(request_id, grant.attempt))
        driver.advance(1.0, alive=("a",))
        driver.now += self.STANDSTILL_S
        driver.feed(Tick())
        assert not driver.actions_of(AbandonGrant)
        driver.advance(1.0, alive=("a",))
        driver.feed(ResponseComplete(request_id, grant.attempt))
        assert driver.end().outcome is Outcome.COMPLETE

    def test_reservation_is_kept(self):
        """A withdrawn reservation would lose its place in the queue."""
        driver, _ = waiting_at_two()
        driver.now += self.STANDSTILL_S
        driver.feed(Tick())
        assert not driver.sent(Withdraw)

    def test_revocation_is_awaited(self):
        """The result of a revocation may have arrived during the standstill."""
        driver, request_id, grant = granted("a", "b")
        driver.feed(GrantLost(request_id, grant.attempt, started=False))
        driver.now += self.STANDSTILL_S
        driver.feed(Tick())
        assert not driver.actions_of(EndRequest)
        driver.deliver(grant.agent, RevokeResult(request_id, grant.attempt, False))
        driver.advance(1.0, alive=("a", "b"))
        assert len(driver.actions_of(IssueGrant)) == 2

    def test_agent_that_stays_silent_is_abandoned(self):
        """Its silence counts from the end of the standstill."""
        driver, _, _ = granted("a")
        driver.advance(1.0, alive=("a",))
        driver.now += self.STANDSTILL_S
        driver.advance(PEER_TIMEOUT_S - 1.5)
        assert not driver.actions_of(AbandonGrant)
        driver.advance(2.0)
        assert len(driver.actions_of(AbandonGrant)) == 1
