"""Handling of reservations, withdrawals and revocations of routers."""

from berylwalk.agent._attempt_registry import AttemptRegistry
from berylwalk.agent._outbox import Outbox
from berylwalk.agent._reservations import Reservations
from berylwalk.agent._target import Target
from berylwalk.model import RefusalReason, RequestId
from berylwalk.wire import (
    ControlMessage,
    Refused,
    Reserve,
    Revoke,
    RevokeResult,
    Withdraw,
)


class MessageHandler:
    """Handles messages about single requests.

    Parameters
    ----------
    attempts : AttemptRegistry
        Known attempts.
    reservations : Reservations
        Reservations of the agent.
    target : Target
        Resources and state of the target.
    outbox : Outbox
        Takes the replies.
    """

    def __init__(
        self,
        attempts: AttemptRegistry,
        reservations: Reservations,
        target: Target,
        outbox: Outbox,
    ) -> None:
        self._attempts = attempts
        self._reservations = reservations
        self._target = target
        self._outbox = outbox

    def handle(self, message: ControlMessage, now: float) -> None:
        """Handle a message of the current incarnation of a router."""
        match message:
            case Reserve():
                self._reserve(message, now)
            case Withdraw(request_id, attempt):
                if not self._attempts.is_dispatched(request_id):
                    self._reservations.cancel(request_id, attempt, now)
            case Revoke(request_id, attempt):
                self._revoke(request_id, attempt, now)

    def _reserve(self, message: Reserve, now: float) -> None:
        request_id = message.request_id
        if self._attempts.is_dispatched(request_id):
            # A delayed duplicate. A refusal would claim that the request did not run.
            return
        reservation = self._reservations.get(request_id)
        if self._attempts.is_tombstoned(request_id, message.attempt):
            self._repeat_refusal(message)
        elif reservation is not None:
            self._reservations.handle_duplicate(reservation, message.attempt, now)
        elif self._attempts.may_be_pruned(request_id):
            self._send_refused(message, RefusalReason.TOMBSTONE)
        elif self._target.refuses_new_work:
            self._reservations.refuse_message(message, RefusalReason.LEAVING, now)
        elif not self._target.serves(message.resource):
            self._reservations.refuse_message(message, RefusalReason.NOT_SERVED, now)
        else:
            self._reservations.add(message, now)

    def _repeat_refusal(self, message: Reserve) -> None:
        record = self._attempts.get(message.request_id)
        reason = record.reason
        is_same = message.attempt == record.dead_attempt
        if not is_same or self._has_room_again(reason, message.tier_rank):
            reason = RefusalReason.TOMBSTONE
        self._send_refused(message, reason)

    def _has_room_again(self, reason: RefusalReason, rank: int) -> bool:
        # Otherwise the router would shed a request although the queue has space again.
        return reason in _QUEUE_SPACE_REASONS and self._reservations.has_room(rank)

    def _send_refused(self, message: Reserve, reason: RefusalReason) -> None:
        retry_ms = self._reservations.retry_after_ms(reason, message.tier_rank)
        refused = Refused(message.request_id, message.attempt, reason, retry_ms)
        self._outbox.send(message.request_id.router, refused)

    def _revoke(self, request_id: RequestId, attempt: int, now: float) -> None:
        if self._attempts.is_dispatched(request_id):
            self._send_revoke_result(request_id, attempt, ran=True)
            return
        is_known = self._reservations.get(request_id) is not None
        if not is_known and self._attempts.may_be_pruned(request_id):
            # It may have run before its record was pruned, so neither reply is safe.
            return
        self._reservations.cancel(request_id, attempt, now)
        self._send_revoke_result(request_id, attempt, ran=False)

    def _send_revoke_result(
        self, request_id: RequestId, attempt: int, *, ran: bool
    ) -> None:
        result = RevokeResult(request_id, attempt, ran)
        self._outbox.send(request_id.router, result)


_QUEUE_SPACE_REASONS = frozenset({RefusalReason.QUEUE_FULL, RefusalReason.EVICTED})
