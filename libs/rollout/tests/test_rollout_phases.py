"""When a roll-out goes on, and what its record keeps."""

import pytest

from berylwalk.rollout import (
    Order,
    Phase,
    PhaseInputs,
    Record,
    Verdict,
    VersionRegistry,
    next_phase,
    ramp_start_s,
)

GOOD = Verdict(is_bad=False, answers=100, bad=1, expected_share=0.02, log_ratio=-10.0)
LEANING = Verdict(is_bad=False, answers=100, bad=9, expected_share=0.02, log_ratio=3.0)
BAD = Verdict(is_bad=True, answers=50, bad=20, expected_share=0.02)
UNSEEN = Verdict(is_bad=False, answers=3, bad=0, expected_share=0.02)


def step(phase, verdict=GOOD, *, age_s=6.0, **changes):
    """Return the next phase of an order of twelve seconds."""
    values = {"phase_for_s": 5.0, "longest_answer_s": 3.0, **changes}
    situation = PhaseInputs(
        phase=phase, age_s=age_s, period_s=12.0, verdict=verdict, **values
    )
    found = next_phase(situation)
    return None if found is None else found[0]


class TestPhases:
    """What follows what."""

    def test_ramp_begins_as_late_as_old_answers_allow(self):
        """Between a half and three quarters of the period."""
        assert step(Phase.CANARY, age_s=5.7) is None
        assert step(Phase.CANARY, age_s=6.3) is Phase.RAMP
        assert ramp_start_s(12.0, 0.1) == pytest.approx(8.7)
        assert ramp_start_s(12.0, 30.0) == 6.0

    def test_few_answers_are_not_enough(self):
        """Out of time it is reverted."""
        assert step(Phase.CANARY, UNSEEN, age_s=9.0) is None
        assert step(Phase.CANARY, UNSEEN, age_s=12.0) is Phase.REVERTED

    @pytest.mark.parametrize("phase", [Phase.CANARY, Phase.RAMP, Phase.SHIFTING])
    def test_bad_version_is_reverted_in_any_phase(self, phase):
        """Also if only another router says so."""
        assert step(phase, BAD, age_s=1.0) is Phase.REVERTED
        assert step(phase, is_rejected=True) is Phase.REVERTED

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.REVERTED])
    def test_nothing_follows_the_end(self, phase):
        """Whatever is seen."""
        assert step(phase, BAD) is None

    def test_all_move_only_if_it_is_convincing(self):
        """What leans to bad waits, and is reverted when the time is over."""
        assert step(Phase.RAMP, phase_for_s=1.0) is None
        assert step(Phase.RAMP) is Phase.SHIFTING
        assert step(Phase.RAMP, LEANING) is None
        assert step(Phase.RAMP, LEANING, age_s=12.0) is Phase.REVERTED

    def test_completed_when_nobody_is_left_at_the_old_version(self):
        """Routers that aren't heard are waited for until shortly before the end."""
        assert step(Phase.SHIFTING) is None
        assert step(Phase.SHIFTING, all_drained=True) is Phase.COMPLETED
        unheard = {"all_have_left": True, "all_are_heard": False}
        assert step(Phase.SHIFTING, **unheard) is None
        assert step(Phase.SHIFTING, age_s=11.5, **unheard) is Phase.COMPLETED
        assert step(Phase.SHIFTING, age_s=20.0) is None


class TestRecord:
    """What outlives all routers."""

    def order(self, version="v2", revision=5):
        """Return an order."""
        return Order(service="s", version=version, period_s=12.0, revision=revision)

    def test_reverted_version_gets_nothing_until_it_is_ordered_again(self):
        """Also while another one is rolled out."""
        first = Record.start(self.order(), None, 0.0)
        reverted = first.with_phase(Phase.REVERTED, "bad", ["v1", "v2"])
        assert reverted.barred == ["v2"]
        other = Record.start(self.order("v3", 9), reverted, 0.0)
        assert other.barred == ["v2"]
        again = Record.start(self.order("v2", 12), other, 0.0)
        assert again.barred == ["v3"]

    def test_left_versions_get_nothing(self):
        """Their entries may lapse later than they stop."""
        record = Record.start(self.order(), None, 0.0)
        record = record.with_phase(Phase.COMPLETED, "good", ["v1", "v2"])
        assert record.barred == ["v1"]

    def test_numbers_only_rise(self):
        """Over orders too."""
        first = Record.start(self.order(), None, 0.0)
        second = Record.start(self.order("v3", 9), first, 0.0)
        assert first.number < second.number


class TestVersions:
    """Which versions may have an order that is not known yet."""

    def test_version_that_appears_beside_another_waits(self):
        """Until the orders are known up to its entry."""
        book = VersionRegistry()
        book.record_version("s", "v1", 10)
        book.record_orders_known(20)
        book.record_version("s", "v2", 30)
        assert list(book.pending("s")) == ["v2"]
        book.record_orders_known(30)
        assert list(book.pending("s")) == []

    def test_only_version_does_not_wait(self):
        """Nor do all of them, as at a start."""
        book = VersionRegistry()
        book.record_version("s", "v1", 10)
        assert list(book.pending("s")) == []
        book.record_version("s", "v2", 11)
        assert list(book.pending("s")) == []
