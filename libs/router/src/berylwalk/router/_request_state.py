"""State of one accepted request."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

from berylwalk.model import Refusal, Request
from berylwalk.placement import Work


class KeyState(Enum):
    """Whether the idempotency key allows a grant."""

    NOT_NEEDED = auto()
    PENDING = auto()
    CLAIMED = auto()


class Phase(StrEnum):
    """Where a request is, for the admin API."""

    UNPLACED = "unplaced"
    WAITING = "waiting"
    GRANTED = "granted"
    RUNNING = "running"
    REVOKING = "revoking"


@dataclass(slots=True)
class Reservation:
    """A place in the waiting list of one agent.

    Parameters
    ----------
    agent : str
        Node identifier.
    incarnation : int
        Incarnation of the agent that was asked.
    attempt : int
        Number of the attempt.
    queued : bool
        Whether the agent has confirmed it.
    ready : bool
        Whether the agent holds a slot and the key's claim is awaited.
    resends : int
        Times it was sent again.
    sent_at : float
        When it was last sent.
    """

    agent: str
    incarnation: int
    attempt: int
    queued: bool = False
    ready: bool = False
    resends: int = 0
    sent_at: float = 0.0


@dataclass(slots=True)
class OutstandingGrant:
    """The one grant of a request.

    Parameters
    ----------
    agent : str
        Node identifier.
    incarnation : int
        The only incarnation that may use it.
    attempt : int
        Number of the attempt.
    conditional : bool
        Whether it did not answer a `Ready`.
    progress_at : float
        When the grant was issued or the last piece of the answer arrived.
    started : bool
        Whether the target's status has arrived.
    lost_at : float or None
        When its connection was lost and the agent was first asked to revoke.
    resends : int
        Times the `Revoke` was sent again.
    """

    agent: str
    incarnation: int
    attempt: int
    conditional: bool
    progress_at: float
    started: bool = False
    lost_at: float | None = None
    resends: int = 0


@dataclass(frozen=True, slots=True)
class AgentRefusal:
    """An agent's refusal and when it came."""

    refusal: Refusal
    at: float


@dataclass(slots=True, eq=False)
class RequestState:
    """One request from its arrival to its end.

    Parameters
    ----------
    request : Request
        The request.
    key : KeyState
        Whether the idempotency key allows a grant.
    attempts : int
        Highest attempt number in use.
    reservations_by_agent : dict of str to Reservation
        Places in waiting lists; empty while a grant is outstanding.
    refusals_by_agent : dict of str to AgentRefusal
        Agents that will not take the request.
    attempts_by_agent : dict of str to int
        Attempts that the agent turned down without refusing the request.
    grant : OutstandingGrant or None
        The grant whose result is not known.
    retry_pending : bool
        Whether a delayed placement is scheduled.
    retries : int
        Retries taken from the budget.
    unplaced_since : float or None
        Since when no agent has been eligible.
    """

    request: Request
    key: KeyState
    attempts: int = 0
    reservations_by_agent: dict[str, Reservation] = field(default_factory=dict)
    refusals_by_agent: dict[str, AgentRefusal] = field(default_factory=dict)
    attempts_by_agent: dict[str, int] = field(default_factory=dict)
    grant: OutstandingGrant | None = None
    retry_pending: bool = False
    retries: int = 0
    unplaced_since: float | None = None

    @property
    def work(self) -> Work:
        """Size of the request, for placement."""
        request = self.request
        return Work(
            tier_rank=request.service_policy.tier.rank,
            prompt_tokens=request.estimate.prompt_tokens,
            output_tokens=request.estimate.output_tokens,
            prefix=request.prefix,
        )

    @property
    def may_be_granted(self) -> bool:
        """Whether a grant may be issued now."""
        return self.grant is None and self.key is not KeyState.PENDING

    @property
    def phase(self) -> Phase:
        """Where the request is."""
        if self.grant is None:
            return Phase.WAITING if self.reservations_by_agent else Phase.UNPLACED
        if self.grant.lost_at is not None:
            return Phase.REVOKING
        return Phase.RUNNING if self.grant.started else Phase.GRANTED

    def next_attempt(self) -> int:
        """Return a new attempt number."""
        self.attempts += 1
        return self.attempts

    def forget_refusals(self, agent: str) -> None:
        """Let an agent be asked again that refused or turned down attempts."""
        self.refusals_by_agent.pop(agent, None)
        self.attempts_by_agent.pop(agent, None)

    def deadline_ms(self, now: float) -> int:
        """Return the time left, in milliseconds, not below 0."""
        return max(0, int((self.request.deadline_at - now) * 1000))
