"""A rate that a target names for all routers together, and one router's part of it.

Load pattern: a target in need names a few requests a second, and many routers have
callers for it. Each of them at the whole rate sends it many times what it takes; each
at an equal part of a small rate lets a burst through that is as large as the fleet. So
few routers send to a target with a small rate, each a part, and no message between
routers has to arrive for the sum to hold.

Parts of a limit for each of several senders are known from leases of capacity (Doorman)
and from distributed rate limits; the part itself is a token bucket.
"""

LEAST_PER_S = 0.25
"""Rate at which a target is asked again that names none or next to none, in requests
a second: only by its answers can it say that it takes more."""
FEWEST_SENDERS = 2
"""Routers that send to a target with next to no rate: one may have no callers."""
MOST_SAVED = 1.5
"""Requests that a router may have saved up. More would let the sum over the routers
burst after a calm second."""
SAVED_S = 0.1
"""The same in seconds of a high rate: lines are looked at some ten times a second."""
HEARSAY_MARGIN_S = 0.5
"""How much later another router's observation has to be to count as the newer one: ages
are told with the time that a message takes, through relays too."""
UPDATE_TTL_S = 20.0
"""Time for which an own observation is told: some requests at the least rate."""


def max_senders(per_s: float) -> int:
    """Return how many routers send to a target that names a limit.

    So few that one request of each besides the rate stays small against it.
    """
    return FEWEST_SENDERS + int(per_s)


class AdvertisedRateLimit:
    """What is believed of a target's limit, and how much of it is left here.

    Attributes
    ----------
    per_s : float or None
        Requests a second of all routers together; None without a limit.
    said_at : float
        When the newest answer said so, in seconds: one with a limit when it came, one
        without when its request was sent.
    observed : (float or None, float) or None
        What own answers said last, and when; None if they never named a limit.
    share : float
        This router's part of the rate.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.said_at = float("-inf")
        self.observed: tuple[float | None, float] | None = None
        self.share = 0.0
        self._saved = 0.0
        self._saved_at = 0.0

    def note_answer(self, per_s: float | None, *, sent_at: float, now: float) -> bool:
        """Take what an answer names; returns whether the belief has changed.

        Answers overtake each other. One whose request was on its way when the limit was
        last named may lower it, but neither raise nor end it.

        Parameters
        ----------
        per_s : float or None
            The limit, or None if the answer names none.
        sent_at, now : float
            When its request was sent and its head came, in seconds.
        """
        former = self.per_s
        is_newer = sent_at > self.said_at
        if per_s is None:
            if former is None and self.observed is None:
                return False
            if not is_newer:
                return False
            self._believe(None, now)
            self.said_at = sent_at
        else:
            if not is_newer and former is not None and per_s > former:
                # No word for the lower one either: it would never be raised where
                # answers take longer than the time between two of them.
                return False
            self._believe(per_s, now)
            self.said_at = max(self.said_at, now)
        self.observed = (self.per_s, self.said_at)
        return self.per_s != former

    def apply_update(self, per_s: float | None, said_at: float, now: float) -> bool:
        """Take what another router observed; returns whether the belief has changed.

        What is about as old as the own belief may only lower it.
        """
        if said_at < self.said_at - HEARSAY_MARGIN_S:
            return False
        former = self.per_s
        is_newer = said_at > self.said_at + HEARSAY_MARGIN_S
        is_lower = per_s is not None and (former is None or per_s < former)
        if not is_newer and not is_lower:
            return False
        self._believe(per_s, now)
        self.said_at = max(self.said_at, said_at)
        return self.per_s != former

    def pending_update(self, now: float) -> tuple[float | None, float] | None:
        """Return what own answers said last and how long ago, while it is news."""
        if self.observed is None:
            return None
        per_s, said_at = self.observed
        age_s = max(0.0, now - said_at)
        return (per_s, age_s) if age_s <= UPDATE_TTL_S else None

    def set_share(self, share: float, now: float) -> None:
        """Tell this router's part of the rate, from 0 to 1."""
        if share != self.share:
            self._save(now)
            self.share = share

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if self.per_s is None:
            return True
        self._save(now)
        return self._saved >= 1.0

    def available_at(self, now: float) -> float:
        """Return when a request may be sent, in seconds; infinite if others send."""
        if self.may_send(now):
            return now
        rate = self._own_per_s()
        return now + (1.0 - self._saved) / rate if rate > 0 else float("inf")

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        if self.per_s is not None:
            self._save(now)
            self._saved -= 1.0

    def note_not_sent(self, now: float) -> None:
        """Take back a request that was counted and won't be sent."""
        if self.per_s is not None:
            self._save(now)
            self._saved = min(self._most_saved(), self._saved + 1.0)

    def _most_saved(self) -> float:
        return max(MOST_SAVED, SAVED_S * self._own_per_s())

    def _own_per_s(self) -> float:
        return 0.0 if self.per_s is None else self.share * max(self.per_s, LEAST_PER_S)

    def _believe(self, per_s: float | None, now: float) -> None:
        if self.per_s is None:
            # Nobody knows what the others have sent: nothing is saved up yet.
            self._saved = 0.0
            self._saved_at = now
        else:
            self._save(now)
        self.per_s = per_s

    def _save(self, now: float) -> None:
        rate = self._own_per_s()
        earned = rate * max(0.0, now - self._saved_at)
        self._saved = min(self._most_saved(), self._saved + earned)
        self._saved_at = now
