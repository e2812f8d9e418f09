"""Metrics, log lines and spans of requests."""

from collections import Counter
from collections.abc import Callable, Iterable
from time import monotonic

from berylwalk.model import FinalResponse, Outcome
from berylwalk.router._active_requests import ActiveRequest
from berylwalk.telemetry import Level, RouterMetrics, SpanStatus, log_event

FINISHED_EVENT = "request-finished"


class RequestObserver:
    """Records the end of each request in metrics, logs and spans.

    Parameters
    ----------
    metrics : RouterMetrics
        Counters and histograms.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self, metrics: RouterMetrics, *, clock: Callable[[], float] = monotonic
    ) -> None:
        self._metrics = metrics
        self._clock = clock

    def record_finished(
        self, active: ActiveRequest, final: FinalResponse | None
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        active : ActiveRequest
            The request.
        final : FinalResponse or None
            Its outcome; None if the caller disconnected.
        """
        self._count(active, final)
        self._log(active, final)
        self._end_hop(active, final)

    def count_active(self, requests: Iterable[ActiveRequest]) -> None:
        """Set the gauges of waiting and running requests."""
        waiting: Counter[str] = Counter()
        running: Counter[str] = Counter()
        for active in requests:
            tier = active.request.service_policy.tier.name
            (running if active.started else waiting)[tier] += 1
        for gauge, count_by_tier in (
            (self._metrics.waiting, waiting),
            (self._metrics.running, running),
        ):
            gauge.clear()
            for tier, count in count_by_tier.items():
                gauge.labels(tier).set(count)

    def _count(self, active: ActiveRequest, final: FinalResponse | None) -> None:
        request = active.request
        tier = request.service_policy.tier.name
        self._metrics.requests.labels(tier, _outcome(final)).inc()
        if final is not None and final.refusal is not None:
            reason = final.refusal.reason.value
            self._metrics.refusals.labels(tier, reason).inc()
        if active.started_at is not None:
            dispatch_s = active.started_at - request.arrived_at
            self._metrics.dispatch_seconds.labels(tier).observe(dispatch_s)
        if active.first_chunk_at is not None:
            first_s = active.first_chunk_at - request.arrived_at
            self._metrics.first_token_seconds.labels(tier).observe(first_s)
        if active.started and not _is_complete(final):
            prompt_tokens = request.estimate.prompt_tokens
            self._metrics.wasted_prefill_tokens.inc(prompt_tokens)

    def _log(self, active: ActiveRequest, final: FinalResponse | None) -> None:
        request = active.request
        refusal = final.refusal if final is not None else None
        log_event(
            Level.INFO,
            FINISHED_EVENT,
            request_id=str(request.request_id),
            client_account=request.service_policy.client_account,
            service=request.service_policy.service,
            tier=request.service_policy.tier.name,
            resource=request.call.resource,
            outcome=_outcome(final),
            reason=refusal.reason.value if refusal is not None else "",
            agent=active.agent,
            status=active.status,
            attempts=active.grant.grant.attempt if active.grant is not None else 0,
            duration_ms=round((self._clock() - request.arrived_at) * 1000, 1),
        )

    def _end_hop(self, active: ActiveRequest, final: FinalResponse | None) -> None:
        if active.span is None:
            return
        active.span.set_attributes(
            {"berylwalk.outcome": _outcome(final), "berylwalk.agent": active.agent}
        )
        status = SpanStatus.OK if _is_complete(final) else SpanStatus.ERROR
        active.span.end(status, _outcome(final))


def _outcome(final: FinalResponse | None) -> str:
    return "caller-gone" if final is None else final.reported_outcome.value


def _is_complete(final: FinalResponse | None) -> bool:
    return final is not None and final.outcome is Outcome.COMPLETE
