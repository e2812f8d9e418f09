"""Models of the settings sections shared by routers and agents."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated, Self

from pydantic import Field, SecretStr, ValidationInfo, field_validator, model_validator

from berylwalk.settings._validation import (
    Address,
    Addresses,
    Name,
    Port,
    StrictModel,
    Url,
    Urls,
)

MIN_KEY_LENGTH = 16


class LogLevel(StrEnum):
    """Minimum severity of logged messages."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class TraceExporter(StrEnum):
    """Destination of trace spans."""

    NONE = "none"
    FILE = "file"
    OTLP = "otlp"


class NodeSection(StrictModel):
    """Identity and place of the process."""

    id: Name = Field(description="Name of the process, unique in the fleet.")
    address: Address = Field(description="IP number that the process listens on.")
    failure_domain: Name = Field(description="Failure domain of the VM.")
    region: Name = Field(description="Region of the VM.")


class FleetSection(StrictModel):
    """What the processes of one installation share."""

    key_file: Path | None = Field(
        default=None,
        description="File that holds the shared secret; relative to the settings file.",
    )
    key: Annotated[SecretStr, Field(min_length=MIN_KEY_LENGTH)] = Field(
        description="Shared secret of at least 16 characters; or set `key_file`."
    )
    peers: Addresses = Field(
        default=(), description="Comma list of router addresses, tried first."
    )


class PortsSection(StrictModel):
    """Ports of all processes; the same on every VM."""

    caller: Port = Field(default=8080, description="Caller API of routers, TCP.")
    admin: Port = Field(default=8081, description="Admin API of routers, TCP.")
    ops: Port = Field(default=8082, description="Health and metrics, TCP.")
    control: Port = Field(default=7001, description="Control datagrams, UDP.")
    sync: Port = Field(default=7002, description="Peer sync, TCP.")
    dispatch: Port = Field(default=7003, description="Dispatch to agents, TCP.")

    @model_validator(mode="after")
    def _check_distinct_tcp(self) -> Self:
        ports = (self.caller, self.admin, self.ops, self.sync, self.dispatch)
        if len(set(ports)) < len(ports):
            raise ValueError("two TCP ports are the same")
        return self


class PlatformSection(StrictModel):
    """How the platform's services are reached."""

    endpoints: Annotated[Urls, Field(min_length=1)] = Field(
        description="Comma list of URLs of the key-value service."
    )
    vm_list_url: Url = Field(
        description="Base URL of the VM list service; `/v1/vms` is asked there."
    )
    timeout_s: float = Field(
        default=1.0, gt=0, le=60, description="Longest wait for one answer, in seconds."
    )
    poll_s: float = Field(
        default=2.0, gt=0, le=3600, description="Time between polls, in seconds."
    )


class TelemetrySection(StrictModel):
    """Logs and traces."""

    log_level: LogLevel = Field(
        default=LogLevel.INFO, description="Least severity that is logged."
    )
    trace_exporter: TraceExporter = Field(
        default=TraceExporter.NONE, description="Where trace spans go."
    )
    trace_path: Path | None = Field(
        default=None,
        validate_default=True,
        description="File for spans; required by the exporter `file`.",
    )
    trace_endpoint: Url | None = Field(
        default=None,
        validate_default=True,
        description="OTLP/HTTP URL for spans; required by the exporter `otlp`.",
    )

    @field_validator("trace_path")
    @classmethod
    def _check_path(cls, value: Path | None, info: ValidationInfo) -> Path | None:
        _check_required_by(TraceExporter.FILE, value, info)
        return value

    @field_validator("trace_endpoint")
    @classmethod
    def _check_endpoint(cls, value: str | None, info: ValidationInfo) -> str | None:
        _check_required_by(TraceExporter.OTLP, value, info)
        return value


def _check_required_by(
    exporter: TraceExporter, value: object, info: ValidationInfo
) -> None:
    if value is None and info.data.get("trace_exporter") is exporter:
        raise ValueError(f"is required by trace_exporter = {exporter}")
