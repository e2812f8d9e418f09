"""Parsing of the flow control headers of targets."""

import pytest

from berylwalk.platform import parse_target_headers

DATE = "Thu, 03 Dec 2026 08:00:00 GMT"
DATE_S = 1796284800.0


def parse(*headers, status=200):
    """Parse the headers of a response."""
    encoded = [(name.encode(), value.encode()) for name, value in headers]
    return parse_target_headers(status, encoded, wall_clock=lambda: DATE_S)


class TestLimit:
    """Limit in requests per second."""

    def test_unrelated_headers(self):
        """A response without flow control headers has no signals and no problem."""
        signals = parse(("Content-Type", "text/plain"))
        assert signals.is_empty
        assert signals.limit_is_readable

    @pytest.mark.parametrize(
        ("value", "limit_per_s"),
        [("1.3", 1.3), ("5", 5.0), ("0", 0.0), (" 2.50 ", 2.5), ("1e3", 1000.0)],
    )
    def test_valid_limit(self, value, limit_per_s):
        """Header names are case-insensitive."""
        assert parse(("SERVER-LIMIT", value)).limit_per_s == limit_per_s

    @pytest.mark.parametrize(
        "value",
        ["", "nan", "inf", "-1", "1_0", "fast", "1" * 1000, "1e999", "0x10", "1 2"],
    )
    def test_malformed_limit(self, value):
        """A malformed limit must be reported, and must not count as no limit."""
        signals = parse(("Server-Limit", value))
        assert signals.limit_per_s is None
        assert not signals.limit_is_readable
        assert "server-limit" in signals.problem
        assert len(signals.problem) < 100

    def test_lowest_of_several_limits(self):
        """The lowest limit applies, in one header or in several."""
        assert parse(("Server-Limit", "3"), ("Server-Limit", "2")).limit_per_s == 2.0
        assert parse(("Server-Limit", "2, 3")).limit_per_s == 2.0


class TestLeaving:
    """Announcement that the target is leaving."""

    @pytest.mark.parametrize(
        ("value", "is_leaving"), [("1", True), ("true", True), ("0", False)]
    )
    def test_value(self, value, is_leaving):
        """Any value except an empty one, 0 and false counts."""
        assert parse(("Server-Leaving", value)).is_leaving is is_leaving


class TestRetryAfter:
    """Backoff that the target requests with ``Retry-After``."""

    @pytest.mark.parametrize("status", [429, 503])
    def test_seconds(self, status):
        """Fractional seconds must be kept."""
        assert parse(("Retry-After", "2.5"), status=status).retry_after_s == 2.5

    def test_date(self):
        """A date is relative to the ``Date`` header, so clock skew must not matter."""
        later = "Thu, 03 Dec 2026 08:00:07 GMT"
        assert parse(("Retry-After", later), status=503).retry_after_s == 7.0
        skewed = [("Date", "Thu, 03 Dec 2026 08:00:04 GMT"), ("Retry-After", later)]
        assert parse(*skewed, status=503).retry_after_s == 3.0

    def test_other_statuses(self):
        """``Retry-After`` of a success or a redirect must not cause a backoff."""
        assert parse(("Retry-After", "3"), status=200).retry_after_s is None
        assert parse(("Retry-After", "3"), status=302).retry_after_s is None

    def test_longest_of_several_delays(self):
        """The longest delay applies."""
        delays = [("Retry-After", "1"), ("Retry-After", "3")]
        assert parse(*delays, status=503).retry_after_s == 3.0

    def test_malformed_delay(self):
        """A malformed delay must be reported."""
        signals = parse(("Retry-After", "soon"), status=503)
        assert signals.retry_after_s is None
        assert "retry-after" in signals.problem
