"""Local fleet of processes for the demo, tests and benchmarks."""

from berylwalk.localfleet._addresses import Subnet
from berylwalk.localfleet._checked_calls import (
    AnswerEnd,
    ChatCall,
    CheckedAnswer,
    CheckedCaller,
)
from berylwalk.localfleet._fleet import (
    PLATFORM,
    FleetStartError,
    LocalFleet,
    agent_name,
    target_name,
)
from berylwalk.localfleet._processes import FleetProcess
from berylwalk.localfleet._requests import admin_request, post_json
from berylwalk.localfleet._settings_files import ADMIN_TOKEN, FLEET_KEY
from berylwalk.localfleet._spec import (
    EngineSpec,
    FleetSpec,
    RouterSpec,
    ServiceSpec,
    TargetSpec,
)

__all__ = [
    "ADMIN_TOKEN",
    "FLEET_KEY",
    "PLATFORM",
    "AnswerEnd",
    "ChatCall",
    "CheckedAnswer",
    "CheckedCaller",
    "EngineSpec",
    "FleetProcess",
    "FleetSpec",
    "FleetStartError",
    "LocalFleet",
    "RouterSpec",
    "ServiceSpec",
    "Subnet",
    "TargetSpec",
    "admin_request",
    "agent_name",
    "post_json",
    "target_name",
]
