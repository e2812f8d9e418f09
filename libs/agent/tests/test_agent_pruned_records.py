"""Requests whose records the agent has pruned."""

from agent_driver import Driver, rid
from berylwalk.agent import Tick
from berylwalk.wire import Revoke, RevokeResult


class TestPrunedRecords:
    def test_request_that_ran_is_not_reported_as_not_run(self):
        """A late second attempt must not hide that the first one was dispatched."""
        driver = Driver(max_attempt_records=2, initial_limit=8)
        for serial in (1, 2, 3, 4):
            assert driver.grant(rid(serial), conditional=True) is None
            driver.end(rid(serial))
        driver.handle(Tick())
        driver.grant(rid(1), 2, conditional=True)
        replies = driver.receive(Revoke(rid(1), 1))
        results = [reply for reply in replies if isinstance(reply, RevokeResult)]
        assert all(result.ran for result in results)
