"""What one send teaches of its target, and of the request."""

from berylwalk.direct._admission import Admitted
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._context import RouterContext
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.dispatch import AttemptEnd, Target, TargetState

FULL_PAUSE_S = 0.1
"""Time for which a target that refused work gets none."""

TURNED_AWAY = 429
"""Status by which a target says that this caller asks too much."""
MISDIRECTED = 421
"""Status by which a target says that it is not the life that is meant."""


class Lesson:
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
        self._began_at = context.clock()
        self._suspended_before_s = context.suspension.total_s

    def note_alive(self, target: Target) -> None:
        """Note that the target has answered: it had not ended when this began."""
        context = self._context
        incarnation_id = target.entry.incarnation_id
        context.quarantine.note_alive(incarnation_id, self._began_at, context.clock())

    def taken_s(self, since: float) -> float:
        """Return the time since a moment, in seconds; not that of a suspension."""
        self._context.note_suspension()
        suspended_s = self._context.suspension.total_s - self._suspended_before_s
        return max(0.0, self._context.clock() - since - suspended_s)

    def take(self, target: Target, attempt: Attempt, sent_at: float) -> None:
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
        self._learn_of_ends(target, attempt)
        now = self._context.clock()
        if attempt.by_target:
            target.note_unreachable(now)
        match attempt.end:
            case AttemptEnd.ANSWERED:
                target.note_success()
                self._learn_speed(target, attempt, sent_at)
            case AttemptEnd.BROKEN:
                target.note_error()
                if attempt.status == 0:
                    target.note_unreachable(now)
            case AttemptEnd.FAILED:
                target.note_error()
            case AttemptEnd.REFUSED if attempt.status == MISDIRECTED:
                target.note_replaced()
            case AttemptEnd.REFUSED:
                target.note_refused(now, FULL_PAUSE_S)

    def _learn_of_ends(self, target: Target, attempt: Attempt) -> None:
        """Note whether the target ended under the request, or outlived it."""
        quarantine, now = self._context.quarantine, self._context.clock()
        identity = self._admitted.identity
        if attempt.target_ended and self._was_in_use(target):
            if quarantine.note_ended(identity, target.entry.incarnation_id, now):
                self._log.tell_target_ended(self._admitted, target)
        elif attempt.end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            self.note_alive(target)
            if quarantine.note_answered(identity, now):
                self._log.tell_cleared(self._admitted, target)

    def _was_in_use(self, target: Target) -> bool:
        """Return whether a target has not said that it leaves, nor has left.

        One that leaves ends by itself while it still has requests. One that is listed
        with a later life has ended without a word.
        """
        is_listed = target.entry.target_id in self._context.targets.by_id
        return is_listed and target.entry.state is TargetState.READY

    def _learn_speed(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        if not attempt.is_stream:
            attempt.note_whole_answer()
            target.note_slot_time(self.taken_s(sent_at))
            return
        started_at = attempt.first_event_at
        if started_at is None:
            return
        target.note_slot_time(self.taken_s(started_at))
        longest_s = self._admitted.route.longest_pause_s
        target.note_paused(attempt.longest_pause_s > longest_s > 0)
