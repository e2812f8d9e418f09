"""Outcomes of requests and reasons for refusals."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request, sent in the ``Berylwalk-Outcome`` header."""

    COMPLETE = "complete"
    """The complete response of the target was delivered."""

    NOT_RUN = "not-run"
    """The request did not reach a target and never will."""

    UNKNOWN = "unknown"
    """A grant was issued, but its result could not be determined."""

    INVALID = "invalid"
    """The request failed validation and was never placed."""


class RefusalReason(StrEnum):
    """Why an agent or a router did not run a request."""

    NO_SLOT = "no-slot"
    """A conditional grant found no free slot."""

    QUEUE_FULL = "queue-full"
    """The admission queue is full and has no request of a lower tier."""

    EVICTED = "evicted"
    """A queued request was evicted in favour of one of a higher tier."""

    DEADLINE = "deadline"
    """The request cannot meet its deadline."""

    LEAVING = "leaving"
    """The target or the router is draining."""

    STALE_INCARNATION = "stale-incarnation"
    """The grant names an earlier incarnation of the agent."""

    TOMBSTONE = "tombstone"
    """The attempt was revoked, withdrawn or refused earlier."""

    DUPLICATE = "duplicate"
    """This agent has already dispatched the request."""

    NOT_SERVED = "not-served"
    """The target does not serve the model or service."""

    ACCOUNT_LIMIT = "account-limit"
    """The client account has reached one of its limits."""

    NO_TARGET = "no-target"
    """No eligible target is reachable."""

    RETRY_BUDGET = "retry-budget"
    """The retry budget is exhausted."""

    PLATFORM_DOWN = "platform-down"
    """The metadata store is required and unavailable."""

    KEY_IN_USE = "key-in-use"
    """Another request holds the same idempotency key and may have run."""

    KEY_REUSED = "key-reused"
    """The idempotency key was used with a different call."""

    KEY_SETTLED = "key-settled"
    """The call with this idempotency key has completed; its response is not stored."""

    LOST = "lost"
    """A grant was issued, but its result could not be determined."""

    WITHDRAWN = "withdrawn"
    """The caller disconnected before the request ran."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Returned instead of a result if a request was refused.

    Parameters
    ----------
    reason : RefusalReason
        Why the request did not run.
    retry_after_ms : int
        Delay after which the caller may retry, in milliseconds.
    detail : str
        Description for logs and callers.
    """

    reason: RefusalReason
    retry_after_ms: int = 0
    detail: str = ""
