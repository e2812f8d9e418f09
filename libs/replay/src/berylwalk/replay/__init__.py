"""Simulation of loads in virtual time with the scheduling code of the direct router."""

from berylwalk.replay._measures import Measures, measure
from berylwalk.replay._mechanisms import MECHANISMS, override_settings
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
    "override_settings",
    "read_scenario",
    "run",
    "standard_scenarios",
]
