"""What an attempt's end means: the one table of statuses and repeats."""

from dataclasses import dataclass
from enum import StrEnum

from berylwalk.dispatch._configuration import Route


class AttemptEnd(StrEnum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    """A whole answer, of the target's own status."""

    NOT_SENT = "not-sent"
    """No connection was made: the target has not seen the request."""

    REFUSED = "refused"
    """The target says that it did not run the request."""

    FAILED = "failed"
    """A whole answer with a server error: the request has run."""

    BROKEN = "broken"
    """The connection ended, or its bytes made no answer: it may have run."""

    SILENT = "silent"
    """The target sent nothing for too long: it may have run."""


class Executed(StrEnum):
    """Whether the request has run at a target."""

    NO = "no"
    MAYBE = "maybe"


EXECUTED_BY_END = {
    AttemptEnd.ANSWERED: Executed.MAYBE,
    AttemptEnd.NOT_SENT: Executed.NO,
    AttemptEnd.REFUSED: Executed.NO,
    AttemptEnd.FAILED: Executed.MAYBE,
    AttemptEnd.BROKEN: Executed.MAYBE,
    AttemptEnd.SILENT: Executed.MAYBE,
}

MAX_REFUSALS = 3
"""Targets that may refuse one request before it is given up."""


@dataclass(slots=True)
class Attempts:
    """What has become of one request so far.

    Attributes
    ----------
    sent : int
        Targets that have seen the request.
    may_have_run : int
        Targets at which it may have run.
    refused : int
        Targets that said that they didn't run it.
    unreached : int
        Targets to which no connection was made.
    """

    sent: int = 0
    may_have_run: int = 0
    refused: int = 0
    unreachable: int = 0

    def note(self, end: AttemptEnd) -> None:
        """Count the end of one attempt."""
        if end is AttemptEnd.NOT_SENT:
            self.unreachable += 1
            return
        self.sent += 1
        if end is AttemptEnd.REFUSED:
            self.refused += 1
        if EXECUTED_BY_END[end] is Executed.MAYBE:
            self.may_have_run += 1

    def may_retry(self, route: Route, end: AttemptEnd) -> bool:
        """Return whether another target may be tried after an end.

        A request that can't be repeated goes on only if it surely has not run.
        """
        if end is AttemptEnd.ANSWERED:
            return False
        if end is AttemptEnd.NOT_SENT:
            return self.unreachable <= MAX_REFUSALS
        if end is AttemptEnd.REFUSED:
            return self.refused <= MAX_REFUSALS and self._has_attempts(route)
        return route.repeatable and self._has_attempts(route)

    def final_status(self, end: AttemptEnd) -> int:
        """Return the status for a request that is given up after an end.

        503 promises that the request has not run and never will.
        """
        if self.may_have_run:
            return 504 if end is AttemptEnd.SILENT else 502
        return 503

    def _has_attempts(self, route: Route) -> bool:
        return self.may_have_run < route.max_attempts
