"""Secures a second target for a request before its running attempt is given up.

Load that it answers: a target that sends nothing for a while, or nothing to this
request. It may have ended, or it may go on in a moment. Its attempt is the only answer
that the request has until another target is free, connected to and paid for.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from berylwalk.direct._admission import Admitted
from berylwalk.direct._context import RouterContext
from berylwalk.direct._send_check import may_send
from berylwalk.dispatch import (
    Attempts,
    PendingRequest,
    RetryBudgetState,
    Target,
    estimate_first_event,
)
from berylwalk.forwarding import TargetConnection


class KeptReason(StrEnum):
    """Why an attempt without progress is not given up."""

    NO_ATTEMPT_LEFT = "no-attempt-left"
    NO_RETRY_LEFT = "no-retry-left"
    QUARANTINED = "quarantined"
    NO_PLACE = "no-place"
    TOO_LATE = "too-late"
    NOT_CONNECTED = "not-connected"
    NOT_ALLOWED = "not-allowed"
    TARGET_GOES_ON = "target-goes-on"


@dataclass(frozen=True, slots=True)
class Takeover:
    """A target that takes a request over.

    Parameters
    ----------
    target : Target
        Target that the request already counts against.
    connection : TargetConnection
        Open connection to it.
    """

    target: Target
    connection: TargetConnection


class TakeoverSearch:
    """Searches for a target that takes over one request.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    admitted : Admitted
        The request.
    attempts : Attempts
        How its attempts ended so far.
    pending : callable
        Returns the request as it is placed, given the target that runs it.
    on_retry_decision : callable
        Called with what the retry budget decided, and from which counts.
    """

    def __init__(
        self,
        context: RouterContext,
        admitted: Admitted,
        *,
        attempts: Attempts,
        pending: Callable[[Target], PendingRequest],
        on_retry_decision: Callable[[RetryBudgetState, bool], None],
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._attempts = attempts
        self._pending = pending
        self._on_retry_decision = on_retry_decision
        self._unconnected: set[str] = set()

    async def secure(
        self, current: Target, is_needed: Callable[[], bool]
    ) -> Takeover | KeptReason:
        """Return a target that takes over now, or why the attempt has to be kept.

        Parameters
        ----------
        current : Target
            Target of the running attempt.
        is_needed : callable
            Returns whether the attempt should still be given up.
        """
        context, service = self._context, self._admitted.service
        if not self._attempts.may_hand_over(self._admitted.route):
            return KeptReason.NO_ATTEMPT_LEFT
        if context.quarantine.verdict(
            self._admitted.subjects, context.clock()
        ).blocked_by:
            return KeptReason.QUARANTINED
        if not context.retries.may_take(service, context.clock()):
            return KeptReason.NO_RETRY_LEFT
        placed_at = context.clock()
        target = self._place(current, placed_at)
        if isinstance(target, KeptReason):
            return target
        connection, found = None, None
        try:
            connection = await self._connect(target)
            found = self._decide(target, connection, is_needed)
        finally:
            if not isinstance(found, Takeover):
                self._release(target, connection, placed_at)
        return found

    def _place(self, current: Target, now: float) -> Target | KeptReason:
        """Return a free target, which counts the request from now on."""
        context, work = self._context, self._admitted.parsed_headers.work
        pending = self._pending(current)
        pending.excluded |= self._unconnected
        target = context.dispatcher.submit(pending, now)
        if target is None:
            context.dispatcher.cancel(pending)
            return KeptReason.NO_PLACE
        prefix_cache_index = context.dispatcher.prefix_cache_index
        cached_tokens = prefix_cache_index.cached_tokens(work)
        estimate = estimate_first_event(
            target,
            work,
            cached_tokens=cached_tokens.get(target.entry.incarnation_id, 0),
        )
        if now + estimate.total_s >= self._admitted.deadline:
            return KeptReason.TOO_LATE
        target.note_sent(work, now)
        return target

    async def _connect(self, target: Target) -> TargetConnection | None:
        context, incarnation_id = self._context, target.entry.incarnation_id
        connection = context.pool.take_idle(incarnation_id)
        if connection is None:
            connection = await context.pool.open(target.entry)
        if connection is None:
            self._unconnected.add(incarnation_id)
            target.note_unreachable(context.clock())
        return connection

    def _decide(
        self,
        target: Target,
        connection: TargetConnection | None,
        is_needed: Callable[[], bool],
    ) -> Takeover | KeptReason:
        if connection is None:
            return KeptReason.NOT_CONNECTED
        if not is_needed():
            return KeptReason.TARGET_GOES_ON
        if not may_send(self._context, self._admitted, target):
            return KeptReason.NOT_ALLOWED
        context, service = self._context, self._admitted.service
        now = context.clock()
        state = context.retries.state(service, now)
        is_granted = context.retries.take(service, now)
        self._on_retry_decision(state, is_granted)
        return Takeover(target, connection) if is_granted else KeptReason.NO_RETRY_LEFT

    def _release(
        self, target: Target, connection: TargetConnection | None, placed_at: float
    ) -> None:
        """Undo the placement; the target has not received the request."""
        context, admitted = self._context, self._admitted
        now = context.clock()
        if connection is not None:
            context.pool.release(target.entry.incarnation_id, connection)
        target.flow_control.note_not_sent(now, sent_at=placed_at)
        target.note_finished(admitted.parsed_headers.work, had_first_event=False)
        context.dispatcher.dispatch_queued(admitted.service, now)
