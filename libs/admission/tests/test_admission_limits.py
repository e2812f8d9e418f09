"""Concurrency limit, headroom, straggler detection and estimates."""

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
        """Rounding errors in the sum of higher shares do not reserve an extra slot."""
        assert tier_slot_limit(rank, 10, TIERS, higher_active=True) == expected

    def test_single_slot_is_open_to_the_lowest_tier_when_idle(self):
        """Headroom must not block the lowest tier while no higher one is active."""
        assert tier_slot_limit(2, 1, TIERS, higher_active=False) == 1
        assert tier_slot_limit(2, 1, TIERS, higher_active=True) == 0


@pytest.mark.parametrize("rule", [aimd(), gradient()], ids=["aimd", "gradient"])
class TestConcurrencyLimit:
    def settle(self, rule, capacity):
        """Run windows whose token gap equals the desired one at ``capacity``."""
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
        """The limit converges to the load with the desired token gap."""
        assert 0.7 * capacity <= self.settle(rule, capacity) <= 1.3 * capacity + 1

    def test_stays_within_bounds(self, rule):
        """A very slow or very fast target does not move the limit out of its bounds."""
        assert self.settle(rule, 0.01) == 2
        assert self.settle(rule, 10_000) == 64

    def test_unused_slots_do_not_raise_the_limit(self, rule):
        """The limit does not grow while the target is not saturated."""
        limit = ConcurrencyLimit(rule, initial=8)
        for window in range(50):
            limit.observe_gap(0.01 * 10, 10)
            limit.update(window * 1.0, 2)
        assert limit.value() == 8


class TestQueueInsideTarget:
    def test_limit_falls_when_requests_queue_in_the_target(self):
        """Late first tokens lower the limit before the desired time is exceeded."""
        limit = ConcurrencyLimit(
            aimd(), initial=32, latency_targets=LatencyTargets(0.1, 2.0)
        )
        for window in range(20):
            limit.observe_first_token(0.5, 0.02, 0.005)
            limit.update(window * 1.0, limit.value())
        assert limit.value() < 8

    def test_requests_beyond_the_limit_do_not_lower_it_further(self):
        """The limit is not lowered again before a decrease can take effect."""
        limit = ConcurrencyLimit(aimd(), initial=32)
        for window in range(20):
            limit.observe_first_token(0.5, 0.02, 0.005)
            limit.update(window * 1.0, 32)
        assert limit.value() >= 28


class TestStraggler:
    def test_detection_and_recovery(self):
        """A target three times slower than its baseline is slow until it recovers."""
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

    def test_target_that_is_slow_at_the_start_is_detected_after_a_recovery(self):
        """An agent that has just started takes the first gaps for normal."""
        detector = StragglerDetector()
        for _ in range(200):
            detector.observe(4, 0.03)
        assert not detector.slow
        for _ in range(200):
            detector.observe(4, 0.01)
        assert not detector.slow
        for _ in range(60):
            detector.observe(4, 0.03)
        assert detector.slow

    def test_larger_batch_is_not_slow(self):
        """Token gaps are compared with the baseline of their own batch size."""
        detector = StragglerDetector()
        for _ in range(200):
            detector.observe(1, 0.01)
        for _ in range(200):
            detector.observe(32, 0.04)
        assert not detector.slow


class TestSpeedModel:
    def test_estimates_follow_observations(self):
        """Estimates use the token gap observed at the nearest batch size."""
        speed = SpeedModel(prefill_tokens_per_s=1000, token_gap_s=0.02)
        assert speed.service_s(Work(1000, 100), 1) == pytest.approx(3.0)
        for _ in range(100):
            speed.observe_gap(8, 0.04)
            speed.observe_first_token(2000, 0.5)
        assert speed.service_s(Work(1000, 100), 8) == pytest.approx(4.25, rel=0.01)
