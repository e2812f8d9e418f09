"""Tests of the simulated engines, callers and clock."""

import pytest

from berylwalk.replay import (
    Crash,
    EngineKind,
    Load,
    RequestKind,
    Scenario,
    ScenarioError,
    Surge,
    measure,
    override_settings,
    read_scenario,
    run,
    standard_scenarios,
)


def scenario(**changes):
    """Return a scenario without overload or faults."""
    values = {
        "slowness": [1.0, 1.0],
        "load": Load(length_s=5.0, kinds=[RequestKind(name="chat", per_s=4.0)]),
    }
    return Scenario(**{**values, **changes})


class TestRuns:
    def test_light_load_meets_all_objectives(self):
        assert measure(run(scenario(), seed=1))["all"].in_time == 1.0

    def test_same_seed_gives_same_results(self):
        first, second = (measure(run(scenario(), seed=7)) for _ in range(2))
        assert first == second

    def test_slowness_increases_time_to_first_event(self):
        fast = measure(run(scenario(slowness=[1.0]), seed=1))["all"]
        slow = measure(run(scenario(slowness=[3.0]), seed=1))["all"]
        assert slow.first_event_s > fast.first_event_s

    def test_caller_retries_once_after_refusal(self):
        surge = Surge(at_s=0.0, for_s=5.0, factor=40.0)
        load = Load(
            length_s=5.0, kinds=[RequestKind(name="chat", per_s=4.0)], surges=[surge]
        )
        outcomes = run(scenario(slowness=[1.0], load=load), seed=1)
        assert measure(outcomes)["all"].refused_again > 0.1
        assert max(outcome.refusals for outcome in outcomes) == 2

    def test_crash_interrupts_responses(self):
        load = Load(
            length_s=5.0,
            kinds=[RequestKind(name="chat", per_s=20.0, output_tokens=400)],
            crashes=[Crash(at_s=2.0, for_s=1.0, engines=[0])],
        )
        outcomes = run(scenario(load=load), seed=1)
        assert measure(outcomes)["all"].broken > 0

    def test_long_prompt_delays_concurrent_streams(self):
        """Chunked prefill lengthens the steps of all running sequences."""
        kinds = [
            RequestKind(name="chat", per_s=5.0, output_tokens=300, spread=0.01),
            RequestKind(
                name="long", per_s=0.5, prompt_tokens=60_000, spread=0.01, rank=1
            ),
        ]
        load = Load(length_s=6.0, kinds=kinds)
        engine = EngineKind(token_s=2e-5)
        outcomes = run(scenario(slowness=[1.0], load=load, engine=engine), seed=1)
        assert measure(outcomes)["chat"].paused > 0.1


class TestScenarios:
    @pytest.mark.parametrize("name", sorted(standard_scenarios()))
    def test_standard_scenarios_are_valid(self, name):
        assert read_scenario(standard_scenarios()[name]).about

    @pytest.mark.parametrize(
        ("text", "place"),
        [
            ("slowness = [1.0]\n[load]\nkinds = [{ per_s = 1.0 }]", "$.load.kinds[0]"),
            ("slowness = 1.0\n[load]\nkinds = []", "$.slowness"),
            (
                "slowness = [1.0]\n[load]\nkinds = []\n"
                "crashes = [{ at_s = 1.0, for_s = 1.0, engines = [3] }]",
                "$.load.crashes[0].engines",
            ),
            ("slowness = [", "end of document"),
        ],
    )
    def test_error_has_path_of_invalid_field(self, tmp_path, text, place):
        path = tmp_path / "scenario.toml"
        path.write_text(text)
        with pytest.raises(ScenarioError) as caught:
            read_scenario(path)
        assert place in str(caught.value)


class TestSettings:
    def test_overrides_are_restored_on_exit(self):
        from berylwalk.dispatch import _concurrency_limits

        previous = _concurrency_limits.RESERVED_REQUESTS
        with override_settings({"_concurrency_limits.RESERVED_REQUESTS": previous + 1}):
            assert previous + 1 == _concurrency_limits.RESERVED_REQUESTS
        assert previous == _concurrency_limits.RESERVED_REQUESTS

    def test_unknown_constant_raises(self):
        with pytest.raises(AttributeError), override_settings({"_placement.NONE": 1}):
            pass
