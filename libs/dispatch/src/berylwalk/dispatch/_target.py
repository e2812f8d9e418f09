"""What a router believes of one target."""

from dataclasses import dataclass

from berylwalk.dispatch._target_entries import (
    Obstacle,
    TargetEntry,
    TargetState,
    Work,
)

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
