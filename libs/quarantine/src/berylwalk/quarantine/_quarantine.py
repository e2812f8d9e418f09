"""Quarantine state: whether a request may be sent to targets.

A poison request (or "query of death") crashes the targets that process it. A target
processes many requests at once, so that a crash implicates all of them; attribution
narrows them down, and routers exchange what they saw without a shared log.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from berylwalk.quarantine._attribution import (
    NO_ATTRIBUTION,
    Attribution,
    attribute_crashes,
)
from berylwalk.quarantine._evidence import Evidence
from berylwalk.quarantine._identity import Identity
from berylwalk.quarantine._messages import (
    MAX_CRASHES_PER_UPDATE,
    MAX_SUSPECTS_PER_UPDATE,
    QuarantineUpdate,
    SuspectUpdate,
)
from berylwalk.quarantine._outbox import Outbox

TRIAL_DELAYS_S = (60.0, 600.0)
"""Time from the blame to the first trial, and from there to the second, in seconds."""
CONTESTED_TRIAL_DELAY_S = 0.3
"""Time to the first trial of a contested request, in seconds: it is likely to be
harmless and its caller still waits, but routers must have exchanged their crashes."""
REBROADCAST_INTERVAL_S = 1.0
"""Time between two transmissions of all blamed requests, in seconds: routers that were
partitioned receive them before they count as alive again."""
MAX_AGE_S = 1e5
"""Upper bound of the ages in updates, in seconds."""
EXPIRY_INTERVAL_S = 10.0
"""Time between two removals of expired entries, in seconds."""


class QuarantineStatus(StrEnum):
    """How a request is treated."""

    FREE = "free"
    SUSPECTED = "suspected"
    """It is isolated: sent where a crash would affect the fewest other requests."""
    BLAMED = "blamed"
    """It is not sent."""
    TRIAL = "trial"
    """It is sent only with a permit for one trial."""

    @property
    def is_blocked(self) -> bool:
        """Whether it must not be sent like other requests."""
        return self in (QuarantineStatus.BLAMED, QuarantineStatus.TRIAL)


class ChangeKind(StrEnum):
    """Kind of a change of a request's status."""

    BLAMED = "blamed"
    NO_LONGER_BLAMED = "no-longer-blamed"


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A request that was blamed, or is no longer.

    Parameters
    ----------
    kind : ChangeKind
        Which of the two.
    identity : bytes
        Which request.
    ended : collection of str
        Incarnations of targets whose crashes led to the blame.
    """

    kind: ChangeKind
    identity: Identity
    ended: Collection[str]


@dataclass(slots=True)
class Blame:
    """State of a blamed request.

    Attributes
    ----------
    since : float
        When it was blamed, in seconds.
    trials : int
        Trials known to have been granted.
    next_trial_at : float or None
        When the next trial may be granted; None if there is none left.
    """

    since: float
    trials: int = 0
    next_trial_at: float | None = None


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
    on_change : callable
        Called with each `QuarantineChange`.
    on_urgent_update : callable
        Called when an update should be sent at once.
    """

    def __init__(self) -> None:
        self._evidence = Evidence()
        self._attribution: Attribution = NO_ATTRIBUTION
        self._rebroadcast_at = float("-inf")
        self._expired_at = float("-inf")
        self.blames: dict[Identity, Blame] = {}
        self.stored_crashes: dict[Identity, int] = {}
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

    def retry_after_s(self, identity: Identity, now: float) -> float:
        """Return the time until a blocked request may be retried, in seconds."""
        blame = self.blames.get(identity)
        if blame is None or blame.next_trial_at is None:
            return TRIAL_DELAYS_S[-1]
        return max(REBROADCAST_INTERVAL_S, blame.next_trial_at - now)

    def crashed_incarnations(self, identity: Identity) -> list[str]:
        """Return the incarnations of targets that crashed under a request."""
        return sorted(self._evidence.crashed_incarnations(identity))

    @property
    def suspected(self) -> Iterable[Identity]:
        """Requests that may have caused crashes, but are not blamed."""
        return self._attribution.suspected

    # Local observations.

    def record_crash(self, identity: Identity, incarnation_id: str, now: float) -> bool:
        """Record that a target crashed under a request; returns whether it is new."""
        is_new = self._evidence.add_crash(identity, incarnation_id, now)
        if is_new:
            self._broadcast(identity)
            self._update_attribution(now)
        return is_new

    def record_success(self, identity: Identity, now: float) -> bool:
        """Record that a target completed a request; returns whether that clears it."""
        crashed = list(self._evidence.crashed_incarnations(identity))
        if not crashed or not self._evidence.clear(identity, crashed, now):
            return False
        self._broadcast(identity)
        self._update_attribution(now)
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
        for identity in list(self.stored_crashes):
            if not self._evidence.crashed_incarnations(identity):
                del self.stored_crashes[identity]
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

    def merge_stored(
        self, identity: Identity, crashed: Iterable[str], trials: int, now: float
    ) -> None:
        """Merge the stored record of a request."""
        for incarnation_id in crashed:
            self._evidence.add_crash(identity, incarnation_id, now)
        self._update_attribution(now)
        blame = self.blames.get(identity)
        if blame is not None and trials > blame.trials:
            _set_trials(blame, trials, now)

    def record_stored(self, identity: Identity, crashes: int) -> None:
        """Record how many crashes under a request the store has."""
        if self._evidence.crashed_incarnations(
            identity
        ) and crashes > self.stored_crashes.get(identity, 0):
            self.stored_crashes[identity] = crashes
            self._broadcast(identity)

    def record_trial(self, identity: Identity, trials: int, now: float) -> None:
        """Record how many trials a request has been granted."""
        blame = self.blames.get(identity)
        if blame is not None:
            _set_trials(blame, trials, now)

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
        )

    def _merge_suspect(self, suspect: SuspectUpdate, now: float) -> bool:
        is_new = False
        if suspect.cleared:
            is_new = self._evidence.clear(suspect.identity, suspect.cleared, now)
        for incarnation_id, age_s in suspect.ages_s.items():
            is_new |= self._evidence.add_crash(
                suspect.identity, incarnation_id, now - age_s
            )
        if suspect.stored_crashes > self.stored_crashes.get(suspect.identity, 0):
            self.stored_crashes[suspect.identity] = suspect.stored_crashes
            is_new = True
        return is_new

    def _update_attribution(self, now: float) -> None:
        self._attribution = attribute_crashes(self._evidence.crashes_by_identity())
        for identity in list(self.blames):
            if identity not in self._attribution.blamed:
                del self.blames[identity]
                self.on_change(
                    QuarantineChange(ChangeKind.NO_LONGER_BLAMED, identity, ())
                )
        for identity, crashed in self._attribution.blamed.items():
            if identity not in self.blames:
                blame = self.blames[identity] = Blame(now)
                _set_trials(blame, 0, now)
                if identity in self._attribution.contested:
                    blame.next_trial_at = now + CONTESTED_TRIAL_DELAY_S
                self.on_change(
                    QuarantineChange(ChangeKind.BLAMED, identity, sorted(crashed))
                )


def _age_s(time: float, now: float) -> float:
    return round(min(max(0.0, now - time), MAX_AGE_S), 3)


def _set_trials(blame: Blame, trials: int, now: float) -> None:
    blame.trials = trials
    has_more = trials < len(TRIAL_DELAYS_S)
    blame.next_trial_at = now + TRIAL_DELAYS_S[trials] if has_more else None
