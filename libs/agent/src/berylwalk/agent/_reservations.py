"""Reservations: queueing, slot offers and refusals."""

from collections.abc import Callable

from berylwalk.admission import AdmissionQueue, DeadlineHeap, EntryState
from berylwalk.agent._attempt_registry import AttemptRegistry
from berylwalk.agent._config import AgentConfig
from berylwalk.agent._outbox import Outbox
from berylwalk.agent._slot_offers import Reservation, SlotOffers
from berylwalk.agent._slots import Slots
from berylwalk.model import RefusalReason, RequestId
from berylwalk.wire import Queued, Refused, Reserve

# Least time until a deadline is checked again.
DEADLINE_RECHECK_S = 0.05
MIN_RETRY_MS = 50
DEFAULT_RETRY_MS = 1000


class Reservations:
    """Reservations of the agent.

    Parameters
    ----------
    config : AgentConfig
        Queue bound, timeouts and policy.
    slots : Slots
        Slots of the target.
    attempts : AttemptRegistry
        Known attempts.
    outbox : Outbox
        Takes the replies to routers.
    """

    def __init__(
        self,
        config: AgentConfig,
        slots: Slots,
        attempts: AttemptRegistry,
        outbox: Outbox,
    ) -> None:
        self._max_waiting = config.max_waiting
        self._deadlines = config.policy.deadlines
        self._slots = slots
        self._attempts = attempts
        self._outbox = outbox
        self.waiting = AdmissionQueue(scheduling_key=config.policy.scheduling_key)
        # Ordered by the latest start that meets the deadline.
        self._latest_starts: DeadlineHeap[Reservation] = DeadlineHeap()
        self._offers = SlotOffers(config.ready_timeout_s, slots, self.waiting, outbox)

    @property
    def is_active(self) -> bool:
        """Whether any reservation is queued or holds a slot."""
        return self._offers.ready_count > 0 or len(self.waiting) > 0

    def next_due(self) -> float:
        """Return when `advance` or `refuse_overdue` is needed next, in seconds."""
        next_start = self._latest_starts.peek()
        return (
            self._offers.next_due
            if next_start is None
            else min(next_start[0], self._offers.next_due)
        )

    def get(self, request_id: RequestId) -> Reservation | None:
        """Return the reservation of a request, or None if there is none."""
        return self.waiting.get(request_id)

    def handle_duplicate(
        self, reservation: Reservation, attempt: int, now: float
    ) -> None:
        """Reply to a repeated `Reserve`, which may carry a newer attempt."""
        if attempt > reservation.attempt:
            self._attempts.add_tombstone(reservation.key, attempt - 1, now)
            reservation.attempt = attempt
        if reservation.state is EntryState.TAKEN:
            self._offers.send_ready(reservation)
        else:
            self._send_queued(reservation)

    def has_room(self, rank: int) -> bool:
        """Return whether the queue has room for a new reservation of a tier."""
        if len(self.waiting) < self._max_waiting:
            return True
        lowest = self.waiting.eviction_candidate()
        return lowest is not None and lowest.rank > rank

    def wait_s(self, message: Reserve) -> float:
        """Return the estimated wait of a new reservation, in seconds."""
        rank = message.tier_rank
        highest = self.waiting.highest_rank()
        if not self.waiting.has_entry_ahead(rank) and self._slots.has_room(
            rank, highest
        ):
            return 0.0
        ahead = self.waiting.work_ahead_of_account(
            rank, message.client_account, message.weight
        )
        return self._slots.wait_s(ahead)

    def add(self, message: Reserve, now: float) -> None:
        """Queue a reservation, or refuse it if it would miss its deadline."""
        reservation = self._new_reservation(message, now)
        wait_s = self.wait_s(message)
        remaining_s = message.deadline_ms / 1000
        if not self._can_finish(
            reservation, remaining_s - self._planned_wait_s(wait_s)
        ):
            self.refuse_message(message, RefusalReason.DEADLINE, now)
            return
        self.waiting.add(reservation)
        self._watch_deadline(reservation, now)
        self.offer_slots(now)
        self._evict_excess(reservation, now)
        if reservation.state is EntryState.QUEUED and self.get(reservation.key):
            self._send_queued(reservation)

    def refuse_message(
        self, message: Reserve, reason: RefusalReason, now: float
    ) -> None:
        """Refuse a `Reserve` without queueing it and tombstone its attempt."""
        self._attempts.add_tombstone(
            message.request_id, message.attempt, now, reason=reason
        )
        self._send_refused(
            message.request_id, message.attempt, reason, message.tier_rank
        )

    def refuse(
        self, reservation: Reservation, reason: RefusalReason, now: float
    ) -> None:
        """Remove a reservation, tombstone its attempt and notify its router."""
        self.remove(reservation)
        self._attempts.add_tombstone(
            reservation.key, reservation.attempt, now, reason=reason
        )
        self._send_refused(
            reservation.key, reservation.attempt, reason, reservation.rank
        )

    def refuse_all(
        self,
        reason: RefusalReason,
        now: float,
        *,
        where: Callable[[Reservation], bool] = lambda reservation: True,
    ) -> None:
        """Refuse the reservations that fulfill a condition."""
        for reservation in self.waiting:
            if where(reservation):
                self.refuse(reservation, reason, now)

    def cancel(self, request_id: RequestId, attempt: int, now: float) -> None:
        """Tombstone an attempt and remove a reservation of it or an earlier one."""
        reservation = self.get(request_id)
        if reservation is not None and reservation.attempt <= attempt:
            self.remove(reservation)
            if reservation.attempt < attempt:
                self._send_refused(
                    request_id,
                    reservation.attempt,
                    RefusalReason.TOMBSTONE,
                    reservation.rank,
                )
        self._attempts.add_tombstone(request_id, attempt, now)

    def remove(self, reservation: Reservation, *, ran: bool = False) -> None:
        """Remove a reservation and release the slot that it holds."""
        self.waiting.remove(reservation.key, ran=ran)
        self._latest_starts.discard(reservation.sequence)
        self._offers.discard(reservation)

    def offer_slots(self, now: float) -> None:
        """Offer available slots to the next reservations."""
        while (rank := self.waiting.highest_rank()) is not None:
            if not self._slots.may_overcommit(rank, rank):
                return
            reservation = self.waiting.take()
            if self._can_finish(reservation, reservation.deadline_at - now):
                self._offers.offer(reservation, now)
            else:
                self.refuse(reservation, RefusalReason.DEADLINE, now)

    def advance(self, now: float) -> None:
        """Expire and resend slot offers; queue parked reservations again."""
        self._offers.advance(now)

    def refuse_overdue(self, now: float) -> None:
        """Refuse queued reservations that can no longer meet their deadline."""
        while (earliest := self._latest_starts.peek()) is not None:
            latest_start, reservation = earliest
            if latest_start > now:
                return
            self._latest_starts.pop()
            if self._will_miss_deadline(reservation, now):
                self.refuse(reservation, RefusalReason.DEADLINE, now)
            else:
                self._watch_deadline(reservation, now)

    def _will_miss_deadline(self, reservation: Reservation, now: float) -> bool:
        if reservation.state is EntryState.TAKEN:
            return False
        return not self._can_finish(reservation, reservation.deadline_at - now)

    def _watch_deadline(self, reservation: Reservation, now: float) -> None:
        service_s = self._service_s(reservation) if self._deadlines else 0.0
        # Estimates change, so a latest start in the past only causes a new check.
        latest_start = max(
            reservation.deadline_at - service_s, now + DEADLINE_RECHECK_S
        )
        self._latest_starts.push(latest_start, reservation.sequence, reservation)

    def _service_s(self, reservation: Reservation) -> float:
        return self._slots.service_s(
            reservation.prompt_tokens, reservation.output_tokens
        )

    def _can_finish(self, reservation: Reservation, remaining_s: float) -> bool:
        return self._slots.can_finish(
            reservation.prompt_tokens, reservation.output_tokens, remaining_s
        )

    def _planned_wait_s(self, wait_s: float) -> float:
        return wait_s if self._deadlines else 0.0

    def _new_reservation(self, message: Reserve, now: float) -> Reservation:
        output_tokens = self._slots.lengths.expected_tokens(
            message.client_account, message.tier_rank, message.output_tokens
        )
        return Reservation(
            key=message.request_id,
            client_account=message.client_account,
            rank=message.tier_rank,
            weight=message.weight,
            prompt_tokens=message.prompt_tokens,
            output_tokens=output_tokens,
            cost=self._slots.cost_s(message.prompt_tokens, output_tokens),
            deadline_at=now + message.deadline_ms / 1000,
            attempt=message.attempt,
            resource=message.resource,
        )

    def _evict_excess(self, newest: Reservation, now: float) -> None:
        while len(self.waiting) > self._max_waiting:
            victim = self.waiting.eviction_candidate()
            is_newest = victim is newest
            reason = RefusalReason.QUEUE_FULL if is_newest else RefusalReason.EVICTED
            self.refuse(victim, reason, now)

    def _send_queued(self, reservation: Reservation) -> None:
        ahead = self.waiting.work_ahead(reservation.rank)
        wait_s = self._slots.wait_s(ahead)
        message = Queued(reservation.key, reservation.attempt, int(wait_s * 1000))
        self._outbox.send(reservation.router, message)

    def _send_refused(
        self, request_id: RequestId, attempt: int, reason: RefusalReason, rank: int
    ) -> None:
        retry_ms = self.retry_after_ms(reason, rank)
        message = Refused(request_id, attempt, reason, retry_ms)
        self._outbox.send(request_id.router, message)

    def retry_after_ms(self, reason: RefusalReason, rank: int) -> int:
        """Return after what time a refused request may be retried, in milliseconds."""
        if reason not in _OVERLOAD_REASONS:
            return DEFAULT_RETRY_MS
        ahead = self.waiting.work_ahead(rank)
        wait_s = self._slots.speed.wait_s(ahead, self._slots.limit)
        # A deadline may be missed even without queueing, so do not retry at once.
        is_late = reason is RefusalReason.DEADLINE
        least_ms = DEFAULT_RETRY_MS if is_late else MIN_RETRY_MS
        return max(int(wait_s * 1000), least_ms)


_OVERLOAD_REASONS = frozenset(
    {
        RefusalReason.NO_SLOT,
        RefusalReason.QUEUE_FULL,
        RefusalReason.EVICTED,
        RefusalReason.DEADLINE,
    }
)
