"""Rate and timing of pushed digests."""

from berylwalk.agent import (
    AgentConfig,
    AgentMachine,
    DatagramArrived,
    SendToRouter,
    TargetChanged,
    Tick,
)
from berylwalk.model import RequestId
from berylwalk.wire import Datagram, Digest, Hello, Reserve

STEP_S = 0.01


class Driver:
    """Agent machine with a clock; counts pushed digests by router."""

    def __init__(self):
        config = AgentConfig(agent_id="a1", incarnation=1, resources=("model:m",))
        self.machine = AgentMachine.from_config(config)
        self.now = 100.0
        self.digests_by_router = {}

    def feed(self, event):
        """Handle an event and count the digests that it causes."""
        for action in self.machine.handle(event, self.now):
            if not isinstance(action, SendToRouter):
                continue
            count = sum(isinstance(m, Digest) for m in action.messages)
            known = self.digests_by_router.get(action.router, 0)
            self.digests_by_router[action.router] = known + count

    def heartbeat(self, router, digest_ms):
        """Receive a heartbeat of a router."""
        self.feed(DatagramArrived(Datagram(router, 1, 1, (Hello(False, digest_ms),))))

    def change(self, seconds):
        """Change the state at each step; return the number of digests by router."""
        self.digests_by_router.clear()
        for number in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.feed(Tick())
            self.feed(TargetChanged((f"model:m{number % 2}",)))
        return self.digests_by_router


class TestPushes:
    def test_push_interval_is_set_by_each_router(self):
        """Changes are pushed to each router at the interval that it requested."""
        driver = Driver()
        driver.heartbeat("frequent", 50)
        driver.heartbeat("rare", 500)
        sent = driver.change(2.0)
        assert 30 <= sent["frequent"] <= 40
        assert 3 <= sent["rare"] <= 5

    def test_next_due_includes_deferred_pushes(self):
        """While requests are queued, a deferred push is sent when it is due."""
        driver = Driver()
        for number in range(20):
            request_id = RequestId("r1", 1, number + 1)
            reserve = Reserve(request_id, 1, "model:m", "acme", 0, 1.0, 10, 5, 60_000)
            driver.feed(DatagramArrived(Datagram("r1", 1, 1, (reserve,))))
        driver.heartbeat("rare", 430)
        driver.feed(Tick())
        driver.now += 0.06
        driver.heartbeat("frequent", 50)
        driver.feed(TargetChanged(("model:m", "model:new")))
        driver.now += 0.06
        driver.digests_by_router.clear()
        while not driver.digests_by_router.get("rare"):
            driver.now = max(driver.machine.next_due(driver.now), driver.now + 0.001)
            driver.feed(Tick())
        # Last push at 100.06, plus 0.43 s, plus at most the agent's interval of 0.05 s.
        assert 100.489 <= driver.now <= 100.541

    def test_unsubscribed_router_gets_no_pushes(self):
        """A router with interval 0 gets digests only in reply to its heartbeats."""
        driver = Driver()
        driver.heartbeat("unsubscribed", 0)
        assert driver.change(1.0) == {}

    def test_last_change_within_an_interval_is_pushed(self):
        """A change within the interval is pushed at its end without further changes."""
        driver = Driver()
        driver.heartbeat("r1", 300)
        driver.change(0.1)
        driver.digests_by_router.clear()
        for _ in range(50):
            driver.now += STEP_S
            driver.feed(Tick())
        assert driver.digests_by_router == {"r1": 1}
