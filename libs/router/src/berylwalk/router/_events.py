"""Events and actions of the router's state machine."""

from dataclasses import dataclass

from berylwalk.dispatch import GracefulStop
from berylwalk.model import FinalResponse, Refusal, Request, RequestId
from berylwalk.wire import ControlMessage, Datagram, Grant


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """The caller API accepted a request."""

    request: Request


@dataclass(frozen=True, slots=True)
class DatagramArrived:
    """A datagram of an agent was authenticated and decoded."""

    datagram: Datagram


@dataclass(frozen=True, slots=True)
class GrantNotSent:
    """The connection failed before any byte of the grant was sent."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class GrantRefused:
    """The agent refused the grant over HTTP; this attempt never runs."""

    request_id: RequestId
    attempt: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The agent dispatched the request, and the target's status arrived."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class ResponseProgress:
    """Another chunk of the response arrived."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class ResponseComplete:
    """The whole response arrived."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class GrantLost:
    """The connection failed after the grant was, or may have been, sent.

    Parameters
    ----------
    started : bool
        Whether the target's status had arrived, which proves that the agent
        dispatched the request.
    """

    request_id: RequestId
    attempt: int
    started: bool


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller disconnected."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """The idempotency record names this request, so it may be granted."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The idempotency record could not be claimed; the request ends not-run."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AgentsListed:
    """The list of agents changed, from the VM list or a peer.

    Parameters
    ----------
    agents : tuple of str
        Node identifiers of target VMs.
    leaving : frozenset of str
        Agents whose VM the platform is about to remove.
    """

    agents: tuple[str, ...]
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Stop accepting requests and finish the accepted ones.

    Parameters
    ----------
    stop : GracefulStop or None
        When the process ends. Requests that wait and may outlast it are refused, and
        those that run then are ended. Without it, all accepted requests finish.
    """

    stop: GracefulStop | None = None


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; sent when a timer is due, and every `IDLE_TICK_S` seconds."""


RouterEvent = (
    RequestArrived
    | DatagramArrived
    | GrantNotSent
    | GrantRefused
    | ResponseStarted
    | ResponseProgress
    | ResponseComplete
    | GrantLost
    | CallerDisconnected
    | KeyClaimed
    | KeyRefused
    | AgentsListed
    | DrainRequested
    | Tick
)


@dataclass(frozen=True, slots=True)
class SendToAgent:
    """Send messages to an agent in one datagram; it may be lost."""

    agent: str
    messages: tuple[ControlMessage, ...]


@dataclass(frozen=True, slots=True)
class IssueGrant:
    """POST the grant with the request's body to the agent.

    Results in `GrantNotSent`, `GrantRefused` or `GrantLost`, or in
    `ResponseStarted` followed by `ResponseProgress` and `ResponseComplete`.
    """

    agent: str
    grant: Grant


@dataclass(frozen=True, slots=True)
class AbandonGrant:
    """Close the connection that carries the attempt's grant and response."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Create the idempotency record; results in `KeyClaimed` or `KeyRefused`."""

    request: Request


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Remove the idempotency record of a request that did not run."""

    request: Request


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Send the final response to the caller and forget the request."""

    request_id: RequestId
    response: FinalResponse


@dataclass(frozen=True, slots=True)
class DrainFinished:
    """All accepted requests have ended after a `DrainRequested`."""


RouterAction = (
    SendToAgent
    | IssueGrant
    | AbandonGrant
    | ClaimKey
    | ReleaseKey
    | EndRequest
    | DrainFinished
)
