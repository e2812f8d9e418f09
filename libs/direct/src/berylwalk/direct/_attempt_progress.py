"""Progress of one attempt, compared with what its target does for other requests."""

from dataclasses import replace
from enum import StrEnum

from berylwalk.direct._admission import Admitted
from berylwalk.direct._attempt import Attempt
from berylwalk.dispatch import (
    AttemptEnd,
    FirstEventEstimate,
    SentRequest,
    Target,
    is_passed_over,
    is_stalled,
)


class GiveUpReason(StrEnum):
    """Why a running attempt is given up for another target; the detail in logs."""

    SILENT = "target silent"
    """The target sends nothing on any connection."""

    NOT_BEGUN = "not begun by the target"
    """The target has begun requests that were sent later."""

    STREAM_STALLED = "stream stalled"
    """The target sends to other requests, but not on this stream."""

    @property
    def attempt_end(self) -> AttemptEnd:
        """How the attempt ends."""
        is_silent = self is GiveUpReason.SILENT
        return AttemptEnd.SILENT if is_silent else AttemptEnd.STALLED


class AttemptProgress:
    """Compares one attempt with its forecast, and with the other requests.

    Parameters
    ----------
    admitted : Admitted
        The request.
    target : Target
        Target of the attempt.
    estimate : FirstEventEstimate
        Estimate of the time to the first event.
    now : float
        Current time in seconds.
    """

    def __init__(
        self,
        admitted: Admitted,
        target: Target,
        estimate: FirstEventEstimate,
        now: float,
    ) -> None:
        self._route = admitted.route
        self._target = target
        self._sent = SentRequest(
            route=admitted.route.name,
            work=admitted.parsed_headers.work,
            uncached_tokens=estimate.own_tokens,
            expected_s=estimate.total_s,
            is_stream=admitted.expects_stream,
            sent_at=now,
        )

    @property
    def sent_at(self) -> float:
        """When the request was sent, in seconds."""
        return self._sent.sent_at

    def note_sent(self, now: float) -> None:
        """Record that the target is connected and the request sent."""
        self._sent = replace(self._sent, sent_at=now)

    def note_first_event(self, attempt: Attempt, now: float) -> None:
        """Record the first event of the attempt."""
        if attempt.is_success:
            # An error response may precede the prefill.
            self._target.recent_starts.note(self._sent, now)

    def give_up_reason(
        self, attempt: Attempt, waited_s: float, now: float
    ) -> GiveUpReason | None:
        """Return why the request had better run at another target, or None.

        Parameters
        ----------
        attempt : Attempt
            The attempt, which is running.
        waited_s : float
            Time since it was sent, in seconds, without suspensions of this router.
        now : float
            Current time in seconds.
        """
        if attempt.first_event_at is not None:
            stalled = is_stalled(
                quiet_since=attempt.quiet_since,
                sending_since=self._target.sending_since,
                heard_at=self._target.last_heard_at,
                longest_pause_s=self._route.longest_pause_s,
            )
            return GiveUpReason.STREAM_STALLED if stalled else None
        if attempt.status and not attempt.is_stream:
            return None
        passed_over = is_passed_over(
            self._sent,
            self._target.recent_starts,
            waited_s=waited_s,
            objective_s=self._route.objective_s,
            now=now,
        )
        return GiveUpReason.NOT_BEGUN if passed_over else None
