"""Updates the state of a target and the quarantine from the outcome of an attempt."""

from collections.abc import Sequence

from berylwalk.direct._admission import Admitted
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._context import RouterContext
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.dispatch import AttemptEnd, Target, TargetState
from berylwalk.quarantine import Identity

FULL_BACKOFF_S = 0.1
"""How long a target that refused a request is not selected."""

STATUS_TOO_MANY_REQUESTS = 429
"""Status of a target that throttles this router."""
STATUS_MISDIRECTED_REQUEST = 421
"""Status of a target process that is not the one addressed."""


class AttemptFeedback:
    """Evaluates one attempt; created when the attempt starts.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    admitted : Admitted
        The request.
    log : ExchangeLog
        Logs the events of the request.
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
        """Record that the target was alive when the attempt started."""
        context = self._context
        incarnation_id = target.entry.incarnation_id
        context.quarantine.record_alive(
            incarnation_id, self._started_at, context.clock()
        )

    def elapsed_s(self, since: float) -> float:
        """Return the seconds since a time, excluding suspensions of the VM."""
        self._context.note_suspension()
        suspended_s = self._context.suspension.total_s - self._suspended_before_s
        return max(0.0, self._context.clock() - since - suspended_s)

    def record(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        """Record the outcome of the attempt.

        Parameters
        ----------
        target : Target
            Target that the request was sent to.
        attempt : Attempt
            The attempt, which has ended.
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
            case AttemptEnd.BROKEN if attempt.ended_unread:
                # The target may have ended it because its caller did not read, which
                # the log of the attempt shows.
                pass
            case AttemptEnd.BROKEN:
                target.note_error()
                if attempt.status == 0:
                    target.note_unreachable(now)
            case AttemptEnd.FAILED | AttemptEnd.STALLED:
                target.note_error()
            case AttemptEnd.REFUSED if attempt.status == STATUS_MISDIRECTED_REQUEST:
                # Otherwise it may only lack the version that the caller names.
                if not self._admitted.parsed_headers.expects_version:
                    target.note_replaced()
            case AttemptEnd.REFUSED:
                target.note_refused(now, FULL_BACKOFF_S)

    def _record_in_quarantine(self, target: Target, attempt: Attempt) -> None:
        """Record whether the target terminated while running the request."""
        quarantine, now = self._context.quarantine, self._context.clock()
        admitted = self._admitted
        identity = admitted.identity
        if attempt.target_ended and self._was_active(target):
            parts = () if attempt.has_begun(now) else admitted.prompt_parts
            accused = self._accused(target, (identity, *parts))
            if quarantine.record_crashes(accused, target.entry.incarnation_id, now):
                self._log.log_target_ended(admitted, target, attempt)
        elif attempt.end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED):
            self.record_alive(target)
            if quarantine.record_success(identity, now):
                self._log.log_cleared(admitted, target, identity)
            if attempt.end is AttemptEnd.ANSWERED and attempt.is_success:
                self.record_begun(target)

    def _accused(
        self, target: Target, identities: tuple[Identity, ...]
    ) -> Sequence[Identity]:
        """Return the requests and parts that a crash counts against.

        Few, if the use of the target's cache explains the crash.
        """
        context, incarnation_id = self._context, target.entry.incarnation_id
        if not target.cache_explains_crash(context.clock()):
            return identities
        accused = context.quarantine.not_excused(identities, incarnation_id)
        self._log.log_crash_excused(self._admitted, target, accused)
        return accused

    def record_begun(self, target: Target) -> None:
        """Record that the response has begun, which clears the parts of the prompt."""
        context, admitted = self._context, self._admitted
        for part in context.quarantine.record_begun(
            admitted.prompt_parts, context.clock()
        ):
            self._log.log_cleared(admitted, target, part)

    def _was_active(self, target: Target) -> bool:
        """Return whether a target is listed and has not announced that it is leaving.

        A leaving target may terminate with requests in flight, which says nothing about
        these requests.
        """
        is_listed = target.entry.target_id in self._context.targets.by_id
        is_ready = target.entry.state is TargetState.READY
        return is_listed and is_ready and not target.flow_control.is_leaving

    def _record_timing(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        if not attempt.is_stream:
            attempt.record_buffered_answer()
            target.note_slot_time(self.elapsed_s(sent_at + attempt.proof_s))
            return
        started_at = attempt.first_event_at
        if started_at is None or attempt.was_paused:
            return
        target.note_slot_time(self.elapsed_s(started_at + attempt.proof_s))
        longest_s = self._admitted.route.longest_pause_s
        target.note_paused(attempt.longest_pause_s > longest_s > 0)
