"""What a life of a target has said: rest, leaving, and what outlives its entry."""

import pytest

from berylwalk.dispatch import (
    FlowControl,
    FlowControlUpdate,
    IneligibilityReason,
    RequestedBackoff,
    Target,
    TargetEntry,
    TargetSignals,
    TargetState,
    TargetTable,
    Work,
)


def entry(**changes):
    """Return an entry of a target."""
    values = {
        "target_id": "i-1",
        "service": "s",
        "host": "h",
        "port": 1,
        "failure_domain": "fd",
        "slots": 4,
        "state": TargetState.READY,
    }
    return TargetEntry(**{**values, **changes})


def said(now=10.0, **statement):
    """Return the needs of a target that said something once."""
    flow_control = FlowControl()
    flow_control.note_answer(TargetSignals(**statement), sent_at=now - 0.1, now=now)
    return flow_control


class TestRest:
    """It wants nothing of this router for a time."""

    def test_nothing_until_its_end(self):
        """From the answer on."""
        flow_control = said(retry_after_s=3.0)
        assert (
            flow_control.ineligibility_reason(12.99) is IneligibilityReason.RETRY_AFTER
        )
        assert flow_control.available_at(11.0) == 13.0
        assert not flow_control.accepts_placed(12.99)
        assert flow_control.ineligibility_reason(13.0) is None

    def test_shorter_rest_takes_nothing_back(self):
        """It may have been asked for earlier, on a slower connection."""
        flow_control = said(retry_after_s=3.0)
        flow_control.note_answer(
            TargetSignals(retry_after_s=0.5), sent_at=10.1, now=10.2
        )
        assert (
            flow_control.ineligibility_reason(12.9) is IneligibilityReason.RETRY_AFTER
        )

    def test_longer_rest_counts(self):
        """From the later answer on."""
        flow_control = said(retry_after_s=3.0)
        flow_control.note_answer(
            TargetSignals(retry_after_s=5.0), sent_at=10.1, now=11.0
        )
        assert (
            flow_control.ineligibility_reason(15.9) is IneligibilityReason.RETRY_AFTER
        )

    def test_answer_that_asks_for_none_ends_nothing(self):
        """A stream that began before may bring its head meanwhile."""
        flow_control = said(retry_after_s=3.0)
        flow_control.note_answer(TargetSignals(), sent_at=9.0, now=10.5)
        flow_control.backoff.note_accepted(4, sent_at=9.0)
        assert (
            flow_control.ineligibility_reason(12.9) is IneligibilityReason.RETRY_AFTER
        )

    def test_requests_return_one_by_one(self):
        """Each that is taken makes room for two, until all is as before."""
        rest = RequestedBackoff()
        rest.note_requested(1.0, 10.0)
        assert rest.may_send(11.0)
        rest.note_sent(11.0)
        assert not rest.may_send(11.1)
        rest.note_accepted(4, sent_at=11.0)
        rest.note_sent(11.1)
        assert rest.may_send(11.1)
        rest.note_sent(11.1)
        assert not rest.may_send(11.1)
        rest.note_accepted(4, sent_at=11.1)
        rest.note_accepted(4, sent_at=11.1)
        for _ in range(100):
            rest.note_sent(11.2)
        assert rest.may_send(11.2)

    def test_lost_trial_is_made_again(self):
        """A target that has rested must not wait for an answer that never comes."""
        rest = RequestedBackoff()
        rest.note_requested(1.0, 10.0)
        rest.note_sent(11.0)
        assert not rest.may_send(11.4)
        assert rest.may_send(11.5)

    def test_answer_to_what_it_had_before_its_rest(self):
        """Says nothing of what it takes after."""
        rest = RequestedBackoff()
        rest.note_requested(1.0, 10.0)
        rest.note_sent(11.0)
        rest.note_accepted(4, sent_at=9.9)
        assert not rest.may_send(11.1)

    def test_rest_of_no_time(self):
        """It may be asked again at once."""
        assert said(retry_after_s=0.0).ineligibility_reason(10.0) is None


class TestLeaving:
    """It says that it leaves."""

    def test_is_not_taken_back(self):
        """Neither by an answer without it nor by its entry."""
        flow_control = said(is_leaving=True)
        flow_control.note_answer(TargetSignals(), sent_at=11.0, now=11.1)
        assert flow_control.ineligibility_reason(1000.0) is IneligibilityReason.LEAVING
        assert flow_control.available_at(1000.0) == float("inf")

    def test_other_routers_word(self):
        """Counts, and isn't told on."""
        flow_control = FlowControl()
        assert flow_control.apply_update(FlowControlUpdate(is_leaving=True), 10.0)
        assert not flow_control.apply_update(FlowControlUpdate(is_leaving=True), 10.1)
        assert flow_control.ineligibility_reason(10.2) is IneligibilityReason.LEAVING
        assert flow_control.pending_update(10.2) is None

    def test_own_observation_is_told(self):
        """It says nothing of a limit that was never named."""
        news = said(is_leaving=True).pending_update(500.0)
        assert news == FlowControlUpdate(is_leaving=True)
        others = said(limit_per_s=2.0)
        others.apply_update(news, 10.1)
        assert others.limit.per_s == 2.0


class TestUnreadableLimit:
    """A value that is no number."""

    def test_leaves_what_is_known(self):
        """It is not the end of the limit."""
        flow_control = said(limit_per_s=2.0)
        unreadable = TargetSignals(limit_is_readable=False, problem="p")
        flow_control.note_answer(unreadable, sent_at=11.0, now=11.1)
        assert flow_control.limit.per_s == 2.0


class TestLives:
    """Statements are of one life."""

    @pytest.mark.parametrize("started_ms", [None, 5000])
    def test_life_whose_entry_was_gone_for_a_time(self, started_ms):
        """It is the same life, and has taken nothing back."""
        table = TargetTable()
        table.update(entry(started_ms=started_ms), 10.0)
        table.by_id["i-1"].flow_control.is_leaving = True
        table.remove("i-1", 11.0)
        table.update(entry(started_ms=started_ms), 12.0)
        assert (
            table.by_id["i-1"].ineligibility_reason(12.0) is IneligibilityReason.LEAVING
        )

    def test_next_life_takes_all(self):
        """At the same address and under the same id."""
        table = TargetTable()
        table.update(entry(started_ms=5000), 10.0)
        table.by_id["i-1"].flow_control.is_leaving = True
        table.update(entry(started_ms=9000), 12.0)
        assert table.by_id["i-1"].is_available(12.0)

    def test_entry_that_says_ready(self):
        """It was written before, or by one that doesn't know."""
        target = Target(entry())
        target.flow_control.is_leaving = True
        assert target.ineligibility_reason(10.0) is IneligibilityReason.LEAVING

    def test_those_in_need_are_known(self):
        """Also once an entry has come back; not those that are gone."""
        table = TargetTable()
        table.update(entry(), 10.0)
        table.update(entry(target_id="i-2"), 10.0)
        table.note_flow_controlled(table.by_id["i-1"])
        assert table.flow_controlled() == [table.by_id["i-1"]]
        table.remove("i-1", 11.0)
        assert table.flow_controlled() == []
        table.update(entry(), 12.0)
        assert table.flow_controlled() == [table.by_id["i-1"]]

    def test_every_send_uses_the_limit(self):
        """However it got its place."""
        target = Target(entry())
        target.flow_control.limit.apply_update(2.0, 9.0, 9.0)
        target.flow_control.limit.set_share(1.0, 9.0)
        assert target.is_available(9.6)
        target.note_sent(Work(), 9.6)
        assert target.ineligibility_reason(9.6) is IneligibilityReason.RATE_LIMITED
        assert 9.9 < target.available_at(9.6) < 10.1
