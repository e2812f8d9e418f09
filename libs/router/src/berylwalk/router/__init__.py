"""The router process on each entry VM: callers, placement, grants and settings.

`RouterMachine` is a state machine without I/O; `RouterDaemon` runs it.
"""

from berylwalk.router._config import RouterConfig
from berylwalk.router._daemon import RouterDaemon, run_router
from berylwalk.router._events import (
    AbandonGrant,
    AgentsListed,
    CallerDisconnected,
    ClaimKey,
    DatagramArrived,
    DrainFinished,
    DrainRequested,
    EndRequest,
    GrantLost,
    GrantNotSent,
    GrantRefused,
    IssueGrant,
    KeyClaimed,
    KeyRefused,
    ReleaseKey,
    RequestArrived,
    ResponseComplete,
    ResponseProgress,
    ResponseStarted,
    RouterAction,
    RouterEvent,
    SendToAgent,
    Tick,
)
from berylwalk.router._machine import RouterMachine

__all__ = [
    "AbandonGrant",
    "AgentsListed",
    "CallerDisconnected",
    "ClaimKey",
    "DatagramArrived",
    "DrainFinished",
    "DrainRequested",
    "EndRequest",
    "GrantLost",
    "GrantNotSent",
    "GrantRefused",
    "IssueGrant",
    "KeyClaimed",
    "KeyRefused",
    "ReleaseKey",
    "RequestArrived",
    "ResponseComplete",
    "ResponseProgress",
    "ResponseStarted",
    "RouterAction",
    "RouterConfig",
    "RouterDaemon",
    "RouterEvent",
    "RouterMachine",
    "SendToAgent",
    "Tick",
    "run_router",
]
