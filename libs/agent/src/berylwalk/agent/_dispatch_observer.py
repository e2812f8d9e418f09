"""Metrics, log events and spans of dispatched and refused requests."""

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from berylwalk.agent._events import DispatchEnd
from berylwalk.agent._machine import AgentMachine
from berylwalk.model import Refusal, RefusalReason
from berylwalk.telemetry import (
    AgentMetrics,
    Level,
    SpanStatus,
    TraceSpan,
    Tracing,
    log_event,
)
from berylwalk.wire import Grant


@dataclass(slots=True)
class DispatchedCall:
    """Dispatched request in progress.

    Parameters
    ----------
    grant : Grant
        Grant of the request.
    span : TraceSpan
        Span of the request.
    started_at : float
        Monotonic time of the dispatch, in seconds.
    process_number : int
        Process of the target when the request was sent.
    status : int
        HTTP status of the target; 0 before the response.
    tokens : int
        Output tokens received so far.
    caller_gone : bool
        Whether the router closed the connection.
    """

    grant: Grant
    span: TraceSpan
    started_at: float
    process_number: int = 0
    status: int = 0
    tokens: int = 0
    caller_gone: bool = False


class DispatchObserver:
    """Records metrics, log events and spans of grants.

    Parameters
    ----------
    metrics : AgentMetrics
        Metrics to update.
    tracing : Tracing
        Starts spans.
    machine : AgentMachine
        Source of the gauges.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        metrics: AgentMetrics,
        tracing: Tracing,
        machine: AgentMachine,
        *,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._metrics = metrics
        self._tracing = tracing
        self._machine = machine
        self._clock = clock

    def started(self, grant: Grant) -> DispatchedCall:
        """Record a dispatch and start its span."""
        attributes = {
            "berylwalk.request_id": str(grant.request_id),
            "berylwalk.attempt": grant.attempt,
            "berylwalk.conditional": grant.conditional,
        }
        span = self._tracing.start_span(grant.traceparent, "agent.dispatch", attributes)
        return DispatchedCall(grant, span, self._clock())

    def first_chunk(self, call: DispatchedCall) -> None:
        """Record the first chunk of a response."""
        elapsed_s = self._clock() - call.started_at
        tier = self._tier_name(call.grant)
        self._metrics.first_token_seconds.labels(tier).observe(elapsed_s)

    def ended(self, call: DispatchedCall, end: DispatchEnd) -> None:
        """Record the end of a dispatch."""
        grant = call.grant
        tier = self._tier_name(grant)
        elapsed_s = self._clock() - call.started_at
        self._metrics.requests.labels(tier, end.value).inc()
        self._metrics.dispatch_seconds.labels(tier).observe(elapsed_s)
        if end in (DispatchEnd.BROKEN, DispatchEnd.CALLER_GONE):
            self._metrics.wasted_prefill_tokens.inc(grant.prompt_tokens)
        is_complete = end is DispatchEnd.COMPLETE
        call.span.set_attributes(
            {"berylwalk.end": end.value, "http.response.status_code": call.status}
        )
        call.span.end(SpanStatus.OK if is_complete else SpanStatus.ERROR, end.value)
        log_event(
            Level.INFO,
            "dispatch-ended",
            request_id=str(grant.request_id),
            attempt=grant.attempt,
            client_account=grant.client_account,
            tier=tier,
            resource=grant.resource,
            end=end.value,
            status=call.status,
            tokens=call.tokens,
            duration_ms=round(elapsed_s * 1000, 1),
        )

    def refused(self, grant: Grant, refusal: Refusal) -> None:
        """Record a refused grant."""
        reason = refusal.reason
        self._metrics.refusals.labels(self._tier_name(grant), reason.value).inc()
        # Expected under load; the router reserves a slot instead.
        is_expected = reason is RefusalReason.NO_SLOT
        log_event(
            Level.DEBUG if is_expected else Level.INFO,
            "grant-refused",
            request_id=str(grant.request_id),
            attempt=grant.attempt,
            reason=reason.value,
        )

    def update_gauges(self, settings_version: int) -> None:
        """Set the gauges to the current state."""
        metrics = self._metrics
        metrics.limit.set(self._machine.limit)
        metrics.settings_version.set(settings_version)
        for gauge, count_by_rank in (
            (metrics.waiting, self._machine.waiting_by_rank()),
            (metrics.running, self._machine.running_by_rank()),
        ):
            gauge.clear()
            for rank, count in count_by_rank.items():
                gauge.labels(self._machine.tier_name(rank)).set(count)

    def _tier_name(self, grant: Grant) -> str:
        return self._machine.tier_name(grant.tier_rank)
