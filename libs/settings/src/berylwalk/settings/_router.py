"""Models of the settings file of a router."""

from enum import StrEnum
from typing import Annotated

from pydantic import Field

from berylwalk.settings._files import NodeSettings
from berylwalk.settings._validation import Sha256s, StrictModel


class RoutingPolicy(StrEnum):
    """Policy by which a router places requests."""

    BERYLWALK = "berylwalk"
    ROUND_ROBIN = "round-robin"


class CallerSection(StrictModel):
    """Limits towards callers."""

    max_body_bytes: int = Field(
        default=8_388_608, ge=1024, description="Largest accepted body, in bytes."
    )
    header_timeout_s: float = Field(
        default=10.0, gt=0, description="Longest wait for the headers, in seconds."
    )
    body_timeout_s: float = Field(
        default=60.0, gt=0, description="Longest wait for the body, in seconds."
    )
    max_connections: int = Field(
        default=10_000, ge=1, description="Connections that are open at once."
    )


class AdminSection(StrictModel):
    """Access to the admin API."""

    credential_sha256: Annotated[Sha256s, Field(min_length=1)] = Field(
        description="Comma list of SHA-256 hex digests of the operators' bearer tokens."
    )


class RoutingSection(StrictModel):
    """Placement of requests."""

    second_reservation_delay_ms: float = Field(
        default=20.0,
        ge=0,
        description="Wait before a second agent is asked, in milliseconds.",
    )
    subset_size: int = Field(
        default=16, ge=1, description="Agents considered for each resource."
    )
    retry_ratio: float = Field(
        default=0.1, ge=0, le=1, description="Retries allowed per successful request."
    )
    policy: RoutingPolicy = Field(
        default=RoutingPolicy.BERYLWALK,
        description="Placement policy; `round-robin` is a baseline for benchmarks.",
    )
    idempotency_lifetime_s: float = Field(
        default=86_400.0,
        gt=0,
        description="Time for which idempotency keys are kept, in seconds.",
    )


class StopSection(StrictModel):
    """Stop of the process."""

    grace_s: float | None = Field(
        default=None,
        gt=0,
        description="Time from SIGTERM to the platform's kill, in seconds; when unset, "
        "the process ends once its accepted requests have ended.",
    )


class RouterSettings(NodeSettings):
    """All settings of a router."""

    caller: CallerSection
    admin: AdminSection
    routing: RoutingSection
    stop: StopSection = StopSection()
