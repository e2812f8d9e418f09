"""What is told of one request in logs and metrics."""

from dataclasses import dataclass, field

from berylwalk.direct._admission import Admitted, Charge, Refusal
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import FirstEventEstimate, PendingRequest, Target, TargetSignals
from berylwalk.quarantine import Identity

UNKNOWN_ROUTE_KIND = "unknown"
"""Kind of a request that no route was found for."""
MAX_AGE_S = 1e6
NO_RANK = -1
"""Rank, in metrics, of a request that was not taken."""


@dataclass(slots=True)
class ExchangeLog:
    """Collects what happens to a request and tells it.

    Parameters
    ----------
    context : RouterContext
        Where it is told.
    arrived_at : float
        When the request arrived.
    """

    context: RouterContext
    arrived_at: float
    attempts: list[dict[str, object]] = field(default_factory=list)
    waited_s: float = 0.0
    first_event_at: float | None = None

    def record_wait(self, admitted: Admitted, waited_s: float) -> None:
        """Note that it waited for a place."""
        self.waited_s += waited_s
        self.context.metrics.waited_s.labels(admitted.service).observe(waited_s)

    def log_not_placed(self, admitted: Admitted, pending: PendingRequest) -> None:
        """Tell why it found no place."""
        context = self.context
        now = context.clock()
        context.log.request(
            "request-not-placed",
            admitted.request_id,
            service=admitted.service,
            rank=admitted.rank,
            waiting=context.dispatcher.queue_length(admitted.service),
            targets=len(context.targets.of_service(admitted.service)),
            obstacles=context.dispatcher.ineligibility_reasons(pending, now),
            routers_heard=context.peers.alive_count(now),
        )

    def log_placed(
        self, admitted: Admitted, target: Target, start: FirstEventEstimate
    ) -> None:
        """Tell where it goes, and what decided that."""
        self.context.log.request(
            "request-placed",
            admitted.request_id,
            target=target.entry.target_id,
            prompt_tokens=admitted.facts.work.prompt_tokens,
            output_tokens=admitted.facts.work.output_tokens,
            ahead_tokens=start.ahead_tokens,
            own_tokens=start.own_tokens,
            expected_ms=_ms(start.total_s),
            reading_ms=_ms(start.prefill_s),
            slot_wait_ms=_ms(start.slot_wait_s),
            in_flight=target.in_flight,
            peer_in_flight=target.peer_in_flight,
            token_ms=_known_ms(target.output_token_s),
            paused_share=round(target.paused_share, 3),
            error_share=round(target.error_rate, 3),
        )

    def record_attempt(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        """Note how an attempt ended."""
        if self.first_event_at is None:
            self.first_event_at = attempt.first_event_at
        first_event_ms = None
        if attempt.first_event_at is not None:
            first_event_ms = _ms(attempt.first_event_at - sent_at)
        self.attempts.append(
            {
                "target": target.entry.target_id,
                "end": attempt.end or "caller-left",
                "detail": attempt.detail,
                "sent_ms": _ms(sent_at - self.arrived_at),
                "first_event_ms": first_event_ms,
                "longest_pause_ms": _ms(attempt.longest_pause_s),
                "events": attempt.events,
                "took_ms": _ms(self.context.clock() - sent_at),
                **_statement_fields(attempt.statement),
            }
        )

    def log_statement(
        self, admitted: Admitted, target: Target, statement: TargetSignals
    ) -> None:
        """Tell what a target states of itself, where that has changed."""
        if statement == target.last_signals:
            return
        target.last_signals = statement
        self.context.metrics.target_statements.labels(admitted.service).inc()
        self.context.log.request(
            "target-statement",
            admitted.request_id,
            target=target.entry.target_id,
            **_statement_fields(statement),
        )

    def log_retried(
        self, admitted: Admitted, target: Target, attempt: Attempt, last_event_id: int
    ) -> None:
        """Tell that another target is tried."""
        self.context.log.request(
            "request-repeated",
            admitted.request_id,
            after=attempt.end,
            detail=attempt.detail,
            target=target.entry.target_id,
            last_event_id=last_event_id,
        )

    def log_refused(self, refusal: Refusal) -> None:
        """Tell that it was not taken."""
        reason = refusal.reason.partition(":")[0]
        self.context.metrics.requests.labels(
            UNKNOWN_ROUTE_KIND, NO_RANK, refusal.status, reason
        ).inc()
        self._log_ended(
            refusal.request_id,
            status=refusal.status,
            reason=refusal.reason,
            **_refused_charge_fields(refusal.charge),
            **self._quarantine_fields(refusal.identity),
        )

    def log_target_ended(self, admitted: Admitted, target: Target) -> None:
        """Tell that a target seems to have ended while it ran the request."""
        self.context.metrics.ends_under_requests.labels(admitted.service).inc()
        self.context.log.request(
            "target-ended-under-request",
            admitted.request_id,
            target=target.entry.target_id,
            identity=admitted.identity.hex(),
            ended=self.context.quarantine.crashed_incarnations(admitted.identity),
        )

    def log_cleared(self, admitted: Admitted, target: Target) -> None:
        """Tell that the request has run, and that its target goes on."""
        self.context.log.request(
            "request-cleared",
            admitted.request_id,
            target=target.entry.target_id,
            identity=admitted.identity.hex(),
        )

    def _quarantine_fields(self, identity: Identity | None) -> dict[str, object]:
        """Return why a request is held back: the targets that ended under it."""
        if identity is None:
            return {}
        blame = self.context.quarantine.blames.get(identity)
        fields: dict[str, object] = {
            "identity": identity.hex(),
            "ended": self.context.quarantine.crashed_incarnations(identity),
        }
        if blame is not None:
            fields["blamed_ms_ago"] = _ms(self.context.clock() - blame.since)
            fields["trials"] = blame.trials
        return fields

    def log_ended(self, admitted: Admitted, status: int, reason: str) -> None:
        """Tell how it ended; status 0 if the caller got no whole answer."""
        metrics = self.context.metrics
        kind, rank = admitted.route.kind, admitted.rank[-1]
        metrics.requests.labels(kind, rank, status, reason).inc()
        first_event_ms = None
        if self.first_event_at is not None:
            first_event_s = self.first_event_at - self.arrived_at
            first_event_ms = _ms(first_event_s)
            metrics.first_event_s.labels(kind, rank).observe(first_event_s)
        self._log_ended(
            admitted.request_id,
            status=status,
            reason=reason,
            route=admitted.route.name,
            kind=kind,
            rank=admitted.rank,
            account=admitted.account_name,
            identity=admitted.identity.hex(),
            service=admitted.service,
            prompt_tokens=admitted.facts.work.prompt_tokens,
            output_tokens=admitted.facts.work.output_tokens,
            **_prefix_fields(admitted),
            **_charge_fields(admitted.charge),
            objective_ms=_ms(admitted.route.objective_s),
            longest_pause_allowed_ms=_ms(admitted.route.longest_pause_s),
            limit_ms=_ms(admitted.ends_at - admitted.request.arrived_at),
            waited_ms=_ms(self.waited_s),
            first_event_ms=first_event_ms,
            attempts=self.attempts,
        )

    def _log_ended(self, request_id: bytes, **fields: object) -> None:
        context = self.context
        now = context.clock()
        state = context.configuration
        context.log.request(
            "request-ended",
            request_id,
            **fields,
            version=0 if state.current is None else state.current.version,
            version_age_ms=_ms(min(state.age_s(now), MAX_AGE_S)),
            total_ms=_ms(now - self.arrived_at),
        )


def _prefix_fields(admitted: Admitted) -> dict[str, object]:
    """Return what is known of the parts of the prompt that others have too."""
    if admitted.facts.prefix_problem:
        return {"prefix_problem": admitted.facts.prefix_problem}
    prefix = admitted.facts.work.shared_prefix
    if prefix is None:
        return {}
    return {"shared_prefix": f"{prefix.key:08x}", "shared_tokens": prefix.tokens}


def _refused_charge_fields(charge: Charge | None) -> dict[str, object]:
    """Return who could not pay for a request that was refused, and why."""
    if charge is None:
        return {}
    return {
        "account": charge.account_name,
        "route": charge.route.name,
        "kind": charge.route.kind,
        "priority": charge.route.priority,
        **_charge_fields(charge),
    }


def _charge_fields(charge: Charge | None) -> dict[str, object]:
    """Return what a request costs and what was counted of its account."""
    if charge is None:
        return {}
    return {
        "cost": round(charge.cost),
        "limit": round(charge.state.limit),
        "unknown": round(charge.state.unknown),
        "counted": round(charge.state.counted),
        "share": round(charge.state.share, 3),
    }


def _statement_fields(statement: TargetSignals) -> dict[str, object]:
    """Return what a target states of itself; nothing for most answers."""
    if statement.is_empty:
        return {}
    fields: dict[str, object] = {
        "limit_per_s": statement.limit_per_s,
        "is_leaving": statement.is_leaving,
        "rest_ms": _known_ms(statement.retry_after_s),
    }
    if statement.problem:
        fields["statement_problem"] = statement.problem
    return fields


def _known_ms(seconds: float | None) -> float | None:
    return None if seconds is None else _ms(seconds)


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
