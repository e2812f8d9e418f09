"""State machine of the agent: which requests reach the target."""

import pytest

from agent_driver import INCARNATION, ROUTER_INCARNATION, Driver, reserve, rid
from berylwalk.agent import (
    DatagramArrived,
    DispatchEnd,
    DrainFinished,
    DrainRequested,
    TargetChanged,
    TargetProgress,
    Tick,
    TiersChanged,
)
from berylwalk.model import RefusalReason, TierPolicy
from berylwalk.wire import (
    Datagram,
    Hello,
    Queued,
    Ready,
    Refused,
    Revoke,
    RevokeResult,
    Withdraw,
)


class TestAtMostOnce:
    @pytest.mark.parametrize("conditional", [True, False])
    @pytest.mark.parametrize("ended", [True, False])
    def test_doubled_grant(self, conditional, ended):
        """A duplicate grant is refused while its request runs and afterwards."""
        driver = Driver(initial_limit=4)
        if not conditional:
            assert driver.receive(reserve(rid(1))) == [Ready(rid(1), 1)]
        assert driver.grant(rid(1), conditional=conditional) is None
        if ended:
            driver.end(rid(1))
        again = driver.grant(rid(1), conditional=conditional)
        assert again is RefusalReason.DUPLICATE
        # Also with a newer attempt, and after a long time.
        driver.handle(Tick(), after=300.0)
        assert driver.grant(rid(1), 2, conditional=True) is RefusalReason.DUPLICATE

    def test_dispatched_request_is_never_reported_as_not_run(self):
        """No late message causes a reply that a dispatched request did not run."""
        driver = Driver()
        driver.grant(rid(1), conditional=True)
        assert driver.receive(Withdraw(rid(1), 1)) == []
        assert driver.receive(reserve(rid(1))) == []
        assert driver.receive(Revoke(rid(1), 1)) == [RevokeResult(rid(1), 1, True)]
        driver.end(rid(1), DispatchEnd.BROKEN)
        assert driver.receive(Revoke(rid(1), 1)) == [RevokeResult(rid(1), 1, True)]

    @pytest.mark.parametrize(
        "changes",
        [
            {"agent_incarnation": INCARNATION - 1},
            {"agent_incarnation": INCARNATION + 1},
            {"agent": "a2"},
        ],
    )
    def test_grant_for_another_incarnation(self, changes):
        """A grant for another agent or incarnation does not run."""
        driver = Driver()
        reason = driver.grant(rid(1), conditional=True, **changes)
        assert reason is RefusalReason.STALE_INCARNATION
        assert driver.machine.running_count == 0

    @pytest.mark.parametrize("message_type", [Withdraw, Revoke])
    @pytest.mark.parametrize("reserved", [True, False])
    def test_grant_after_its_tombstone(self, message_type, reserved):
        """A grant that arrives after its withdrawal or revocation does not run."""
        driver = Driver()
        if reserved:
            driver.receive(reserve(rid(1)))
        driver.receive(message_type(rid(1), 1))
        assert driver.grant(rid(1)) is RefusalReason.TOMBSTONE
        assert driver.receive(reserve(rid(1)))[0].reason is RefusalReason.TOMBSTONE
        assert driver.machine.ready_count == 0
        assert driver.grant(rid(1), 2, conditional=True) is None

    def test_refused_attempt_stays_refused(self):
        """A copy of a refused grant does not run when a slot becomes free."""
        driver = Driver()
        running = driver.fill_slot()
        assert driver.grant(rid(1), conditional=True) is RefusalReason.NO_SLOT
        driver.end(running)
        assert driver.grant(rid(1), conditional=True) is RefusalReason.TOMBSTONE

    def test_request_that_was_not_sent(self):
        """A request that never reached the target counts as not run."""
        driver = Driver()
        driver.grant(rid(1), conditional=True)
        driver.end(rid(1), DispatchEnd.NOT_SENT)
        assert driver.receive(Revoke(rid(1), 1)) == [RevokeResult(rid(1), 1, False)]
        assert driver.grant(rid(1), conditional=True) is RefusalReason.TOMBSTONE
        assert driver.grant(rid(1), 2, conditional=True) is None

    def test_pruned_requests_never_run(self):
        """Requests at or below the pruning floor do not run; revokes get no reply."""
        driver = Driver(max_attempt_records=2, initial_limit=8)
        for serial in (1, 2, 3, 4):
            driver.grant(rid(serial), conditional=True)
            driver.end(rid(serial))
        driver.handle(Tick())
        assert driver.grant(rid(1), conditional=True) is RefusalReason.TOMBSTONE
        assert driver.receive(Revoke(rid(2), 1)) == []
        refused = driver.receive(reserve(rid(2), 3))[0]
        assert refused.reason is RefusalReason.TOMBSTONE
        assert driver.grant(rid(5), conditional=True) is None

    def test_running_request_is_never_pruned(self):
        """A request that runs longer than the retention time is still a duplicate."""
        driver = Driver(retention_s=10.0)
        driver.grant(rid(1), conditional=True)
        driver.handle(Tick(), after=100.0)
        assert driver.grant(rid(1), conditional=True) is RefusalReason.DUPLICATE
        assert driver.receive(Revoke(rid(1), 1)) == [RevokeResult(rid(1), 1, True)]

    def test_older_incarnation_of_a_router(self):
        """Reservations and grants of an earlier incarnation of a router are void."""
        driver = Driver()
        running = driver.fill_slot()
        driver.receive(reserve(rid(1)))
        newer = ROUTER_INCARNATION + 1
        driver.receive(Hello(), incarnation=newer)
        assert driver.machine.waiting_count == 0
        driver.end(running)
        assert driver.grant(rid(1)) is RefusalReason.TOMBSTONE
        assert driver.grant(rid(2), conditional=True) is RefusalReason.TOMBSTONE
        assert driver.grant(rid(2, incarnation=newer), conditional=True) is None


class TestAdmissionQueue:
    def test_evicts_the_newest_of_the_lowest_tier(self):
        """The newest reservation of the lowest tier is evicted, never a higher one."""
        driver = Driver(max_waiting=2)
        driver.fill_slot()
        driver.receive(reserve(rid(1), tier_rank=2))
        driver.receive(reserve(rid(2), tier_rank=2))
        sent = driver.receive(reserve(rid(3), tier_rank=0))
        assert (sent[0].request_id, sent[0].reason) == (rid(2), RefusalReason.EVICTED)
        assert isinstance(sent[1], Queued)
        sent = driver.receive(reserve(rid(4), tier_rank=1))
        assert (sent[0].request_id, sent[0].reason) == (rid(1), RefusalReason.EVICTED)
        for rank in (1, 2):
            sent = driver.receive(reserve(rid(10 + rank), tier_rank=rank))
            assert sent[0].reason is RefusalReason.QUEUE_FULL
        assert driver.machine.waiting_by_rank() == {0: 1, 1: 1}

    def test_parked_request_can_be_evicted(self):
        """A higher tier is not refused while a parked lower one is in the queue."""
        driver = Driver(max_waiting=1)
        driver.receive(reserve(rid(1), tier_rank=2))
        driver.handle(Tick(), after=0.06)
        driver.fill_slot()
        sent = driver.receive(reserve(rid(2), tier_rank=1))
        assert (sent[0].request_id, sent[0].reason) == (rid(1), RefusalReason.EVICTED)

    def test_free_slot_goes_to_the_highest_tier(self):
        """A free slot is offered by tier, not by arrival."""
        driver = Driver()
        running = driver.fill_slot()
        driver.receive(reserve(rid(1), tier_rank=2))
        driver.receive(reserve(rid(2), tier_rank=0))
        driver.end(running)
        assert driver.sent == [Ready(rid(2), 1)]

    def test_conditional_grant_does_not_overtake(self):
        """A conditional grant gets no slot while a request of its tier is queued."""
        driver = Driver(initial_limit=2, ready_timeout_s=10.0)
        tiers = (TierPolicy("high", 0, headroom=0.5), TierPolicy("low", 1))
        driver.handle(TiersChanged(1, tiers))
        driver.fill_slot()
        assert isinstance(driver.receive(reserve(rid(1)))[0], Queued)
        assert driver.grant(rid(2), conditional=True) is RefusalReason.NO_SLOT
        assert driver.grant(rid(3), conditional=True, tier_rank=0) is None

    def test_duplicate_reserve_gets_the_same_reply(self):
        """Resent reservations change no state."""
        driver = Driver(max_waiting=1)
        driver.fill_slot()
        for _ in range(2):
            assert isinstance(driver.receive(reserve(rid(1)))[0], Queued)
        for _ in range(2):
            refused = driver.receive(reserve(rid(2)))[0]
            assert refused.reason is RefusalReason.QUEUE_FULL
        driver.end(rid(999))
        assert driver.receive(reserve(rid(1))) == [Ready(rid(1), 1)]
        assert driver.machine.ready_count == 1

    def test_queue_full_refusal_is_not_repeated_when_there_is_space(self):
        """A duplicate is not refused as queue-full while a lower tier is queued."""
        driver = Driver(max_waiting=1)
        driver.fill_slot()
        driver.receive(reserve(rid(1), tier_rank=0))
        refused = driver.receive(reserve(rid(2), tier_rank=1))[0]
        assert refused.reason is RefusalReason.QUEUE_FULL
        driver.receive(Withdraw(rid(1), 1))
        driver.receive(reserve(rid(3), tier_rank=2))
        refused = driver.receive(reserve(rid(2), tier_rank=1))[0]
        assert refused.reason is RefusalReason.TOMBSTONE
        # A new attempt evicts the lower tier.
        sent = driver.receive(reserve(rid(2), 2, tier_rank=1))
        assert (sent[0].request_id, sent[0].reason) == (rid(3), RefusalReason.EVICTED)

    def test_newer_attempt_keeps_its_position(self):
        """A new attempt of a queued request replaces the old one in its position."""
        driver = Driver()
        running = driver.fill_slot()
        driver.receive(reserve(rid(1)), reserve(rid(2)))
        driver.receive(reserve(rid(1), 4))
        assert driver.receive(reserve(rid(1), 3))[0].reason is RefusalReason.TOMBSTONE
        driver.end(running)
        assert driver.sent == [Ready(rid(1), 4)]
        assert driver.grant(rid(1), 1) is RefusalReason.TOMBSTONE

    def test_overdue_request_is_refused_while_queued(self):
        """A request that can no longer meet its deadline never takes a slot."""
        driver = Driver()
        running = driver.fill_slot()
        driver.receive(reserve(rid(1), deadline_ms=2_000))
        driver.handle(Tick(), after=1.95)
        assert driver.sent[0].reason is RefusalReason.DEADLINE
        driver.end(running)
        assert driver.machine.ready_count == 0

    def test_infeasible_request_is_refused_at_once(self):
        """A request whose service time exceeds its deadline is never queued."""
        driver = Driver()
        refused = driver.receive(reserve(rid(1), output_tokens=1000, deadline_ms=500))
        assert refused[0].reason is RefusalReason.DEADLINE
        # It would be refused even with an empty queue.
        assert refused[0].retry_after_ms >= 1000


class TestSlotOffers:
    def test_expired_offer_keeps_the_position(self):
        """A reservation whose offer expires loses the slot but keeps its position."""
        driver = Driver()
        driver.receive(reserve(rid(1)), reserve(rid(2)), reserve(rid(3)))
        driver.handle(Tick(), after=0.06)
        assert driver.sent == [Ready(rid(2), 1)]
        assert driver.grant(rid(2)) is None
        driver.handle(Tick(), after=0.06)
        driver.end(rid(2))
        assert driver.sent == [Ready(rid(1), 1)]

    def test_grant_after_an_expired_offer(self):
        """A grant for an expired offer runs in a free slot, not beyond the limit."""
        driver = Driver()
        driver.receive(reserve(rid(1)))
        driver.handle(Tick(), after=0.06)
        assert driver.grant(rid(1)) is None
        driver.receive(reserve(rid(2)))
        driver.end(rid(1))
        driver.handle(Tick(), after=0.06)
        driver.fill_slot()
        assert driver.grant(rid(2)) is RefusalReason.NO_SLOT

    def test_repeated_ready_holds_one_slot(self):
        """Resending `Ready` does not hold another slot."""
        driver = Driver(initial_limit=2)
        driver.receive(reserve(rid(1)))
        driver.handle(Tick(), after=0.02)
        assert driver.sent == [Ready(rid(1), 1)]
        assert driver.machine.ready_count == 1

    def test_withdrawn_offer_goes_to_the_next(self):
        """A released slot is offered to the next request at once."""
        driver = Driver()
        driver.receive(reserve(rid(1)), reserve(rid(2)))
        assert driver.receive(Withdraw(rid(1), 1)) == [Ready(rid(2), 1)]

    def test_timed_out_router_loses_its_reservations(self):
        """Reservations and offers of a timed out router are void, others are not."""
        driver = Driver(ready_timeout_s=100.0)
        driver.receive(reserve(rid(1)), reserve(rid(2)))
        other = rid(1, router="r2")
        driver.receive(reserve(other), router="r2", after=2.0)
        driver.handle(Tick(), after=1.5)
        assert Ready(other, 1) in driver.sent
        assert driver.grant(rid(1)) is RefusalReason.TOMBSTONE

    def test_slots_are_never_exceeded(self):
        """Running requests and offers never exceed the limit plus `ask_ahead`."""
        driver = Driver(initial_limit=2, ask_ahead=1)
        driver.receive(*(reserve(rid(serial)) for serial in range(1, 8)))
        assert driver.machine.ready_count == 3
        for serial in range(1, 8):
            driver.grant(rid(serial))
        assert driver.machine.running_count == 3


class TestTarget:
    def test_unreachable_target(self):
        """Queued and new requests are refused while the target is unreachable."""
        driver = Driver()
        driver.fill_slot()
        driver.receive(reserve(rid(1)))
        driver.handle(TargetChanged(("model:m",), reachable=False))
        assert driver.sent[0].reason is RefusalReason.NOT_SERVED
        assert driver.grant(rid(2), conditional=True) is RefusalReason.NOT_SERVED

    def test_digest_keeps_the_resources_of_an_unreachable_target(self):
        """Digests report the target as unreachable, not as without resources."""
        driver = Driver()
        driver.handle(TargetChanged(("model:m",), reachable=False))
        datagram = Datagram("r1", ROUTER_INCARNATION, 0, (Hello(),))
        actions = driver.handle(DatagramArrived(datagram))
        digest = actions[0].messages[0]
        assert digest.resources == ("model:m",)
        assert not digest.target_reachable

    def test_low_tier_leaves_headroom(self):
        """Low tiers do not take the slots reserved for higher tiers."""
        driver = Driver(initial_limit=4)
        tiers = (TierPolicy("high", 0, headroom=0.25), TierPolicy("low", 1))
        driver.handle(TiersChanged(1, tiers))
        reasons = [driver.grant(rid(n), conditional=True) for n in range(1, 5)]
        assert reasons == [None, None, None, RefusalReason.NO_SLOT]
        assert driver.grant(rid(5), conditional=True, tier_rank=0) is None

    def test_straggler_has_a_lower_limit_and_is_reported(self):
        """The digest of a straggler reports it as slow, with a lower limit."""
        driver = Driver(initial_limit=8)
        driver.grant(rid(1), conditional=True)
        progress = TargetProgress(rid(1), first=False)
        for gap_s in (0.01,) * 100 + (0.04,) * 100:
            driver.handle(progress, after=gap_s)
        actions = driver.handle(
            DatagramArrived(Datagram("r1", ROUTER_INCARNATION, 0, (Hello(),)))
        )
        digest = actions[0].messages[0]
        assert digest.slow
        assert digest.limit < 8


class TestDrain:
    def test_running_requests_finish_and_others_are_refused(self):
        """A drain refuses queued requests and waits for running ones."""
        driver = Driver(initial_limit=2)
        driver.fill_slot()
        driver.receive(reserve(rid(1)), reserve(rid(2)))
        actions = driver.handle(DrainRequested())
        refused = [m for m in driver.sent if isinstance(m, Refused)]
        assert {m.request_id for m in refused} == {rid(1), rid(2)}
        assert {m.reason for m in refused} == {RefusalReason.LEAVING}
        assert DrainFinished() not in actions
        assert driver.grant(rid(1)) is not None
        assert driver.grant(rid(3), conditional=True) is RefusalReason.LEAVING
        refused = driver.receive(reserve(rid(4)))[0]
        assert refused.reason is RefusalReason.LEAVING
        assert DrainFinished() in driver.end(rid(999))
        assert DrainFinished() not in driver.handle(Tick())
