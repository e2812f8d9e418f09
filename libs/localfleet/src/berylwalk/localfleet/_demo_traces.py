"""Reader of the span files of a local fleet."""

from datetime import datetime
from pathlib import Path

import msgspec


class SpanContext(msgspec.Struct):
    """Identifiers of a span."""

    trace_id: str


class SpanResource(msgspec.Struct):
    """The process that wrote a span."""

    attributes: dict[str, str]


class Span(msgspec.Struct):
    """Fields of a span that the demo prints."""

    name: str
    context: SpanContext
    resource: SpanResource
    start_time: datetime
    end_time: datetime

    @property
    def hop(self) -> str:
        """Name, node and duration of the span as text."""
        node = self.resource.attributes["service.instance.id"]
        duration_ms = 1000 * (self.end_time - self.start_time).total_seconds()
        return f"{self.name}@{node} {duration_ms:.1f} ms"


def hops_by_trace(directory: Path) -> dict[str, list[str]]:
    """Return the hops of each trace by trace id, in order of their start."""
    decoder = msgspec.json.Decoder(Span)
    spans_by_trace: dict[str, list[Span]] = {}
    for path in sorted(directory.glob("*.spans.jsonl")):
        for span in decoder.decode_lines(path.read_bytes()):
            trace_id = span.context.trace_id.removeprefix("0x")
            spans_by_trace.setdefault(trace_id, []).append(span)
    return {
        trace_id: [span.hop for span in sorted(spans, key=lambda s: s.start_time)]
        for trace_id, spans in spans_by_trace.items()
    }
