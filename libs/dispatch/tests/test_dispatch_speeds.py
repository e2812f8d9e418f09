"""Observed speeds stored across restarts of a router."""

from dataclasses import replace

from listed_targets import entry

from berylwalk.dispatch import (
    Target,
    TargetTable,
    Work,
    concurrency_limit,
    estimate_first_event,
)


def learned():
    """Return stored speeds of a slow target, and first event models."""
    targets = TargetTable()
    targets.replace([entry("slow", slots=8)], 0.0)
    slow = targets.by_id["slow"]
    slow.note_output(1_000, 100, 9.0)
    for _ in range(30):
        start = estimate_first_event(slow, Work(4_000, 1))
        slow.note_sent(Work(4_000, 1), 0.0)
        slow.note_first_event(Work(4_000, 1), start, 0.5)
    return targets.speeds_by_id(), targets.first_event_models_by_service()


class TestStoredSpeeds:
    """A router restores speeds at its start."""

    def test_estimates_match_those_before_the_restart(self):
        """Whether the target is listed before or after the restore."""
        speeds_by_id, first_event_models = learned()
        before, after = TargetTable(), TargetTable()
        before.replace([entry("slow", slots=8)], 0.0)
        before.adopt(speeds_by_id, first_event_models)
        after.adopt(speeds_by_id, first_event_models)
        after.replace([entry("slow", slots=8)], 0.0)
        for targets in (before, after):
            target = targets.by_id["slow"]
            assert target.output_token_s == speeds_by_id["slow"].output_token_s
            start = estimate_first_event(target, Work(4_000, 1))
            unknown = estimate_first_event(
                Target(entry("slow", slots=8)), Work(4_000, 1)
            )
            assert abs(start.total_s - 0.5) < abs(unknown.total_s - 0.5)

    def test_zero_times_are_tolerated(self):
        """A response may arrive all at once, and stored times may be rounded to 0."""
        targets = TargetTable()
        targets.replace([entry("a", slots=8), entry("b", slots=8)], 0.0)
        quick, restored = targets.by_id["a"], targets.by_id["b"]
        quick.note_slot_time(0.0)
        speed = replace(quick.speed(), slot_s=0.0, output_token_s=0.0)
        restored.adopt_speed(speed)
        for target in (quick, restored):
            assert concurrency_limit(target) >= target.entry.slots
            assert estimate_first_event(target, Work(100, 10)).total_s > 0

    def test_own_observations_take_precedence(self):
        """Stored values are older than observations since the start."""
        speeds_by_id, first_event_models = learned()
        targets = TargetTable()
        targets.replace([entry("slow", slots=8)], 0.0)
        targets.by_id["slow"].note_output(1_000, 100, 2.0)
        targets.adopt(speeds_by_id, first_event_models)
        assert targets.by_id["slow"].output_token_s == 0.002
