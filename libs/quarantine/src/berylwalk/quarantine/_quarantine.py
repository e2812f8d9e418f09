"""Quarantine state: whether a request may be sent to targets.

A poison request (or "query of death") crashes the targets that process it. A target
processes many requests at once, so that a crash implicates all of them; attribution
narrows them down, and routers exchange what they saw without a shared log.
"""

from collections.abc import Callable, Iterable, Sequence

from berylwalk.quarantine._attribution import (
    NO_ATTRIBUTION,
    Attribution,
    attribute_crashes,
)
from berylwalk.quarantine._evidence import Evidence
from berylwalk.quarantine._excused_crashes import ExcusedCrashes
from berylwalk.quarantine._identity import Identity, is_part
from berylwalk.quarantine._messages import (
    MAX_CRASHES_PER_UPDATE,
    MAX_SUSPECTS_PER_UPDATE,
    QuarantineUpdate,
    SuspectUpdate,
)
from berylwalk.quarantine._outbox import Outbox
from berylwalk.quarantine._part_attribution import PartsInUse, attribute_part_crashes
from berylwalk.quarantine._records import Record
from berylwalk.quarantine._trials import TRIAL_DELAYS_S, Blame
from berylwalk.quarantine._verdicts import (
    FREE,
    SUSPECTED,
    ChangeKind,
    QuarantineChange,
    QuarantineStatus,
    Verdict,
)

PART_STORE_DELAY_S = 0.5
"""Age from which a single crash under a part is stored, in seconds: by then most
harmless parts are cleared."""
REBROADCAST_INTERVAL_S = 1.0
"""Time between two transmissions of all blamed requests, in seconds: routers that were
partitioned receive them before they count as alive again."""
MAX_AGE_S = 1e5
"""Upper bound of the ages in updates, in seconds."""
EXPIRY_INTERVAL_S = 10.0
"""Time between two removals of expired entries, in seconds."""


class Quarantine:
    """Suspected and blamed requests of one router, and the updates it has to send.

    Attributes
    ----------
    direct_outbox, relay_outbox : Outbox
        Pending updates for the routers of the same failure domain, and for those of
        other failure domains.
    blames : dict
        State of the blamed requests.
    stored_crashes : dict
        Number of crashes that the store is known to have, by request.
    stored_era : int
        Era of the store in which it has them.
    on_change : callable
        Called with each `QuarantineChange`.
    on_urgent_update : callable
        Called when an update should be sent at once.
    """

    def __init__(self) -> None:
        self._evidence = Evidence()
        self._excused = ExcusedCrashes()
        self._attribution: Attribution = NO_ATTRIBUTION
        self._parts_in_use = PartsInUse()
        self._rebroadcast_at = float("-inf")
        self._expired_at = float("-inf")
        self.blames: dict[Identity, Blame] = {}
        self.stored_crashes: dict[Identity, int] = {}
        self.stored_era = 0
        self.on_change: Callable[[QuarantineChange], None] = lambda _: None
        self.on_urgent_update: Callable[[], None] = lambda: None
        self.direct_outbox = Outbox()
        self.relay_outbox = Outbox()

    def __len__(self) -> int:
        return len(self._evidence)

    # Queries.

    def status(self, identity: Identity, now: float) -> QuarantineStatus:
        """Return how a request is treated."""
        blame = self.blames.get(identity)
        if blame is not None:
            due_at = blame.next_trial_at
            is_due = due_at is not None and now >= due_at
            return QuarantineStatus.TRIAL if is_due else QuarantineStatus.BLAMED
        if identity in self._attribution.suspected:
            return QuarantineStatus.SUSPECTED
        return QuarantineStatus.FREE

    def verdict(self, subjects: Sequence[Identity], now: float) -> Verdict:
        """Return how a request is treated.

        Several blamed parts may occur together only. A first trial is one of the last
        part, so that the outer ones, which more requests share, keep theirs; later
        trials are trials of all.

        Parameters
        ----------
        subjects : sequence of bytes
            Identity of the request, then of the parts of its prompt in order.
        now : float
            Time in seconds.
        """
        blamed = tuple(each for each in subjects if each in self.blames)
        if not blamed:
            suspected = self._attribution.suspected
            is_suspected = any(each in suspected for each in subjects)
            return SUSPECTED if is_suspected else FREE
        if any(self.status(each, now) is QuarantineStatus.BLAMED for each in blamed):
            return Verdict(QuarantineStatus.BLAMED, blamed)
        untried = [each for each in blamed if not self.blames[each].trials]
        trial_of = tuple(untried[-1:]) or blamed
        return Verdict(QuarantineStatus.TRIAL, blamed, trial_of)

    def retry_after_s(self, blocked_by: Iterable[Identity], now: float) -> float:
        """Return the time until a blocked request may be retried, in seconds."""
        waits_s = [REBROADCAST_INTERVAL_S]
        for identity in blocked_by:
            blame = self.blames.get(identity)
            if blame is None or blame.next_trial_at is None:
                waits_s.append(TRIAL_DELAYS_S[-1])
            else:
                waits_s.append(blame.next_trial_at - now)
        return max(waits_s)

    def crashed_incarnations(self, identity: Identity) -> list[str]:
        """Return the incarnations of targets that crashed under a request."""
        return sorted(self._evidence.crashed_incarnations(identity))

    @property
    def suspected(self) -> Iterable[Identity]:
        """Requests that may have caused crashes, but are not blamed."""
        return self._attribution.suspected

    def to_store(self, now: float) -> set[Identity]:
        """Return the identities whose crashes the store should have."""
        accused_parts = {
            identity
            for identity, crashed_at in self._evidence.crashes_by_identity().items()
            if is_part(identity)
            and now - min(crashed_at.values(), default=now) >= PART_STORE_DELAY_S
        }
        return accused_parts | set(self.blames) | set(self._attribution.suspected)

    # Local observations.

    def record_crash(self, identity: Identity, incarnation_id: str, now: float) -> bool:
        """Record that a target crashed under a request; returns whether it is new."""
        return self.record_crashes([identity], incarnation_id, now)

    def record_crashes(
        self, identities: Iterable[Identity], incarnation_id: str, now: float
    ) -> bool:
        """Record that a target crashed under a request and the parts of its prompt.

        The parts belong to the crash only if the response had not begun. Returns
        whether any of it is new.
        """
        new = [
            identity
            for identity in identities
            if self._evidence.add_crash(identity, incarnation_id, now)
        ]
        for identity in new:
            self._broadcast(identity)
        if new:
            self._update_attribution(now)
        return bool(new)

    def not_excused(
        self, identities: Iterable[Identity], incarnation_id: str
    ) -> list[Identity]:
        """Return the requests and parts for which a crash counts all the same.

        Call it for a crash that the state of the target explains. A few such crashes
        of each identity are excused until it is answered.
        """
        return [
            identity
            for identity in identities
            if not self._excused.excuse(identity, incarnation_id)
        ]

    def record_begun(self, parts: Iterable[Identity], now: float) -> list[Identity]:
        """Record that a response began; returns the parts that this clears."""
        parts = list(parts)
        self._parts_in_use.record(parts, now)
        cleared = [part for part in parts if self._clear(part, now)]
        if cleared:
            self._update_attribution(now)
        return cleared

    def record_success(self, identity: Identity, now: float) -> bool:
        """Record that a target completed a request; returns whether that clears it."""
        if not self._clear(identity, now):
            return False
        self._update_attribution(now)
        return True

    def _clear(self, identity: Identity, now: float) -> bool:
        self._excused.clear(identity)
        crashed = list(self._evidence.crashed_incarnations(identity))
        if not crashed or not self._evidence.clear(identity, crashed, now):
            return False
        self._broadcast(identity)
        return True

    def record_alive(self, incarnation_id: str, sent_at: float, now: float) -> bool:
        """Record that a target responded; returns whether it was taken for crashed.

        Parameters
        ----------
        incarnation_id : str
            Incarnation of the target.
        sent_at : float
            When the request was sent, in seconds: only a response to a request sent
            after the assumed crash shows that there was none.
        now : float
            Time in seconds.
        """
        crashed_at = self._evidence.crashed_at(incarnation_id)
        if crashed_at is None or sent_at <= crashed_at:
            return False
        self._evidence.record_alive(incarnation_id, sent_at)
        self.direct_outbox.add_alive(incarnation_id)
        self.relay_outbox.add_alive(incarnation_id)
        self._update_attribution(now)
        self.on_urgent_update()
        return True

    def expire(self, now: float) -> None:
        """Remove expired entries, at most once in `EXPIRY_INTERVAL_S`."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        if self._evidence.expire(now):
            self._update_attribution(now)

    # Updates of other routers, and records of the store.

    def merge(self, update: QuarantineUpdate, now: float, *, is_direct: bool) -> bool:
        """Merge the update of another router; returns whether any of it was new.

        Parameters
        ----------
        update : QuarantineUpdate
            The update.
        now : float
            Time in seconds.
        is_direct : bool
            Whether it comes from the same failure domain, so that this router relays
            it to the others.
        """
        alive = [
            incarnation_id
            for incarnation_id, age_s in update.alive_ages_s.items()
            if self._evidence.record_alive(incarnation_id, now - age_s)
        ]
        suspects = [each for each in update.suspects if self._merge_suspect(each, now)]
        if is_direct:
            for incarnation_id in alive:
                self.relay_outbox.add_alive(incarnation_id)
            for suspect in suspects:
                self.relay_outbox.add(suspect.identity)
        is_new = bool(alive or suspects)
        if is_new:
            self._update_attribution(now)
        return is_new

    def merge_stored(self, identity: Identity, record: Record, now: float) -> None:
        """Merge the stored record of a request or part."""
        for incarnation_id in record.ended:
            self._evidence.add_crash(identity, incarnation_id, now)
        self._update_attribution(now)
        blame = self.blames.get(identity)
        if blame is not None and record.trials > blame.trials:
            self.record_trial(identity, record, now)

    def record_stored(self, identity: Identity, crashes: int) -> None:
        """Record how many crashes under a request the store has."""
        if self._evidence.crashed_incarnations(
            identity
        ) and crashes > self.stored_crashes.get(identity, 0):
            self.stored_crashes[identity] = crashes
            self._broadcast(identity)

    def note_store_era(self, era: int) -> None:
        """Record the era of the store: in a later one it may lack all crashes."""
        if era > self.stored_era:
            self.stored_era = era
            self.stored_crashes.clear()

    def repeat_clearing(self, identity: Identity) -> None:
        """Tell other routers again of what a request was cleared.

        Does nothing unless all its known crashes were cleared.
        """
        evidence = self._evidence
        if evidence.cleared(identity) and not evidence.crashed_incarnations(identity):
            self._broadcast(identity)

    def record_trial(self, identity: Identity, record: Record, now: float) -> None:
        """Record the trials that a request or part has been granted.

        After a permit was returned the delay begins anew: while no target has room,
        each request would acquire and return one.
        """
        blame = self.blames.get(identity)
        if blame is not None:
            if record.trials < blame.trials:
                blame.since = now
            blame.trials = record.trials
            blame.trial_at = now
            blame.crashes_at_trial = record.crashes_at_trial
            self._schedule_trial(identity, blame)

    # Updates to other routers.

    def next_update(self, outbox: Outbox, now: float) -> QuarantineUpdate:
        """Return the update to send now; each item is sent several times."""
        if now - self._rebroadcast_at >= REBROADCAST_INTERVAL_S:
            self._rebroadcast_at = now
            for identity in self.blames:
                self.direct_outbox.add_once(identity)
                self.relay_outbox.add_once(identity)
        return QuarantineUpdate(
            [
                self._update_for(each, now)
                for each in outbox.take(MAX_SUSPECTS_PER_UPDATE)
            ],
            {
                incarnation_id: _age_s(
                    self._evidence.last_alive_at(incarnation_id), now
                )
                for incarnation_id in outbox.take_alive(MAX_SUSPECTS_PER_UPDATE)
            },
        )

    def _broadcast(self, identity: Identity) -> None:
        self.direct_outbox.add(identity)
        self.relay_outbox.add(identity)
        self.on_urgent_update()

    def _update_for(self, identity: Identity, now: float) -> SuspectUpdate:
        crashed = list(self._evidence.crashed_incarnations(identity).items())[
            -MAX_CRASHES_PER_UPDATE:
        ]
        return SuspectUpdate(
            identity,
            {incarnation_id: _age_s(at, now) for incarnation_id, at in crashed},
            self._evidence.cleared(identity)[-MAX_CRASHES_PER_UPDATE:],
            self.stored_crashes.get(identity, 0),
            self.stored_era,
        )

    def _merge_suspect(self, suspect: SuspectUpdate, now: float) -> bool:
        is_new = False
        if suspect.cleared:
            is_new = self._evidence.clear(suspect.identity, suspect.cleared, now)
        for incarnation_id, age_s in suspect.ages_s.items():
            is_new |= self._evidence.add_crash(
                suspect.identity, incarnation_id, now - age_s
            )
        stored = self.stored_crashes.get(suspect.identity, 0)
        is_accused = bool(self._evidence.crashed_incarnations(suspect.identity))
        is_of_era = suspect.stored_era == self.stored_era
        if is_accused and is_of_era and suspect.stored_crashes > stored:
            self.stored_crashes[suspect.identity] = suspect.stored_crashes
            is_new = True
        return is_new

    def _update_attribution(self, now: float) -> None:
        self._attribution = self._attribute(now)
        for identity in list(self.stored_crashes):
            if not self._evidence.crashed_incarnations(identity):
                # Its record will be deleted, so that new crashes are stored anew.
                del self.stored_crashes[identity]
        for identity in list(self.blames):
            if identity not in self._attribution.blamed:
                del self.blames[identity]
                self.on_change(
                    QuarantineChange(ChangeKind.NO_LONGER_BLAMED, identity, ())
                )
        for identity, crashed in self._attribution.blamed.items():
            blame = self.blames.get(identity)
            if blame is None:
                blame = self.blames[identity] = Blame(now)
                self._schedule_trial(identity, blame)
                self.on_change(
                    QuarantineChange(ChangeKind.BLAMED, identity, sorted(crashed))
                )
            elif blame.trials:
                self._schedule_trial(identity, blame)

    def _attribute(self, now: float) -> Attribution:
        """Attribute the crashes to prompt parts first, then the rest to requests."""
        crashes_by_identity = self._evidence.crashes_by_identity()
        by_part = attribute_part_crashes(
            {
                identity: crashed_at
                for identity, crashed_at in crashes_by_identity.items()
                if is_part(identity)
            },
            is_in_use=lambda part: self._parts_in_use.contains(part, now),
        )
        explained = frozenset().union(*by_part.blamed.values())
        by_request = attribute_crashes(
            {
                identity: crashed_at.keys() - explained
                for identity, crashed_at in crashes_by_identity.items()
                if not is_part(identity)
            }
        )
        return Attribution(
            {**by_part.blamed, **by_request.blamed},
            by_part.suspected | by_request.suspected,
            by_part.contested | by_request.contested,
        )

    def _schedule_trial(self, identity: Identity, blame: Blame) -> None:
        blame.schedule_trial(
            identity,
            is_contested=identity in self._attribution.contested,
            crashes=len(self._evidence.crashed_incarnations(identity)),
        )


def _age_s(time: float, now: float) -> float:
    return round(min(max(0.0, now - time), MAX_AGE_S), 3)
