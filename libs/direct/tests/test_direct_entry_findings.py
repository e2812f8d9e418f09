"""How often an item that can't be used is told."""

from types import SimpleNamespace

import pytest

from berylwalk.direct._invalid_items import MAX_BURST_LINES, InvalidItemLog
from berylwalk.direct._metrics import RouterMetrics


@pytest.fixture
def context():
    """Return a context with a time that the test sets, and its lines."""
    made = SimpleNamespace(now=100.0, lines=[], metrics=RouterMetrics())
    made.clock = lambda: made.now
    made.log = SimpleNamespace(
        process=lambda event, **fields: made.lines.append(fields["key"])
    )
    return made


@pytest.fixture
def findings(context):
    """Return findings of which none was told."""
    return InvalidItemLog(context, "target-invalid")


class TestTelling:
    """Lines and counts."""

    def test_is_told_once_and_counted_each_time(self, context, findings):
        """Until it was usable in between."""
        for _ in range(3):
            findings.report("a", "bad-id", "")
        assert context.lines == ["a"]
        findings.clear("a")
        findings.report("a", "bad-id", "")
        assert context.lines == ["a", "a"]
        counted = context.metrics.unusable_items.labels("target-invalid", "bad-id")
        assert counted._value.get() == 4

    def test_writer_that_goes_on_for_ever(self, context, findings):
        """Lines are bounded, also if each item is gone before the next."""
        for number in range(1000):
            findings.report(str(number), "bad-id", "")
            findings.keep_only(set())
        assert len(context.lines) == MAX_BURST_LINES
        context.now += 2.0
        for number in range(1000):
            findings.report(str(number), "bad-id", "")
        assert len(context.lines) == MAX_BURST_LINES + 2
