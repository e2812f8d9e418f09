"""Span exporters: a file of JSON lines, or an OTLP collector."""

from pathlib import Path
from typing import TextIO

from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SpanExporter

from berylwalk.telemetry._errors import ConfigurationError


def open_span_file(file_path: str | None) -> TextIO:
    """Open the file to which spans are appended.

    Raises
    ------
    ConfigurationError
        If no path is given.
    OSError
        If the file cannot be opened.
    """
    if not file_path:
        raise ConfigurationError("trace exporter 'file' requires a file path")
    return Path(file_path).open("a", encoding="utf-8")


def file_exporter(file: TextIO) -> SpanExporter:
    """Return an exporter that writes each span as one JSON line."""
    return ConsoleSpanExporter(out=file, formatter=_json_line)


def _json_line(span: ReadableSpan) -> str:
    return span.to_json(indent=None) + "\n"


def otlp_exporter(endpoint: str | None) -> SpanExporter:
    """Return an exporter that sends spans to a collector.

    Raises
    ------
    ConfigurationError
        If no endpoint is given.
    """
    if not endpoint:
        raise ConfigurationError("trace exporter 'otlp' requires an endpoint")
    return OTLPSpanExporter(endpoint=endpoint)
