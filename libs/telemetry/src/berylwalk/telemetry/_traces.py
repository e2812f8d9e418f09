"""Tracing with OpenTelemetry spans and W3C trace context propagation."""

import re
import secrets
from collections.abc import Mapping
from enum import StrEnum
from typing import Self, TextIO

from opentelemetry import trace
from opentelemetry.sdk.resources import SERVICE_INSTANCE_ID, SERVICE_NAME, Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    Status,
    StatusCode,
    TraceFlags,
)

from berylwalk.telemetry._exporters import (
    file_exporter,
    open_span_file,
    otlp_exporter,
)

TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
TRACE_ID_BITS = 128
SPAN_ID_BITS = 64

Attributes = Mapping[str, str | int | float | bool]


class Exporter(StrEnum):
    """Destination of finished spans."""

    NONE = "none"
    FILE = "file"
    OTLP = "otlp"


class SpanStatus(StrEnum):
    """Status of a finished span."""

    OK = "ok"
    ERROR = "error"


class TraceSpan:
    """Span in progress.

    Parameters
    ----------
    span : opentelemetry.trace.Span
        OpenTelemetry span; non-recording if spans are not exported.

    Attributes
    ----------
    traceparent : str
        Value of the ``traceparent`` header for downstream requests.
    """

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: Span) -> None:
        self._span = span
        self.traceparent = _format_traceparent(span.get_span_context())

    def set_attributes(self, attributes: Attributes) -> None:
        """Add attributes to the span.

        Parameters
        ----------
        attributes : mapping of str to str, int, float or bool
            Values by name.
        """
        self._span.set_attributes(dict(attributes))

    def end(self, status: SpanStatus = SpanStatus.OK, reason: str = "") -> None:
        """Finish the span.

        Parameters
        ----------
        status : SpanStatus
            Status of the span.
        reason : str, optional
            Description of an error.
        """
        if status is SpanStatus.ERROR:
            self._span.set_status(Status(StatusCode.ERROR, reason))
        else:
            self._span.set_status(Status(StatusCode.OK))
        self._span.end()


class Tracing:
    """Factory of spans, which are exported unless the exporter is `Exporter.NONE`.

    A thread of the SDK exports spans in batches, so that a slow file or collector
    does not block the event loop.

    Parameters
    ----------
    provider : opentelemetry.sdk.trace.TracerProvider or None
        None propagates the trace context without recording spans.
    file : file object, optional
        Span file, which `close` closes.
    """

    def __init__(
        self, provider: TracerProvider | None, file: TextIO | None = None
    ) -> None:
        self._provider = provider
        self._file = file
        self._tracer = None if provider is None else provider.get_tracer("berylwalk")

    @classmethod
    def from_config(
        cls,
        service_name: str,
        node_id: str,
        *,
        exporter: Exporter = Exporter.NONE,
        file_path: str | None = None,
        endpoint: str | None = None,
    ) -> Self:
        """Construct from settings.

        Parameters
        ----------
        service_name : str
            ``router`` or ``agent``.
        node_id : str
            Node id of this process.
        exporter : Exporter
            Destination of finished spans.
        file_path : str, optional
            File to which JSON lines are appended; required by `Exporter.FILE`.
        endpoint : str, optional
            URL for OTLP over HTTP; required by `Exporter.OTLP`.

        Raises
        ------
        ConfigurationError
            If the path or endpoint that the exporter requires is missing.
        OSError
            If the file cannot be opened.
        """
        if exporter is Exporter.NONE:
            return cls(None)
        file: TextIO | None = None
        if exporter is Exporter.FILE:
            file = open_span_file(file_path)
            span_exporter = file_exporter(file)
        else:
            span_exporter = otlp_exporter(endpoint)
        resource = Resource({SERVICE_NAME: service_name, SERVICE_INSTANCE_ID: node_id})
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(BatchSpanProcessor(span_exporter))
        return cls(provider, file)

    def start_span(
        self, traceparent: str | None, name: str, attributes: Attributes | None = None
    ) -> TraceSpan:
        """Start a span as a child of the caller's span, or in a new trace.

        Parameters
        ----------
        traceparent : str or None
            Received header value; a missing or invalid one starts a new trace.
        name : str
            Name of the span.
        attributes : mapping of str to str, int, float or bool, optional
            Values by name.

        Returns
        -------
        TraceSpan
            Span that the caller must end.
        """
        parent = _parse_traceparent(traceparent)
        if self._tracer is None:
            return TraceSpan(_non_recording_span(parent))
        context = None
        if parent is not None:
            context = trace.set_span_in_context(NonRecordingSpan(parent))
        span = self._tracer.start_span(
            name, context=context, attributes=dict(attributes or {})
        )
        return TraceSpan(span)

    def close(self) -> None:
        """Export the remaining spans, within the timeout of the SDK, and stop."""
        if self._provider is not None:
            self._provider.shutdown()
        if self._file is not None:
            self._file.close()


def _parse_traceparent(traceparent: str | None) -> SpanContext | None:
    match = TRACEPARENT.fullmatch(traceparent or "")
    if match is None:
        return None
    context = SpanContext(
        trace_id=int(match[1], 16),
        span_id=int(match[2], 16),
        is_remote=True,
        trace_flags=TraceFlags(int(match[3], 16)),
    )
    return context if context.is_valid else None


def _format_traceparent(context: SpanContext) -> str:
    flags = int(context.trace_flags)
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"


def _non_recording_span(parent: SpanContext | None) -> Span:
    if parent is not None:
        # No span is recorded here, so the caller's span becomes the parent of
        # downstream spans.
        return NonRecordingSpan(parent)
    context = SpanContext(
        trace_id=secrets.randbits(TRACE_ID_BITS) or 1,
        span_id=secrets.randbits(SPAN_ID_BITS) or 1,
        is_remote=False,
        trace_flags=TraceFlags(TraceFlags.SAMPLED),
    )
    return NonRecordingSpan(context)
