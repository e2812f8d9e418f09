"""Events and actions of the router's state machine."""

from dataclasses import dataclass

from berylwalk.model import FinalResponse, Refusal, Request, RequestId
from berylwalk.wire import ControlMessage, Datagram, Grant


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """The caller API accepted a request."""

    request: Request


@dataclass(frozen=True, slots=True)
class DatagramArrived:
    """A datagram of an agent was opened and decoded."""

    datagram: Datagram


@dataclass(frozen=True, slots=True)
class GrantNotSent:
    """The connection failed before any byte of the grant was sent."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class GrantRefused:
    """The agent refused the grant over HTTP: this attempt never runs."""

    request_id: RequestId
    attempt: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The agent dispatched, and the target's status arrived."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerProgress:
    """Another piece of the answer arrived."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerComplete:
    """The whole answer arrived."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class GrantLost:
    """The connection failed after the grant was, or may have been, sent.

    Parameters
    ----------
    started : bool
        Whether the target's status had arrived, which proves a dispatch.
    """

    request_id: RequestId
    attempt: int
    started: bool


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller went away."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """The idempotency record now names this request: it may be granted."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The idempotency record could not be claimed; the request ends not-run."""

    request_id: RequestId
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AgentsListed:
    """The VM list or a peer named the agents.

    Parameters
    ----------
    agents : tuple of str
        Node identifiers of target VMs.
    leaving : frozenset of str
        Those that the platform will take away.
    """

    agents: tuple[str, ...]
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """Accept no new requests; finish those accepted."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; sent when a timer is due, and every `IDLE_TICK_S` seconds."""


RouterEvent = (
    RequestArrived
    | DatagramArrived
    | GrantNotSent
    | GrantRefused
    | AnswerStarted
    | AnswerProgress
    | AnswerComplete
    | GrantLost
    | CallerGone
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

    Answered by `GrantNotSent`, `GrantRefused`, `GrantLost`, or by
    `AnswerStarted` followed by `AnswerProgress` and `AnswerComplete`.
    """

    agent: str
    grant: Grant


@dataclass(frozen=True, slots=True)
class AbandonGrant:
    """Close the connection that carries the attempt's grant and answer."""

    request_id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Create the idempotency record; answered by `KeyClaimed` or `KeyRefused`."""

    request: Request


@dataclass(frozen=True, slots=True)
class ReleaseKey:
    """Remove the idempotency record, because the request truly did not run."""

    request: Request


@dataclass(frozen=True, slots=True)
class EndRequest:
    """The request ended; forget it and tell the caller."""

    request_id: RequestId
    answer: FinalResponse


@dataclass(frozen=True, slots=True)
class DrainFinished:
    """No accepted request is left after a `DrainRequested`."""


RouterAction = (
    SendToAgent
    | IssueGrant
    | AbandonGrant
    | ClaimKey
    | ReleaseKey
    | EndRequest
    | DrainFinished
)
