"""Entries of targets, and sizes of requests."""

from dataclasses import dataclass
from enum import StrEnum

START_MARK_MODULUS = 1 << 16
"""Modulus of start times in incarnation ids."""


class TargetState(StrEnum):
    """State that a target publishes in its entry."""

    READY = "ready"
    DRAINING = "draining"


class IneligibilityReason(StrEnum):
    """Reason why a target gets no request."""

    DRAINING = "draining"
    BACKOFF = "aside"
    """Backoff after a connection failure or a refused request."""

    REPLACED = "replaced"
    """Another incarnation answers at its address."""

    RETRY_AFTER = "resting"
    """The target requested a backoff of this router."""

    SLOW_START = "returning"
    """The target accepts only a few requests after a requested backoff."""

    LEAVING = "leaving"
    """The target announced its shutdown in a response."""

    RATE_LIMITED = "limited"
    """This router's share of the advertised rate limit is used up."""

    SILENT = "silent"
    ERRORS = "errors"
    FULL = "full"
    CACHE_FULL = "cache-full"
    """The request could exceed the KV cache of the target, which would crash it."""

    TOO_LATE = "too-late"
    """The target is busy, and the response would start too late."""

    EXCLUDED = "excluded"
    """The target is excluded for this request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetEntry:
    """Entry of one target in the list of targets.

    Parameters
    ----------
    target_id : str
        Identifies the target; stays the same across restarts.
    service : str
        Service that it belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Failure domain of the target.
    slots : int
        Number of requests that it processes concurrently.
    state : TargetState
        Whether it accepts new requests.
    started_ms : int or None
        Start time of this incarnation as published, in milliseconds since the epoch.
        If None, the id stands for a single incarnation.
    version : str
        Version of its software; empty if unknown.
    """

    target_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    state: TargetState
    started_ms: int | None = None
    version: str = ""

    @property
    def incarnation_id(self) -> str:
        """Identifies one incarnation of the target, also in peer messages.

        The start time is shortened, since each message contains many ids. Two
        incarnations share an id if their start times differ by a multiple of 65.536 s.
        """
        if self.started_ms is None:
            return self.target_id
        return f"{self.target_id}~{self.started_ms % START_MARK_MODULUS:x}"


@dataclass(frozen=True, slots=True)
class SharedPrefix:
    """Prefix of a prompt that other requests share.

    Parameters
    ----------
    key : int
        32-bit hash of its parts.
    tokens : int
        Length in tokens.
    """

    key: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """Size of one request.

    Parameters
    ----------
    prompt_tokens : int
        Tokens to prefill; 0 for a plain call.
    output_tokens : int
        Expected or maximum number of output tokens.
    shared_prefix : SharedPrefix or None
        Prefix of the prompt that other requests share.
    output_limit : int
        Maximum number of output tokens; 0 if it is not above the expected one.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_prefix: SharedPrefix | None = None
    output_limit: int = 0

    @property
    def max_tokens(self) -> int:
        """Tokens of the prompt and of the longest possible output."""
        return self.prompt_tokens + max(self.output_tokens, self.output_limit)
