"""Digests that are due sooner after a router has subscribed again."""

from berylwalk.wire import Revoke, Withdraw
from test_agent_machine_fuzz import AgentAgainstRules


class TestDigestDue:
    def test_digest_is_not_due_before_it_is_told(self):
        """A subscription with a shorter interval must bring the next tick forward."""
        state = AgentAgainstRules()
        state.start(remembered=1000)
        state.hello(digest_ms=500, router="r2")
        state.grant("r1", 3, 2, True, 1)
        state.reserve("r1", 4, 2, 50, "y")
        state.grant("r1", 3, 1, True, 1)
        state.reserve("r1", 3, 1, 50, "y")
        state.kill("r1", 4, 1, Withdraw)
        state.hello(digest_ms=500, router="r1")
        state.kill("r1", 1, 2, Withdraw)
        state.grant("r1", 1, 1, True, 1)
        state.kill("r1", 1, 1, Withdraw)
        state.grant("r1", 4, 2, False, 1)
        state.reserve("r1", 1, 1, 50, "y")
        state.reserve("r2", 3, 1, 50, "x")
        state.kill("r2", 2, 1, Withdraw)
        state.change_target(unreachable=False)
        state.restart_router("r1", really=True)
        state.reserve("r1", 4, 2, 500, "x")
        state.tick(after=0.06)
        state.kill("r2", 3, 1, Revoke)
        state.change_target(unreachable=False)
        state.hello(digest_ms=500, router="r1")
        state.hello(digest_ms=50, router="r2")
        state.nothing_is_due_before_it_is_told()
