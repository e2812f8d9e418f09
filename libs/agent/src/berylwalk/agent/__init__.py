"""Agent: the sidecar process of a target that admits and dispatches its requests."""

from berylwalk.agent._config import IDLE_TICK_S, PEER_TIMEOUT_S, TICK_S, AgentConfig
from berylwalk.agent._daemon import AgentDaemon, run_agent
from berylwalk.agent._events import (
    AgentAction,
    AgentEvent,
    DatagramArrived,
    DispatchEnd,
    DispatchEnded,
    DrainFinished,
    DrainRequested,
    GrantArrived,
    RefuseGrant,
    SendToRouter,
    StartDispatch,
    TargetChanged,
    TargetProgress,
    TargetSignalsReceived,
    Tick,
    TiersChanged,
)
from berylwalk.agent._machine import AgentMachine

__all__ = [
    "IDLE_TICK_S",
    "PEER_TIMEOUT_S",
    "TICK_S",
    "AgentAction",
    "AgentConfig",
    "AgentDaemon",
    "AgentEvent",
    "AgentMachine",
    "DatagramArrived",
    "DispatchEnd",
    "DispatchEnded",
    "DrainFinished",
    "DrainRequested",
    "GrantArrived",
    "RefuseGrant",
    "SendToRouter",
    "StartDispatch",
    "TargetChanged",
    "TargetProgress",
    "TargetSignalsReceived",
    "Tick",
    "TiersChanged",
    "run_agent",
]
