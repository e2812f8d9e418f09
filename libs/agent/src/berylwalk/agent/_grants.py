"""Admission of grants: the only place that decides whether one is dispatched."""

from berylwalk.admission import EntryState
from berylwalk.agent._attempt_registry import AttemptRegistry
from berylwalk.agent._config import AgentConfig
from berylwalk.agent._reservations import Reservations
from berylwalk.agent._slot_offers import Reservation
from berylwalk.agent._slots import Slots
from berylwalk.agent._target import Target
from berylwalk.model import Refusal, RefusalReason
from berylwalk.wire import Grant


class GrantHandler:
    """Admits or refuses grants and records the decisions.

    Parameters
    ----------
    config : AgentConfig
        Identity and incarnation.
    slots : Slots
        Slots of the target.
    attempts : AttemptRegistry
        Known attempts.
    reservations : Reservations
        Reservations of the agent.
    target : Target
        Resources and state of the target.
    """

    def __init__(
        self,
        config: AgentConfig,
        slots: Slots,
        attempts: AttemptRegistry,
        reservations: Reservations,
        target: Target,
    ) -> None:
        self._identity = (config.agent_id, config.incarnation)
        self._slots = slots
        self._attempts = attempts
        self._reservations = reservations
        self._target = target

    def admit(
        self, grant: Grant, now: float, *, is_stale_router: bool
    ) -> Refusal | None:
        """Admit or refuse a grant; either uses it up.

        Parameters
        ----------
        grant : Grant
            The grant.
        now : float
            Monotonic time, in seconds.
        is_stale_router : bool
            Whether a newer incarnation of its router is known.

        Returns
        -------
        Refusal or None
            Why the grant is refused; None if it is dispatched.
        """
        reason = self._refusal_reason(grant, now, is_stale_router)
        if reason is None:
            self._dispatch(grant, now)
            return None
        self._record_refusal(grant, reason, now)
        retry_ms = self._reservations.retry_after_ms(reason, grant.tier_rank)
        return Refusal(reason, retry_ms)

    def _refusal_reason(
        self, grant: Grant, now: float, is_stale_router: bool
    ) -> RefusalReason | None:
        if (grant.agent, grant.agent_incarnation) != self._identity:
            return RefusalReason.STALE_INCARNATION
        if self._attempts.is_dispatched(grant.request_id):
            return RefusalReason.DUPLICATE
        if is_stale_router or self._is_tombstoned(grant):
            return RefusalReason.TOMBSTONE
        if self._target.refuses_new_work:
            return RefusalReason.LEAVING
        if self._slots.is_backing_off:
            return RefusalReason.NO_SLOT
        if not self._target.serves(grant.resource):
            return RefusalReason.NOT_SERVED
        if not self._can_finish(grant):
            return RefusalReason.DEADLINE
        return None if self._has_slot(grant, now) else RefusalReason.NO_SLOT

    def _is_tombstoned(self, grant: Grant) -> bool:
        if self._attempts.is_tombstoned(grant.request_id, grant.attempt):
            return True
        reservation = self._reservations.get(grant.request_id)
        if reservation is not None:
            return grant.attempt < reservation.attempt
        return self._attempts.may_be_pruned(grant.request_id)

    def _can_finish(self, grant: Grant) -> bool:
        output_tokens = self._slots.lengths.expected_tokens(
            grant.client_account, grant.tier_rank, grant.output_tokens
        )
        remaining_s = grant.deadline_ms / 1000
        return self._slots.can_finish(grant.prompt_tokens, output_tokens, remaining_s)

    def _has_slot(self, grant: Grant, now: float) -> bool:
        rank = grant.tier_rank
        waiting = self._reservations.waiting
        reservation = self._reservations.get(grant.request_id)
        if reservation is not None and _matches_reservation(grant, reservation):
            if reservation.state is EntryState.TAKEN:
                return True
            return self._slots.may_overcommit(rank, waiting.highest_rank())
        # An earlier attempt must not block its own successor.
        self._cancel_earlier(grant, reservation, now)
        if waiting.has_entry_ahead(rank):
            return False
        return self._slots.has_room(rank, waiting.highest_rank())

    def _cancel_earlier(
        self, grant: Grant, reservation: Reservation | None, now: float
    ) -> None:
        if reservation is not None:
            self._reservations.cancel(grant.request_id, grant.attempt - 1, now)

    def _dispatch(self, grant: Grant, now: float) -> None:
        reservation = self._reservations.get(grant.request_id)
        if reservation is not None:
            self._reservations.remove(reservation, ran=True)
        self._attempts.start_dispatch(grant.request_id, now)
        self._slots.start(grant, now)

    def _record_refusal(self, grant: Grant, reason: RefusalReason, now: float) -> None:
        if reason is RefusalReason.DUPLICATE or grant.agent != self._identity[0]:
            return
        if self._reservations.get(grant.request_id) is None:
            self._attempts.add_tombstone(
                grant.request_id, grant.attempt, now, reason=reason
            )
        else:
            self._reservations.cancel(grant.request_id, grant.attempt, now)


def _matches_reservation(grant: Grant, reservation: Reservation) -> bool:
    return not grant.conditional and grant.attempt == reservation.attempt
