"""What a router believes of each target."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

FIRST_ASIDE_S = 0.4
"""First time that a failing target is set aside, in seconds; doubled each time."""
LONGEST_ASIDE_S = 3.0
"""Bound of the time set aside: a target that came back is soon tried again."""
ERROR_WEIGHT = 0.12
"""Weight of one answer in the moving share of errors: some eight answers count."""
ERRONEOUS_SHARE = 0.3
"""A target with more errors than this gets only trial requests."""
TRIAL_GAP_S = 0.5
"""Time between trial requests at an erroneous target, in seconds."""
SPEED_WEIGHT = 0.12
"""Weight of one first event in the moving speed."""
LEAST_OUTPUT_TOKENS = 30
"""Output tokens from which an answer tells something of a target's speed."""
LEAST_OWN_SHARE = 0.2
"""Least part of the time to a first event that is not put down to waiting."""
SILENT_AFTER_S = 0.6
"""A target that owes events and sent no byte for this long is taken for dark."""
SILENCE_FACTOR = 2.0
"""Margin over the expected time of reading prompts, in which nothing is sent."""
UNKNOWN_SLOWNESS = 3.0
"""Taken for a target that nothing is known of, when its silence is judged."""
TOKEN_S = 0.0000165
"""Time of the reference engine for a prompt token, in seconds."""
PAIR_S = 1.6e-10
"""The same for each pair of tokens of one prompt."""
ABSENT_TARGETS_KEPT_S = 2.0
"""Time after an outage of the store within which lapsed entries come back."""


class TargetState(StrEnum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Obstacle(StrEnum):
    """Why a target gets no request."""

    DRAINING = "draining"
    ASIDE = "aside"
    """Its connection failed, or it refused work, a short time ago."""

    SILENT = "silent"
    ERRORS = "errors"
    FULL = "full"
    EXCLUDED = "excluded"
    """It was tried for this request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetEntry:
    """One target as the list of targets has it.

    Parameters
    ----------
    target_id : str
        Identifies one life of the target.
    service : str
        Service that it belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it works on at the same time.
    state : TargetState
        Whether it takes new work.
    """

    target_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    state: TargetState


@dataclass(frozen=True, slots=True)
class Work:
    """Size of one request.

    Parameters
    ----------
    prompt_tokens : int
        Tokens to be read before the first event; 0 for a plain call.
    prefix_key : str
        Names the part of the prompt that other requests share, or empty.
    prefix_tokens : int
        Length of that part.
    output_tokens : int
        Tokens that the answer is expected to have, or its most.
    """

    prompt_tokens: int = 0
    prefix_key: str = ""
    prefix_tokens: int = 0
    output_tokens: int = 0


@dataclass(slots=True)
class Target:
    """One target and what was observed of it.

    Attributes
    ----------
    in_flight, waiting_tokens : int
        Own requests at the target, and prompt tokens of those that have not
        brought a first event.
    peer_in_flight, peer_tokens : int
        The same of the other routers, as last heard.
    slowness : float or None
        Moving mean of the time to a first event, as a multiple of that of the
        reference engine.
    slot_s : float or None
        Moving mean of the time that a request keeps its slot, in seconds.
    output_token_s : float or None
        Moving mean of the time that an output token takes, in seconds.
    errors : float
        Moving share of failed answers.
    failures : int
        Failures in a row.
    aside_until : float
        No request is sent before this time.
    heard_at : float
        When any byte last came from the target.
    owes_since : float or None
        Since when requests are there without any byte of the target.
    """

    entry: TargetEntry
    in_flight: int = 0
    waiting_tokens: int = 0
    peer_in_flight: int = 0
    peer_tokens: int = 0
    slowness: float | None = None
    slot_s: float | None = None
    output_token_s: float | None = None
    errors: float = 0.0
    failures: int = 0
    aside_until: float = float("-inf")
    tried_at: float = float("-inf")
    heard_at: float = float("-inf")
    owes_since: float | None = None
    missing_since: float | None = None
    prefixes: dict[str, float] = field(default_factory=dict)

    @property
    def total_in_flight(self) -> int:
        """Requests at the target of all routers."""
        return self.in_flight + self.peer_in_flight

    def is_silent(self, now: float) -> bool:
        """Return whether the target owes an event for too long."""
        if self.owes_since is None:
            return False
        return now - max(self.owes_since, self.heard_at) > self.longest_silence_s()

    def longest_silence_s(self) -> float:
        """Return for how long a sound target may send nothing, in seconds.

        One that reads long prompts and has no other request sends nothing.
        """
        slowness = self.slowness or UNKNOWN_SLOWNESS
        tokens = self.waiting_tokens + self.peer_tokens
        reading_s = slowness * reading_time_s(tokens)
        return SILENT_AFTER_S + SILENCE_FACTOR * reading_s

    def takes_work(self, now: float) -> bool:
        """Return whether a request may be sent, its number in flight aside."""
        return self.obstacle(now) is None

    def obstacle(self, now: float) -> Obstacle | None:
        """Return why no request may be sent, its number in flight aside."""
        if self.entry.state is not TargetState.READY:
            return Obstacle.DRAINING
        if now < self.aside_until:
            return Obstacle.ASIDE
        if self.is_silent(now):
            return Obstacle.SILENT
        is_erroneous = self.errors > ERRONEOUS_SHARE
        if is_erroneous and now - self.tried_at < TRIAL_GAP_S:
            return Obstacle.ERRORS
        return None

    def note_sent(self, work: Work, now: float) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.waiting_tokens += work.prompt_tokens
        self.tried_at = now
        if self.owes_since is None:
            self.owes_since = now

    def note_first_event(
        self, work: Work, *, expected_s: float, waited_s: float, taken_s: float
    ) -> None:
        """Learn from the time to a first event.

        Parameters
        ----------
        work : Work
            The request.
        expected_s : float
            Time of the reference engine with the load at the sending.
        waited_s : float
            Expected wait for a slot of it, in seconds.
        taken_s : float
            Time from the sending to the first event, in seconds.
        """
        self.waiting_tokens -= work.prompt_tokens
        sample = max(taken_s - waited_s, taken_s * LEAST_OWN_SHARE) / expected_s
        if self.slowness is None:
            self.slowness = sample
        else:
            self.slowness += SPEED_WEIGHT * (sample - self.slowness)

    def note_output(self, tokens: int, taken_s: float) -> None:
        """Learn from the time between the first and the last of output tokens."""
        if tokens < LEAST_OUTPUT_TOKENS:
            return
        sample = taken_s / tokens
        if self.output_token_s is None:
            self.output_token_s = sample
        else:
            self.output_token_s += SPEED_WEIGHT * (sample - self.output_token_s)

    def note_slot_time(self, taken_s: float) -> None:
        """Learn from the time that an answered request kept its slot."""
        if self.slot_s is None:
            self.slot_s = taken_s
        else:
            self.slot_s += SPEED_WEIGHT * (taken_s - self.slot_s)

    def note_heard(self, now: float) -> None:
        """Note that bytes came."""
        self.heard_at = now
        if self.owes_since is not None:
            self.owes_since = now

    def note_left(self, work: Work, *, had_first_event: bool) -> None:
        """Count a request out that was sent, however it ended."""
        self.in_flight -= 1
        if not had_first_event:
            self.waiting_tokens -= work.prompt_tokens
        if self.in_flight == 0:
            self.owes_since = None

    def note_success(self) -> None:
        """Note a proper answer."""
        self.failures = 0
        self.errors -= ERROR_WEIGHT * self.errors

    def note_error(self) -> None:
        """Note an answer that failed though the target is there."""
        self.errors += ERROR_WEIGHT * (1 - self.errors)

    def note_unreachable(self, now: float) -> None:
        """Set the target aside after its connection failed."""
        self.failures += 1
        pause_s = FIRST_ASIDE_S * 2 ** min(self.failures - 1, 4)
        self.aside_until = max(self.aside_until, now + min(pause_s, LONGEST_ASIDE_S))

    def note_full(self, now: float, pause_s: float) -> None:
        """Leave the target alone for a moment after it refused work."""
        self.aside_until = max(self.aside_until, now + pause_s)


def reading_time_s(tokens: int) -> float:
    """Return the time of the reference engine for reading a prompt, in seconds."""
    return TOKEN_S * tokens + PAIR_S * tokens * tokens


class TargetTable:
    """All targets by id, kept in step with the list of targets.

    Parameters
    ----------
    absence_grace_s : float
        Time for which a target is kept that is missing after an outage of the
        store, during which entries may have lapsed, in seconds.
    """

    def __init__(self, *, absence_grace_s: float = ABSENT_TARGETS_KEPT_S) -> None:
        self.by_id: dict[str, Target] = {}
        self.absence_grace_s = absence_grace_s
        self._lapsed_until = float("-inf")
        self._by_service: dict[str, list[Target]] = {}
        self._peer_loads_by_name: dict[str, dict[str, tuple[int, int]]] = {}

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def note_outage_ended(self, now: float) -> None:
        """Tell that entries may have lapsed while the store was away."""
        self._lapsed_until = now + self.absence_grace_s

    def replace(self, entries: Iterable[TargetEntry], now: float) -> list[str]:
        """Take a whole list of targets; returns the ids that are gone.

        A missing target is gone at once, but for a time after an outage of the
        store: there entries may have lapsed of targets that are alive, and
        those reappear within a bound.
        """
        entries_by_id = {entry.target_id: entry for entry in entries}
        gone = []
        for target_id, target in list(self.by_id.items()):
            if target_id in entries_by_id:
                target.missing_since = None
                continue
            if target.missing_since is None:
                target.missing_since = now
            if now >= self._lapsed_until:
                gone.append(target_id)
                del self.by_id[target_id]
        for entry in entries_by_id.values():
            self._put(entry)
        self._index()
        return gone

    def update(self, entry: TargetEntry) -> None:
        """Take one changed entry."""
        self._put(entry)
        self.by_id[entry.target_id].missing_since = None
        self._index()

    def remove(self, target_id: str, now: float) -> bool:
        """Take a removed entry; returns whether the target is gone for good."""
        target = self.by_id.get(target_id)
        if target is None:
            return False
        target.missing_since = now
        if now < self._lapsed_until:
            return False
        del self.by_id[target_id]
        self._index()
        return True

    def hear_loads(self, peer: str, loads_by_id: dict[str, tuple[int, int]]) -> None:
        """Take the requests in flight and waiting tokens of a peer, whole."""
        former = self._peer_loads_by_name.get(peer, {})
        for target_id, (count, tokens) in former.items():
            self._shift(target_id, -count, -tokens)
        for target_id, (count, tokens) in loads_by_id.items():
            self._shift(target_id, count, tokens)
        if loads_by_id:
            self._peer_loads_by_name[peer] = loads_by_id
        else:
            self._peer_loads_by_name.pop(peer, None)

    def own_loads(self) -> dict[str, tuple[int, int]]:
        """Return the own requests in flight and waiting tokens by target id."""
        return {
            target_id: (target.in_flight, target.waiting_tokens)
            for target_id, target in self.by_id.items()
            if target.in_flight
        }

    def _shift(self, target_id: str, count: int, tokens: int) -> None:
        target = self.by_id.get(target_id)
        if target is not None:
            target.peer_in_flight += count
            target.peer_tokens += tokens

    def _put(self, entry: TargetEntry) -> None:
        target = self.by_id.get(entry.target_id)
        if target is not None:
            target.entry = entry
            return
        target = Target(entry)
        for loads_by_id in self._peer_loads_by_name.values():
            count, tokens = loads_by_id.get(entry.target_id, (0, 0))
            target.peer_in_flight += count
            target.peer_tokens += tokens
        self.by_id[entry.target_id] = target

    def _index(self) -> None:
        self._by_service = {}
        for target in self.by_id.values():
            of_service = self._by_service.setdefault(target.entry.service, [])
            of_service.append(target)
