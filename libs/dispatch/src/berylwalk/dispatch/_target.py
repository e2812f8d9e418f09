"""State and statistics of one target."""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylwalk.dispatch._cache_memory import CacheLoad, CacheMemory
from berylwalk.dispatch._first_event_model import FirstEventModel
from berylwalk.dispatch._flow_control import FlowControl
from berylwalk.dispatch._passed_over import RecentStarts
from berylwalk.dispatch._target_entries import (
    IneligibilityReason,
    TargetEntry,
    TargetState,
    Work,
)
from berylwalk.dispatch._target_load import (
    LONG_AGO,
    RecentSends,
    ReportedLoad,
    SentTotals,
    is_acceptable,
    is_usable,
)
from berylwalk.dispatch._target_report import TargetReport
from berylwalk.dispatch._target_signals import NO_SIGNALS, TargetSignals

INITIAL_BACKOFF_S = 0.4
"""First backoff after a connection failure, in seconds; doubled on each failure."""
MAX_BACKOFF_S = 3.0
"""Upper bound of the backoff in seconds: a target that returns is soon tried again."""
ERROR_WEIGHT = 0.12
"""Weight of one response in the moving average of the error rate: about eight count."""
ERROR_RATE_THRESHOLD = 0.3
"""Error rate above which a target receives probe requests only."""
PROBE_INTERVAL_S = 0.5
"""Time between probe requests to a target with a high error rate, in seconds."""
SPEED_WEIGHT = 0.12
"""Weight of one response in the moving averages of times: about eight count."""
QUEUED_SPEED_WEIGHT = 0.03
"""Same for the fixed time of a response that waited for a slot, where the fixed part is
less certain."""
HALF_WEIGHT_TOKENS = 400
"""Number of output tokens that gets a weight of 1/2 in the moving average of the speed:
one long response, or a few short ones, show it."""
MIN_OUTPUT_TOKENS = 30
"""Minimum number of output tokens for a speed observation."""
MIN_SLOT_S = 0.001
"""Minimum slot time in seconds. Avoids division by zero for responses whose events
arrive all at once."""
MAX_PLAUSIBLE_S = 3600.0
"""Upper bound of a plausible stored time in seconds."""
MIN_FIXED_SHARE = 0.2
"""Minimum share of the time to the first event that counts as fixed time."""
SILENCE_TIMEOUT_S = 0.6
"""Time without any byte after which a target with open requests counts as silent, in
seconds. The expected prefill time is added."""
SILENCE_FACTOR = 2.0
"""Safety factor on the expected prefill time, during which nothing is sent."""
DEFAULT_TOKEN_S = 0.004
"""Time per output token assumed for a target of unknown speed, in seconds: a step of an
engine takes some milliseconds."""
UNKNOWN_SPEED_FACTOR = 3.0
"""Safety factor on the default speed when silence is detected."""


@dataclass(frozen=True, slots=True)
class FirstEventEstimate:
    """Components of the estimated time to the first event.

    Parameters
    ----------
    fixed_s : float
        Time that every request takes, in seconds.
    prefill_s : float
        Prefill time of the prompts ahead and of the own prompt, in seconds.
    slot_wait_s : float
        Wait for a slot, in seconds.
    ahead_tokens : int
        Prompt tokens ahead of the request.
    own_tokens : int
        Own prompt tokens that are not cached.
    """

    fixed_s: float
    prefill_s: float
    slot_wait_s: float
    ahead_tokens: int
    own_tokens: int

    @property
    def total_s(self) -> float:
        """Time from sending the request to the first event, in seconds."""
        return self.fixed_s + self.prefill_s + self.slot_wait_s


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSpeed:
    """Observed speed of a target, stored across restarts of the router.

    Parameters
    ----------
    fixed_s, slot_s, output_token_s, event_s : float or None
        As in `Target`, in seconds.
    paused_share : float
        Share of streams with a pause above the bound.
    """

    fixed_s: float | None
    slot_s: float | None
    output_token_s: float | None
    event_s: float | None
    paused_share: float

    @property
    def is_possible(self) -> bool:
        """Whether all values are plausible; others divide by the times."""
        times = (self.fixed_s, self.slot_s, self.output_token_s, self.event_s)
        are_times = all(time is None or 0 < time < MAX_PLAUSIBLE_S for time in times)
        return are_times and 0 <= self.paused_share <= 1


@dataclass(slots=True)
class Target:
    """A target and its statistics.

    Attributes
    ----------
    entry : TargetEntry
        Entry in the list of targets.
    first_event_model : FirstEventModel
        Model shared by all targets of the service.
    in_flight, waiting_tokens : int
        Requests of this router at the target, and prompt tokens of those without a
        first event.
    unread : int
        Those of them whose responses are not read now, because their callers read too
        slowly.
    peer_in_flight, peer_tokens : int
        Same for the other routers, as last reported.
    fixed_s : float or None
        Moving average of the time to the first event without prefill and queueing,
        in seconds.
    slot_s : float or None
        Moving average of the time that a request occupies a slot, in seconds.
    output_token_s : float or None
        Moving average of the time per output token, in seconds.
    event_s : float or None
        Moving average of the time per stream event, in seconds.
    paused_share : float
        Moving average of the share of streams with a pause above the bound.
    error_rate : float
        Moving average of the share of failed responses.
    consecutive_failures : int
        Connection failures in a row.
    backoff_until : float
        End of the backoff, in seconds; no request is sent before.
    silent_at : float
        Time of the last failure if the target was silent then, in seconds; else inf.
    last_sent_at : float
        Time of the last request, in seconds.
    last_heard_at : float
        Time of the last byte from the target, in seconds.
    sending_since : float
        Time since which it was never silent for `SILENCE_TIMEOUT_S` with open requests,
        in seconds.
    awaiting_since : float or None
        Time since which requests are open without a byte from the target, not counting
        unread ones.
    unlisted_since : float or None
        Time since which the target is missing from the list of targets.
    is_replaced : bool
        Whether another incarnation answers at its address.
    last_signals : TargetSignals
        Flow control signals of the last response.
    flow_control : FlowControl
        Flow control state from all responses.
    on_incarnation_ended : set of callable
        Called when the target has restarted; its open requests get no response.
    report : TargetReport or None
        Last report of the monitor on the VM of the target; None without one, or if it
        is too old.
    sent : SentTotals
        Totals of what this router and the others have sent, as far as told.
    recent_sends : RecentSends
        The last of these requests.
    reported_load : ReportedLoad or None
        Load by the report; None without one.
    cache_memory : CacheMemory
        Use of its KV cache by requests of this router.
    recent_starts : RecentStarts
        The last first events of requests of this router.
    """

    entry: TargetEntry
    first_event_model: FirstEventModel = field(default_factory=FirstEventModel)
    in_flight: int = 0
    waiting_tokens: int = 0
    unread: int = 0
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
    silent_at: float = float("inf")
    last_sent_at: float = float("-inf")
    last_heard_at: float = float("-inf")
    sending_since: float = float("-inf")
    awaiting_since: float | None = None
    unlisted_since: float | None = None
    is_replaced: bool = False
    last_signals: TargetSignals = NO_SIGNALS
    flow_control: FlowControl = field(default_factory=FlowControl)
    on_incarnation_ended: set[Callable[[], None]] = field(default_factory=set)
    report: TargetReport | None = None
    sent: SentTotals = field(default_factory=SentTotals)
    recent_sends: RecentSends = field(default_factory=RecentSends)
    reported_load: ReportedLoad | None = None
    cache_memory: CacheMemory = field(default_factory=CacheMemory)
    recent_starts: RecentStarts = field(default_factory=RecentStarts)

    def notify_incarnation_ended(self) -> None:
        """Notify all subscribers that this incarnation has ended."""
        for callback in list(self.on_incarnation_ended):
            callback()

    @property
    def total_in_flight(self) -> int:
        """Requests of all routers at the target.

        By its last report, and by what has changed since; without a report, by what the
        routers tell each other.
        """
        if self.reported_load is not None:
            return self.reported_load.requests_with(self.sent)
        return self.in_flight + self.peer_in_flight

    @property
    def queued_prompt_tokens(self) -> int:
        """Prompt tokens of all routers that the target has not prefilled."""
        if self.reported_load is not None:
            return self.reported_load.unread_tokens_with(self.sent)
        return self.waiting_tokens + self.peer_tokens

    def note_report(self, report: TargetReport, now: float) -> bool:
        """Use a report; returns False if it is late or outdated."""
        if not is_acceptable(report, self.report, now):
            return False
        self.report = report
        requests, tokens = self.recent_sends.missing_in(report)
        self.reported_load = ReportedLoad(
            report.in_flight, report.unread_tokens, self.sent.plus(-requests, -tokens)
        )
        return True

    def note_no_report(self) -> None:
        """Go by the messages of the routers: the monitor has no reading."""
        self.report = self.reported_load = None

    def expire_report(self, now: float) -> bool:
        """Drop a report that is too old; returns whether it was."""
        if self.report is None or is_usable(self.report, now):
            return False
        self.note_no_report()
        return True

    def is_silent(self, now: float) -> bool:
        """Return whether the target has exceeded its silence timeout."""
        if self.awaiting_since is None:
            return False
        return (
            now - max(self.awaiting_since, self.last_heard_at)
            > self.silence_timeout_s()
        )

    def silence_timeout_s(self) -> float:
        """Return how long a healthy target may send nothing, in seconds.

        A target that prefills long prompts and has no other request sends nothing.
        """
        token_s = self.output_token_s or UNKNOWN_SPEED_FACTOR * DEFAULT_TOKEN_S
        # Prompts that a report shows as prefilled have been so during the silence.
        tokens = max(self.queued_prompt_tokens, self.waiting_tokens + self.peer_tokens)
        prefill_s = self.first_event_model.prefill_s(token_s, 0, tokens)
        return SILENCE_TIMEOUT_S + SILENCE_FACTOR * prefill_s

    def is_available(self, now: float) -> bool:
        """Return whether a request may be sent, regardless of the load."""
        return self.ineligibility_reason(now) is None

    def ineligibility_reason(self, now: float) -> IneligibilityReason | None:
        """Return why no request may be sent, regardless of the load, or None."""
        if self.entry.state is not TargetState.READY:
            return IneligibilityReason.DRAINING
        if self.is_replaced:
            return IneligibilityReason.REPLACED
        if now < self.backoff_until and not self._has_gone_on(now):
            return IneligibilityReason.BACKOFF
        if self.is_silent(now):
            return IneligibilityReason.SILENT
        is_erroneous = self.error_rate > ERROR_RATE_THRESHOLD
        if is_erroneous and now - self.last_sent_at < PROBE_INTERVAL_S:
            return IneligibilityReason.ERRORS
        return self.flow_control.ineligibility_reason(now)

    def _has_gone_on(self, now: float) -> bool:
        """Return whether the target has sent steadily since it failed by its silence.

        Its requests that were given up meanwhile each extended the backoff.
        """
        if self.sending_since <= self.silent_at or self.is_silent(now):
            return False
        sent_last_at = self.last_heard_at if self.awaiting_since is None else now
        return sent_last_at - self.sending_since > SILENCE_TIMEOUT_S

    def cache_load(self, now: float, work: Work | None = None) -> CacheLoad | None:
        """Return the use of the KV cache, with one more request if given.

        None if the capacity is unknown.
        """
        return self.cache_memory.load(
            work, peer_in_flight=self.peer_in_flight, report=self.report, now=now
        )

    def may_crash_of(self, work: Work, now: float) -> bool:
        """Return whether a request could exceed the KV cache and crash the target.

        A target without requests takes any, as no other target has more room.
        """
        crashes_when_full = self.cache_memory.service.crashes_when_full
        if not crashes_when_full or not self.total_in_flight:
            return False
        load = self.cache_load(now, work)
        return load is not None and not load.fits

    def cache_explains_crash(self, now: float) -> bool:
        """Return whether a crash now may be due to the use of the KV cache."""
        self.cache_memory.note_load(self.cache_load(now), now)
        return self.cache_memory.explains_crash(now)

    def note_sent(self, work: Work, now: float) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.cache_memory.note_sent(work)
        self.cache_memory.note_load(self.cache_load(now), now)
        self.waiting_tokens += work.prompt_tokens
        self.last_sent_at = now
        self.sent = self.sent.plus(1, work.prompt_tokens)
        self.recent_sends.note_sent(1, work.prompt_tokens, now)
        self.flow_control.note_sent(now)
        if self.awaiting_since is None:
            self.awaiting_since = now

    def note_unread(self) -> None:
        """Record that a response is not read from now on."""
        self.unread += 1
        self._end_wait_without_requests()

    def note_read(self, now: float) -> None:
        """Record that a response that was not read is read again, or has ended."""
        self.unread -= 1
        if self.awaiting_since is None:
            self.awaiting_since = now

    def _end_wait_without_requests(self) -> None:
        """Stop expecting bytes if no request is open whose response is read."""
        if self.in_flight <= self.unread:
            self.awaiting_since = None

    def note_first_event(
        self, work: Work, start: FirstEventEstimate, taken_s: float
    ) -> None:
        """Update the statistics with the time to a first event.

        Parameters
        ----------
        work : Work
            Size of the request.
        start : FirstEventEstimate
            Estimate made when the request was sent.
        taken_s : float
            Time from sending the request to the first event, in seconds.
        """
        self.waiting_tokens -= work.prompt_tokens
        remainder_s = taken_s - start.slot_wait_s - start.prefill_s
        sample = max(remainder_s, taken_s * MIN_FIXED_SHARE)
        had_free_slot = start.slot_wait_s == 0
        if had_free_slot and self.output_token_s is not None:
            self.first_event_model.observe(
                self.output_token_s, start.ahead_tokens, start.own_tokens, taken_s
            )
        weight = SPEED_WEIGHT if had_free_slot else QUEUED_SPEED_WEIGHT
        self.fixed_s = _moving_mean(self.fixed_s, sample, weight)

    def note_output(self, tokens: int, events: int, taken_s: float) -> None:
        """Update the output speed.

        Parameters
        ----------
        tokens, events : int
            Tokens after the first event, and the number of their events.
        taken_s : float
            Time between the first and the last event, in seconds.
        """
        if tokens < MIN_OUTPUT_TOKENS:
            return
        weight = tokens / (tokens + HALF_WEIGHT_TOKENS)
        self.output_token_s = _moving_mean(
            self.output_token_s, taken_s / tokens, weight
        )
        self.event_s = _moving_mean(self.event_s, taken_s / events, weight)

    def note_paused(self, was_too_long: bool) -> None:
        """Record whether a stream had a pause above the bound."""
        sample = 1.0 if was_too_long else 0.0
        self.paused_share += SPEED_WEIGHT * (sample - self.paused_share)

    def speed(self) -> TargetSpeed:
        """Return the observed speed."""
        return TargetSpeed(
            fixed_s=self.fixed_s,
            slot_s=self.slot_s,
            output_token_s=self.output_token_s,
            event_s=self.event_s,
            paused_share=self.paused_share,
        )

    def adopt_speed(self, speed: TargetSpeed) -> None:
        """Use a stored speed for values without own observations."""
        if self.fixed_s is None:
            self.fixed_s = speed.fixed_s
        if self.slot_s is None and speed.slot_s is not None:
            self.slot_s = max(speed.slot_s, MIN_SLOT_S)
        if self.output_token_s is None:
            self.output_token_s = speed.output_token_s
            self.event_s = speed.event_s
            self.paused_share = speed.paused_share

    def note_slot_time(self, taken_s: float) -> None:
        """Update the slot time with that of an answered request."""
        sample = max(taken_s, MIN_SLOT_S)
        self.slot_s = _moving_mean(self.slot_s, sample, SPEED_WEIGHT)

    def note_heard(self, now: float) -> None:
        """Record that bytes arrived."""
        if self.awaiting_since is not None:
            silent_s = now - max(self.awaiting_since, self.last_heard_at)
            if silent_s > SILENCE_TIMEOUT_S:
                self.sending_since = now
            self.awaiting_since = now
        self.last_heard_at = now

    def note_suspended(self, suspended_s: float) -> None:
        """Exclude a suspension of this router from the silence timeout."""
        self.last_heard_at += suspended_s
        self.sending_since = max(self.sending_since, self.last_heard_at)
        if self.awaiting_since is not None:
            self.awaiting_since += suspended_s

    def note_peer_change(
        self, requests: int, prompt_tokens: int, told_at: float
    ) -> None:
        """Apply changes of the load that a peer tells.

        Parameters
        ----------
        requests, prompt_tokens : int
            Changes of its requests in flight and of its waiting prompt tokens.
        told_at : float
            Time at which it told them, in seconds; `LONG_AGO` if they are old.
        """
        self.peer_in_flight += requests
        self.peer_tokens += prompt_tokens
        more_requests, more_tokens = max(0, requests), max(0, prompt_tokens)
        if told_at != LONG_AGO and (more_requests or more_tokens):
            self.sent = self.sent.plus(more_requests, more_tokens)
            self.recent_sends.note_sent(more_requests, more_tokens, told_at)

    def note_finished(self, work: Work, *, had_first_event: bool) -> None:
        """Stop counting a request as in flight, whatever its outcome."""
        self.in_flight -= 1
        self.cache_memory.note_finished(work)
        if not had_first_event:
            self.waiting_tokens -= work.prompt_tokens
        self._end_wait_without_requests()

    def note_success(self) -> None:
        """Record a successful response."""
        self.consecutive_failures = 0
        self.error_rate -= ERROR_WEIGHT * self.error_rate

    def note_error(self) -> None:
        """Record a failed response from a reachable target."""
        self.error_rate += ERROR_WEIGHT * (1 - self.error_rate)

    def note_unreachable(self, now: float) -> None:
        """Back off after a connection failure."""
        self.silent_at = now if self.is_silent(now) else float("inf")
        self.consecutive_failures += 1
        pause_s = INITIAL_BACKOFF_S * 2 ** min(self.consecutive_failures - 1, 4)
        self.backoff_until = max(self.backoff_until, now + min(pause_s, MAX_BACKOFF_S))

    def note_replaced(self) -> None:
        """Stop sending: another incarnation answers at this address.

        The old entry stays listed until its lease expires, and its refused requests
        would make it look idle.
        """
        self.is_replaced = True

    def available_at(self, now: float) -> float:
        """Return when the target accepts requests, in seconds, as far as announced."""
        return self.flow_control.available_at(now)

    def note_refused(self, now: float, pause_s: float) -> None:
        """Back off for a given time after the target refused a request."""
        self.backoff_until = max(self.backoff_until, now + pause_s)


def _moving_mean(mean: float | None, sample: float, weight: float) -> float:
    return sample if mean is None else mean + weight * (sample - mean)
