"""A target says in its answers what it takes; all work for it passes its agent."""

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


def states(driver, *, was_accepted=True, **signals):
    """Let an answer state something of the target."""
    stated = TargetSignals(**signals)
    driver.handle(TargetSignalsReceived(stated, driver.now - 0.1, was_accepted))


def dispatched(driver, seconds, *, step_s=0.05):
    """Return how many of many conditional grants are dispatched in a time."""
    count = 0
    for serial in range(round(seconds / step_s)):
        driver.handle(Tick(), after=step_s)
        request_id = rid(10_000 + serial)
        actions = driver.handle(GrantArrived(grant(request_id, conditional=True)))
        if any(isinstance(action, StartDispatch) for action in actions):
            count += 1
            driver.end(request_id, DispatchEnd.COMPLETE)
    return count


class TestLimit:
    """Requests a second."""

    @pytest.mark.parametrize("per_s", [0.5, 2.0, 5.0])
    def test_no_more_is_dispatched(self, per_s):
        """And nine tenths of it are, where more come."""
        driver = Driver(initial_limit=8)
        states(driver, limit_per_s=per_s)
        assert 0.9 * 20 * per_s - 1 <= dispatched(driver, 20.0) <= 20 * per_s + 2

    def test_waiting_requests_get_their_turn_as_it_allows(self):
        """A slot is offered when the next one may be sent, and not before."""
        driver = Driver(initial_limit=8)
        states(driver, limit_per_s=2.0)
        (queued,) = driver.receive(reserve(rid(1)))
        assert isinstance(queued, Queued)
        driver.handle(Tick(), after=0.49)
        assert driver.sent == []
        assert driver.machine.next_due(driver.now) <= driver.now + 0.011
        driver.handle(Tick(), after=0.011)
        assert driver.sent == [Ready(rid(1), 1)]
        assert driver.receive(reserve(rid(2)))[0].wait_ms >= 400
        assert driver.grant(rid(1)) is None

    def test_turn_that_is_given_up_goes_to_the_next(self):
        """What was not sent is not counted."""
        driver = Driver(initial_limit=8)
        states(driver, limit_per_s=2.0)
        driver.receive(reserve(rid(1)))
        driver.handle(Tick(), after=0.51)
        assert driver.sent == [Ready(rid(1), 1)]
        (queued,) = driver.receive(reserve(rid(2)))
        assert isinstance(queued, Queued)
        assert Ready(rid(2), 1) in driver.receive(Withdraw(rid(1), 1))

    def test_answer_without_it_ends_it(self):
        """It has to be asked for: most answers state nothing."""
        driver = Driver(initial_limit=8)
        states(driver, limit_per_s=0.5)
        assert driver.machine.has_active_signals
        driver.now += 3.0
        states(driver)
        assert not driver.machine.has_active_signals
        assert dispatched(driver, 1.0) == 20


class TestRest:
    """For how long it wants nothing."""

    def test_nothing_is_dispatched(self):
        """Not even what has got its slot before."""
        driver = Driver(initial_limit=4)
        assert driver.receive(reserve(rid(1))) == [Ready(rid(1), 1)]
        states(driver, retry_after_s=3.0, was_accepted=False)
        assert driver.grant(rid(1)) is RefusalReason.NO_SLOT
        assert dispatched(driver, 2.8) == 0

    def test_one_first_and_then_more(self):
        """As the target takes them."""
        driver = Driver(initial_limit=4)
        states(driver, retry_after_s=1.0, was_accepted=False)
        driver.handle(Tick(), after=1.0)
        assert driver.grant(rid(1), conditional=True) is None
        assert driver.grant(rid(2), conditional=True) is RefusalReason.NO_SLOT
        driver.now += 0.2
        states(driver)
        assert driver.grant(rid(3), conditional=True) is None


class TestLeaving:
    """It leaves."""

    def test_routers_are_sent_elsewhere(self):
        """What waits, and what comes."""
        driver = Driver(initial_limit=1)
        driver.fill_slot()
        driver.receive(reserve(rid(1)))
        states(driver, is_leaving=True)
        assert [message.reason for message in driver.sent] == [RefusalReason.LEAVING]
        driver.end(rid(999))
        assert driver.grant(rid(2), conditional=True) is RefusalReason.LEAVING

    def test_the_next_life_takes_work(self):
        """It answers again after it was away."""
        driver = Driver()
        states(driver, is_leaving=True, limit_per_s=0.5)
        driver.handle(TargetChanged(("model:m",), reachable=False), after=1.0)
        driver.handle(TargetChanged(("model:m",), reachable=True), after=1.0)
        assert driver.grant(rid(2), conditional=True) is None
        assert not driver.machine.has_active_signals
