"""Keys of the settings tree."""

from typing import Annotated

from pydantic import Field

from berylwalk.settings._validation import (
    Integer,
    Name,
    Number,
    ResourceName,
    ResourceNames,
    Sha256s,
    StrictModel,
)

CREDENTIAL_KEY = "credential_sha256"
MAX_COUNT = 1_000_000_000
MAX_SECONDS = 604_800.0

Seconds = Annotated[Number, Field(gt=0, le=MAX_SECONDS)]
Count = Annotated[Integer, Field(ge=0, le=MAX_COUNT)]


class NodeKeys(StrictModel):
    """Keys of a node; each is optional and inherited unless it says otherwise."""

    # The default None means that the key is absent; None is not a valid value.
    tier: Name = Field(
        default=None, description="Tier of the work; the lowest tier when unset."
    )
    weight: Number = Field(
        default=None,
        gt=0,
        le=1_000_000,
        description="Share among client accounts of the same tier; 1 when unset.",
    )
    deadline_s: Seconds = Field(
        default=None,
        description="Time to the whole answer, in seconds; the tier's when unset.",
    )
    max_waiting: Count = Field(
        default=None,
        description="Waiting requests of the client account at one router; 1000 "
        "when unset.",
    )
    max_running: Count = Field(
        default=None,
        description="Running requests of the client account at one router; 1000 "
        "when unset.",
    )
    max_output_tokens: Annotated[Integer, Field(ge=1, le=MAX_COUNT)] = Field(
        default=None,
        description="Largest accepted number of output tokens; 4096 when unset.",
    )
    models: ResourceNames = Field(
        default=None, description="Models that may be used; empty or unset allows all."
    )
    idempotent: bool = Field(
        default=None,
        description="Whether requests may be repeated when the caller does not say; "
        "true when unset.",
    )
    target_service: ResourceName = Field(
        default=None,
        description="Plain service that the calls of a service node go to; the name "
        "of the node when unset. Not inherited.",
    )
    credential_sha256: Sha256s = Field(
        default=None,
        description="SHA-256 hex digests of bearer tokens; makes the node a client "
        "account. Not inherited.",
    )


class TierKeys(StrictModel):
    """Keys of a tier."""

    rank: Annotated[Integer, Field(ge=0, le=1000)] = Field(
        description="Order of the tier; 0 is the highest and is served first."
    )
    deadline_s: Seconds = Field(
        default=60.0, description="Time to the whole answer, in seconds."
    )
    headroom: Annotated[Number, Field(ge=0, le=1)] = Field(
        default=0.0,
        description="Share of an agent's slots for this tier and higher ones alone.",
    )


NOT_INHERITED = frozenset({CREDENTIAL_KEY, "target_service"})
