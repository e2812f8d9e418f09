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
    """Phase of a request, as shown by the admin API."""

    UNPLACED = "unplaced"
    WAITING = "waiting"
    GRANTED = "granted"
    RUNNING = "running"
    REVOKING = "revoking"


@dataclass(slots=True)
class Reservation:
    """A reservation in the admission queue of one agent.

    Parameters
    ----------
    agent : str
        Node identifier.
    incarnation : int
        Incarnation of the agent that the reservation was sent to.
    attempt : int
        Number of the attempt.
    queued : bool
        Whether the agent has confirmed it.
    ready : bool
        Whether the agent holds a slot while the idempotency key is still being
        claimed.
    resends : int
        Number of resends.
    sent_at : float
        Time of the last send.
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
        Whether it was issued without a `Ready`, so that it requires a free slot.
    progress_at : float
        When the grant was issued or the last chunk of the response arrived.
    started : bool
        Whether the target's status has arrived.
    lost_at : float or None
        When its connection was lost and the first `Revoke` was sent.
    resends : int
        Number of resends of the `Revoke`.
    """

    agent: str
    incarnation: int
    attempt: int
    conditional: bool
    progress_at: float
    started: bool = False
    lost_at: float | None = None
    resends: int = 0

    def note_standstill(self, duration_s: float) -> None:
        """Exclude a standstill of this router from the times without an answer."""
        self.progress_at += duration_s
        if self.lost_at is not None:
            self.lost_at += duration_s


@dataclass(frozen=True, slots=True)
class AgentRefusal:
    """An agent's refusal and its time of arrival."""

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
        Open reservations; empty while a grant is outstanding.
    refusals_by_agent : dict of str to AgentRefusal
        Refusals by agents that do not accept the request.
    failed_attempts_by_agent : dict of str to int
        Attempts that failed at the agent without a refusal of the request.
    grant : OutstandingGrant or None
        The grant whose result is not known.
    retry_pending : bool
        Whether a delayed placement is scheduled.
    retries : int
        Retries taken from the retry budget.
    unplaced_since : float or None
        Time since which no agent has been eligible.
    """

    request: Request
    key: KeyState
    attempts: int = 0
    reservations_by_agent: dict[str, Reservation] = field(default_factory=dict)
    refusals_by_agent: dict[str, AgentRefusal] = field(default_factory=dict)
    failed_attempts_by_agent: dict[str, int] = field(default_factory=dict)
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
    def is_grantable(self) -> bool:
        """Whether a grant may be issued now."""
        return self.grant is None and self.key is not KeyState.PENDING

    @property
    def phase(self) -> Phase:
        """Phase of the request."""
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
        """Make an agent eligible again after refusals or failed attempts."""
        self.refusals_by_agent.pop(agent, None)
        self.failed_attempts_by_agent.pop(agent, None)

    def remaining_ms(self, now: float) -> int:
        """Return the time until the deadline, in milliseconds, at least 0."""
        return max(0, int((self.request.deadline_at - now) * 1000))
