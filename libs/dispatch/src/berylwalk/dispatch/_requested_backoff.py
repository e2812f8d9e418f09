"""Backoff that a target requests from one router, and the slow start after it.

A target that refuses all requests looks idle and would attract more. After the backoff
it gets one request, and each accepted request allows two more.
"""

RETRY_PROBE_S = 0.5
"""Time after which another request is sent during slow start if the last one was not
accepted, in seconds."""

SAME_BACKOFF_S = 0.1
"""Maximum difference between two end times that count as the same backoff, in seconds.
"""


class RequestedBackoff:
    """Backoff and slow start of one target.

    Attributes
    ----------
    until : float
        End of the backoff, in seconds.
    sends_left : int or None
        Requests that may be sent during slow start before one is accepted; None
        outside slow start.
    """

    def __init__(self) -> None:
        self.until = float("-inf")
        self.sends_left: int | None = None
        self._sent_at = float("-inf")
        self._requested_at = float("-inf")

    def note_requested(self, duration_s: float, now: float) -> bool:
        """Apply a requested backoff; returns whether the end has moved.

        A shorter backoff does not replace a longer one. Requests refused at the same
        time report the same backoff.
        """
        until = now + duration_s
        is_extended = until > self.until + SAME_BACKOFF_S
        self.until = max(self.until, until)
        if duration_s > 0:
            self.sends_left = 1
            self._sent_at = float("-inf")
            self._requested_at = now
        return is_extended

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        if self.sends_left is not None:
            self.sends_left = max(0, self.sends_left - 1)
            self._sent_at = now

    def note_not_sent(self, *, sent_at: float) -> None:
        """Undo the count of a request that was counted at a time, in seconds."""
        if self.sends_left is not None and sent_at > self._requested_at:
            self.sends_left += 1

    def note_accepted(self, slots: int, *, sent_at: float) -> None:
        """Record that the target accepted a request.

        Parameters
        ----------
        slots : int
            Number of slots of the target.
        sent_at : float
            When the request was sent, in seconds. Requests sent before the end of the
            backoff are ignored.
        """
        if self.sends_left is None or sent_at < self.until:
            return
        self.sends_left += 2
        if self.sends_left >= slots:
            self.sends_left = None

    def is_on(self, now: float) -> bool:
        """Return whether the backoff is in effect."""
        return now < self.until

    def may_send(self, now: float) -> bool:
        """Return whether slow start allows another request."""
        is_unbounded = self.sends_left is None or self.sends_left > 0
        return is_unbounded or now - self._sent_at >= RETRY_PROBE_S
