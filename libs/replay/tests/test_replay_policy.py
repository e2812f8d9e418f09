"""Ablation tests: each mechanism must improve the results of a standard scenario."""

import pytest
from msgspec.structs import replace

from berylwalk.replay import (
    MECHANISMS,
    measure,
    override_settings,
    read_scenario,
    run,
    standard_scenarios,
)

SEEDS = (1, 2, 3)


def mean(scenario_name, kind, measure_name, *, without=None):
    """Return the mean of a result over the seeds, optionally without a mechanism."""
    scenario = read_scenario(standard_scenarios()[scenario_name])
    values = []
    with override_settings(MECHANISMS[without] if without else {}):
        for seed in SEEDS:
            measures = measure(run(scenario, seed=seed))[kind]
            values.append(getattr(measures, measure_name))
    return sum(values) / len(values)


class TestLoadReportInterval:
    """Many routers place requests by loads that their peers report."""

    def test_frequent_load_reports_keep_top_rank_in_time(self):
        """With stale loads, routers overcommit targets that are already busy."""
        scenario = read_scenario(standard_scenarios()["many-routers"])
        shares = {}
        for tell_s in (scenario.tell_s, 0.45):
            outcomes = run(replace(scenario, tell_s=tell_s), seed=1)
            shares[tell_s] = measure(outcomes)["long"].in_time
        assert shares[scenario.tell_s] > shares[0.45] + 0.03


class TestReservedRequests:
    """Scarce capacity, with queued requests spread over many routers."""

    @pytest.mark.parametrize("scenario", ["burst", "engines-gone"])
    def test_top_rank_is_served_first(self, scenario):
        """Without reserved capacity, lower ranks take slots that the top rank needs."""
        kept = mean(scenario, "long", "in_time")
        assert kept > 0.7
        assert kept > mean(scenario, "long", "in_time", without="reserved-places") + 0.1
