"""The process beside each target: admission, dispatch and drain."""

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
    TargetStatementReceived,
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
    "TargetStatementReceived",
    "Tick",
    "TiersChanged",
    "run_agent",
]
