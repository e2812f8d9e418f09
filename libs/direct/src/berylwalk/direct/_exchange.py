"""The life of one request: check, place, send, relay, repeat, answer."""

from dataclasses import dataclass, field
from random import random

from anyio import CancelScope, Event, move_on_after

from berylwalk.direct._attempt import Attempt
from berylwalk.direct._context import RouterContext
from berylwalk.direct._relay import Relay
from berylwalk.dispatch import (
    Account,
    Allowed,
    AttemptEnd,
    Attempts,
    Denied,
    ExpectedStart,
    Route,
    RouteKind,
    Target,
    Ticket,
    expected_start,
    return_time_s,
)
from berylwalk.forwarding import (
    CallerConnection,
    CallerRequest,
    TargetConnection,
    end_to_end,
    request_head,
)
from berylwalk.platform import (
    BadHeaders,
    CallFacts,
    for_target,
    read_call,
    refusal_headers,
    resuming_after,
)

WAIT_SHARE = 0.25
"""Part of its latency objective that a request may wait for a place. One that is
refused within it and served when it comes back keeps most of its worth."""
LEAST_WAIT_S = 0.02
REPEAT_WAIT_S = 1.0
"""Time that a request waits for another target after a failed attempt."""
CHECK_S = 0.25
"""Time between two looks at an attempt that brings nothing."""
LONGEST_PAUSE_FACTOR = 2.0
"""Pauses of a stream, as a multiple of the longest one on time, after which a
target that is silent to all is taken for dark."""
TIMEOUT_MARGIN_S = 0.03
"""Time before the end of a caller's limit at which an answer is sent."""
FULL_PAUSE_S = 0.1
"""Time for which a target that refused work gets none."""
RETRY_AFTER_UNREADY_S = 1.0
"""The same for a request that came while no configuration may be used."""


@dataclass(slots=True)
class Trace:
    """What is told of a request when it has ended."""

    attempts: list[dict[str, object]] = field(default_factory=list)
    waited_s: float = 0.0
    first_event_at: float | None = None


class Exchange:
    """Runs one request to its end.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    connection : CallerConnection
        Where the answer goes.
    request : CallerRequest
        The whole request.
    """

    def __init__(
        self,
        context: RouterContext,
        connection: CallerConnection,
        request: CallerRequest,
    ) -> None:
        self._context = context
        self._connection = connection
        self._request = request
        self._scope = CancelScope()
        self._attempts = Attempts()
        self._excluded: set[str] = set()
        self._trace = Trace()
        self._settled = False
        self._facts: CallFacts
        self._route: Route
        self._account: Account | None = None
        self._rank = (0, 0)
        self._cost = 0.0
        self._ends_at = 0.0
        self._service = ""
        self._relay: Relay

    def cancel(self) -> None:
        """Stop, for the caller has left."""
        self._scope.cancel()

    async def run(self) -> None:
        """Answer the request."""
        with self._scope:
            await self._run()
        if self._scope.cancelled_caught and not self._settled:
            self._settle(0, "caller-left")

    async def _run(self) -> None:
        facts = read_call(self._request.headers)
        if isinstance(facts, BadHeaders):
            self._connection.respond(400, [], b"")
            return
        self._facts = facts
        if not self._is_admitted():
            return
        self._relay = Relay(self._connection, last_event_id=facts.last_event_id)
        self._context.retries.record_request(self._service, self._context.clock())
        await self._attempt_until_settled()

    def _is_admitted(self) -> bool:
        context, facts = self._context, self._facts
        now = context.clock()
        path = self._request.target.decode("latin-1")
        access = context.configuration.check(facts.host, path, facts.key, now)
        if isinstance(access, Denied):
            self._deny(access)
            return False
        self._take(access)
        if self._account is None:
            return True
        wait_s = context.allowances.take(
            self._account, self._cost, self._route.priority, now
        )
        if wait_s > 0:
            self._refuse(429, "allowance-spent", wait_s)
            return False
        return True

    def _take(self, access: Allowed) -> None:
        facts, route = self._facts, access.route
        self._route = route
        self._account = access.account
        self._rank = access.rank
        self._service = route.service_for(random())
        limit_s = route.timeout_s
        if facts.time_limit_s is not None:
            limit_s = min(limit_s, facts.time_limit_s - TIMEOUT_MARGIN_S)
        self._ends_at = self._request.arrived_at + limit_s
        if self._account is not None:
            self._cost = 1.0
            if self._account.counts_tokens:
                self._cost = float(facts.tokens or self._account.plain_cost)

    async def _attempt_until_settled(self) -> None:
        wait_until = self._request.arrived_at + max(
            LEAST_WAIT_S, WAIT_SHARE * self._route.objective_s
        )
        while True:
            target = await self._place(min(wait_until, self._ends_at))
            if target is None:
                self._give_up(AttemptEnd.NOT_SENT, "no-place")
                return
            attempt = await self._send(target)
            if attempt.end is AttemptEnd.ANSWERED:
                self._complete(attempt)
                return
            now = self._context.clock()
            reason = self._reason_not_to_repeat(attempt, now)
            if reason:
                self._end_failed(attempt, reason)
                return
            self._excluded.add(target.entry.target_id)
            wait_until = now + REPEAT_WAIT_S
            self._context.log.request(
                "request-repeated",
                self._facts.request_id,
                after=attempt.end,
                detail=attempt.detail,
                target=target.entry.target_id,
                last_event_id=self._relay.last_event_id,
            )

    def _reason_not_to_repeat(self, attempt: Attempt, now: float) -> str:
        if now >= self._ends_at:
            return "timeout"
        if not self._attempts.may_repeat(self._route, attempt.end):
            return f"attempt-{attempt.end}"
        if attempt.end is AttemptEnd.NOT_SENT:
            return ""
        if not self._context.retries.take(self._service, now):
            return "retry-budget"
        return ""

    # Placing.

    async def _place(self, give_up_at: float) -> Target | None:
        context = self._context
        placed = Event()
        granted: list[Target] = []

        def on_place(target: Target) -> None:
            # Counted at once: the next decision has to see it.
            target.note_sent(self._facts.work, context.clock())
            granted.append(target)
            placed.set()

        ticket = Ticket(
            service=self._service,
            rank=self._rank,
            work=self._facts.work,
            ends_at=self._ends_at,
            on_place=on_place,
            excluded=self._excluded,
            arrived_at=self._request.arrived_at,
        )
        started_at = context.clock()
        target = context.dispatcher.submit(ticket, started_at)
        if target is not None:
            target.note_sent(self._facts.work, started_at)
            self._note_waited(0.0)
            return target
        try:
            with move_on_after(give_up_at - started_at):
                await placed.wait()
        except BaseException:
            if not context.dispatcher.withdraw(ticket) and granted:
                self._release(granted[0], had_first_event=False)
            raise
        self._note_waited(context.clock() - started_at)
        if granted:
            return granted[0]
        context.dispatcher.withdraw(ticket)
        self._log_not_placed(ticket)
        return None

    def _note_waited(self, waited_s: float) -> None:
        self._trace.waited_s += waited_s
        self._context.metrics.waited_s.labels(self._service).observe(waited_s)

    def _release(self, target: Target, *, had_first_event: bool) -> None:
        target.note_left(self._facts.work, had_first_event=had_first_event)
        self._context.dispatcher.pump(self._service, self._context.clock())

    # Sending.

    async def _send(self, target: Target) -> Attempt:
        context = self._context
        sent_at = context.clock()
        start = expected_start(target, self._facts.work)
        self._log_placed(target, start)

        def on_first_event() -> None:
            taken_s = context.clock() - sent_at
            target.note_first_event(
                self._facts.work,
                expected_s=start.reference_s,
                waited_s=start.slot_wait_s,
                taken_s=taken_s,
            )

        attempt = Attempt(
            self._relay,
            request_id=self._facts.request_id,
            expects_stream=self._route.kind is RouteKind.STREAMING,
            clock=context.clock,
            on_first_event=on_first_event,
        )
        connection = None
        try:
            connection = context.pool.take_idle(target.entry.target_id)
            if connection is None:
                connection = await context.pool.open(target.entry)
            if connection is None:
                attempt.give_up(AttemptEnd.NOT_SENT, "no connection")
            else:
                await self._transfer(target, connection, attempt)
        finally:
            self._relay.when_writable(None)
            if connection is not None:
                # A connection whose answer is not whole is closed, by which
                # the target stops working on it.
                if attempt.end is AttemptEnd.ANSWERED or attempt.end in (
                    AttemptEnd.REFUSED,
                    AttemptEnd.FAILED,
                ):
                    context.pool.give_back(target.entry.target_id, connection)
                else:
                    connection.close()
            self._note_end(target, attempt, sent_at)
        return attempt

    async def _transfer(
        self, target: Target, connection: TargetConnection, attempt: Attempt
    ) -> None:
        now = self._context.clock()
        if not self._may_still_send(target, now):
            attempt.give_up(AttemptEnd.NOT_SENT, "no longer allowed")
            self._context.pool.give_back(target.entry.target_id, connection)
            return

        def on_writable(writable: bool) -> None:
            if writable:
                connection.resume()
            else:
                connection.pause()

        self._relay.when_writable(on_writable)
        connection.send(self._encoded(target, now), self._facts.request_id, attempt)
        while attempt.end is None:
            now = self._context.clock()
            if now >= self._ends_at:
                attempt.give_up(AttemptEnd.SILENT, "timeout")
            elif self._seems_dark(target, attempt, now):
                attempt.give_up(AttemptEnd.SILENT, "target is silent")
            else:
                with move_on_after(min(CHECK_S, self._ends_at - now)):
                    await attempt.done.wait()

    def _may_still_send(self, target: Target, now: float) -> bool:
        if self._account is not None and not self._context.configuration.trusts_keys(
            now
        ):
            return False
        return target.entry.target_id in self._context.targets.by_id

    def _encoded(self, target: Target, now: float) -> bytes:
        headers = end_to_end(self._request.headers)
        if self._relay.last_event_id > self._facts.last_event_id:
            headers = resuming_after(headers, self._relay.last_event_id)
        headers = for_target(
            headers,
            target_id=target.entry.target_id,
            account=None if self._account is None else self._account.name,
            left_s=self._ends_at - now,
        )
        body = self._request.body
        if body or self._request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"%d" % len(body)))
        return request_head(self._request.method, self._request.target, headers) + body

    def _seems_dark(self, target: Target, attempt: Attempt, now: float) -> bool:
        """Return whether to go on elsewhere; only where that is allowed."""
        if not self._route.repeatable or not target.is_silent(now):
            return False
        if not self._attempts.may_repeat(self._route, AttemptEnd.SILENT):
            return False
        if attempt.last_event_at is None:
            return True
        longest_s = LONGEST_PAUSE_FACTOR * max(self._route.longest_pause_s, CHECK_S)
        return now - attempt.last_event_at > longest_s

    def _note_end(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        context = self._context
        now = context.clock()
        end = attempt.end
        if end is AttemptEnd.ANSWERED:
            target.note_success()
            started_at = sent_at if not attempt.is_stream else attempt.first_event_at
            target.note_slot_time(now - (started_at or sent_at))
            if attempt.is_stream and started_at is not None:
                tokens = self._tokens_per_event() * (attempt.events - 1)
                target.note_output(tokens, attempt.last_event_at - started_at)
            if not attempt.is_stream:
                attempt.note_whole_answer()
        elif end in (AttemptEnd.NOT_SENT, AttemptEnd.SILENT):
            if attempt.detail != "timeout":
                target.note_unreachable(now)
        elif end is AttemptEnd.BROKEN:
            target.note_error()
            if attempt.status == 0:
                target.note_unreachable(now)
        elif end is AttemptEnd.FAILED:
            target.note_error()
        elif end is AttemptEnd.REFUSED:
            target.note_full(now, FULL_PAUSE_S)
        if end is not None:
            self._attempts.note(end)
            context.metrics.attempts.labels(self._service, end).inc()
        if self._trace.first_event_at is None:
            self._trace.first_event_at = attempt.first_event_at
        self._trace.attempts.append(
            {
                "target": target.entry.target_id,
                "end": end or "caller-left",
                "detail": attempt.detail,
                "sent_ms": _ms(sent_at - self._request.arrived_at),
                "first_event_ms": None
                if attempt.first_event_at is None
                else _ms(attempt.first_event_at - sent_at),
                "longest_pause_ms": _ms(attempt.longest_pause_s),
                "events": attempt.events,
                "took_ms": _ms(now - sent_at),
            }
        )
        self._release(target, had_first_event=attempt.first_event_at is not None)

    def _tokens_per_event(self) -> int:
        current = self._context.configuration.current
        service = current.services_by_name.get(self._service)
        return 1 if service is None else service.tokens_per_event

    # Answers.

    def _complete(self, attempt: Attempt) -> None:
        if attempt.is_stream:
            self._relay.end(attempt.status, attempt.headers)
        else:
            self._relay.answer(attempt.status, attempt.headers, attempt.body)
        self._settle(attempt.status, "answered")

    def _end_failed(self, attempt: Attempt, reason: str) -> None:
        if self._relay.started:
            self._relay.cut()
            self._settle(0, f"cut-{reason}")
        elif attempt.end is AttemptEnd.FAILED:
            # The target's own answer says most; it has run there.
            self._relay.answer(attempt.status, attempt.headers, attempt.body)
            self._settle(attempt.status, reason)
        else:
            self._give_up(attempt.end, reason)

    def _give_up(self, end: AttemptEnd, reason: str) -> None:
        if self._relay.started:
            self._relay.cut()
            self._settle(0, f"cut-{reason}")
            return
        status = self._attempts.final_status(end)
        if status == 503 and self._account is not None:
            self._context.allowances.give_back(
                self._account, self._cost, self._context.clock()
            )
        retry_after_s = None
        if status == 503:
            retry_after_s = return_time_s(self._ends_at - self._context.clock())
        self._refuse(status, reason, retry_after_s)

    def _deny(self, denied: Denied) -> None:
        retry_after_s = RETRY_AFTER_UNREADY_S if denied.status == 503 else None
        self._refuse(denied.status, denied.reason, retry_after_s)

    def _refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        headers = refusal_headers(self._facts.request_id, retry_after_s)
        self._connection.respond(status, headers, b"")
        self._settle(status, reason)

    def _settle(self, status: int, reason: str) -> None:
        self._settled = True
        context = self._context
        now = context.clock()
        route = getattr(self, "_route", None)
        kind = "unknown" if route is None else route.kind
        context.metrics.requests.labels(kind, self._rank[-1], status, reason).inc()
        first_at = self._trace.first_event_at
        if first_at is not None:
            context.metrics.first_event_s.labels(kind, self._rank[-1]).observe(
                first_at - self._request.arrived_at
            )
        configuration = context.configuration
        context.log.request(
            "request-ended",
            self._facts.request_id,
            status=status,
            reason=reason,
            route=None if route is None else route.name,
            kind=kind,
            rank=self._rank,
            account=None if self._account is None else self._account.name,
            service=self._service,
            version=0
            if configuration.current is None
            else configuration.current.version,
            version_age_ms=_ms(min(configuration.age_s(now), 1e6)),
            waited_ms=_ms(self._trace.waited_s),
            first_event_ms=None
            if first_at is None
            else _ms(first_at - self._request.arrived_at),
            total_ms=_ms(now - self._request.arrived_at),
            attempts=self._trace.attempts,
        )

    def _log_not_placed(self, ticket: Ticket) -> None:
        context = self._context
        obstacles = context.dispatcher.obstacles(ticket, context.clock())
        context.log.request(
            "request-not-placed",
            self._facts.request_id,
            service=self._service,
            rank=self._rank,
            waiting=context.dispatcher.waiting(self._service),
            targets=len(context.targets.of_service(self._service)),
            obstacles=obstacles,
            routers_heard=context.peers.heard(context.clock()),
        )

    def _log_placed(self, target: Target, start: ExpectedStart) -> None:
        self._context.log.request(
            "request-placed",
            self._facts.request_id,
            target=target.entry.target_id,
            expected_ms=_ms((target.slowness or 1.0) * start.reference_s),
            slot_wait_ms=_ms(start.slot_wait_s),
            in_flight=target.in_flight,
            peer_in_flight=target.peer_in_flight,
            slowness=None if target.slowness is None else round(target.slowness, 2),
            error_share=round(target.errors, 3),
        )


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
