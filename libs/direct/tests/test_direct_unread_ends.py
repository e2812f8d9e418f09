"""An end of a response is put down to a pause in reading only if the pause was long."""

import pytest

from berylwalk.direct._attempt import UNREAD_END_S, UNREAD_PAUSE_S, Attempt
from berylwalk.forwarding import ResponseEnd

SHORT_S = UNREAD_PAUSE_S / 2


class Reading:
    """An attempt whose caller stops reading at times."""

    def __init__(self):
        self.now = 0.0
        self.attempt = Attempt(
            None,
            request_id=b"a",
            expects_stream=True,
            clock=lambda: self.now,
            on_first_event=lambda: None,
            on_begun=lambda: None,
            on_output=lambda events, elapsed_s: None,
            on_signals=lambda signals, status: None,
        )

    def pause(self, seconds):
        """Do not read for some seconds."""
        self.attempt.set_paused(True)
        self.now += seconds
        self.attempt.set_paused(False)

    def read(self, seconds):
        """Read for some seconds."""
        self.now += seconds

    def counts_as_unread(self):
        """End the response; return whether that is put down to a pause."""
        self.attempt.on_end(ResponseEnd.CLOSED, "")
        return self.attempt.ended_unread


@pytest.fixture
def reading():
    return Reading()


class TestEnds:
    def test_end_after_a_short_pause_counts_as_unread(self, reading):
        """A target that crashes beside it would not be noticed."""
        reading.pause(SHORT_S)
        assert not reading.counts_as_unread()

    def test_end_after_a_long_pause_accuses_the_request(self, reading):
        reading.pause(UNREAD_PAUSE_S)
        assert reading.counts_as_unread()

    def test_end_in_a_long_pause_accuses_the_request(self, reading):
        reading.attempt.set_paused(True)
        reading.read(UNREAD_PAUSE_S)
        assert reading.counts_as_unread()

    def test_end_behind_much_unread_data_accuses_the_request(self, reading):
        """Short pauses follow the long one, until all is read."""
        reading.pause(UNREAD_PAUSE_S)
        for _ in range(10):
            reading.read(UNREAD_END_S / 2)
            reading.pause(SHORT_S)
        assert reading.counts_as_unread()

    def test_end_long_after_a_pause_counts_as_unread(self, reading):
        reading.pause(UNREAD_PAUSE_S)
        reading.read(2 * UNREAD_END_S)
        reading.pause(SHORT_S)
        assert not reading.counts_as_unread()
