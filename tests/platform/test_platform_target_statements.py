"""What targets state of themselves, as read from the heads of their answers."""

import pytest

from berylwalk.platform import parse_target_headers

DATE = "Thu, 03 Dec 2026 08:00:00 GMT"
DATE_S = 1796284800.0


def read(*headers, status=200):
    """Return what an answer with some headers states."""
    encoded = [(name.encode(), value.encode()) for name, value in headers]
    return parse_target_headers(status, encoded, wall_clock=lambda: DATE_S)


class TestLimit:
    """Requests a second."""

    def test_most_answers_state_nothing(self):
        """Also no problem."""
        statement = read(("Content-Type", "text/plain"))
        assert statement.is_plain
        assert statement.limit_is_readable

    @pytest.mark.parametrize(
        ("value", "limit_per_s"),
        [("1.3", 1.3), ("5", 5.0), ("0", 0.0), (" 2.50 ", 2.5), ("1e3", 1000.0)],
    )
    def test_number(self, value, limit_per_s):
        """A decimal number, whatever the case of the name."""
        assert read(("SERVER-LIMIT", value)).limit_per_s == limit_per_s

    @pytest.mark.parametrize(
        "value",
        ["", "nan", "inf", "-1", "1_0", "fast", "1" * 1000, "1e999", "0x10", "1 2"],
    )
    def test_no_number(self, value):
        """It is a finding, and the limit is unknown rather than gone."""
        statement = read(("Server-Limit", value))
        assert statement.limit_per_s is None
        assert not statement.limit_is_readable
        assert "server-limit" in statement.problem
        assert len(statement.problem) < 100

    def test_two_limits(self):
        """The lower one can't be too much, whether in one header or in two."""
        assert read(("Server-Limit", "3"), ("Server-Limit", "2")).limit_per_s == 2.0
        assert read(("Server-Limit", "2, 3")).limit_per_s == 2.0


class TestLeaving:
    """That it leaves."""

    @pytest.mark.parametrize(
        ("value", "is_leaving"), [("1", True), ("true", True), ("0", False)]
    )
    def test_value(self, value, is_leaving):
        """As the page words it, and as others would."""
        assert read(("Server-Leaving", value)).is_leaving is is_leaving


class TestRest:
    """For how long it wants nothing."""

    @pytest.mark.parametrize("status", [429, 503])
    def test_seconds(self, status):
        """With fractions."""
        assert read(("Retry-After", "2.5"), status=status).rest_s == 2.5

    def test_date(self):
        """Against the date of the answer, or else the time of day here."""
        later = "Thu, 03 Dec 2026 08:00:07 GMT"
        assert read(("Retry-After", later), status=503).rest_s == 7.0
        skewed = [("Date", "Thu, 03 Dec 2026 08:00:04 GMT"), ("Retry-After", later)]
        assert read(*skewed, status=503).rest_s == 3.0

    def test_other_statuses(self):
        """A success or a redirection asks for no rest."""
        assert read(("Retry-After", "3"), status=200).rest_s is None
        assert read(("Retry-After", "3"), status=302).rest_s is None

    def test_two_rests(self):
        """The longer one."""
        rests = [("Retry-After", "1"), ("Retry-After", "3")]
        assert read(*rests, status=503).rest_s == 3.0

    def test_no_time(self):
        """It is a finding."""
        statement = read(("Retry-After", "soon"), status=503)
        assert statement.rest_s is None
        assert "retry-after" in statement.problem
