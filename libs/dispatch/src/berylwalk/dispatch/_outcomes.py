"""Outcomes of attempts, and whether a request may be retried."""

from dataclasses import dataclass
from enum import StrEnum

from berylwalk.dispatch._configuration import Route


class AttemptEnd(StrEnum):
    """Outcome of one attempt at a target."""

    ANSWERED = "answered"
    """Complete response with a status other than a server error."""

    NOT_SENT = "not-sent"
    """Connection failed; the target has not received the request."""

    REFUSED = "refused"
    """The target states that it did not execute the request."""

    FAILED = "failed"
    """Complete response with a server error; the request was executed."""

    BROKEN = "broken"
    """Connection closed or invalid response; the request may have been executed."""

    SILENT = "silent"
    """Timeout without a byte; the request may have been executed."""

    STALLED = "stalled"
    """The target serves other requests only; this one may have been executed."""


class Executed(StrEnum):
    """Whether the request was executed at a target."""

    NO = "no"
    MAYBE = "maybe"


EXECUTED_BY_END = {
    AttemptEnd.ANSWERED: Executed.MAYBE,
    AttemptEnd.NOT_SENT: Executed.NO,
    AttemptEnd.REFUSED: Executed.NO,
    AttemptEnd.FAILED: Executed.MAYBE,
    AttemptEnd.BROKEN: Executed.MAYBE,
    AttemptEnd.SILENT: Executed.MAYBE,
    AttemptEnd.STALLED: Executed.MAYBE,
}

MAX_REFUSALS = 3
"""Maximum number of targets that may refuse one request before it fails."""


@dataclass(slots=True)
class Attempts:
    """Attempts of one request so far.

    Attributes
    ----------
    sent : int
        Targets that received the request.
    may_have_run : int
        Targets that may have executed it.
    refused : int
        Targets that refused it.
    unreachable : int
        Targets to which no connection was made.
    """

    sent: int = 0
    may_have_run: int = 0
    refused: int = 0
    unreachable: int = 0

    def note(self, end: AttemptEnd) -> None:
        """Count the outcome of one attempt."""
        if end is AttemptEnd.NOT_SENT:
            self.unreachable += 1
            return
        self.sent += 1
        if end is AttemptEnd.REFUSED:
            self.refused += 1
        if EXECUTED_BY_END[end] is Executed.MAYBE:
            self.may_have_run += 1

    def may_retry(self, route: Route, end: AttemptEnd) -> bool:
        """Return whether another target may be tried after an outcome.

        A request that is not repeatable is retried only if it was certainly not
        executed.
        """
        if end is AttemptEnd.ANSWERED:
            return False
        if end is AttemptEnd.NOT_SENT:
            return self.unreachable <= MAX_REFUSALS
        if end is AttemptEnd.REFUSED:
            return self.refused <= MAX_REFUSALS and self._has_attempts(route)
        return route.repeatable and self._has_attempts(route)

    def may_hand_over(self, route: Route) -> bool:
        """Return whether another target may take over from the running attempt.

        The running attempt, which is not counted yet, may have executed the request.
        """
        return route.repeatable and self.may_have_run + 1 < route.max_attempts

    def final_status(self, end: AttemptEnd) -> int:
        """Return the status of a request that failed with an outcome.

        503 guarantees that the request was not executed.
        """
        if self.may_have_run:
            is_timeout = end in (AttemptEnd.SILENT, AttemptEnd.STALLED)
            return 504 if is_timeout else 502
        return 503

    def _has_attempts(self, route: Route) -> bool:
        return self.may_have_run < route.max_attempts
