"""Events and actions of the agent's state machine."""

from dataclasses import dataclass
from enum import StrEnum

from berylwalk.dispatch import TargetSignals
from berylwalk.model import Refusal, RequestId, TierPolicy
from berylwalk.wire import ControlMessage, Datagram, Grant


@dataclass(frozen=True, slots=True)
class DatagramArrived:
    """A datagram of a router was opened and decoded."""

    datagram: Datagram


@dataclass(frozen=True, slots=True)
class GrantArrived:
    """A grant and its body arrived.

    Answered by exactly one `StartDispatch` or `RefuseGrant` in the same step.
    """

    grant: Grant


@dataclass(frozen=True, slots=True)
class TargetProgress:
    """The target sent a piece of the answer.

    Parameters
    ----------
    request_id : RequestId
        Whose answer it is.
    first : bool
        Whether it is the first piece.
    tokens : int
        Tokens in the piece, estimated by the shell; 1 when unknown.
    """

    request_id: RequestId
    first: bool
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class TargetStatementReceived:
    """The head of an answer came, with what it states of the target.

    Parameters
    ----------
    statement : TargetSignals
        What it states.
    sent_at : float
        When its request was sent, in seconds.
    is_taken : bool
        Whether the target took the request.
    """

    statement: TargetSignals
    sent_at: float
    was_accepted: bool


class DispatchEnd(StrEnum):
    """How a dispatched call ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_GONE = "caller-gone"
    NOT_SENT = "not-sent"
    """Nothing was sent to the target: the attempt did not run and is dead."""


@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """The call to the target ended; its slot is free."""

    request_id: RequestId
    end: DispatchEnd


@dataclass(frozen=True, slots=True)
class TiersChanged:
    """A newer settings version is in force."""

    version: int
    tiers: tuple[TierPolicy, ...]


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """What the target serves, or whether it can be reached, changed."""

    resources: tuple[str, ...]
    reachable: bool = True


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Take no new work; finish what runs."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; sent when a timer is due and each `IDLE_TICK_S` seconds."""


AgentEvent = (
    DatagramArrived
    | GrantArrived
    | TargetProgress
    | TargetStatementReceived
    | DispatchEnded
    | TiersChanged
    | TargetChanged
    | DrainRequested
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendToRouter:
    """Send messages to a router in one datagram; it may be lost."""

    router: str
    messages: tuple[ControlMessage, ...]


@dataclass(frozen=True, slots=True)
class StartDispatch:
    """Call the target now; the grant is used up."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class RefuseGrant:
    """Answer the grant's HTTP request with a refusal; it will never run."""

    grant: Grant
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class DrainFinished:
    """Nothing runs any more after a `DrainRequested`."""


AgentAction = SendToRouter | StartDispatch | RefuseGrant | DrainFinished
