"""Slots of the target: what runs, how fast, and how much more fits."""

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
from berylwalk.agent._events import DispatchEnd, TargetProgress, TargetStatementReceived
from berylwalk.dispatch import FlowControl, FlowControlSignal
from berylwalk.model import RequestId, TierPolicy
from berylwalk.wire import Grant

SERVICE_PREFIX = "service:"
MIN_GAP_S = 1e-6


@dataclass(slots=True)
class RunningRequest:
    """One dispatched request."""

    grant: Grant
    started_at: float
    progress_at: float
    tokens: int = 0


class Slots:
    """Dispatched requests, slots held for grants, and observed speed.

    Parameters
    ----------
    config : AgentConfig
        Limits, policy and expected speed.
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
        self._needs = FlowControl()
        self.reset_statements()
        self._held = 0
        # Running requests and held slots.
        self._in_use_by_rank: Counter[int] = Counter()

    @property
    def in_use(self) -> int:
        """Running requests and slots held for grants."""
        return len(self.running_by_id) + self._held

    @property
    def held(self) -> int:
        """Slots held for grants."""
        return self._held

    @property
    def is_throttled(self) -> bool:
        """Whether the target has said that it takes nothing at this moment."""
        return self._needs.ineligibility_reason(self._now) is not None

    @property
    def is_paused(self) -> bool:
        """Whether it wants nothing, not even what has its slot already."""
        return self._needs.backoff.is_on(self._now)

    @property
    def has_active_statement(self) -> bool:
        """Whether an answer that states nothing would be news."""
        needs = self._needs
        return needs.limit.per_s is not None or needs.backoff.sends_left is not None

    def throttled_for_s(self) -> float:
        """Return the time until the target takes more, as far as it has said."""
        return max(0.0, self._needs.available_at(self._now) - self._now)

    def wait_s(self, ahead: Work) -> float:
        """Return the expected wait behind some work, in seconds."""
        return max(self.speed.wait_s(ahead, self.limit), self.throttled_for_s())

    def set_time(self, now: float) -> None:
        """Tell the time, before anything is asked."""
        self._now = now

    def apply_statement(self, event: TargetStatementReceived) -> bool:
        """Take what the target states; returns whether it says that it leaves."""
        changed = self._needs.note_answer(
            event.statement, sent_at=event.sent_at, now=self._now
        )
        if event.was_accepted:
            self._needs.backoff.note_accepted(self.limit, sent_at=event.sent_at)
        return FlowControlSignal.LEAVING in changed

    def reset_statements(self) -> None:
        """Begin with a target that has said nothing: it has started again."""
        self._needs = FlowControl()
        # All work for the target passes through here.
        self._needs.limit.set_share(1.0, self._now)

    @property
    def limit(self) -> int:
        """Slots of the target at present."""
        slow = self.straggler.slowdown if self._policy.limit_stragglers else 1.0
        return self._limit.value(slowdown=slow)

    @property
    def limit_due(self) -> float:
        """When the limit may change next, in seconds."""
        return self._limit.due_at

    def cost_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the service time at expected speed, which doesn't change."""
        return self._nominal.service_s(Work(prompt_tokens, output_tokens), 1)

    def has_room(self, rank: int, highest_waiting: int | None) -> bool:
        """Return whether a slot is free for a tier.

        Parameters
        ----------
        rank : int
            The tier.
        highest_waiting : int or None
            The highest tier that waits.
        """
        if self.is_throttled:
            return False
        return self.in_use < self._tier_slot_limit(rank, highest_waiting)

    def may_overcommit(self, rank: int, highest_waiting: int | None) -> bool:
        """Return whether a tier may have a slot beyond the limit in advance.

        Tiers that leave headroom to others may not.
        """
        if self.is_throttled:
            return False
        open_to_rank = self._tier_slot_limit(rank, highest_waiting)
        if open_to_rank < self.limit:
            return self.in_use < open_to_rank
        return self.in_use < open_to_rank + self._ask_ahead

    def can_finish(
        self, prompt_tokens: float, output_tokens: float, remaining_s: float
    ) -> bool:
        """Return whether work that starts now ends within the time that remains."""
        if remaining_s <= 0:
            return False
        return not self._policy.deadlines or (
            self.service_s(prompt_tokens, output_tokens) <= remaining_s
        )

    def service_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return the expected service time of work that starts now."""
        work = Work(prompt_tokens, output_tokens)
        observed_s = self.speed.service_s(work, len(self.running_by_id) + 1)
        if self.in_use:
            return observed_s
        # An idle target may have recovered; only running work can show it.
        return min(observed_s, self._nominal.service_s(work, 1))

    def hold(self, rank: int) -> None:
        """Hold a slot for a grant."""
        self._held += 1
        self._needs.note_sent(self._now)
        self._in_use_by_rank[rank] += 1

    def release(self, rank: int) -> None:
        """Give a held slot back."""
        self._held -= 1
        self._needs.note_not_sent(self._now)
        self._in_use_by_rank[rank] -= 1

    def start(self, grant: Grant, now: float) -> None:
        """Record a dispatch."""
        self.running_by_id[grant.request_id] = RunningRequest(grant, now, now)
        self._needs.note_sent(now)
        self._in_use_by_rank[grant.tier_rank] += 1

    def progress(self, event: TargetProgress, now: float) -> None:
        """Learn from a piece of an answer."""
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
                # An unstreamed answer: its first token was not seen.
                elapsed_s -= self.speed.prefill_s(running.grant.prompt_tokens)
            self._learn_gap(max(elapsed_s, 0.0), event.tokens)
        running.progress_at = now
        running.tokens += event.tokens

    def end(self, request_id: RequestId, end: DispatchEnd, now: float) -> bool:
        """Record the end of a dispatch; return whether it was running."""
        running = self.running_by_id.pop(request_id, None)
        if running is None:
            return False
        grant = running.grant
        self._in_use_by_rank[grant.tier_rank] -= 1
        if end is DispatchEnd.COMPLETE:
            self._learn_answer(running, now - running.started_at)
        return True

    def update_limit(self, now: float) -> None:
        """Adapt the limit to what was observed."""
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

    def _learn_answer(self, running: RunningRequest, elapsed_s: float) -> None:
        grant = running.grant
        self.speed.observe_response(elapsed_s)
        if grant.resource.startswith(SERVICE_PREFIX):
            self._learn_service(elapsed_s)
        elif running.tokens:
            self._learn_length(running)

    def _learn_service(self, elapsed_s: float) -> None:
        # The whole answer counts as the first token. Calls of a service are too
        # unlike for a baseline.
        self._limit.observe_response(elapsed_s)
        self.speed.observe_gap(len(self.running_by_id) + 1, elapsed_s)

    def _learn_length(self, running: RunningRequest) -> None:
        grant = running.grant
        self.lengths.observe(
            grant.client_account, grant.tier_rank, grant.output_tokens, running.tokens
        )
