"""What a router that was asked to stop still begins."""

import pytest

from berylwalk.dispatch import GracefulStop

FAR = 100.0
"""Deadline after the end of the process, in seconds."""


@pytest.fixture
def stop():
    """Return a stop that was requested at 10 s, with a grace of 8 s."""
    return GracefulStop.from_grace(10.0, 8.0)


class TestRequestsThatMayBegin:
    """Those that can end before the process does."""

    @pytest.mark.parametrize(("now", "may_begin"), [(12.9, True), (13.0, False)])
    def test_long_time_limit_only_within_the_time_for_new_requests(
        self, stop, now, may_begin
    ):
        assert stop.may_begin(FAR, now) is may_begin

    @pytest.mark.parametrize(("run_s", "may_begin"), [(5.4, True), (5.6, False)])
    def test_long_time_limit_only_if_there_is_time_to_run(self, stop, run_s, may_begin):
        assert stop.may_begin(FAR, 12.0, run_s=run_s) is may_begin

    @pytest.mark.parametrize(("deadline", "may_begin"), [(17.4, True), (17.6, False)])
    def test_short_time_limit_at_any_time(self, stop, deadline, may_begin):
        assert stop.may_begin(deadline, 17.0, run_s=FAR) is may_begin


class TestTimes:
    """The steps of a stop."""

    @pytest.mark.parametrize(("grace_s", "accept_until"), [(8.0, 13.0), (1.0, 10.5)])
    def test_new_requests_are_accepted_for_3_s_or_until_the_exit(
        self, grace_s, accept_until
    ):
        stop = GracefulStop.from_grace(10.0, grace_s)
        assert stop.accept_until == pytest.approx(accept_until)

    def test_unsent_bytes_are_dropped_before_the_kill(self, stop):
        assert stop.exit_at < stop.flushed_by < 18.0
