"""Loads that mechanisms of the policy answer, replayed with and without them.

Each test fails without its mechanism: what it gains was measured on the users' bench
first, and is shown here without it.
"""

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
    """Return the mean of a measure over the seeds."""
    scenario = read_scenario(standard_scenarios()[scenario_name])
    values = []
    with override_settings(MECHANISMS[without] if without else {}):
        for seed in SEEDS:
            measures = measure(run(scenario, seed=seed))[kind]
            values.append(getattr(measures, measure_name))
    return sum(values) / len(values)


class TestFreshLoads:
    """Many routers see the same free places."""

    def test_loads_that_are_told_sooner_keep_the_most_urgent_in_time(self):
        """Half a second old, places are given away that were taken long ago."""
        scenario = read_scenario(standard_scenarios()["many-routers"])
        shares = {}
        for tell_s in (scenario.tell_s, 0.45):
            outcomes = run(replace(scenario, tell_s=tell_s), seed=1)
            shares[tell_s] = measure(outcomes)["long"].in_time
        assert shares[scenario.tell_s] > shares[0.45] + 0.03


class TestMostUrgentFirst:
    """Places are short, and what waits is spread over many routers."""

    @pytest.mark.parametrize("scenario", ["burst", "engines-gone"])
    def test_most_urgent_requests_are_served(self, scenario):
        """Without reserved places, places go to whatever waits where one is seen."""
        kept = mean(scenario, "long", "in_time")
        assert kept > 0.7
        assert kept > mean(scenario, "long", "in_time", without="reserved-places") + 0.1
