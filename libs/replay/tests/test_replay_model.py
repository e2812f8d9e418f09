"""The model of engines, callers and time."""

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
    """Return a calm scenario."""
    values = {
        "slowness": [1.0, 1.0],
        "load": Load(length_s=5.0, kinds=[RequestKind(name="chat", per_s=4.0)]),
    }
    return Scenario(**{**values, **changes})


class TestRuns:
    def test_calm_load_is_served_in_time(self):
        assert measure(run(scenario(), seed=1))["all"].in_time == 1.0

    def test_runs_repeat(self):
        """A seed gives the same requests and the same decisions."""
        first, second = (measure(run(scenario(), seed=7)) for _ in range(2))
        assert first == second

    def test_slow_engines_are_slower(self):
        fast = measure(run(scenario(slowness=[1.0]), seed=1))["all"]
        slow = measure(run(scenario(slowness=[3.0]), seed=1))["all"]
        assert slow.first_event_s > fast.first_event_s

    def test_overload_is_refused_and_comes_back_once(self):
        surge = Surge(at_s=0.0, for_s=5.0, factor=40.0)
        load = Load(
            length_s=5.0, kinds=[RequestKind(name="chat", per_s=4.0)], surges=[surge]
        )
        outcomes = run(scenario(slowness=[1.0], load=load), seed=1)
        assert measure(outcomes)["all"].refused_again > 0.1
        assert max(outcome.refusals for outcome in outcomes) == 2

    def test_crash_breaks_answers_off(self):
        load = Load(
            length_s=5.0,
            kinds=[RequestKind(name="chat", per_s=20.0, output_tokens=400)],
            crashes=[Crash(at_s=2.0, for_s=1.0, engines=[0])],
        )
        outcomes = run(scenario(load=load), seed=1)
        assert measure(outcomes)["all"].broken > 0

    def test_long_prompt_holds_up_the_streams_beside_it(self):
        """A step reads a chunk of it, and an event takes several steps."""
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
    def test_standard_ones_are_sound(self, name):
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
    def test_findings_name_their_place(self, tmp_path, text, place):
        path = tmp_path / "scenario.toml"
        path.write_text(text)
        with pytest.raises(ScenarioError) as caught:
            read_scenario(path)
        assert place in str(caught.value)


class TestSettings:
    def test_changes_end_with_the_context(self):
        from berylwalk.dispatch import _concurrency_limits

        former = _concurrency_limits.RESERVED_REQUESTS
        with override_settings({"_concurrency_limits.RESERVED_REQUESTS": former + 1}):
            assert former + 1 == _concurrency_limits.RESERVED_REQUESTS
        assert former == _concurrency_limits.RESERVED_REQUESTS

    def test_unknown_setting_is_an_error(self):
        with pytest.raises(AttributeError), override_settings({"_placement.NONE": 1}):
            pass
