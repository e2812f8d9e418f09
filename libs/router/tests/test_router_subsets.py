"""The router's choice of agents in fleets larger than its subset."""

from random import Random

import pytest

from berylwalk.model import (
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    TierPolicy,
    WorkEstimate,
)
from berylwalk.router import (
    AbandonGrant,
    AgentsListed,
    AnswerStarted,
    DatagramArrived,
    EndRequest,
    IssueGrant,
    RequestArrived,
    RouterConfig,
    RouterMachine,
    SendToAgent,
    Tick,
)
from berylwalk.wire import Datagram, Digest, Hello

STEP_S = 0.05
SERVICE_POLICY = ServicePolicy("acme", "", TierPolicy("urgent", 0), max_running=10_000)


class Fleet:
    """A router and many agents that answer its heartbeats."""

    def __init__(self, agents, models, *, subset_size=16):
        config = RouterConfig("r1", 1, subset_size=subset_size)
        self.machine = RouterMachine(config, rng=Random(7))
        self.now = 100.0
        self.serial = 0
        self.model_by_agent = {
            f"a{i:04}": f"model:m{i % models}" for i in range(agents)
        }
        self.silent = set()
        self.hellos = []
        self.actions = []
        self.feed(AgentsListed(tuple(self.model_by_agent)))

    def feed(self, event):
        """Hand an event to the machine; agents answer at once."""
        for action in self.machine.handle(event, self.now):
            self.actions.append(action)
            if isinstance(action, SendToAgent):
                self.answer(action)

    def answer(self, action):
        """Answer a heartbeat, unless the agent is silent."""
        hellos = [m for m in action.messages if isinstance(m, Hello)]
        self.hellos += [(self.now, action.agent, hello) for hello in hellos]
        if hellos and action.agent not in self.silent:
            self.digest(action.agent)

    def digest(self, agent):
        """Deliver a digest."""
        self.serial += 1
        resources = (self.model_by_agent[agent],)
        digest = Digest(
            self.serial, resources, "d", False, False, 0, 0, 100, (0,), (0,), 1e4, 10.0
        )
        self.feed(DatagramArrived(Datagram(agent, 1, 1, (digest,))))

    def advance(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.feed(Tick())

    def arrive(self, model):
        """Submit a request; return the grant's agent, or None."""
        self.serial += 1
        request = Request(
            request_id=RequestId("r1", 1, self.serial),
            service_policy=SERVICE_POLICY,
            call=TargetCall("POST", "/v1/completions", f"model:{model}"),
            estimate=WorkEstimate(10, 10),
            arrived_at=self.now,
            deadline_at=self.now + 60.0,
        )
        self.actions.clear()
        self.feed(RequestArrived(request))
        self.advance(0.2)
        grants = [a for a in self.actions if isinstance(a, IssueGrant)]
        return grants[0] if grants else None

    def hellos_per_s(self, seconds):
        """Return the mean number of heartbeats sent in a second."""
        before = len(self.hellos)
        self.advance(seconds)
        return (len(self.hellos) - before) / seconds


class TestEveryResource:
    def test_each_model_of_a_large_fleet_is_served(self):
        """A router finds an agent for each model, however many agents there are."""
        fleet = Fleet(200, 20)
        fleet.advance(10.0)
        placed = [fleet.arrive(f"m{i}") for i in range(20)]
        assert all(placed)
        for number, action in enumerate(placed):
            assert fleet.model_by_agent[action.agent] == f"model:m{number}"

    def test_a_model_beyond_the_room_for_heartbeats_is_found_on_demand(self):
        """With more models than heartbeats, those that are asked for come first."""
        fleet = Fleet(400, 200)
        fleet.advance(10.0)
        assert all(fleet.arrive(f"m{i}") for i in range(0, 200, 7))

    def test_a_model_that_appears_later_is_found(self):
        """The survey of all agents learns what an agent serves by now."""
        fleet = Fleet(60, 2, subset_size=4)
        fleet.advance(10.0)
        assert fleet.arrive("new") is None
        fleet.model_by_agent["a0033"] = "model:new"
        fleet.advance(10.0)
        assert fleet.arrive("new").agent == "a0033"


class TestFailures:
    def test_silent_agents_are_replaced(self):
        """When all agents of a model's subset fall silent, others take over."""
        fleet = Fleet(200, 20)
        fleet.advance(10.0)
        used = {fleet.arrive("m3").agent for _ in range(8)}
        fleet.silent |= used
        fleet.advance(6.0)
        action = fleet.arrive("m3")
        assert action.agent not in used

    def test_an_agent_with_a_grant_keeps_its_heartbeats(self):
        """A request is not given up because its agent left the subset."""
        fleet = Fleet(200, 1, subset_size=2)
        fleet.advance(10.0)
        action = fleet.arrive("m0")
        grant = action.grant
        fleet.feed(AnswerStarted(grant.request_id, grant.attempt))
        fleet.model_by_agent[action.agent] = "model:other"
        fleet.digest(action.agent)
        fleet.advance(12.0)
        ends = (AbandonGrant, EndRequest)
        assert not [a for a in fleet.actions if isinstance(a, ends)]
        asked = [hello for at, agent, hello in fleet.hellos if agent == action.agent]
        assert asked[-1].digest_ms > 0


class TestBounds:
    @pytest.mark.parametrize("agents", [500, 2000])
    def test_heartbeats_do_not_grow_with_the_fleet(self, agents):
        """Heartbeats stay within a bound at any number of agents."""
        fleet = Fleet(agents, 28)
        fleet.advance(agents / 70)
        assert fleet.hellos_per_s(10.0) <= 60

    def test_the_survey_asks_for_no_digests(self):
        """An agent outside the subset is not asked to send digests of its own."""
        fleet = Fleet(200, 1, subset_size=2)
        fleet.advance(10.0)
        fleet.hellos.clear()
        fleet.advance(5.0)
        asked = {agent for _, agent, hello in fleet.hellos if hello.digest_ms > 0}
        probed = {agent for _, agent, hello in fleet.hellos if hello.digest_ms == 0}
        assert len(asked) == 2
        assert len(probed) > 20
        assert not asked & probed
