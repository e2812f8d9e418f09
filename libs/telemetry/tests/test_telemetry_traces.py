"""Propagation of the trace context."""

import json

import pytest

from berylwalk.telemetry import ConfigurationError, Exporter, SpanStatus, Tracing

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
SPAN_ID = "b7ad6b7169203331"
TRACEPARENT = f"00-{TRACE_ID}-{SPAN_ID}-01"


class TestStartSpan:
    def test_child_span_is_linked_to_its_parent(self, tmp_path):
        """A span started from the context of another is its child in the same trace."""
        path = tmp_path / "spans.jsonl"
        tracing = Tracing.from_config(
            "router", "router-1", exporter=Exporter.FILE, file_path=str(path)
        )
        first = tracing.start_span(TRACEPARENT, "place", {"tier": 1})
        second = tracing.start_span(first.traceparent, "dispatch")
        second.end(SpanStatus.ERROR, "stream broken")
        first.end()
        tracing.close()
        child, parent = [json.loads(line) for line in path.read_text().splitlines()]
        assert parent["parent_id"] == f"0x{SPAN_ID}"
        assert child["parent_id"] == parent["context"]["span_id"]
        assert child["context"]["trace_id"] == f"0x{TRACE_ID}"
        assert child["status"]["status_code"] == "ERROR"

    def test_context_is_propagated_without_exporter(self):
        """The caller's trace context is propagated unchanged without recording."""
        span = Tracing.from_config("agent", "agent-1").start_span(TRACEPARENT, "run")
        assert span.traceparent == TRACEPARENT

    @pytest.mark.parametrize(
        "traceparent",
        [None, "", "00-zz", f"00-{'0' * 32}-{SPAN_ID}-01", TRACEPARENT + "\n"],
    )
    def test_invalid_context_starts_a_new_trace(self, traceparent):
        """Without a valid parent each span starts a new trace."""
        tracing = Tracing.from_config("agent", "agent-1")
        first = tracing.start_span(traceparent, "run").traceparent
        second = tracing.start_span(traceparent, "run").traceparent
        assert first != second
        assert tracing.start_span(first, "run").traceparent == first

    def test_exporter_without_destination_is_rejected(self):
        """The file exporter without a path is a configuration error."""
        with pytest.raises(ConfigurationError):
            Tracing.from_config("agent", "agent-1", exporter=Exporter.FILE)
