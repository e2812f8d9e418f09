"""What a router believes of one target."""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylwalk.dispatch._first_event_model import FirstEventModel
from berylwalk.dispatch._flow_control import FlowControl
from berylwalk.dispatch._target_entries import (
    IneligibilityReason,
    TargetEntry,
    TargetState,
    Work,
)
from berylwalk.dispatch._target_signals import NO_SIGNALS, TargetSignals

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
"""Weight of one answer in the moving means of times: some eight answers count."""
WAITED_WEIGHT = 0.03
"""The same in the fixed time, for an answer that had to wait for a slot: its own part
of the time is less certain."""
OUTPUT_TOKENS_KNOWN = 400
"""Output tokens whose weight in the moving speed is one half: one long answer, or a few
short ones, tell the speed of a target."""
LEAST_OUTPUT_TOKENS = 30
"""Output tokens from which an answer tells something of a target's speed."""
LEAST_SLOT_S = 0.001
"""Least time that a request is taken to keep its slot, in seconds: an answer whose
events come all at once tells of none, and others are divided by it."""
LONGEST_LEARNED_S = 3600.0
"""Bound of what is believed of a noted time, in seconds: no request takes longer."""
LEAST_OWN_SHARE = 0.2
"""Least part of the time to a first event that is not put down to waiting."""
SILENT_AFTER_S = 0.6
"""A target that owes events and sent no byte for this long is taken for dark."""
SILENCE_FACTOR = 2.0
"""Margin over the expected time of reading prompts, in which nothing is sent."""
UNKNOWN_TOKEN_S = 0.004
"""Time for an output token of a target of which nothing is known, in seconds: engines
take some milliseconds for a step."""
UNKNOWN_FACTOR = 3.0
"""How much slower a target may be of which nothing is known, when its silence is
judged."""


@dataclass(frozen=True, slots=True)
class FirstEventEstimate:
    """When a request should bring its first event at a target, in parts.

    Parameters
    ----------
    fixed_s : float
        What each request takes there, in seconds.
    reading_s : float
        Reading of the prompts ahead of it and of its own, in seconds.
    slot_wait_s : float
        Wait for a slot, in seconds.
    ahead_tokens : int
        Prompt tokens ahead of it.
    own_tokens : int
        Prompt tokens of its own that the target has to read.
    """

    fixed_s: float
    reading_s: float
    slot_wait_s: float
    ahead_tokens: int
    own_tokens: int

    @property
    def total_s(self) -> float:
        """Time from the sending to the first event, in seconds."""
        return self.fixed_s + self.reading_s + self.slot_wait_s


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSpeed:
    """What was learned of a target's speed, to be kept beyond one life of a router.

    Parameters
    ----------
    fixed_s, slot_s, output_token_s, event_s : float or None
        As in `Target`, in seconds.
    paused_share : float
        Share of streams with a pause that was too long.
    """

    fixed_s: float | None
    slot_s: float | None
    output_token_s: float | None
    event_s: float | None
    paused_share: float

    @property
    def is_possible(self) -> bool:
        """Whether a target can have this speed: others divide by its times."""
        times = (self.fixed_s, self.slot_s, self.output_token_s, self.event_s)
        are_times = all(time is None or 0 < time < LONGEST_LEARNED_S for time in times)
        return are_times and 0 <= self.paused_share <= 1


@dataclass(slots=True)
class Target:
    """One target and what was observed of it.

    Attributes
    ----------
    start_model : StartModel
        What is known of the starts of all targets of the service.
    in_flight, waiting_tokens : int
        Own requests at the target, and prompt tokens of those that have not
        brought a first event.
    peer_in_flight, peer_tokens : int
        The same of the other routers, as last heard.
    fixed_s : float or None
        Moving mean of the time to a first event besides reading and waiting, in
        seconds.
    slot_s : float or None
        Moving mean of the time that a request keeps its slot, in seconds.
    output_token_s : float or None
        Moving mean of the time that an output token takes, in seconds.
    event_s : float or None
        The same of an event of a stream.
    paused_share : float
        Moving share of streams with a pause that was too long.
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
    is_replaced : bool
        Whether another life was found to answer at its address.
    stated : TargetStatement
        What its last answer stated of it.
    needs : StatedNeeds
        What it has said that it takes.
    on_life_ended : set of callable
        Called when the target turns out to have started again: what it held is
        gone, and requests in flight there won't be answered.
    """

    entry: TargetEntry
    first_event_model: FirstEventModel = field(default_factory=FirstEventModel)
    in_flight: int = 0
    waiting_tokens: int = 0
    peer_in_flight: int = 0
    peer_tokens: int = 0
    fixed_s: float | None = None
    slot_s: float | None = None
    output_token_s: float | None = None
    event_s: float | None = None
    paused_share: float = 0.0
    error_rate: float = 0.0
    consecutive_failures: int = 0
    backoff_until: float = float("-inf")
    last_sent_at: float = float("-inf")
    last_heard_at: float = float("-inf")
    awaiting_since: float | None = None
    unlisted_since: float | None = None
    is_replaced: bool = False
    last_signals: TargetSignals = NO_SIGNALS
    flow_control: FlowControl = field(default_factory=FlowControl)
    on_incarnation_ended: set[Callable[[], None]] = field(default_factory=set)

    def notify_incarnation_ended(self) -> None:
        """Tell all that wait for it that this life of the target has ended."""
        for tell in list(self.on_incarnation_ended):
            tell()

    @property
    def total_in_flight(self) -> int:
        """Requests at the target of all routers."""
        return self.in_flight + self.peer_in_flight

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens of all routers at the target that are not read yet."""
        return self.waiting_tokens + self.peer_tokens

    def is_silent(self, now: float) -> bool:
        """Return whether the target owes an event for too long."""
        if self.awaiting_since is None:
            return False
        return (
            now - max(self.awaiting_since, self.last_heard_at)
            > self.silence_timeout_s()
        )

    def silence_timeout_s(self) -> float:
        """Return for how long a sound target may send nothing, in seconds.

        One that reads long prompts and has no other request sends nothing.
        """
        token_s = self.output_token_s or UNKNOWN_FACTOR * UNKNOWN_TOKEN_S
        reading_s = self.first_event_model.reading_s(token_s, 0, self.unread_tokens)
        return SILENT_AFTER_S + SILENCE_FACTOR * reading_s

    def is_available(self, now: float) -> bool:
        """Return whether a request may be sent, its number in flight aside."""
        return self.ineligibility_reason(now) is None

    def ineligibility_reason(self, now: float) -> IneligibilityReason | None:
        """Return why no request may be sent, its number in flight aside."""
        if self.entry.state is not TargetState.READY:
            return IneligibilityReason.DRAINING
        if self.is_replaced:
            return IneligibilityReason.REPLACED
        if now < self.backoff_until:
            return IneligibilityReason.BACKOFF
        if self.is_silent(now):
            return IneligibilityReason.SILENT
        is_erroneous = self.error_rate > ERRONEOUS_SHARE
        if is_erroneous and now - self.last_sent_at < TRIAL_GAP_S:
            return IneligibilityReason.ERRORS
        return self.flow_control.ineligibility_reason(now)

    def note_sent(self, work: Work, now: float) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.waiting_tokens += work.prompt_tokens
        self.last_sent_at = now
        self.flow_control.note_sent(now)
        if self.awaiting_since is None:
            self.awaiting_since = now

    def note_first_event(
        self, work: Work, start: FirstEventEstimate, taken_s: float
    ) -> None:
        """Learn from the time to a first event.

        Parameters
        ----------
        work : Work
            The request.
        start : ExpectedStart
            What was expected at the sending.
        taken_s : float
            Time from the sending to the first event, in seconds.
        """
        self.waiting_tokens -= work.prompt_tokens
        rest_s = taken_s - start.slot_wait_s - start.reading_s
        sample = max(rest_s, taken_s * LEAST_OWN_SHARE)
        had_free_slot = start.slot_wait_s == 0
        if had_free_slot and self.output_token_s is not None:
            self.first_event_model.note(
                self.output_token_s, start.ahead_tokens, start.own_tokens, taken_s
            )
        weight = SPEED_WEIGHT if had_free_slot else WAITED_WEIGHT
        self.fixed_s = _moved(self.fixed_s, sample, weight)

    def note_output(self, tokens: int, events: int, taken_s: float) -> None:
        """Learn from the time that some output tokens took.

        Parameters
        ----------
        tokens, events : int
            Tokens after the first event, and events in which they came.
        taken_s : float
            Time between that event and the last one, in seconds.
        """
        if tokens < LEAST_OUTPUT_TOKENS:
            return
        weight = tokens / (tokens + OUTPUT_TOKENS_KNOWN)
        self.output_token_s = _moved(self.output_token_s, taken_s / tokens, weight)
        self.event_s = _moved(self.event_s, taken_s / events, weight)

    def note_paused(self, was_too_long: bool) -> None:
        """Learn whether a stream had a pause that was too long."""
        sample = 1.0 if was_too_long else 0.0
        self.paused_share += SPEED_WEIGHT * (sample - self.paused_share)

    def speed(self) -> TargetSpeed:
        """Return what was learned of its speed."""
        return TargetSpeed(
            fixed_s=self.fixed_s,
            slot_s=self.slot_s,
            output_token_s=self.output_token_s,
            event_s=self.event_s,
            paused_share=self.paused_share,
        )

    def adopt_speed(self, speed: TargetSpeed) -> None:
        """Take what an earlier life or another router learned, where nothing is known.

        What is observed from now on moves it, as it moves what is learned here.
        """
        if self.fixed_s is None:
            self.fixed_s = speed.fixed_s
        if self.slot_s is None and speed.slot_s is not None:
            self.slot_s = max(speed.slot_s, LEAST_SLOT_S)
        if self.output_token_s is None:
            self.output_token_s = speed.output_token_s
            self.event_s = speed.event_s
            self.paused_share = speed.paused_share

    def note_slot_time(self, taken_s: float) -> None:
        """Learn from the time that an answered request kept its slot."""
        sample = max(taken_s, LEAST_SLOT_S)
        self.slot_s = _moved(self.slot_s, sample, SPEED_WEIGHT)

    def note_heard(self, now: float) -> None:
        """Note that bytes came."""
        self.last_heard_at = now
        if self.awaiting_since is not None:
            self.awaiting_since = now

    def note_suspended(self, suspended_s: float) -> None:
        """Take the time of a suspension of this router for no silence."""
        self.last_heard_at += suspended_s
        if self.awaiting_since is not None:
            self.awaiting_since += suspended_s

    def note_finished(self, work: Work, *, had_first_event: bool) -> None:
        """Count a request out that was sent, however it ended."""
        self.in_flight -= 1
        if not had_first_event:
            self.waiting_tokens -= work.prompt_tokens
        if self.in_flight == 0:
            self.awaiting_since = None

    def note_success(self) -> None:
        """Note a proper answer."""
        self.consecutive_failures = 0
        self.error_rate -= ERROR_WEIGHT * self.error_rate

    def note_error(self) -> None:
        """Note an answer that failed though the target is there."""
        self.error_rate += ERROR_WEIGHT * (1 - self.error_rate)

    def note_unreachable(self, now: float) -> None:
        """Set the target aside after its connection failed."""
        self.consecutive_failures += 1
        pause_s = FIRST_ASIDE_S * 2 ** min(self.consecutive_failures - 1, 4)
        self.backoff_until = max(
            self.backoff_until, now + min(pause_s, LONGEST_ASIDE_S)
        )

    def note_replaced(self) -> None:
        """Send nothing more: what answers at its address is another life.

        Its entry lapses some heartbeats after its end, while the next life is long
        there; an address that refuses at once looks like one with all places free.
        """
        self.is_replaced = True

    def available_at(self, now: float) -> float:
        """Return when it takes requests again, in seconds, as far as it has said."""
        return self.flow_control.available_at(now)

    def note_refused(self, now: float, pause_s: float) -> None:
        """Leave the target alone for a moment after it refused work."""
        self.backoff_until = max(self.backoff_until, now + pause_s)


def _moved(mean: float | None, sample: float, weight: float) -> float:
    return sample if mean is None else mean + weight * (sample - mean)
