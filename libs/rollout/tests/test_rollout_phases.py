"""Phases, records and pending versions of roll-outs."""

import pytest

from berylwalk.rollout import (
    ExposureRules,
    Order,
    Phase,
    PhaseInputs,
    Record,
    Rollouts,
    Verdict,
    VersionRegistry,
    next_phase,
    ramp_start_s,
)
from berylwalk.rollout._rollouts import FIRST_RECORDS_S

GOOD = Verdict(is_bad=False, answers=100, bad=1, expected_share=0.02, log_ratio=-10.0)
INCONCLUSIVE = Verdict(
    is_bad=False, answers=100, bad=9, expected_share=0.02, log_ratio=3.0
)
BAD = Verdict(is_bad=True, answers=50, bad=20, expected_share=0.02)
TOO_FEW_ANSWERS = Verdict(is_bad=False, answers=3, bad=0, expected_share=0.02)


def step(phase, verdict=GOOD, *, age_s=6.0, **changes):
    """Return the next phase of an order with a period of 12 s."""
    values = {"phase_for_s": 5.0, "longest_answer_s": 3.0, **changes}
    inputs = PhaseInputs(
        phase=phase, age_s=age_s, period_s=12.0, verdict=verdict, **values
    )
    found = next_phase(inputs)
    return None if found is None else found[0]


class TestPhases:
    """Transitions between phases."""

    def test_ramp_starts_in_time_to_drain_the_old_version(self):
        """Its start must stay between a half and three quarters of the period."""
        assert step(Phase.CANARY, age_s=5.7) is None
        assert step(Phase.CANARY, age_s=6.3) is Phase.RAMP
        assert ramp_start_s(12.0, 0.1) == pytest.approx(8.7)
        assert ramp_start_s(12.0, 30.0) == 6.0

    def test_too_few_answers_end_in_a_revert(self):
        """A version with too few answers must not enter the ramp."""
        assert step(Phase.CANARY, TOO_FEW_ANSWERS, age_s=9.0) is None
        assert step(Phase.CANARY, TOO_FEW_ANSWERS, age_s=12.0) is Phase.REVERTED

    @pytest.mark.parametrize("phase", [Phase.CANARY, Phase.RAMP, Phase.SHIFTING])
    def test_bad_version_is_reverted_in_any_phase(self, phase):
        """Also if only another router has rejected it."""
        assert step(phase, BAD, age_s=1.0) is Phase.REVERTED
        assert step(phase, is_rejected=True) is Phase.REVERTED

    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.REVERTED])
    def test_final_phases_stay(self, phase):
        """A later verdict must not reopen a roll-out."""
        assert step(phase, BAD) is None

    def test_shift_needs_a_clearly_good_version(self):
        """An inconclusive version must be reverted at the end of the period."""
        assert step(Phase.RAMP, phase_for_s=1.0) is None
        assert step(Phase.RAMP) is Phase.SHIFTING
        assert step(Phase.RAMP, INCONCLUSIVE) is None
        assert step(Phase.RAMP, INCONCLUSIVE, age_s=12.0) is Phase.REVERTED

    def test_completion_waits_for_all_routers_to_drain(self):
        """Routers that are not alive are waited for until shortly before the end."""
        assert step(Phase.SHIFTING) is None
        assert step(Phase.SHIFTING, all_drained=True) is Phase.COMPLETED
        missing_peers = {"all_drained": True, "all_peers_alive": False}
        assert step(Phase.SHIFTING, **missing_peers) is None
        assert step(Phase.SHIFTING, age_s=11.5, **missing_peers) is Phase.COMPLETED
        assert step(Phase.SHIFTING, age_s=20.0) is None


class TestRecord:
    """Records outlive restarts of all routers."""

    def order(self, version="v2", revision=5):
        """Return an order."""
        return Order(service="s", version=version, period_s=12.0, revision=revision)

    def test_reverted_version_is_barred_until_it_is_ordered_again(self):
        """A roll-out of another version must not unbar it."""
        first = Record.start(self.order(), None, 0.0)
        reverted = first.with_phase(Phase.REVERTED, "bad", ["v1", "v2"])
        assert reverted.barred == ["v2"]
        other = Record.start(self.order("v3", 9), reverted, 0.0)
        assert other.barred == ["v2"]
        again = Record.start(self.order("v2", 12), other, 0.0)
        assert again.barred == ["v3"]

    def test_replaced_versions_are_barred(self):
        """Their targets may stop before their entries expire."""
        record = Record.start(self.order(), None, 0.0)
        record = record.with_phase(Phase.COMPLETED, "good", ["v1", "v2"])
        assert record.barred == ["v1"]

    def test_numbers_only_increase(self):
        """A new order must not reset the number."""
        first = Record.start(self.order(), None, 0.0)
        second = Record.start(self.order("v3", 9), first, 0.0)
        assert first.number < second.number


class TestVersions:
    """Versions that may have an order which is not known yet."""

    def test_version_listed_beside_another_is_pending(self):
        """It must get no requests until all orders up to its entry are known."""
        registry = VersionRegistry()
        registry.record_version("s", "v1", 10)
        registry.record_orders_known(20)
        registry.record_version("s", "v2", 30)
        assert list(registry.pending("s")) == ["v2"]
        registry.record_orders_known(30)
        assert list(registry.pending("s")) == []

    def test_only_version_is_not_pending(self):
        """Nor are all versions at once, as after a restart of the router."""
        registry = VersionRegistry()
        registry.record_version("s", "v1", 10)
        assert list(registry.pending("s")) == []
        registry.record_version("s", "v2", 11)
        assert list(registry.pending("s")) == []


class TestRecordsThatAreNotRead:
    """A router has just started and lists one version only, which has an order."""

    @staticmethod
    def _started():
        rollouts = Rollouts(ExposureRules(), router="r/1")
        rollouts.record_age_s = lambda: float("inf")
        rollouts.set_orders(
            [Order(service="s", version="v2", period_s=12.0, revision=57)], 0.0
        )
        rollouts.versions.record_version("s", "v2", 60)
        rollouts.versions.record_orders_known(70)
        return rollouts

    def test_version_that_was_reverted_gets_nothing_before_its_record_is_read(self):
        rollouts = self._started()
        assert not rollouts.allows("s", "v2", 0.0, 0.1)
        record = Record("v2", 57, Phase.REVERTED, 3, 0.0, barred=["v2"])
        rollouts.merge_record("s", record, 0.2)
        rollouts.record_age_s = lambda: 0.0
        assert not rollouts.allows("s", "v2", 0.0, 0.2)

    def test_version_without_a_record_gets_requests_once_the_records_are_read(self):
        rollouts = self._started()
        rollouts.record_age_s = lambda: 0.0
        assert rollouts.allows("s", "v2", 0.0, 0.2)

    def test_version_gets_requests_if_the_records_stay_unread(self):
        """The store may be away for long, and nothing else serves the service."""
        assert self._started().allows("s", "v2", 0.0, FIRST_RECORDS_S)
