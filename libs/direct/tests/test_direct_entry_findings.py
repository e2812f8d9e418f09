"""Rate limit of the log of invalid items."""

from types import SimpleNamespace

import pytest

from berylwalk.direct._invalid_items import MAX_BURST_LINES, InvalidItemLog
from berylwalk.direct._metrics import RouterMetrics


@pytest.fixture
def context():
    """Return a context with a controllable clock that records the logged keys."""
    made = SimpleNamespace(now=100.0, lines=[], metrics=RouterMetrics())
    made.clock = lambda: made.now
    made.log = SimpleNamespace(
        process=lambda event, **fields: made.lines.append(fields["key"])
    )
    return made


@pytest.fixture
def invalid_items(context):
    """Return a log without reported items."""
    return InvalidItemLog(context, "target-invalid")


class TestReporting:
    """Logged lines and counted occurrences."""

    def test_item_is_logged_once_and_counted_each_time(self, context, invalid_items):
        """An item is logged again only after it was valid in between."""
        for _ in range(3):
            invalid_items.report("a", "bad-id", "")
        assert context.lines == ["a"]
        invalid_items.clear("a")
        invalid_items.report("a", "bad-id", "")
        assert context.lines == ["a", "a"]
        counted = context.metrics.unusable_items.labels("target-invalid", "bad-id")
        assert counted._value.get() == 4

    def test_rate_of_new_items_is_limited(self, context, invalid_items):
        """The rate limit holds even if items are deleted in between."""
        for number in range(1000):
            invalid_items.report(str(number), "bad-id", "")
            invalid_items.keep_only(set())
        assert len(context.lines) == MAX_BURST_LINES
        context.now += 2.0
        for number in range(1000):
            invalid_items.report(str(number), "bad-id", "")
        assert len(context.lines) == MAX_BURST_LINES + 2
