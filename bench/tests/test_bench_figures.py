"""Tests of the calculations of the load benchmark."""

import numpy as np
import pytest

from loadbench.capacity import engine_time_s, saturating_rates
from loadbench.engines import EngineWork, Prefill, repeated_tokens
from loadbench.fleets import engines
from loadbench.measures import RunInfo, compute_figures
from loadbench.results import CallOutcome, Result
from loadbench.schedule import Phase, ScheduledCall, build_calls
from loadbench.shapes import ARSIVSAN, PARKOVISKO


class TestCapacity:
    def test_rates_saturate_all_engines(self):
        """The saturating rates use exactly the capacity of all engines."""
        fleet = engines(PARKOVISKO)
        rates = saturating_rates(PARKOVISKO, fleet)
        total = sum(rates.values())
        shares = [
            1
            / sum(
                rates[k.service] * engine_time_s(e, k) for k in PARKOVISKO.model_kinds
            )
            for e in fleet
        ]
        assert sum(shares) == pytest.approx(1.0)
        assert total > 0


class TestSchedule:
    def test_same_seed_gives_same_calls(self):
        """Equal seeds give equal calls to all treatments; other seeds differ."""

        def build(seed):
            rates = saturating_rates(ARSIVSAN, engines(ARSIVSAN))
            return build_calls(
                ARSIVSAN,
                (Phase(0.0, 1.0, 0.5),),
                rates,
                seconds=2.0,
                routers=3,
                rng=np.random.default_rng(seed),
            )

        assert build(1) == build(1) != build(2)


class TestRepeatedPrefill:
    def test_counts_only_blocks_that_another_engine_has_cached(self):
        """Evicted blocks and cancelled prefills do not count as repeated."""
        prefills_by_id = {
            "a": [Prefill(1.0, ["x"], [], False), Prefill(2.0, ["y"], ["x"], False)],
            "b": [
                Prefill(1.5, ["x"], [], False),
                Prefill(2.5, ["y"], [], True),
            ],
            "c": [Prefill(3.0, ["z"], [], False)],
        }
        assert repeated_tokens(prefills_by_id, started_at=0.0) == 64
        prefills_by_id["c"] = [Prefill(3.0, ["x", "y"], [], False)]
        assert repeated_tokens(prefills_by_id, started_at=0.0) == 192
        assert repeated_tokens(prefills_by_id, started_at=2.9) == 128


class TestFigures:
    def test_late_responses_count_as_waste_and_not_as_goodput(self):
        """A complete response after its deadline is late, its prefill wasted."""
        calls = [ScheduledCall(0.0, 0, "suburbs", 0, number, 0) for number in range(4)]
        results = [
            Result(0, CallOutcome.COMPLETE, 0.1, 0.2, 0.0, uncached_tokens=18),
            Result(1, CallOutcome.COMPLETE, 0.1, 2.1, 0.0, uncached_tokens=18),
            Result(2, CallOutcome.NOT_RUN, 0.0, 0.1, 0.0, reason="deadline"),
            Result(3, CallOutcome.GIVEN_UP, 0.0, 2.25, 0.0),
        ]
        run_info = RunInfo("policy", "half-load", 1.0, 1, 10.0, 5.0, 0.0, {})
        figures = compute_figures(PARKOVISKO, calls, results, EngineWork(), run_info)
        urgent = figures.tiers["urgent"]
        counts = (urgent.good, urgent.late, urgent.not_run, urgent.given_up)
        assert counts == (1, 1, 1, 1)
        assert figures.wasted_tokens == 18
        assert figures.idle_share == 0.5
