"""Orders, records and versions after the store was restored from an older copy."""

import pytest

from berylwalk.rollout import ExposureRules, Order, Phase, Record, Rollouts
from berylwalk.rollout._rollouts import (
    FIRST_UPDATES_S,
    LEARNING_S,
    ORDER_RETURN_S,
    VERSION_HOLD_S,
)

SERVICE = "s"
ERA = 10**12
"""Lower bound of the revisions after the first restore."""


def order(revision, *, version="v2", period_s=12.0):
    """Return an order."""
    return Order(service=SERVICE, version=version, period_s=period_s, revision=revision)


def record(phase, *, number=3, revision=57, version="v2", period_s=12.0):
    """Return a record."""
    return Record(version, revision, phase, number, 0.0, period_s=period_s)


def router(*orders, name="r/1", start=0):
    """Return the state of a router with two versions that knows orders since 0 s."""
    rollouts = Rollouts(ExposureRules(), router=name)
    rollouts.note_era(start, 0.0)
    rollouts.set_orders(orders, 0.0)
    rollouts.versions.record_version(SERVICE, "v1", 10)
    rollouts.versions.record_version(SERVICE, "v2", 60)
    rollouts.versions.record_orders_known(70)
    return rollouts


def in_phase(phase):
    """Return a router with a roll-out in a phase, and its state after a restore."""
    rollouts = router(order(57))
    rollouts.merge_record(SERVICE, record(phase), 1.0)
    rollouts.note_era(ERA, 10.0)
    return rollouts


class TestOrderWrittenAgain:
    """It is the same order, under another revision."""

    @pytest.mark.parametrize("phase", list(Phase))
    def test_roll_out_goes_on_in_its_phase(self, phase):
        rollouts = in_phase(phase)
        before = rollouts.progress(SERVICE)
        assert not rollouts.set_orders([order(ERA + 40)], 13.0)
        progress = rollouts.progress(SERVICE)
        assert progress is before
        assert progress.phase is phase
        assert progress.record.order_revision == ERA + 40
        assert rollouts.last_record(SERVICE) is progress.record
        assert progress.age_s(13.0) == 13.0

    def test_order_that_the_copy_has_is_the_same_too(self):
        rollouts = in_phase(Phase.COMPLETED)
        rollouts.set_orders([order(ERA + 57)], 10.0)
        rollouts.set_orders([order(ERA + 80)], 13.0)
        assert rollouts.progress(SERVICE).phase is Phase.COMPLETED

    def test_second_restore(self):
        rollouts = in_phase(Phase.REVERTED)
        rollouts.set_orders([order(ERA + 40)], 13.0)
        rollouts.note_era(2 * ERA, 15.0)
        rollouts.set_orders([order(2 * ERA + 40)], 16.0)
        assert rollouts.progress(SERVICE).phase is Phase.REVERTED

    @pytest.mark.parametrize("changes", [{"version": "v3"}, {"period_s": 20.0}])
    def test_other_content_is_another_order(self, changes):
        rollouts = in_phase(Phase.REVERTED)
        assert rollouts.set_orders([order(ERA + 40, **changes)], 13.0)
        assert rollouts.progress(SERVICE).record is None

    def test_same_content_much_later_is_another_order(self):
        """An operator orders the reverted version once more."""
        rollouts = in_phase(Phase.REVERTED)
        rollouts.set_orders([order(ERA + 40)], 13.0)
        assert rollouts.set_orders([order(ERA + 90)], 13.0 + ORDER_RETURN_S)
        assert rollouts.progress(SERVICE).record is None

    def test_same_content_without_a_restore_is_another_order(self):
        rollouts = router(order(57))
        rollouts.merge_record(SERVICE, record(Phase.REVERTED), 1.0)
        assert rollouts.set_orders([order(58)], 2.0)
        assert rollouts.progress(SERVICE).record is None

    def test_status_is_to_be_reported_again(self):
        """Also if a router that does not know of the restore has reported it."""
        rollouts, other = in_phase(Phase.COMPLETED), in_phase(Phase.COMPLETED)
        for each in (rollouts, other):
            each.progress(SERVICE).reported_number = 3
        update = other.updates(10.0)
        rollouts.set_orders([order(ERA + 40)], 13.0)
        rollouts.merge("r/2", update, 13.0)
        assert rollouts.progress(SERVICE).reported_number == -1

    def test_record_of_before_does_not_replace_a_later_one(self):
        rollouts = in_phase(Phase.REVERTED)
        rollouts.set_orders([order(ERA + 40)], 13.0)
        stored = record(Phase.CANARY, number=0, revision=57)
        assert not rollouts.merge_record(SERVICE, stored, 14.0)
        assert rollouts.progress(SERVICE).phase is Phase.REVERTED

    def test_rejection_by_a_router_that_has_not_read_the_order(self):
        rollouts, other = in_phase(Phase.CANARY), in_phase(Phase.CANARY)
        rollouts.set_orders([order(ERA + 40)], 13.0)
        other.progress(SERVICE).is_rejected = True
        rollouts.merge("r/2", other.updates(13.0), 13.0)
        assert rollouts.progress(SERVICE).is_rejected


class TestMissingOrder:
    """An order that the copy lacks is kept for a while."""

    @pytest.mark.parametrize("phase", [Phase.CANARY, Phase.REVERTED])
    def test_version_is_not_exposed_meanwhile(self, phase):
        rollouts = in_phase(phase)
        rollouts.set_orders([], 10.0)
        rollouts.versions.record_orders_known(ERA + 39)
        assert rollouts.awaits_orders
        assert not rollouts.allows(SERVICE, "v2", 0.0, 11.0)
        assert rollouts.allows(SERVICE, "v1", 0.0, 11.0)

    def test_order_that_does_not_return_was_deleted(self):
        rollouts = in_phase(Phase.CANARY)
        rollouts.set_orders([], 10.0 + ORDER_RETURN_S)
        assert rollouts.progress(SERVICE) is None
        assert not rollouts.awaits_orders

    def test_order_that_is_deleted_after_its_return(self):
        rollouts = in_phase(Phase.CANARY)
        rollouts.set_orders([order(ERA + 57)], 10.0)
        rollouts.set_orders([], 11.0)
        assert rollouts.progress(SERVICE) is None


class TestMissingVersion:
    """A version whose targets are listed again before its order."""

    def late_version(self):
        """Return a router that learns of a version after the restore."""
        rollouts = router()
        rollouts.note_era(ERA, 10.0)
        rollouts.versions.record_version(SERVICE, "v3", ERA + 40)
        rollouts.versions.record_orders_known(ERA + 41)
        return rollouts

    def test_it_gets_nothing_for_a_while(self):
        rollouts = self.late_version()
        assert not rollouts.allows(SERVICE, "v3", 0.0, 11.0)
        assert rollouts.allows(SERVICE, "v2", 0.0, 11.0)

    def test_without_an_order_it_is_like_the_others_later(self):
        rollouts = self.late_version()
        now = 10.0 + VERSION_HOLD_S
        rollouts.note_era(ERA, now)
        assert rollouts.allows(SERVICE, "v3", 0.0, now)


class TestRouterThatStartsAfterwards:
    """It reads an older record, and learns from the others what the copy lacks."""

    def test_older_record_in_progress_waits_for_a_later_one(self):
        rollouts = router(order(ERA + 57), start=ERA)
        rollouts.merge_record(SERVICE, record(Phase.CANARY, number=0), 0.5)
        assert not rollouts.take_canary(SERVICE, "route", 0.5)
        assert rollouts.progress(SERVICE).record is None
        decided = record(Phase.REVERTED, revision=ERA + 57)
        rollouts.merge_record(SERVICE, decided, 1.0)
        assert rollouts.progress(SERVICE).phase is Phase.REVERTED

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.REVERTED])
    def test_decided_record_is_in_force(self, phase):
        rollouts = router(order(ERA + 57), start=ERA)
        rollouts.merge_record(SERVICE, record(phase), 0.5)
        assert rollouts.progress(SERVICE).phase is phase

    @pytest.mark.parametrize("number", [None, 0])
    def test_no_version_gets_requests_before_the_others_can_tell(self, number):
        """The copy has an older record or none; the roll-out may be completed."""
        rollouts, other = router(order(ERA + 57), start=ERA), in_phase(Phase.COMPLETED)
        if number is not None:
            rollouts.merge_record(SERVICE, record(Phase.CANARY, number=number), 0.1)
        assert not rollouts.allows(SERVICE, "v1", 0.9, 0.1)
        assert not rollouts.allows(SERVICE, "v2", 0.0, 0.1)
        rollouts.merge("r/2", other.updates(10.0), 0.2)
        assert not rollouts.allows(SERVICE, "v1", 0.9, 0.2)
        assert rollouts.allows(SERVICE, "v2", 0.0, 0.2)

    def test_old_version_gets_requests_if_no_other_router_tells_a_phase(self):
        rollouts = router(order(ERA + 57), start=ERA)
        rollouts.merge_record(SERVICE, record(Phase.CANARY, number=0), 0.1)
        assert rollouts.allows(SERVICE, "v1", 0.9, FIRST_UPDATES_S)
        assert not rollouts.allows(SERVICE, "v2", 0.0, FIRST_UPDATES_S)

    def test_record_of_another_order_tells_which_version_is_in_service(self):
        rollouts = router(order(ERA + 57, version="v2"), start=ERA)
        former = record(Phase.COMPLETED, version="v1", revision=20)
        rollouts.merge_record(SERVICE, former, 0.1)
        assert rollouts.allows(SERVICE, "v1", 0.9, 0.1)

    def test_record_without_a_period(self):
        """Older routers wrote none."""
        rollouts = router(order(ERA + 57), start=ERA)
        stored = record(Phase.REVERTED, period_s=0.0)
        rollouts.merge_record(SERVICE, stored, 0.5)
        assert rollouts.progress(SERVICE).phase is Phase.REVERTED

    def test_it_learns_the_phase_from_a_router_that_has_not_read_the_order(self):
        rollouts = router(order(ERA + 57), start=ERA)
        other = in_phase(Phase.SHIFTING)
        rollouts.merge("r/2", other.updates(10.0), 1.0)
        assert rollouts.progress(SERVICE).phase is Phase.SHIFTING

    def test_completion_that_it_learns_before_it_lists_the_targets(self):
        """The old version is barred as at the router that tells it."""
        other = in_phase(Phase.SHIFTING)
        known = other.versions.known(SERVICE)
        shifting = other.progress(SERVICE).record
        completed = shifting.with_phase(Phase.COMPLETED, "drained", known)
        other.merge_record(SERVICE, completed, 10.0)
        rollouts = Rollouts(ExposureRules(), router="r/1")
        rollouts.note_era(ERA, 0.0)
        rollouts.set_orders([order(ERA + 57)], 0.0)
        rollouts.merge("r/2", other.updates(10.0), 0.1)
        rollouts.versions.record_version(SERVICE, "v1", ERA + 10)
        rollouts.versions.record_version(SERVICE, "v2", ERA + 60)
        rollouts.versions.record_orders_known(ERA + 70)
        assert rollouts.last_record(SERVICE).barred == ["v1"]
        assert not rollouts.allows(SERVICE, "v1", 0.9, 0.2)
        assert rollouts.allows(SERVICE, "v2", 0.9, 0.2)

    def test_order_that_it_does_not_know_yet(self):
        """Another router holds the version back, so this one does, too."""
        rollouts, other = router(start=ERA), in_phase(Phase.REVERTED)
        assert rollouts.allows(SERVICE, "v2", 0.0, 1.0)
        rollouts.merge("r/2", other.updates(10.0), 1.0)
        assert not rollouts.allows(SERVICE, "v2", 0.0, 2.0)
        assert rollouts.allows(SERVICE, "v1", 0.0, 2.0)

    def test_completed_order_that_it_does_not_know_yet(self):
        """The other router sends nothing to the old version."""
        rollouts, other = router(start=ERA), in_phase(Phase.COMPLETED)
        rollouts.merge("r/2", other.updates(10.0), 1.0)
        assert not rollouts.allows(SERVICE, "v1", 0.0, 2.0)
        assert rollouts.allows(SERVICE, "v2", 0.0, 2.0)

    def test_it_begins_no_roll_out_before_it_could_learn(self):
        rollouts = router(order(ERA + 57), start=ERA)
        assert rollouts.may_lack_records(LEARNING_S / 2)
        assert not rollouts.may_lack_records(LEARNING_S)

    def test_a_router_of_before_does_not_wait(self):
        rollouts = in_phase(Phase.CANARY)
        assert not rollouts.may_lack_records(10.0)

    def test_start_of_a_phase_that_others_told_is_read(self):
        """Otherwise the record is written without it."""
        rollouts, other = router(order(57)), router(order(57))
        stored = Record("v2", 57, Phase.RAMP, 1, 100.0, period_s=12.0)
        other.merge_record(SERVICE, stored, 1.0)
        rollouts.merge("r/2", other.updates(1.0), 1.0)
        assert rollouts.progress(SERVICE).record.began_s == 0.0
        assert not rollouts.merge_record(SERVICE, stored, 2.0)
        assert rollouts.progress(SERVICE).record == stored


class TestAge:
    """The age of an order does not grow by the exchange of updates."""

    def test_order_that_routers_tell_each_other_many_times(self):
        rollouts, other = router(order(57)), router(order(57))
        for number in range(1, 200):
            now = number * 0.0499
            rollouts.merge("r/2", other.updates(now), now)
            other.merge("r/1", rollouts.updates(now), now)
        assert rollouts.progress(SERVICE).age_s(now) <= now + 0.001
