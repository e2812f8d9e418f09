"""Subsets of agents in fleets larger than the subset size."""

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
    DatagramArrived,
    EndRequest,
    IssueGrant,
    RequestArrived,
    ResponseStarted,
    RouterConfig,
    RouterMachine,
    SendToAgent,
    Tick,
)
from berylwalk.wire import Datagram, Digest, Hello

STEP_S = 0.05
SERVICE_POLICY = ServicePolicy("acme", "", TierPolicy("urgent", 0), max_running=10_000)


class Fleet:
    """A router and many simulated agents that respond to its heartbeats."""

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
        """Feed an event to the machine; agents respond immediately."""
        for action in self.machine.handle(event, self.now):
            self.actions.append(action)
            if isinstance(action, SendToAgent):
                self.reply(action)

    def reply(self, action):
        """Respond to a heartbeat, unless the agent is silent."""
        hellos = [m for m in action.messages if isinstance(m, Hello)]
        self.hellos += [(self.now, action.agent, hello) for hello in hellos]
        if hellos and action.agent not in self.silent:
            self.digest(action.agent)

    def digest(self, agent):
        """Deliver a digest of an agent."""
        self.serial += 1
        resources = (self.model_by_agent[agent],)
        digest = Digest(
            self.serial, resources, "d", False, False, 0, 0, 100, (0,), (0,), 1e4, 10.0
        )
        self.feed(DatagramArrived(Datagram(agent, 1, 1, (digest,))))

    def advance(self, seconds):
        """Advance the clock, with a tick per step."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.feed(Tick())

    def arrive(self, model):
        """Submit a request; return the action that issues its grant, or None."""
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
        """Return the mean number of heartbeats sent per second."""
        before = len(self.hellos)
        self.advance(seconds)
        return (len(self.hellos) - before) / seconds


class TestEveryResource:
    def test_each_model_of_a_large_fleet_is_served(self):
        """Guards against a model without an agent in the subsets of a large fleet."""
        fleet = Fleet(200, 20)
        fleet.advance(10.0)
        placed = [fleet.arrive(f"m{i}") for i in range(20)]
        assert all(placed)
        for number, action in enumerate(placed):
            assert fleet.model_by_agent[action.agent] == f"model:m{number}"

    def test_model_beyond_the_heartbeat_limit_is_found_on_demand(self):
        """Models that requests need take precedence if not all fit the subsets."""
        fleet = Fleet(400, 200)
        fleet.advance(10.0)
        assert all(fleet.arrive(f"m{i}") for i in range(0, 200, 7))

    def test_a_model_that_appears_later_is_found(self):
        """Probes detect changed resources of agents outside the subset."""
        fleet = Fleet(60, 2, subset_size=4)
        fleet.advance(10.0)
        assert fleet.arrive("new") is None
        fleet.model_by_agent["a0033"] = "model:new"
        fleet.advance(10.0)
        assert fleet.arrive("new").agent == "a0033"


class TestFailures:
    def test_silent_agents_are_replaced(self):
        """Other agents replace the subset of a model if all its agents fail."""
        fleet = Fleet(200, 20)
        fleet.advance(10.0)
        used = {fleet.arrive("m3").agent for _ in range(8)}
        fleet.silent |= used
        fleet.advance(6.0)
        action = fleet.arrive("m3")
        assert action.agent not in used

    def test_an_agent_with_a_grant_keeps_its_heartbeats(self):
        """A granted request is not abandoned when its agent leaves the subset."""
        fleet = Fleet(200, 1, subset_size=2)
        fleet.advance(10.0)
        action = fleet.arrive("m0")
        grant = action.grant
        fleet.feed(ResponseStarted(grant.request_id, grant.attempt))
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
        """The heartbeat rate is bounded for any number of agents."""
        fleet = Fleet(agents, 28)
        fleet.advance(agents / 70)
        assert fleet.hellos_per_s(10.0) <= 60

    def test_probes_request_no_unsolicited_digests(self):
        """Agents outside the subset are not asked to send unsolicited digests."""
        fleet = Fleet(200, 1, subset_size=2)
        fleet.advance(10.0)
        fleet.hellos.clear()
        fleet.advance(5.0)
        asked = {agent for _, agent, hello in fleet.hellos if hello.digest_ms > 0}
        probed = {agent for _, agent, hello in fleet.hellos if hello.digest_ms == 0}
        assert len(asked) == 2
        assert len(probed) > 20
        assert not asked & probed
