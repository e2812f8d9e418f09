"""Flow control by signals in the responses of a target."""

import pytest

from agent_driver import Driver, grant, reserve, rid
from berylwalk.agent import (
    DispatchEnd,
    GrantArrived,
    StartDispatch,
    TargetChanged,
    TargetSignalsReceived,
    Tick,
)
from berylwalk.dispatch import TargetSignals
from berylwalk.model import RefusalReason
from berylwalk.wire import Queued, Ready, Withdraw


def receive_signals(driver, *, was_accepted=True, **signals):
    """Handle the signals of a response."""
    stated = TargetSignals(**signals)
    driver.handle(TargetSignalsReceived(stated, driver.now - 0.1, was_accepted))


def count_dispatched(driver, seconds, *, step_s=0.05):
    """Send conditional grants at a fixed rate; return how many are dispatched."""
    count = 0
    for serial in range(round(seconds / step_s)):
        driver.handle(Tick(), after=step_s)
        request_id = rid(10_000 + serial)
        actions = driver.handle(GrantArrived(grant(request_id, conditional=True)))
        if any(isinstance(action, StartDispatch) for action in actions):
            count += 1
            driver.end(request_id, DispatchEnd.COMPLETE)
    return count


class TestRateLimit:
    """Limit of requests per second."""

    @pytest.mark.parametrize("per_s", [0.5, 2.0, 5.0])
    def test_dispatch_rate_matches_the_limit(self, per_s):
        """No more than the limit and at least 90 % of it is dispatched under load."""
        driver = Driver(initial_limit=8)
        receive_signals(driver, limit_per_s=per_s)
        assert 0.9 * 20 * per_s - 1 <= count_dispatched(driver, 20.0) <= 20 * per_s + 2

    def test_slot_is_offered_when_the_limit_allows(self):
        """A queued request is offered a slot as soon as one may be sent, not before."""
        driver = Driver(initial_limit=8)
        receive_signals(driver, limit_per_s=2.0)
        (queued,) = driver.receive(reserve(rid(1)))
        assert isinstance(queued, Queued)
        driver.handle(Tick(), after=0.49)
        assert driver.sent == []
        assert driver.machine.next_due(driver.now) <= driver.now + 0.011
        driver.handle(Tick(), after=0.011)
        assert driver.sent == [Ready(rid(1), 1)]
        assert driver.receive(reserve(rid(2)))[0].wait_ms >= 400
        assert driver.grant(rid(1)) is None

    def test_withdrawn_offer_does_not_count(self):
        """An offer that is withdrawn does not use up the rate limit."""
        driver = Driver(initial_limit=8)
        receive_signals(driver, limit_per_s=2.0)
        driver.receive(reserve(rid(1)))
        driver.handle(Tick(), after=0.51)
        assert driver.sent == [Ready(rid(1), 1)]
        (queued,) = driver.receive(reserve(rid(2)))
        assert isinstance(queued, Queued)
        assert Ready(rid(2), 1) in driver.receive(Withdraw(rid(1), 1))

    def test_response_without_signals_ends_the_limit(self):
        """Responses without signals are reported only while a limit is active."""
        driver = Driver(initial_limit=8)
        receive_signals(driver, limit_per_s=0.5)
        assert driver.machine.has_active_signals
        driver.now += 3.0
        receive_signals(driver)
        assert not driver.machine.has_active_signals
        assert count_dispatched(driver, 1.0) == 20


class TestBackoff:
    """Backoff that the target requests."""

    def test_nothing_is_dispatched_during_backoff(self):
        """A request that was offered its slot before is refused too."""
        driver = Driver(initial_limit=4)
        assert driver.receive(reserve(rid(1))) == [Ready(rid(1), 1)]
        receive_signals(driver, retry_after_s=3.0, was_accepted=False)
        assert driver.grant(rid(1)) is RefusalReason.NO_SLOT
        assert count_dispatched(driver, 2.8) == 0

    def test_one_probe_precedes_further_requests(self):
        """After a backoff, one request is sent until the target accepts it."""
        driver = Driver(initial_limit=4)
        receive_signals(driver, retry_after_s=1.0, was_accepted=False)
        driver.handle(Tick(), after=1.0)
        assert driver.grant(rid(1), conditional=True) is None
        assert driver.grant(rid(2), conditional=True) is RefusalReason.NO_SLOT
        driver.now += 0.2
        receive_signals(driver)
        assert driver.grant(rid(3), conditional=True) is None


class TestShutdown:
    """Shutdown that the target announces."""

    def test_queued_and_new_requests_are_refused(self):
        """No request is queued or dispatched after the announcement."""
        driver = Driver(initial_limit=1)
        driver.fill_slot()
        driver.receive(reserve(rid(1)))
        receive_signals(driver, is_leaving=True)
        assert [message.reason for message in driver.sent] == [RefusalReason.LEAVING]
        driver.end(rid(999))
        assert driver.grant(rid(2), conditional=True) is RefusalReason.LEAVING

    def test_restarted_target_accepts_requests(self):
        """Signals are discarded when the target is reachable again."""
        driver = Driver()
        receive_signals(driver, is_leaving=True, limit_per_s=0.5)
        driver.handle(TargetChanged(("model:m",), reachable=False), after=1.0)
        driver.handle(TargetChanged(("model:m",), reachable=True), after=1.0)
        assert driver.grant(rid(2), conditional=True) is None
        assert not driver.machine.has_active_signals
