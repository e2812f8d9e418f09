"""Slots of the target: running requests, observed speed and free capacity."""

from collections import Counter
from dataclasses import dataclass

from berylwalk.admission import (
    ConcurrencyLimit,
    OutputLengthModel,
    SpeedModel,
    StragglerDetector,
    Work,
    tier_slot_limit,
)
from berylwalk.agent._config import AgentConfig
from berylwalk.agent._events import DispatchEnd, TargetProgress, TargetSignalsReceived
from berylwalk.dispatch import FlowControl, FlowControlSignal
from berylwalk.model import RequestId, TierPolicy
from berylwalk.wire import Grant

SERVICE_PREFIX = "service:"
MIN_GAP_S = 1e-6


@dataclass(slots=True)
class RunningRequest:
    """Dispatched request in progress."""

    grant: Grant
    started_at: float
    progress_at: float
    tokens: int = 0


class Slots:
    """Slots in use or held, the concurrency limit, and observed speed.

    Parameters
    ----------
    config : AgentConfig
        Limits, policy and nominal speed.
    """

    def __init__(self, config: AgentConfig) -> None:
        self._policy = config.policy
        self._ask_ahead = config.ask_ahead
        self._limit = ConcurrencyLimit(
            config.policy.limit_rule,
            initial=config.initial_limit,
            minimum=config.min_limit,
            maximum=config.max_limit,
            latency_targets=config.latency_targets,
        )
        self._nominal = SpeedModel(
            prefill_tokens_per_s=config.prefill_tokens_per_s,
            token_gap_s=config.token_gap_s,
        )
        self.speed = SpeedModel(
            prefill_tokens_per_s=config.prefill_tokens_per_s,
            token_gap_s=config.token_gap_s,
        )
        self.lengths = OutputLengthModel()
        self.straggler = StragglerDetector()
        self.tiers: tuple[TierPolicy, ...] = ()
        self.running_by_id: dict[RequestId, RunningRequest] = {}
        self._now = 0.0
        self._flow_control = FlowControl()
        self.reset_flow_control()
        self._held = 0
        # Counts running requests and held slots.
        self._in_use_by_rank: Counter[int] = Counter()

    @property
    def in_use(self) -> int:
        """Number of running requests and held slots."""
        return len(self.running_by_id) + self._held

    @property
    def held(self) -> int:
        """Number of slots that are held for grants."""
        return self._held

    @property
    def is_throttled(self) -> bool:
        """Whether the target has signaled that it accepts no requests now."""
        return self._flow_control.ineligibility_reason(self._now) is not None

    @property
    def is_backing_off(self) -> bool:
        """Whether the target has requested a backoff, also for held slots."""
        return self._flow_control.backoff.is_on(self._now)

    @property
    def has_active_signals(self) -> bool:
        """Whether a response without signals would end a rate limit or backoff."""
        flow_control = self._flow_control
        return (
            flow_control.limit.per_s is not None
            or flow_control.backoff.sends_left is not None
        )

    def throttled_for_s(self) -> float:
        """Return the time until the target accepts requests, in seconds, if known."""
        return max(0.0, self._flow_control.available_at(self._now) - self._now)

    def wait_s(self, ahead: Work) -> float:
        """Return the expected wait behind queued work, in seconds."""
        return max(self.speed.wait_s(ahead, self.limit), self.throttled_for_s())

    def set_time(self, now: float) -> None:
        """Set the current time, which other methods use."""
        self._now = now

    def apply_signals(self, event: TargetSignalsReceived) -> bool:
        """Apply signals; return whether they newly announce a shutdown."""
        changed = self._flow_control.note_answer(
            event.signals, sent_at=event.sent_at, now=self._now
        )
        if event.was_accepted:
            self._flow_control.backoff.note_accepted(self.limit, sent_at=event.sent_at)
        return FlowControlSignal.LEAVING in changed

    def reset_flow_control(self) -> None:
        """Discard all signals of the target, as after its restart."""
        self._flow_control = FlowControl()
        # All requests to the target pass through this agent.
        self._flow_control.limit.set_share(1.0, self._now)

    @property
    def limit(self) -> int:
        """Concurrency limit in force."""
        factor = self.straggler.slowdown if self._policy.limit_stragglers else 1.0
        return self._limit.value(slowdown=factor)

    @property
    def limit_due(self) -> float:
        """When the limit may change next, in seconds."""
        return self._limit.due_at

    def cost_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the service time at nominal speed, in seconds."""
        return self._nominal.service_s(Work(prompt_tokens, output_tokens), 1)

    def has_room(self, rank: int, highest_waiting: int | None) -> bool:
        """Return whether a slot is free for a tier.

        Parameters
        ----------
        rank : int
            Rank of the tier.
        highest_waiting : int or None
            Rank of the highest queued tier; None if none is queued.
        """
        if self.is_throttled:
            return False
        return self.in_use < self._tier_slot_limit(rank, highest_waiting)

    def may_overcommit(self, rank: int, highest_waiting: int | None) -> bool:
        """Return whether a tier may be offered a slot, possibly beyond the limit.

        Only tiers that leave no headroom to others may exceed the limit.
        """
        if self.is_throttled:
            return False
        tier_limit = self._tier_slot_limit(rank, highest_waiting)
        if tier_limit < self.limit:
            return self.in_use < tier_limit
        return self.in_use < tier_limit + self._ask_ahead

    def can_finish(
        self, prompt_tokens: float, output_tokens: float, remaining_s: float
    ) -> bool:
        """Return whether work that starts now is expected to meet its deadline."""
        if remaining_s <= 0:
            return False
        return not self._policy.deadlines or (
            self.service_s(prompt_tokens, output_tokens) <= remaining_s
        )

    def service_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the expected service time of work that starts now, in seconds."""
        work = Work(prompt_tokens, output_tokens)
        observed_s = self.speed.service_s(work, len(self.running_by_id) + 1)
        if self.in_use:
            return observed_s
        # An idle target may have recovered, which only a running request reveals.
        return min(observed_s, self._nominal.service_s(work, 1))

    def hold(self, rank: int) -> None:
        """Hold a slot for a grant."""
        self._held += 1
        self._flow_control.note_sent(self._now)
        self._in_use_by_rank[rank] += 1

    def release(self, rank: int) -> None:
        """Release a held slot."""
        self._held -= 1
        self._flow_control.note_not_sent(self._now)
        self._in_use_by_rank[rank] -= 1

    def start(self, grant: Grant, now: float) -> None:
        """Record the start of a dispatched request."""
        self.running_by_id[grant.request_id] = RunningRequest(grant, now, now)
        self._flow_control.note_sent(now)
        self._in_use_by_rank[grant.tier_rank] += 1

    def progress(self, event: TargetProgress, now: float) -> None:
        """Update the observed speed from a chunk of a response."""
        running = self.running_by_id.get(event.request_id)
        if running is None:
            return
        elapsed_s = now - running.progress_at
        if running.grant.resource.startswith(SERVICE_PREFIX):
            return
        if event.first:
            self._learn_first_token(running.grant, elapsed_s)
        elif event.tokens > 0:
            if running.tokens == 0:
                # Not a stream: the time includes prefill.
                elapsed_s -= self.speed.prefill_s(running.grant.prompt_tokens)
            self._learn_gap(max(elapsed_s, 0.0), event.tokens)
        running.progress_at = now
        running.tokens += event.tokens

    def end(self, request_id: RequestId, end: DispatchEnd, now: float) -> bool:
        """Record the end of a dispatched request; return whether it was running."""
        running = self.running_by_id.pop(request_id, None)
        if running is None:
            return False
        grant = running.grant
        self._in_use_by_rank[grant.tier_rank] -= 1
        if end is DispatchEnd.COMPLETE:
            self._learn_response(running, now - running.started_at)
        return True

    def update_limit(self, now: float) -> None:
        """Adapt the limit to the observed latency."""
        self._limit.update(now, self.in_use)

    def _tier_slot_limit(self, rank: int, highest_waiting: int | None) -> int:
        if not self._policy.headroom:
            return self.limit
        return tier_slot_limit(
            rank,
            self.limit,
            self.tiers,
            higher_active=self._is_higher_active(rank, highest_waiting),
        )

    def _is_higher_active(self, rank: int, highest_waiting: int | None) -> bool:
        if highest_waiting is not None and highest_waiting < rank:
            return True
        counts = self._in_use_by_rank.items()
        return any(count > 0 and other < rank for other, count in counts)

    def _learn_first_token(self, grant: Grant, elapsed_s: float) -> None:
        batch = len(self.running_by_id)
        self._limit.observe_first_token(
            elapsed_s,
            self.speed.unloaded_prefill_s(grant.prompt_tokens),
            self.speed.token_gap_s(batch),
        )
        unloaded = batch <= max(self.limit // 2, 1)
        self.speed.observe_first_token(
            grant.prompt_tokens, elapsed_s, unloaded=unloaded
        )

    def _learn_gap(self, elapsed_s: float, tokens: int) -> None:
        batch = len(self.running_by_id)
        gap_s = max(elapsed_s / tokens, MIN_GAP_S)
        self._limit.observe_gap(elapsed_s, tokens)
        self.speed.observe_gap(batch, gap_s)
        self.straggler.observe(batch, gap_s)

    def _learn_response(self, running: RunningRequest, elapsed_s: float) -> None:
        grant = running.grant
        self.speed.observe_response(elapsed_s)
        if grant.resource.startswith(SERVICE_PREFIX):
            self._learn_service(elapsed_s)
        elif running.tokens:
            self._learn_length(running)

    def _learn_service(self, elapsed_s: float) -> None:
        # The response time counts as time to first token. It varies too much
        # between requests for straggler detection.
        self._limit.observe_response(elapsed_s)
        self.speed.observe_gap(len(self.running_by_id) + 1, elapsed_s)

    def _learn_length(self, running: RunningRequest) -> None:
        grant = running.grant
        self.lengths.observe(
            grant.client_account, grant.tier_rank, grant.output_tokens, running.tokens
        )
