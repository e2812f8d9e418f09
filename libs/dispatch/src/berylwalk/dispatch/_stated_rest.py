"""The rest that a target asks one router for as it turns a request away.

Load pattern: a target that turns all requests away at once looks like one with all
places free, and draws more requests than while it served. After its rest it gets one,
and twice as many with each that it takes: what waited for it must not all come at once.
"""


class StatedRest:
    """For how long a target wants nothing of this router.

    Attributes
    ----------
    until : float
        No request is sent before, in seconds.
    places : int or None
        Own requests that may be at the target since its rest; None for no bound.
    """

    def __init__(self) -> None:
        self.until = float("-inf")
        self.places: int | None = None

    def note_asked(self, rest_s: float, now: float) -> bool:
        """Take a rest that is asked for; returns whether it ends later than known.

        A shorter one that is asked for later takes nothing back.
        """
        until = now + rest_s
        is_longer = until > self.until
        if is_longer:
            self.until = until
        if rest_s > 0:
            self.places = 1
        return is_longer

    def note_taken(self, slots: int) -> None:
        """Note that the target took a request."""
        if self.places is not None:
            self.places *= 2
            if self.places >= slots:
                self.places = None

    def is_on(self, now: float) -> bool:
        """Return whether it wants nothing."""
        return now < self.until

    def has_place(self, in_flight: int) -> bool:
        """Return whether one more of the own requests may be at the target."""
        return self.places is None or in_flight < self.places
