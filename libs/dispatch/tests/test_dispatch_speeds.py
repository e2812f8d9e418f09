"""Speeds that are kept beyond one life of a router."""

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
    """Return what a table has learned of a slow target, and of starts."""
    targets = TargetTable()
    targets.replace([entry("slow", slots=8)], 0.0)
    slow = targets.by_id["slow"]
    slow.note_output(1_000, 100, 9.0)
    for _ in range(30):
        start = estimate_first_event(slow, Work(4_000, 1))
        slow.note_sent(Work(4_000, 1), 0.0)
        slow.note_first_event(Work(4_000, 1), start, 0.5)
    return targets.speeds_by_id(), targets.first_event_models_by_service()


class TestAdopting:
    """A router that starts takes what an earlier life learned."""

    def test_expectations_are_those_of_the_earlier_life(self):
        """Whether the target is listed before or after that."""
        speeds_by_id, start_models = learned()
        before, after = TargetTable(), TargetTable()
        before.replace([entry("slow", slots=8)], 0.0)
        before.adopt(speeds_by_id, start_models)
        after.adopt(speeds_by_id, start_models)
        after.replace([entry("slow", slots=8)], 0.0)
        for targets in (before, after):
            target = targets.by_id["slow"]
            assert target.output_token_s == speeds_by_id["slow"].output_token_s
            start = estimate_first_event(target, Work(4_000, 1))
            unknown = estimate_first_event(
                Target(entry("slow", slots=8)), Work(4_000, 1)
            )
            assert abs(start.total_s - 0.5) < abs(unknown.total_s - 0.5)

    def test_times_of_nothing_are_sound(self):
        """An answer that came all at once, and its rounded note."""
        targets = TargetTable()
        targets.replace([entry("a", slots=8), entry("b", slots=8)], 0.0)
        quick, noted = targets.by_id["a"], targets.by_id["b"]
        quick.note_slot_time(0.0)
        speed = replace(quick.speed(), slot_s=0.0, output_token_s=0.0)
        noted.adopt_speed(speed)
        for target in (quick, noted):
            assert concurrency_limit(target) >= target.entry.slots
            assert estimate_first_event(target, Work(100, 10)).total_s > 0

    def test_own_observations_go_before(self):
        """A note is older than what was seen since the start."""
        speeds_by_id, start_models = learned()
        targets = TargetTable()
        targets.replace([entry("slow", slots=8)], 0.0)
        targets.by_id["slow"].note_output(1_000, 100, 2.0)
        targets.adopt(speeds_by_id, start_models)
        assert targets.by_id["slow"].output_token_s == 0.002
