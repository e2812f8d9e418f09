"""Whether a request may be sent to targets, by what ended under it before.

A request is noted while it runs, and held back if those that ran it ended: the way in
which databases and queues treat a "query of death" or a poison message. What differs is
that a target runs many requests at once, so that an end accuses all of them, and that
many routers have to agree without a common log.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum

from berylwalk.quarantine._attribution import NOBODY, Attribution, attribute_crashes
from berylwalk.quarantine._evidence import Evidence
from berylwalk.quarantine._identity import Identity
from berylwalk.quarantine._messages import (
    MOST_LIVES_TOLD,
    MOST_TOLD,
    QuarantineUpdate,
    SuspectUpdate,
)
from berylwalk.quarantine._outbox import Outbox

TRIAL_DELAYS_S = (60.0, 600.0)
"""Time from the blame, and from the trial before, to each trial, in seconds: a fleet
that was mended is noticed within a minute, and one that was not loses two targets.
Three sends may be made in all; the third is left to those that are on their way."""
CONTESTED_TRIAL_AFTER_S = 0.3
"""The same for the first trial of a request whose ends others may have caused too: it
is as likely to be harmless, and its caller still waits. Routers hear of an end in
less."""
TOLD_AGAIN_S = 1.0
"""Time between two tellings of who is blamed: a third of the time after which a router
that was cut off counts as being in touch again."""
LONGEST_AGE_S = 1e5
"""Bound of the ages that are told, in seconds."""
SWEEP_S = 10.0
"""Time between two looks for what is too old to count."""


class QuarantineStatus(StrEnum):
    """How a request is treated."""

    FREE = "free"
    SUSPECTED = "suspected"
    """It runs where it takes the fewest along."""
    BLAMED = "blamed"
    """It is not sent."""
    TRIAL = "trial"
    """It is not sent without a permit for one trial."""

    @property
    def is_blocked(self) -> bool:
        """Whether it must not be sent as others are."""
        return self in (QuarantineStatus.BLAMED, QuarantineStatus.TRIAL)


class ChangeKind(StrEnum):
    """What became of a request."""

    BLAMED = "blamed"
    NO_LONGER_BLAMED = "no-longer-blamed"


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A change of what is believed of a request.

    Parameters
    ----------
    kind : ChangeKind
        What became of it.
    identity : bytes
        Which request.
    ended : collection of str
        Lives of targets that ended under it, as far as they count.
    """

    kind: ChangeKind
    identity: Identity
    ended: Collection[str]


@dataclass(slots=True)
class Blame:
    """What is known of a request that is to blame.

    Attributes
    ----------
    since : float
        Since when, in seconds.
    trials : int
        Trials that were given to it, as far as is known.
    next_trial_at : float or None
        When the next one may be given; None if there is none.
    """

    since: float
    trials: int = 0
    next_trial_at: float | None = None


class Quarantine:
    """The suspects of one router, and what it has to tell of them.

    Attributes
    ----------
    near, far : Outbox
        What the routers nearby, and those of other failure domains, are to be told.
    blames : dict
        Requests that are to blame.
    noted : dict
        Number of ends that the store is known to have, by request.
    on_change : callable
        Called with each `QuarantineChange`.
    on_news : callable
        Called when there is something to tell at once.
    """

    def __init__(self) -> None:
        self._evidence = Evidence()
        self._attribution: Attribution = NOBODY
        self._told_again_at = float("-inf")
        self._swept_at = float("-inf")
        self.blames: dict[Identity, Blame] = {}
        self.stored_crashes: dict[Identity, int] = {}
        self.on_change: Callable[[QuarantineChange], None] = lambda _: None
        self.on_urgent_update: Callable[[], None] = lambda: None
        self.direct_outbox = Outbox()
        self.relay_outbox = Outbox()

    def __len__(self) -> int:
        return len(self._evidence)

    # What is asked.

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
        """Return when a request that is held back may be tried again, in seconds."""
        blame = self.blames.get(identity)
        if blame is None or blame.next_trial_at is None:
            return TRIAL_DELAYS_S[-1]
        return max(TOLD_AGAIN_S, blame.next_trial_at - now)

    def crashed_incarnations(self, identity: Identity) -> list[str]:
        """Return the lives of targets that ended under a request."""
        return sorted(self._evidence.crashed_incarnations(identity))

    @property
    def suspected(self) -> Iterable[Identity]:
        """The requests that may be to blame, and are not."""
        return self._attribution.suspected

    # What is observed here.

    def record_crash(self, identity: Identity, incarnation_id: str, now: float) -> bool:
        """Take that a target ended while it ran a request; True if it is news."""
        is_new = self._evidence.add(identity, incarnation_id, now)
        if is_new:
            self._tell(identity)
            self._update_attribution(now)
        return is_new

    def record_success(self, identity: Identity, now: float) -> bool:
        """Take that a target ran a request and went on; True if that clears it."""
        lives = list(self._evidence.crashed_incarnations(identity))
        if not lives or not self._evidence.clear(identity, lives, now):
            return False
        self._tell(identity)
        self._update_attribution(now)
        return True

    def record_alive(self, incarnation_id: str, sent_at: float, now: float) -> bool:
        """Take that a target answered a request; True if it was taken for ended.

        Parameters
        ----------
        incarnation_id : str
            The life of the target.
        sent_at : float
            When that request was sent, in seconds: only an answer to what was sent
            after its end shows that it has not ended.
        now : float
            Time in seconds.
        """
        ended_at = self._evidence.ended_at(incarnation_id)
        if ended_at is None or sent_at <= ended_at:
            return False
        self._evidence.record_alive(incarnation_id, sent_at)
        self.direct_outbox.add_alive(incarnation_id)
        self.relay_outbox.add_alive(incarnation_id)
        self._update_attribution(now)
        self.on_urgent_update()
        return True

    def expire(self, now: float) -> None:
        """Forget what is too old, now and then."""
        if now - self._swept_at < SWEEP_S:
            return
        self._swept_at = now
        for identity in list(self.stored_crashes):
            if not self._evidence.crashed_incarnations(identity):
                del self.stored_crashes[identity]
        if self._evidence.forget_old(now):
            self._update_attribution(now)

    # What others tell.

    def merge(self, news: QuarantineUpdate, now: float, *, is_direct: bool) -> bool:
        """Take what another router told; returns whether any of it was new.

        Parameters
        ----------
        news : QuarantineUpdate
            What it told.
        now : float
            Time in seconds.
        is_near : bool
            Whether other failure domains have to be told of it from here.
        """
        alive = [
            incarnation_id
            for incarnation_id, age_s in news.alive_ages_s.items()
            if self._evidence.record_alive(incarnation_id, now - age_s)
        ]
        suspects = [each for each in news.suspects if self._merge_suspect(each, now)]
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
        self, identity: Identity, ended: Iterable[str], trials: int, now: float
    ) -> None:
        """Take what the store keeps of a request."""
        for incarnation_id in ended:
            self._evidence.add(identity, incarnation_id, now)
        self._update_attribution(now)
        blame = self.blames.get(identity)
        if blame is not None and trials > blame.trials:
            _set_trials(blame, trials, now)

    def record_stored(self, identity: Identity, ends: int) -> None:
        """Take that the store has so many ends under a request."""
        if self._evidence.crashed_incarnations(
            identity
        ) and ends > self.stored_crashes.get(identity, 0):
            self.stored_crashes[identity] = ends
            self._tell(identity)

    def record_trial(self, identity: Identity, trials: int, now: float) -> None:
        """Take that a request was given so many trials."""
        blame = self.blames.get(identity)
        if blame is not None:
            _set_trials(blame, trials, now)

    # What is told.

    def next_update(self, outbox: Outbox, now: float) -> QuarantineUpdate:
        """Return what is to be told now; each thing is told a few times."""
        if now - self._told_again_at >= TOLD_AGAIN_S:
            self._told_again_at = now
            for identity in self.blames:
                self.direct_outbox.add_once(identity)
                self.relay_outbox.add_once(identity)
        return QuarantineUpdate(
            [self._update_for(each, now) for each in outbox.take(MOST_TOLD)],
            {
                incarnation_id: _age_s(self._evidence.alive_at(incarnation_id), now)
                for incarnation_id in outbox.take_alive(MOST_TOLD)
            },
        )

    def _tell(self, identity: Identity) -> None:
        self.direct_outbox.add(identity)
        self.relay_outbox.add(identity)
        self.on_urgent_update()

    def _update_for(self, identity: Identity, now: float) -> SuspectUpdate:
        ended = list(self._evidence.crashed_incarnations(identity).items())[
            -MOST_LIVES_TOLD:
        ]
        return SuspectUpdate(
            identity,
            {incarnation_id: _age_s(at, now) for incarnation_id, at in ended},
            self._evidence.cleared(identity)[-MOST_LIVES_TOLD:],
            self.stored_crashes.get(identity, 0),
        )

    def _merge_suspect(self, suspect: SuspectUpdate, now: float) -> bool:
        is_new = False
        if suspect.cleared:
            is_new = self._evidence.clear(suspect.identity, suspect.cleared, now)
        for incarnation_id, age_s in suspect.ages_s.items():
            is_new |= self._evidence.add(suspect.identity, incarnation_id, now - age_s)
        if suspect.stored_crashes > self.stored_crashes.get(suspect.identity, 0):
            self.stored_crashes[suspect.identity] = suspect.stored_crashes
            is_new = True
        return is_new

    def _update_attribution(self, now: float) -> None:
        self._attribution = attribute_crashes(self._evidence.ended_by_identity())
        for identity in list(self.blames):
            if identity not in self._attribution.blamed:
                del self.blames[identity]
                self.on_change(
                    QuarantineChange(ChangeKind.NO_LONGER_BLAMED, identity, ())
                )
        for identity, ended in self._attribution.blamed.items():
            if identity not in self.blames:
                blame = self.blames[identity] = Blame(now)
                _set_trials(blame, 0, now)
                if identity in self._attribution.contested:
                    blame.next_trial_at = now + CONTESTED_TRIAL_AFTER_S
                self.on_change(
                    QuarantineChange(ChangeKind.BLAMED, identity, sorted(ended))
                )


def _age_s(time: float, now: float) -> float:
    return round(min(max(0.0, now - time), LONGEST_AGE_S), 3)


def _set_trials(blame: Blame, trials: int, now: float) -> None:
    blame.trials = trials
    has_more = trials < len(TRIAL_DELAYS_S)
    blame.next_trial_at = now + TRIAL_DELAYS_S[trials] if has_more else None
