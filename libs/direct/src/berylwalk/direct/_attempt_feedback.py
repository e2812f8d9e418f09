"""What one send teaches of its target, and of the request."""

from berylwalk.direct._admission import Admitted
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._context import RouterContext
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.dispatch import AttemptEnd, Target, TargetState

FULL_BACKOFF_S = 0.1
"""Time for which a target that refused work gets none."""

STATUS_TOO_MANY_REQUESTS = 429
"""Status by which a target says that this caller asks too much."""
STATUS_MISDIRECTED_REQUEST = 421
"""Status by which a target says that it is not the life that is meant."""


class AttemptFeedback:
    """Learns from one send; made when it begins.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    admitted : Admitted
        The request.
    log : ExchangeLog
        Tells of it.
    """

    def __init__(
        self, context: RouterContext, admitted: Admitted, log: ExchangeLog
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._log = log
        self._started_at = context.clock()
        self._suspended_before_s = context.suspension.total_s

    def record_alive(self, target: Target) -> None:
        """Note that the target has answered: it had not ended when this began."""
        context = self._context
        incarnation_id = target.entry.incarnation_id
        context.quarantine.record_alive(
            incarnation_id, self._started_at, context.clock()
        )

    def elapsed_s(self, since: float) -> float:
        """Return the time since a moment, in seconds; not that of a suspension."""
        self._context.note_suspension()
        suspended_s = self._context.suspension.total_s - self._suspended_before_s
        return max(0.0, self._context.clock() - since - suspended_s)

    def record(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        """Learn from the end of the send.

        Parameters
        ----------
        target : Target
            Where it was sent.
        attempt : Attempt
            What came of it.
        sent_at : float
            When it was sent, on the clock of the loop.
        """
        self._record_in_quarantine(target, attempt)
        now = self._context.clock()
        if attempt.target_unreachable:
            target.note_unreachable(now)
        match attempt.end:
            case AttemptEnd.ANSWERED:
                target.note_success()
                self._record_timing(target, attempt, sent_at)
            case AttemptEnd.BROKEN:
                target.note_error()
                if attempt.status == 0:
                    target.note_unreachable(now)
            case AttemptEnd.FAILED:
                target.note_error()
            case AttemptEnd.REFUSED if attempt.status == STATUS_MISDIRECTED_REQUEST:
                target.note_replaced()
            case AttemptEnd.REFUSED:
                target.note_refused(now, FULL_BACKOFF_S)

    def _record_in_quarantine(self, target: Target, attempt: Attempt) -> None:
        """Note whether the target ended under the request, or outlived it."""
        quarantine, now = self._context.quarantine, self._context.clock()
        identity = self._admitted.identity
        if attempt.target_ended and self._was_active(target):
            if quarantine.record_crash(identity, target.entry.incarnation_id, now):
                self._log.log_target_ended(self._admitted, target)
        elif attempt.end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            self.record_alive(target)
            if quarantine.record_success(identity, now):
                self._log.log_cleared(self._admitted, target)

    def _was_active(self, target: Target) -> bool:
        """Return whether a target has not said that it leaves, nor has left.

        One that leaves ends by itself while it still has requests. One that is listed
        with a later life has ended without a word.
        """
        is_listed = target.entry.target_id in self._context.targets.by_id
        return is_listed and target.entry.state is TargetState.READY

    def _record_timing(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        if not attempt.is_stream:
            attempt.record_buffered_answer()
            target.note_slot_time(self.elapsed_s(sent_at))
            return
        started_at = attempt.first_event_at
        if started_at is None:
            return
        target.note_slot_time(self.elapsed_s(started_at))
        longest_s = self._admitted.route.longest_pause_s
        target.note_paused(attempt.longest_pause_s > longest_s > 0)
