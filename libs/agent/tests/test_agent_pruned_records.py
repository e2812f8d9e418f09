"""Requests whose records the agent has pruned."""

from agent_driver import ROUTER_INCARNATION, Driver, rid
from berylwalk.agent import Tick
from berylwalk.agent._attempt_registry import MAX_FLOORS_PER_ROUTER
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

    def test_router_whose_clock_went_back_is_refused_until_it_passes(self):
        """Its requests can't be told from pruned ones, which may have run."""
        driver = Driver(max_attempt_records=0, initial_limit=8)
        first = ROUTER_INCARNATION
        for incarnation in range(first, first + MAX_FLOORS_PER_ROUTER + 1):
            request_id = rid(1, incarnation=incarnation)
            assert driver.grant(request_id, conditional=True) is None
            driver.end(request_id)
            driver.handle(Tick())
        refused = rid(1, incarnation=first - 1)
        assert driver.grant(refused, conditional=True) is not None
        later = rid(1, incarnation=first + MAX_FLOORS_PER_ROUTER + 1)
        assert driver.grant(later, conditional=True) is None
