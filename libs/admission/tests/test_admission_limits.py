"""Limits, headroom and stragglers under changing load."""

import pytest

from berylwalk.admission import (
    ConcurrencyLimit,
    LatencyTargets,
    SpeedModel,
    StragglerDetector,
    Work,
    aimd,
    gradient,
    tier_slot_limit,
)
from berylwalk.model import TierPolicy

TIERS = (
    TierPolicy("counter", 0, headroom=0.2),
    TierPolicy("field", 1, headroom=0.1),
    TierPolicy("night", 2),
)


class TestHeadroom:
    @pytest.mark.parametrize(("rank", "expected"), [(0, 10), (1, 8), (2, 7)])
    def test_lower_tiers_leave_slots(self, rank, expected):
        """Each tier leaves the sum of the shares above it, without rounding up."""
        assert tier_slot_limit(rank, 10, TIERS, higher_active=True) == expected

    def test_idle_target_serves_the_lowest(self):
        """A single slot goes to the lowest tier only when nothing higher is there."""
        assert tier_slot_limit(2, 1, TIERS, higher_active=False) == 1
        assert tier_slot_limit(2, 1, TIERS, higher_active=True) == 0


@pytest.mark.parametrize("rule", [aimd(), gradient()], ids=["aimd", "gradient"])
class TestConcurrencyLimit:
    def settle(self, rule, capacity):
        """Run windows in which the gap is on target at exactly ``capacity``."""
        limit = ConcurrencyLimit(
            rule,
            initial=8,
            minimum=2,
            maximum=64,
            latency_targets=LatencyTargets(0.1, 2.0),
        )
        for window in range(200):
            in_use = limit.value()
            limit.observe_gap(0.1 * in_use / capacity * 10, 10)
            limit.update(window * 1.0, in_use)
        return limit.value()

    @pytest.mark.parametrize("capacity", [4, 12, 40])
    def test_settles_near_capacity(self, rule, capacity):
        """The limit ends where the target still keeps the wanted token gap."""
        assert 0.7 * capacity <= self.settle(rule, capacity) <= 1.3 * capacity + 1

    def test_stays_within_bounds(self, rule):
        """Neither a dead-slow nor an instant target leaves the bounds."""
        assert self.settle(rule, 0.01) == 2
        assert self.settle(rule, 10_000) == 64

    def test_unused_slots_do_not_raise_it(self, rule):
        """A target that is never full tells nothing about more load."""
        limit = ConcurrencyLimit(rule, initial=8)
        for window in range(50):
            limit.observe_gap(0.01 * 10, 10)
            limit.update(window * 1.0, 2)
        assert limit.value() == 8


class TestQueueInsideTarget:
    def test_limit_falls_when_first_tokens_wait(self):
        """First tokens that wait inside the target lower the limit early."""
        limit = ConcurrencyLimit(
            aimd(), initial=32, latency_targets=LatencyTargets(0.1, 2.0)
        )
        for window in range(20):
            limit.observe_first_token(0.5, 0.02, 0.005)
            limit.update(window * 1.0, limit.value())
        assert limit.value() < 8

    def test_what_runs_beyond_it_does_not_lower_it_further(self):
        """A limit is not lowered again before its last lowering can show."""
        limit = ConcurrencyLimit(aimd(), initial=32)
        for window in range(20):
            limit.observe_first_token(0.5, 0.02, 0.005)
            limit.update(window * 1.0, 32)
        assert limit.value() >= 28


class TestStraggler:
    def test_found_and_recovered(self):
        """A target three times slower than before is slow until it recovers."""
        detector = StragglerDetector()
        for _ in range(200):
            detector.observe(4, 0.01)
        assert not detector.slow
        for _ in range(60):
            detector.observe(4, 0.03)
        assert detector.slow
        assert 2.0 < detector.slowdown < 3.5
        for _ in range(60):
            detector.observe(4, 0.01)
        assert not detector.slow
        assert detector.slowdown == 1.0

    def test_larger_batch_is_not_slow(self):
        """Steps of a large batch are compared with steps of a large batch."""
        detector = StragglerDetector()
        for _ in range(200):
            detector.observe(1, 0.01)
        for _ in range(200):
            detector.observe(32, 0.04)
        assert not detector.slow


class TestSpeedModel:
    def test_estimates_follow_observations(self):
        """Estimates use the observed gap of the nearest batch size."""
        speed = SpeedModel(prefill_tokens_per_s=1000, token_gap_s=0.02)
        assert speed.service_s(Work(1000, 100), 1) == pytest.approx(3.0)
        for _ in range(100):
            speed.observe_gap(8, 0.04)
            speed.observe_first_token(2000, 0.5)
        assert speed.service_s(Work(1000, 100), 8) == pytest.approx(4.25, rel=0.01)
