"""Logs, metrics, traces and the operations endpoint of the daemons."""

from berylwalk.telemetry._errors import ConfigurationError
from berylwalk.telemetry._logs import Level, configure_logging, log_event
from berylwalk.telemetry._metrics import (
    AgentMetrics,
    RequestMetrics,
    RouterMetrics,
    render,
)
from berylwalk.telemetry._ops import ops_application
from berylwalk.telemetry._traces import Exporter, SpanStatus, TraceSpan, Tracing

__all__ = [
    "AgentMetrics",
    "ConfigurationError",
    "Exporter",
    "Level",
    "RequestMetrics",
    "RouterMetrics",
    "SpanStatus",
    "TraceSpan",
    "Tracing",
    "configure_logging",
    "log_event",
    "ops_application",
    "render",
]
