"""Replays loads in virtual time on the decisions of the direct router."""

from berylwalk.replay._measures import Measures, measure
from berylwalk.replay._mechanisms import MECHANISMS, settings_changed
from berylwalk.replay._outcome import Outcome
from berylwalk.replay._scenario import (
    Crash,
    EngineKind,
    Load,
    RequestKind,
    Scenario,
    ScenarioError,
    Surge,
    read_scenario,
    standard_scenarios,
)
from berylwalk.replay._simulation import run

__all__ = [
    "MECHANISMS",
    "Crash",
    "EngineKind",
    "Load",
    "Measures",
    "Outcome",
    "RequestKind",
    "Scenario",
    "ScenarioError",
    "Surge",
    "measure",
    "read_scenario",
    "run",
    "settings_changed",
    "standard_scenarios",
]
