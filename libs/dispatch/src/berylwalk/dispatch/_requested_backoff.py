"""The rest that a target asks one router for as it turns a request away.

Load pattern: a target that turns all requests away at once looks like one with all
places free, and draws more requests than while it served. After its rest it gets one,
and twice as many with each that it takes: what waited for it must not all come at once.
"""

RETRIAL_S = 0.5
"""Time after which a target that has rested is sent one more request though it has not
taken the last one: that may have been lost on its way."""

SAME_REST_S = 0.1
"""Difference up to which two ends of a rest are taken for one, where it is told."""


class RequestedBackoff:
    """For how long a target wants nothing of this router.

    Attributes
    ----------
    until : float
        No request is sent before, in seconds.
    sends_left : int or None
        Requests that may be sent since its rest before it takes one; None for no bound.
    """

    def __init__(self) -> None:
        self.until = float("-inf")
        self.sends_left: int | None = None
        self._sent_at = float("-inf")

    def note_requested(self, duration_s: float, now: float) -> bool:
        """Take a rest that is asked for; returns whether that is news.

        A shorter one that is asked for later takes nothing back. Several requests that
        are refused at once tell the same.
        """
        until = now + duration_s
        is_news = until > self.until + SAME_REST_S
        self.until = max(self.until, until)
        if duration_s > 0:
            self.sends_left = 1
            self._sent_at = float("-inf")
        return is_news

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        if self.sends_left is not None:
            self.sends_left = max(0, self.sends_left - 1)
            self._sent_at = now

    def note_not_sent(self) -> None:
        """Take back a request that was counted and won't be sent."""
        if self.sends_left is not None:
            self.sends_left += 1

    def note_accepted(self, slots: int, *, sent_at: float) -> None:
        """Note that the target took a request.

        Parameters
        ----------
        slots : int
            Requests that it works on at the same time.
        sent_at : float
            When the request was sent: one that it had before its rest says nothing.
        """
        if self.sends_left is None or sent_at < self.until:
            return
        self.sends_left += 2
        if self.sends_left >= slots:
            self.sends_left = None

    def is_on(self, now: float) -> bool:
        """Return whether it wants nothing."""
        return now < self.until

    def may_send(self, now: float) -> bool:
        """Return whether one more may be sent after its rest."""
        is_unbounded = self.sends_left is None or self.sends_left > 0
        return is_unbounded or now - self._sent_at >= RETRIAL_S
