"""Slot offers to reservations, which hold a slot until the grant arrives."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from berylwalk.admission import AdmissionQueue, QueueEntry
from berylwalk.agent._outbox import Outbox
from berylwalk.agent._slots import Slots
from berylwalk.model import RequestId
from berylwalk.wire import Ready

READY_SENDS_PER_OFFER = 3
MAX_PARK_S = 1.0


@dataclass(slots=True, eq=False)
class Reservation(QueueEntry):
    """Queue entry with the state of its slot offer.

    Parameters
    ----------
    attempt : int
        Attempt that is queued.
    resource : str
        Resource that the request needs.
    offer_expires_at, resend_at : float
        Expiry of the offer and time of the next `Ready`, in seconds.
    parked_until : float
        Until when it is parked after an expired offer, in seconds.
    expired_offers : int
        Number of expired offers.
    """

    attempt: int = 0
    resource: str = ""
    offer_expires_at: float = 0.0
    resend_at: float = 0.0
    parked_until: float = 0.0
    expired_offers: int = 0

    @property
    def router(self) -> str:
        """Identifier of the router of the request."""
        return self.key.router


class SlotOffers:
    """Reservations with an offered slot, and those parked after an expired offer.

    Parameters
    ----------
    ready_timeout_s : float
        Time for which an offered slot is held, in seconds.
    slots : Slots
        Slots of the target.
    waiting : AdmissionQueue
        Queue of the reservations.
    outbox : Outbox
        Takes the `Ready` messages.

    Attributes
    ----------
    next_due : float
        When `advance` is needed next, at the latest; in seconds.
    """

    def __init__(
        self,
        ready_timeout_s: float,
        slots: Slots,
        waiting: AdmissionQueue,
        outbox: Outbox,
    ) -> None:
        self._ready_timeout_s = ready_timeout_s
        self._slots = slots
        self._waiting = waiting
        self._outbox = outbox
        self._ready_by_id: dict[RequestId, Reservation] = {}
        self._parked_by_id: dict[RequestId, Reservation] = {}
        self.next_due = inf

    @property
    def ready_count(self) -> int:
        """Number of reservations that hold a slot."""
        return len(self._ready_by_id)

    def offer(self, reservation: Reservation, now: float) -> None:
        """Hold a slot for a reservation and offer it to the router."""
        self._slots.hold(reservation.rank)
        self._ready_by_id[reservation.key] = reservation
        reservation.offer_expires_at = now + self._ready_timeout_s
        reservation.resend_at = now + self._ready_timeout_s / READY_SENDS_PER_OFFER
        self.next_due = min(self.next_due, reservation.resend_at)
        self.send_ready(reservation)

    def advance(self, now: float) -> None:
        """Expire offers, resend `Ready`, and unpark reservations that are due."""
        if now < self.next_due:
            return
        for reservation in tuple(self._ready_by_id.values()):
            if now >= reservation.offer_expires_at:
                self._expire_offer(reservation, now)
            elif now >= reservation.resend_at:
                self.send_ready(reservation)
                reservation.resend_at = (
                    now + self._ready_timeout_s / READY_SENDS_PER_OFFER
                )
        for reservation in tuple(self._parked_by_id.values()):
            if now >= reservation.parked_until:
                del self._parked_by_id[reservation.key]
                self._waiting.unpark(reservation.key)
        self.next_due = min(self._due_times(), default=inf)

    def discard(self, reservation: Reservation) -> None:
        """Forget a reservation and release its slot, if it holds one."""
        self._parked_by_id.pop(reservation.key, None)
        if self._ready_by_id.pop(reservation.key, None) is not None:
            self._slots.release(reservation.rank)

    def send_ready(self, reservation: Reservation) -> None:
        """Notify the router that a slot is held."""
        message = Ready(reservation.key, reservation.attempt)
        self._outbox.send(reservation.router, message)

    def _due_times(self) -> Iterator[float]:
        for reservation in self._ready_by_id.values():
            yield min(reservation.offer_expires_at, reservation.resend_at)
        for reservation in self._parked_by_id.values():
            yield reservation.parked_until

    def _expire_offer(self, reservation: Reservation, now: float) -> None:
        del self._ready_by_id[reservation.key]
        self._slots.release(reservation.rank)
        self._waiting.park(reservation.key)
        self._parked_by_id[reservation.key] = reservation
        # Exponential backoff, so that a failed router blocks few slots.
        park_s = self._ready_timeout_s * 2.0 ** min(reservation.expired_offers, 10)
        reservation.parked_until = now + min(park_s, MAX_PARK_S)
        reservation.expired_offers += 1
