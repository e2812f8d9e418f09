"""Models of the settings file of an agent."""

from enum import StrEnum

from pydantic import Field, ValidationInfo, field_validator

from berylwalk.settings._files import NodeSettings
from berylwalk.settings._validation import Name, ResourceNames, StrictModel, Url


class AdmissionPolicy(StrEnum):
    """Order in which an agent admits queued requests."""

    BERYLWALK = "berylwalk"
    FIFO = "fifo"


class TargetSection(StrictModel):
    """The target beside the agent."""

    url: Url = Field(description="Base URL of the target.")
    models: ResourceNames = Field(
        default=(), description="Comma list of models that the target serves."
    )
    services: ResourceNames = Field(
        default=(),
        validate_default=True,
        description="Comma list of plain services; required when there are no models.",
    )
    adapters: ResourceNames = Field(
        default=(), description="Comma list of adapters that the target has loaded."
    )
    hardware_generation: Name = Field(
        default="standard", description="Generation of the target's hardware."
    )
    prefill_tokens_per_s: float = Field(
        default=10_000.0, gt=0, description="Expected prefill rate, in tokens a second."
    )
    decode_tokens_per_s: float = Field(
        default=50.0,
        gt=0,
        description="Expected decode rate of one request, in tokens a second.",
    )

    @field_validator("services")
    @classmethod
    def _check_models_or_services(cls, value: tuple, info: ValidationInfo) -> tuple:
        if not value and info.data.get("models") == ():
            raise ValueError("models and services are both empty")
        return value


class AdmissionSection(StrictModel):
    """Admission to the target."""

    min_limit: int = Field(
        default=1, ge=1, description="Least concurrency limit of the target."
    )
    max_limit: int = Field(
        default=256, ge=1, description="Greatest concurrency limit of the target."
    )
    initial_limit: int = Field(
        default=8,
        ge=1,
        validate_default=True,
        description="Concurrency limit at start, from min_limit to max_limit.",
    )
    max_waiting: int = Field(
        default=1000, ge=0, description="Longest waiting list of the agent."
    )
    token_gap_ms: float = Field(
        default=100.0,
        gt=0,
        description="Wanted time between output tokens, in milliseconds.",
    )
    first_token_ms: float = Field(
        default=2000.0,
        gt=0,
        description="Wanted time to the first token, in milliseconds.",
    )
    ready_timeout_ms: float = Field(
        default=50.0,
        gt=0,
        description="Wait for the answer to a ready message, in milliseconds.",
    )
    ask_ahead: int = Field(
        default=1,
        ge=0,
        description="Ready messages that are sent before a slot is free.",
    )
    policy: AdmissionPolicy = Field(
        default=AdmissionPolicy.BERYLWALK,
        description="Order of admission; `fifo` is a baseline for benchmarks.",
    )

    @field_validator("initial_limit")
    @classmethod
    def _check_limits(cls, value: int, info: ValidationInfo) -> int:
        low = info.data.get("min_limit", value)
        high = info.data.get("max_limit", value)
        if not low <= value <= high:
            raise ValueError(f"must be from min_limit ({low}) to max_limit ({high})")
        return value


class AgentSettings(NodeSettings):
    """All settings of an agent."""

    target: TargetSection
    admission: AdmissionSection
