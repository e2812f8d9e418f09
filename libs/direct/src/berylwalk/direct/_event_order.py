"""Decides which events of a response its caller gets, by their ids.

Load that it answers: streams that another target goes on with within one response.
It may begin again at the first event, or elsewhere than asked; the caller can't see a
gap, or events that come twice, within one response.

Ids of a stream increase, not necessarily by one. Where those of this response went on
by one, those of a continuation have to: then a gap shows. Of a stream that the caller
itself takes up, this response holds only a part; if its first event does not follow the
caller's last one by one, that is no gap that a router knows of.

An event without a number as its id has no place that can be checked: from a target that
may repeat it, it ends the attempt. An event whose id goes back is dropped and counted,
since the caller can't get it in order any more. A target that begins again and ends
before the caller's last event has not sent a whole stream, however it framed that.
"""

from berylwalk.forwarding import Event
from berylwalk.platform import NO_EVENT

FIRST_IDS = (0, 1)
"""Ids of the first event of a stream whose ids go on by one."""


class EventOrderError(Exception):
    """Events of a continuation that don't follow those that the caller has."""


class EventOrder:
    """Order of the events of one response, over several attempts.

    Parameters
    ----------
    last_event_id : int
        Id of the last event that the caller has received before, or `NO_EVENT`.

    Attributes
    ----------
    last_event_id : int
        Id of the last event that the caller has.
    repeated_events : int
        Events of this attempt that the caller had already.
    misplaced_events : int
        Events of this attempt that are not passed on, because their ids are not above
        those before in the same attempt.
    """

    def __init__(self, last_event_id: int) -> None:
        self.last_event_id = last_event_id
        self.repeated_events = 0
        self.misplaced_events = 0
        self._highest_id = NO_EVENT
        self._is_continuation = False
        self._has_ids = False
        self._steps_by_one: bool | None = None
        self._ends_without_id = False
        self._may_repeat = False

    @property
    def is_behind(self) -> bool:
        """Whether a target that began again has not reached the caller's last event."""
        return self.repeated_events > 0 and self._highest_id < self.last_event_id

    def begin_attempt(self, *, is_continuation: bool) -> None:
        """Begin the events of another target.

        Parameters
        ----------
        is_continuation : bool
            Whether the caller has got events in this response.
        """
        self.repeated_events = 0
        self.misplaced_events = 0
        self._highest_id = NO_EVENT
        self._is_continuation = is_continuation
        self._may_repeat = self._ends_without_id

    def is_next(self, event: Event) -> bool:
        """Take the next event of the attempt; returns whether to pass it on.

        Raises
        ------
        EventOrderError
            If it does not follow those that the caller has.
        """
        if event.event_id is None:
            self._check_without_id(event)
            return True
        if event.event_id <= self.last_event_id:
            self._drop(event.event_id)
            return False
        self._check_step(event.event_id)
        self._highest_id = self.last_event_id = event.event_id
        self._has_ids = True
        self._ends_without_id = self._may_repeat = False
        return True

    def _check_without_id(self, event: Event) -> None:
        """Check that an event without an id is none that the caller has."""
        if not event.has_data:
            return
        if self._is_continuation and self._may_repeat:
            raise EventOrderError("event without an id in a stream that begins again")
        self._ends_without_id = True

    def _check_step(self, event_id: int) -> None:
        """Check that ids go on by one where those before did."""
        is_by_one = event_id == self.last_event_id + 1 or self._is_first(event_id)
        if self._is_continuation and self._steps_by_one and not is_by_one:
            raise EventOrderError(
                f"event ids don't continue: got {event_id} after {self.last_event_id}"
            )
        if not is_by_one and self._has_ids:
            self._steps_by_one = False
        elif is_by_one and self._steps_by_one is None:
            self._steps_by_one = True

    def _is_first(self, event_id: int) -> bool:
        """Return whether it is the id of the first event of a stream."""
        return self.last_event_id == NO_EVENT and event_id in FIRST_IDS

    def _drop(self, event_id: int) -> None:
        """Count an event that is not passed on."""
        if event_id > self._highest_id:
            self._highest_id = event_id
            self.repeated_events += 1
        else:
            self.misplaced_events += 1
        self._may_repeat = True
