"""Whether a grant is dispatched: the only place where that is decided."""

from berylwalk.admission import EntryState
from berylwalk.agent._config import AgentConfig
from berylwalk.agent._ledger import Ledger
from berylwalk.agent._reservations import Reservations
from berylwalk.agent._slots import Slots
from berylwalk.agent._target import Target
from berylwalk.agent._turns import Reservation
from berylwalk.model import Refusal, RefusalReason
from berylwalk.wire import Grant


class GrantDesk:
    """Judges grants and records what comes of them.

    Parameters
    ----------
    config : AgentConfig
        Identity and incarnation.
    slots : Slots
        Slots of the target.
    ledger : Ledger
        Memory of attempts.
    reservations : Reservations
        Reservations that grants answer.
    target : Target
        What the target serves.
    """

    def __init__(
        self,
        config: AgentConfig,
        slots: Slots,
        ledger: Ledger,
        reservations: Reservations,
        target: Target,
    ) -> None:
        self._identity = (config.agent_id, config.incarnation)
        self._slots = slots
        self._ledger = ledger
        self._reservations = reservations
        self._target = target

    def accept(self, grant: Grant, now: float, *, router_gone: bool) -> Refusal | None:
        """Use up a grant.

        Parameters
        ----------
        grant : Grant
            The grant that arrived.
        now : float
            Monotonic time, in seconds.
        router_gone : bool
            Whether a later incarnation of its router is known.

        Returns
        -------
        Refusal or None
            Why it does not run; None when it is dispatched.
        """
        reason = self._judge(grant, now, router_gone)
        if reason is None:
            self._dispatch(grant, now)
            return None
        self._bury(grant, reason, now)
        retry_ms = self._reservations.retry_after_ms(reason, grant.tier_rank)
        return Refusal(reason, retry_ms)

    def _judge(
        self, grant: Grant, now: float, router_gone: bool
    ) -> RefusalReason | None:
        if (grant.agent, grant.agent_incarnation) != self._identity:
            return RefusalReason.STALE_INCARNATION
        if self._ledger.is_dispatched(grant.request_id):
            return RefusalReason.DUPLICATE
        if router_gone or self._is_dead(grant):
            return RefusalReason.TOMBSTONE
        if self._target.takes_nothing_new:
            return RefusalReason.LEAVING
        if self._slots.is_at_rest:
            return RefusalReason.NO_SLOT
        if not self._target.serves(grant.resource):
            return RefusalReason.NOT_SERVED
        if not self._can_finish(grant):
            return RefusalReason.DEADLINE
        return None if self._has_slot(grant, now) else RefusalReason.NO_SLOT

    def _is_dead(self, grant: Grant) -> bool:
        if self._ledger.is_dead(grant.request_id, grant.attempt):
            return True
        reservation = self._reservations.get(grant.request_id)
        if reservation is not None:
            return grant.attempt < reservation.attempt
        return self._ledger.is_forgotten(grant.request_id)

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
        if reservation is not None and _answers(grant, reservation):
            if reservation.state is EntryState.TAKEN:
                return True
            return self._slots.may_overcommit(rank, waiting.highest_rank())
        # An earlier attempt must not stand in the way of its own successor.
        self._void_earlier(grant, reservation, now)
        if waiting.waits_before(rank):
            return False
        return self._slots.has_room(rank, waiting.highest_rank())

    def _void_earlier(
        self, grant: Grant, reservation: Reservation | None, now: float
    ) -> None:
        if reservation is not None:
            self._reservations.void(grant.request_id, grant.attempt - 1, now)

    def _dispatch(self, grant: Grant, now: float) -> None:
        reservation = self._reservations.get(grant.request_id)
        if reservation is not None:
            self._reservations.remove(reservation, ran=True)
        self._ledger.start_dispatch(grant.request_id, now)
        self._slots.start(grant, now)

    def _bury(self, grant: Grant, reason: RefusalReason, now: float) -> None:
        if reason is RefusalReason.DUPLICATE or grant.agent != self._identity[0]:
            return
        if self._reservations.get(grant.request_id) is None:
            self._ledger.kill(grant.request_id, grant.attempt, now, reason=reason)
        else:
            self._reservations.void(grant.request_id, grant.attempt, now)


def _answers(grant: Grant, reservation: Reservation) -> bool:
    return not grant.conditional and grant.attempt == reservation.attempt
