"""Logs and metrics of one request."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from math import isinf

from berylwalk.direct._admission import Admitted, Refusal
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._context import RouterContext
from berylwalk.direct._log_fields import (
    cache_fields,
    charge_fields,
    dropped_events,
    known_ms,
    ms,
    prefix_fields,
    refused_charge_fields,
    reported_in_flight,
    signal_fields,
)
from berylwalk.direct._stream_lookup import VersionSource
from berylwalk.dispatch import (
    FirstEventEstimate,
    PendingRequest,
    RetryBudgetState,
    Target,
    TargetSignals,
)
from berylwalk.quarantine import Identity

UNKNOWN_ROUTE_KIND = "unknown"
"""Route kind, in metrics, of a request without a route."""
STATUS_UNAVAILABLE = 503
MAX_AGE_S = 1e6
RETURN_IN_TIME = "in-time"
RETURN_LATE = "late"
RETURN_REFUSED = "refused"
RETURN_FAILED = "failed"
"""Outcomes, in metrics, of requests whose callers had been refused before."""
INPUT_REQUEST = "request"
INPUT_DISCONNECT = "disconnect"
"""Inputs of callers, in metrics."""
NO_RANK = -1
"""Rank, in metrics, of a request that was rejected."""


@dataclass(slots=True)
class ExchangeLog:
    """Collects and logs the events of a request.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router, with its log and metrics.
    arrived_at : float
        When the request arrived.
    served_before : int
        Requests that were answered before on its connection.
    """

    context: RouterContext
    arrived_at: float
    served_before: int = 0
    attempts: list[dict[str, object]] = field(default_factory=list)
    waited_s: float = 0.0
    quota_wait_s: float = 0.0
    first_event_at: float | None = None
    first_asked_at: float | None = None
    send_by: float = float("inf")
    stream_version: str | None = None
    retry_fields: dict[str, object] = field(default_factory=dict)
    disconnect_delay_s: float | None = None

    def record_read(self, delay_s: float) -> None:
        """Record how long the request can have waited to be read, in seconds."""
        self.context.metrics.input_delay_s.labels(INPUT_REQUEST).observe(delay_s)

    def record_disconnect(self, delay_s: float) -> None:
        """Record how late the caller's disconnect was noticed at most, in seconds."""
        self.disconnect_delay_s = delay_s
        self.context.metrics.input_delay_s.labels(INPUT_DISCONNECT).observe(delay_s)

    def record_wait(self, admitted: Admitted, waited_s: float) -> None:
        """Record how long the request was queued."""
        self.waited_s += waited_s
        self.context.metrics.waited_s.labels(admitted.service).observe(waited_s)

    def record_quota_wait(self, waited_s: float) -> None:
        """Record how long a stream that is taken up waited for the quota."""
        self.quota_wait_s = waited_s

    def record_deadlines(self, send_by: float, first_asked_at: float | None) -> None:
        """Record until when a target is of use, and when the caller first asked.

        Parameters
        ----------
        send_by : float
            Time after which the response is not expected to start in time, in seconds.
        first_asked_at : float or None
            When a caller first asked that was refused before, in seconds.
        """
        self.send_by = send_by
        self.first_asked_at = first_asked_at

    def log_not_placed(self, admitted: Admitted, pending: PendingRequest) -> None:
        """Log why no target was available."""
        context = self.context
        now = context.clock()
        targets = context.targets.of_service(admitted.service)
        context.log.request(
            "request-not-placed",
            admitted.request_id,
            service=admitted.service,
            rank=admitted.rank,
            waiting=context.dispatcher.queue_length(admitted.service),
            targets=len(targets),
            slots=sum(target.entry.slots for target in targets),
            in_flight=sum(target.in_flight for target in targets),
            peer_in_flight=sum(target.peer_in_flight for target in targets),
            reported=sum(target.report is not None for target in targets),
            obstacles=context.dispatcher.ineligibility_reasons(pending, now),
            routers_heard=context.peers.alive_count(now),
            **self._urgency_fields(admitted, now),
        )

    def log_placed(
        self, admitted: Admitted, target: Target, estimate: FirstEventEstimate
    ) -> None:
        """Log the selected target and the estimate behind the decision."""
        self.context.log.request(
            "request-placed",
            admitted.request_id,
            target=target.entry.target_id,
            target_version=target.entry.version,
            resumes=admitted.parsed_headers.resumes.decode("latin-1"),
            prompt_tokens=admitted.parsed_headers.work.prompt_tokens,
            output_tokens=admitted.parsed_headers.work.output_tokens,
            ahead_tokens=estimate.ahead_tokens,
            own_tokens=estimate.own_tokens,
            expected_ms=ms(estimate.total_s),
            reading_ms=ms(estimate.prefill_s),
            slot_wait_ms=ms(estimate.slot_wait_s),
            in_flight=target.in_flight,
            peer_in_flight=target.peer_in_flight,
            reported_in_flight=reported_in_flight(target),
            token_ms=known_ms(target.output_token_s),
            **cache_fields(target, self.context.clock()),
            paused_share=round(target.paused_share, 3),
            error_share=round(target.error_rate, 3),
            **self._urgency_fields(admitted, self.context.clock()),
        )

    def log_taken_up(
        self,
        admitted: Admitted,
        version: str | None,
        source: VersionSource,
        listed: Collection[str],
    ) -> None:
        """Log which version a stream that the caller takes up is bound to, and why."""
        now, peers = self.context.clock(), self.context.peers
        stored = self.context.targets.versions.stored(admitted.service)
        self.stream_version = version
        self.context.metrics.streams_taken_up.labels(source).inc()
        headers = admitted.parsed_headers
        self.context.log.request(
            "stream-taken-up",
            admitted.request_id,
            resumes=headers.resumes.decode("latin-1"),
            last_event_id=headers.last_event_id,
            service=admitted.service,
            version=version,
            source=source,
            listed_versions=sorted(listed),
            known_versions=None if stored is None else sorted(stored),
            known_routers=peers.known_count(),
            heard_routers=peers.alive_count(now),
            took_ms=ms(now - self.arrived_at),
        )

    def record_attempt(
        self,
        target: Target,
        attempt: Attempt,
        sent_at: float,
        time_limit_s: float | None,
    ) -> None:
        """Record how an attempt ended.

        Parameters
        ----------
        target : Target
            Its target.
        attempt : Attempt
            The attempt.
        sent_at : float
            When it began, in seconds.
        time_limit_s : float or None
            Time limit that the target got, in seconds; None if it got no request.
        """
        # The target gets whole milliseconds, rounded down.
        time_limit_ms = None if time_limit_s is None else int(time_limit_s * 1000)
        if self.first_event_at is None:
            self.first_event_at = attempt.first_event_at
        first_event_ms = None
        if attempt.first_event_at is not None:
            first_event_ms = ms(attempt.first_event_at - sent_at)
        self.attempts.append(
            {
                "target": target.entry.target_id,
                "end": attempt.end or "caller-left",
                "detail": attempt.detail,
                "response_end": attempt.response_end,
                **({"end_proof": attempt.end_proof} if attempt.end_proof else {}),
                "sent_ms": ms(sent_at - self.arrived_at),
                "time_limit_ms": time_limit_ms,
                "first_event_ms": first_event_ms,
                "longest_pause_ms": ms(attempt.longest_pause_s),
                "events": attempt.events,
                "took_ms": ms(self.context.clock() - sent_at),
                **dropped_events(attempt),
                **({"caller_unread": True} if attempt.was_paused else {}),
                **({"kept": attempt.kept_reason} if attempt.kept_reason else {}),
                **signal_fields(attempt.signals),
            }
        )

    def log_signals(
        self, admitted: Admitted, target: Target, signals: TargetSignals
    ) -> None:
        """Log the signals of a target if they have changed."""
        if signals == target.last_signals:
            return
        target.last_signals = signals
        self.context.metrics.target_signals.labels(admitted.service).inc()
        self.context.log.request(
            "target-statement",
            admitted.request_id,
            target=target.entry.target_id,
            **signal_fields(signals),
        )

    def log_retried(
        self, admitted: Admitted, target: Target, attempt: Attempt, last_event_id: int
    ) -> None:
        """Log a retry on another target."""
        self.context.log.request(
            "request-repeated",
            admitted.request_id,
            after=attempt.end,
            detail=attempt.detail,
            target=target.entry.target_id,
            last_event_id=last_event_id,
            **self.retry_fields,
        )

    def record_retry_decision(
        self, admitted: Admitted, state: RetryBudgetState, *, is_granted: bool
    ) -> None:
        """Record what the retry budget decided, and from which counts."""
        self.context.metrics.retry_decisions.labels(
            admitted.service, "granted" if is_granted else "exhausted"
        ).inc()
        self.retry_fields = {
            "window_requests": round(state.requests),
            "window_retries": round(state.retries),
            "retries_left": round(state.left, 1),
            "budget_share": round(state.share, 3),
            "window_known": state.is_complete,
        }

    def log_refused(self, refusal: Refusal) -> None:
        """Log that the request was rejected."""
        reason = refusal.reason.partition(":")[0]
        self.context.metrics.requests.labels(
            UNKNOWN_ROUTE_KIND, NO_RANK, refusal.status, reason
        ).inc()
        charge = refusal.charge
        if charge is not None and charge.is_refused_for_reserve:
            self.context.metrics.refused_for_reserve.labels(charge.account_name).inc()
        self._log_ended(
            refusal.request_id,
            status=refusal.status,
            reason=refusal.reason,
            **refused_charge_fields(refusal.charge),
            **self._awaiting_fields(refusal.awaiting),
            **self._quarantine_fields(refusal.blocked_by),
        )

    def log_target_ended(
        self, admitted: Admitted, target: Target, attempt: Attempt
    ) -> None:
        """Log that a target appears to have terminated while running the request."""
        self.context.metrics.ends_under_requests.labels(admitted.service).inc()
        self.context.log.request(
            "target-ended-under-request",
            admitted.request_id,
            target=target.entry.target_id,
            identity=admitted.identity.hex(),
            ended=self.context.quarantine.crashed_incarnations(admitted.identity),
            prompt_parts=[each.hex() for each in admitted.prompt_parts],
            events=attempt.events,
        )

    def log_crash_excused(
        self, admitted: Admitted, target: Target, accused: Sequence[Identity]
    ) -> None:
        """Log that the use of its cache explains why a target terminated."""
        now = self.context.clock()
        self.context.metrics.ends_with_full_cache.labels(admitted.service).inc()
        self.context.log.request(
            "target-ended-with-full-cache",
            admitted.request_id,
            target=target.entry.target_id,
            identity=admitted.identity.hex(),
            accused=[each.hex() for each in accused],
            **cache_fields(target, now),
        )

    def log_cleared(
        self, admitted: Admitted, target: Target, identity: Identity
    ) -> None:
        """Log that the request, or a part of its prompt, is cleared of crashes."""
        self.context.log.request(
            "request-cleared",
            admitted.request_id,
            target=target.entry.target_id,
            identity=identity.hex(),
        )

    def _quarantine_fields(self, blocked_by: Sequence[Identity]) -> dict[str, object]:
        """Return the evidence for which a request is quarantined."""
        if not blocked_by:
            return {}
        identity = blocked_by[-1]
        blame = self.context.quarantine.blames.get(identity)
        fields: dict[str, object] = {
            "identity": identity.hex(),
            "blocked_by": [each.hex() for each in blocked_by],
            "ended": self.context.quarantine.crashed_incarnations(identity),
        }
        if blame is not None:
            fields["blamed_ms_ago"] = ms(self.context.clock() - blame.since)
            fields["trials"] = blame.trials
        return fields

    def log_ended(self, admitted: Admitted, status: int, reason: str) -> None:
        """Log the end of the request; status 0 marks an incomplete response."""
        metrics = self.context.metrics
        kind, rank = admitted.route.kind, admitted.rank[-1]
        metrics.requests.labels(kind, rank, status, reason).inc()
        first_event_ms = None
        if self.first_event_at is not None:
            first_event_s = self.first_event_at - self.arrived_at
            first_event_ms = ms(first_event_s)
            metrics.first_event_s.labels(kind, rank).observe(first_event_s)
        if self.first_asked_at is not None:
            outcome = self._return_outcome(admitted, status, self.first_asked_at)
            metrics.returns.labels(outcome).inc()
        self._log_ended(
            admitted.request_id,
            status=status,
            reason=reason,
            route=admitted.route.name,
            kind=kind,
            rank=admitted.rank,
            account=admitted.account_name,
            identity=admitted.identity.hex(),
            prompt_parts=[each.hex() for each in admitted.prompt_parts],
            service=admitted.service,
            prompt_tokens=admitted.parsed_headers.work.prompt_tokens,
            output_tokens=admitted.parsed_headers.work.output_tokens,
            **prefix_fields(admitted),
            **self._taken_up_fields(admitted),
            **charge_fields(admitted.charge),
            objective_ms=ms(admitted.route.objective_s),
            longest_pause_allowed_ms=ms(admitted.route.longest_pause_s),
            read_delay_ms=ms(admitted.request.read_delay_s),
            http_1_0=admitted.request.http_1_0,
            limit_ms=ms(admitted.deadline - admitted.request.arrived_at),
            waited_ms=ms(self.waited_s),
            first_asked_ms_ago=self._first_asked_ms_ago(self.arrived_at),
            first_event_ms=first_event_ms,
            attempts=self.attempts,
            **self._disconnect_fields(),
            **self.retry_fields,
        )

    def _taken_up_fields(self, admitted: Admitted) -> dict[str, object]:
        """Return the fields about the stream that the request takes up."""
        if not admitted.takes_up_stream:
            return {}
        resumes = admitted.parsed_headers.resumes.decode("latin-1")
        return {
            "resumes": resumes,
            "stream_version": self.stream_version,
            "quota_wait_ms": ms(self.quota_wait_s),
        }

    def _awaiting_fields(self, awaiting: Admitted | None) -> dict[str, object]:
        return {} if awaiting is None else self._taken_up_fields(awaiting)

    def _urgency_fields(self, admitted: Admitted, now: float) -> dict[str, object]:
        """Return the fields about what decides who gets a place."""
        usage, service, account = (
            self.context.account_usage,
            admitted.service,
            admitted.account_name,
        )
        return {
            "send_by_ms": None if isinf(self.send_by) else ms(self.send_by - now),
            "first_asked_ms_ago": self._first_asked_ms_ago(now),
            "account_places": round(usage.usage(service, account, now), 2),
            "over_share": usage.is_over_share(service, account, now),
        }

    def _disconnect_fields(self) -> dict[str, object]:
        delay_s = self.disconnect_delay_s
        return {} if delay_s is None else {"disconnect_delay_ms": ms(delay_s)}

    def _first_asked_ms_ago(self, now: float) -> float | None:
        if self.first_asked_at is None:
            return None
        return ms(now - self.first_asked_at)

    def _return_outcome(
        self, admitted: Admitted, status: int, first_asked_at: float
    ) -> str:
        """Return how a request ended whose caller had been refused before."""
        if status == STATUS_UNAVAILABLE:
            return RETURN_REFUSED
        if self.first_event_at is None or not 200 <= status < 300:
            return RETURN_FAILED
        objective_s = admitted.route.objective_s or float("inf")
        is_in_time = self.first_event_at - first_asked_at <= objective_s
        return RETURN_IN_TIME if is_in_time else RETURN_LATE

    def _log_ended(self, request_id: bytes, **fields: object) -> None:
        context = self.context
        now = context.clock()
        state = context.configuration
        context.log.request(
            "request-ended",
            request_id,
            **fields,
            version=0 if state.current is None else state.current.version,
            version_age_ms=ms(min(state.age_s(now), MAX_AGE_S)),
            total_ms=ms(now - self.arrived_at),
            connection_requests=self.served_before,
            **self._stop_fields(),
        )

    def _stop_fields(self) -> dict[str, object]:
        """Return how long the stop had been under way when the request was read."""
        stop = self.context.stop
        if stop is None:
            return {}
        return {"read_after_stop_ms": ms(stop.elapsed_s(self.arrived_at))}
