"""Format of the log lines."""

import io
import json
import logging as standard_logging

import pytest
from absl import logging

from berylwalk.telemetry import Level, configure_logging, log_event


@pytest.fixture
def output():
    """Buffer that receives the output of the configured logging."""
    handler = logging.get_absl_handler()
    python_handler = handler.python_handler
    previous_stream = python_handler.stream
    buffer = io.StringIO()
    configure_logging("router-1", Level.INFO)
    python_handler.setStream(buffer)
    yield buffer
    python_handler.setStream(previous_stream)


def lines_without_time(buffer):
    """Parse log lines, and check and remove their time."""
    lines = [json.loads(line) for line in buffer.getvalue().splitlines()]
    for line in lines:
        assert line.pop("time").endswith("Z")
    return lines


class TestLogEvent:
    def test_line_shape(self, output, snapshot):
        """Fields keep their JSON types; values of other types become strings."""
        log_event(
            Level.INFO,
            "request-refused",
            request_id="r-1",
            tier=2,
            wait_s=0.25,
            cause=ValueError("no %s slot"),
        )
        assert lines_without_time(output) == snapshot

    def test_below_level_is_not_written(self, output):
        """A debug event is not written at level info."""
        log_event(Level.DEBUG, "detail")
        assert output.getvalue() == ""

    def test_library_logs_are_json_on_one_line(self, output):
        """An exception logged by a library is written as one JSON line."""
        try:
            raise ValueError("a\nb")
        except ValueError:
            standard_logging.getLogger("uvicorn.error").exception("failed")
        (line,) = lines_without_time(output)
        assert line["message"] == "failed"
        assert "ValueError" in line["exception"]

    def test_fields_cannot_replace_the_standard_ones(self, output):
        """A field with the name of a standard field does not override it."""
        log_event(Level.INFO, "event", node="other", message="other")
        (line,) = lines_without_time(output)
        assert (line["node"], line["message"]) == ("router-1", "event")

    def test_non_propagating_library_logger_is_restored(self, output):
        """A library logger with propagation off is written by the JSON handler."""
        logger = standard_logging.getLogger("uvicorn.error")
        logger.propagate = False
        configure_logging("router-1")
        logger.error("failed")
        (line,) = lines_without_time(output)
        assert line["message"] == "failed"
