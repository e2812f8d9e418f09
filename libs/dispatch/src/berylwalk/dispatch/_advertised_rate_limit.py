"""Rate limit that a target advertises for all routers, and the local share.

Each router enforces its share with a token bucket, so the sum holds without messages
between routers. Targets with a low rate are assigned to few routers: equal shares of
all routers would allow a burst as large as the fleet.
"""

MIN_RATE_PER_S = 0.25
"""Minimum rate at which a target is sent requests, per second. Only its responses can
raise the limit."""
MIN_SENDERS = 2
"""Minimum number of routers that send to a target; a single one may have no requests
for it."""
MAX_BURST = 1.5
"""Capacity of the token bucket, in requests. With a larger one, the sum over all
routers would burst after an idle second."""
BURST_S = 0.1
"""Capacity of the token bucket at high rates, in seconds of the rate: queues are
dispatched some ten times a second."""
PEER_AGE_MARGIN_S = 0.5
"""Minimum age difference for one observation to count as newer than another router's,
in seconds; covers message delays."""
UPDATE_TTL_S = 20.0
"""Time for which own observations are sent to peers, in seconds."""


def max_senders(per_s: float) -> int:
    """Return how many routers may send to a target with a rate limit."""
    return MIN_SENDERS + int(per_s)


class AdvertisedRateLimit:
    """Rate limit of a target, and the token bucket for the local share.

    Attributes
    ----------
    per_s : float or None
        Requests per second over all routers; None without a limit.
    observed_at : float
        Time of the newest observation, in seconds: the arrival of a response with a
        limit, or the sending of a request whose response has none.
    observed : (float or None, float) or None
        Last own observation, and its time; None without any.
    share : float
        This router's share of the rate, in [0, 1].
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.observed_at = float("-inf")
        self.observed: tuple[float | None, float] | None = None
        self.share = 0.0
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._limited_since = float("-inf")

    def note_answer(self, per_s: float | None, *, sent_at: float, now: float) -> bool:
        """Apply the limit in a response; returns whether the limit has changed.

        A response to a request sent before the last observation may lower the limit,
        but neither raise nor remove it.

        Parameters
        ----------
        per_s : float or None
            Advertised limit; None if the response has none.
        sent_at, now : float
            When the request was sent and the response head arrived, in seconds.
        """
        previous = self.per_s
        is_newer = sent_at > self.observed_at
        if per_s is None:
            if previous is None and self.observed is None:
                return False
            if not is_newer:
                return False
            self._set_limit(None, now)
            self.observed_at = sent_at
        else:
            if not is_newer and previous is not None and per_s > previous:
                # Neither the limit nor its time changes: a later time would block
                # raises if responses take longer than the interval between them.
                return False
            self._set_limit(per_s, now)
            self.observed_at = max(self.observed_at, now)
        self.observed = (self.per_s, self.observed_at)
        return self.per_s != previous

    def apply_update(self, per_s: float | None, observed_at: float, now: float) -> bool:
        """Apply a peer's observation; returns whether the limit has changed.

        An observation of about the same age may only lower the limit.
        """
        if observed_at < self.observed_at - PEER_AGE_MARGIN_S:
            return False
        previous = self.per_s
        is_newer = observed_at > self.observed_at + PEER_AGE_MARGIN_S
        is_lower = per_s is not None and (previous is None or per_s < previous)
        if not is_newer and not is_lower:
            return False
        self._set_limit(per_s, now)
        self.observed_at = max(self.observed_at, observed_at)
        return self.per_s != previous

    def pending_update(self, now: float) -> tuple[float | None, float] | None:
        """Return the last own observation and its age while it is sent to peers."""
        if self.observed is None:
            return None
        per_s, observed_at = self.observed
        age_s = max(0.0, now - observed_at)
        return (per_s, age_s) if age_s <= UPDATE_TTL_S else None

    def set_share(self, share: float, now: float) -> None:
        """Set this router's share of the rate, in [0, 1]."""
        if share != self.share:
            self._refill(now)
            if not self.share or not share:
                # Senders that come and go in turn must not spend a full bucket each.
                self._tokens = min(0.0, self._tokens)
            self.share = share

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if self.per_s is None:
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def available_at(self, now: float) -> float:
        """Return when a request may be sent, in seconds; infinite without a share."""
        if self.may_send(now):
            return now
        rate = self._local_rate()
        return now + (1.0 - self._tokens) / rate if rate > 0 else float("inf")

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        if self.per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def note_not_sent(self, now: float, *, sent_at: float) -> None:
        """Return the token of a request that was counted at a time, in seconds."""
        if self.per_s is not None and sent_at > self._limited_since:
            self._refill(now)
            self._tokens = min(self._max_tokens(), self._tokens + 1.0)

    def _max_tokens(self) -> float:
        return max(MAX_BURST, BURST_S * self._local_rate())

    def _local_rate(self) -> float:
        return (
            0.0 if self.per_s is None else self.share * max(self.per_s, MIN_RATE_PER_S)
        )

    def _set_limit(self, per_s: float | None, now: float) -> None:
        if self.per_s is None:
            # The requests of other routers are unknown, so start with an empty bucket.
            self._tokens = 0.0
            self._refilled_at = self._limited_since = now
        else:
            self._refill(now)
        self.per_s = per_s

    def _refill(self, now: float) -> None:
        rate = self._local_rate()
        added = rate * max(0.0, now - self._refilled_at)
        self._tokens = min(self._max_tokens(), self._tokens + added)
        self._refilled_at = now
