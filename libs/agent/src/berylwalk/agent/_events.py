"""Events and actions of the agent's state machine."""

from dataclasses import dataclass
from enum import StrEnum

from berylwalk.dispatch import TargetSignals
from berylwalk.model import Refusal, RequestId, TierPolicy
from berylwalk.wire import ControlMessage, Datagram, Grant


@dataclass(frozen=True, slots=True)
class DatagramArrived:
    """A datagram of a router arrived and was decrypted and decoded."""

    datagram: Datagram


@dataclass(frozen=True, slots=True)
class GrantArrived:
    """A grant arrived together with its request body.

    Handling it returns exactly one `StartDispatch` or `RefuseGrant`.
    """

    grant: Grant


@dataclass(frozen=True, slots=True)
class TargetProgress:
    """The target sent a chunk of a response.

    Parameters
    ----------
    request_id : RequestId
        Request of the response.
    first : bool
        Whether it is the first chunk.
    tokens : int
        Tokens of the chunk, as estimated; 1 if unknown.
    """

    request_id: RequestId
    first: bool
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class TargetSignalsReceived:
    """The headers of a response arrived, with flow control signals of the target.

    Parameters
    ----------
    signals : TargetSignals
        Signals in the headers.
    sent_at : float
        Monotonic time at which the request was sent, in seconds.
    was_accepted : bool
        Whether the target accepted the request.
    """

    signals: TargetSignals
    sent_at: float
    was_accepted: bool


class DispatchEnd(StrEnum):
    """Outcome of a dispatched request."""

    COMPLETE = "complete"
    BROKEN = "broken"
    CALLER_GONE = "caller-gone"
    NOT_SENT = "not-sent"
    """Nothing was sent to the target; the attempt did not run and never will."""


@dataclass(frozen=True, slots=True)
class DispatchEnded:
    """A dispatched request ended and its slot is free."""

    request_id: RequestId
    end: DispatchEnd


@dataclass(frozen=True, slots=True)
class TiersChanged:
    """A settings version with these tiers is in force."""

    version: int
    tiers: tuple[TierPolicy, ...]


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """The resources or the reachability of the target changed."""

    resources: tuple[str, ...]
    reachable: bool = True


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The agent was asked to refuse new work and finish running requests."""


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer is due, or `IDLE_TICK_S` passed since the last tick."""


AgentEvent = (
    DatagramArrived
    | GrantArrived
    | TargetProgress
    | TargetSignalsReceived
    | DispatchEnded
    | TiersChanged
    | TargetChanged
    | DrainRequested
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendToRouter:
    """Send messages to a router in one datagram, without delivery guarantee."""

    router: str
    messages: tuple[ControlMessage, ...]


@dataclass(frozen=True, slots=True)
class StartDispatch:
    """Send the granted request to the target now; the grant is used up."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class RefuseGrant:
    """Respond to the grant's HTTP request with a refusal; its attempt never runs."""

    grant: Grant
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class DrainFinished:
    """All running requests ended after a `DrainRequested`."""


AgentAction = SendToRouter | StartDispatch | RefuseGrant | DrainFinished
