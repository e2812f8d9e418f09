"""Targets as they are listed, and the size of work for them."""

from dataclasses import dataclass
from enum import StrEnum

LIFE_MARKS = 1 << 16
"""Marks by which lives of one target are told apart."""


class TargetState(StrEnum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


class IneligibilityReason(StrEnum):
    """Why a target gets no request."""

    DRAINING = "draining"
    BACKOFF = "aside"
    """Its connection failed, or it refused work, a short time ago."""

    REPLACED = "replaced"
    """Another life answers at its address: it has ended, whatever its entry says."""

    RETRY_AFTER = "resting"
    """It has asked this router for rest."""

    SLOW_START = "returning"
    """It has rested, and takes a few requests at first."""

    LEAVING = "leaving"
    """It says in its answers that it leaves."""

    RATE_LIMITED = "limited"
    """It names a limit, and this router's part of it is used."""

    SILENT = "silent"
    ERRORS = "errors"
    FULL = "full"
    TOO_LATE = "too-late"
    """It is busy, and the answer would begin later than it should."""

    EXCLUDED = "excluded"
    """It was tried for this request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetEntry:
    """One target as the list of targets has it.

    Parameters
    ----------
    target_id : str
        Identifies the target; it may start again under the same id.
    service : str
        Service that it belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it works on at the same time.
    state : TargetState
        Whether it takes new work.
    started_ms : int or None
        When this life of it started, as it says, in milliseconds since the epoch.
        None where targets don't say: there an id stands for one life.
    version : str
        Version of its software; empty if it does not say.
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
        """Identifies one life of the target, also towards other routers.

        Only the end of the start's time is told, since ids are in each message:
        two lives of one target are taken for one if they started a multiple of
        65.5 s apart to the millisecond.
        """
        if self.started_ms is None:
            return self.target_id
        return f"{self.target_id}~{self.started_ms % LIFE_MARKS:x}"


@dataclass(frozen=True, slots=True)
class SharedPrefix:
    """Start of a prompt that other requests have too.

    Parameters
    ----------
    key : int
        Hash of its parts, 32 bits.
    tokens : int
        Its length.
    """

    key: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """Size of one request.

    Parameters
    ----------
    prompt_tokens : int
        Tokens to be read before the first event; 0 for a plain call.
    output_tokens : int
        Tokens that the answer is expected to have, or its most.
    shared_prefix : SharedPrefix or None
        Start of the prompt that other requests have too.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_prefix: SharedPrefix | None = None
