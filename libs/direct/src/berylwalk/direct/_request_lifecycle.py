"""Lifecycle of an admitted request: placement, attempts and response."""

from asyncio import get_running_loop
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import random

from anyio import Event, move_on_after

from berylwalk.direct._admission import Admitted, quarantine_reason
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._attempt_runner import AttemptRunner
from berylwalk.direct._context import RouterContext
from berylwalk.direct._end_reasons import (
    NO_STATUS,
    ROUTER_STOPPED,
    ROUTER_STOPPING,
    SLOW_READER,
    VM_LIMIT,
)
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.direct._response_writer import ResponseWriter
from berylwalk.direct._stream_binding import find_stream_version
from berylwalk.direct._takeover import Takeover, TakeoverSearch
from berylwalk.dispatch import (
    ELSEWHERE_DELAY_S,
    SHORT_RETURN_S,
    AttemptEnd,
    Attempts,
    PendingRequest,
    RequestDeadlines,
    RetryBudgetState,
    Target,
    deadlines_after_failure,
    deadlines_at_arrival,
    deadlines_of_begun_stream,
    retry_after_s,
    short_deadlines,
)
from berylwalk.forwarding import CallerConnection
from berylwalk.platform import refusal_headers
from berylwalk.quarantine import Identity, QuarantineStatus, Verdict

PLACEMENT_CHECK_INTERVAL_S = 0.1
NOT_EXECUTED_ENDS = (AttemptEnd.NOT_SENT, AttemptEnd.REFUSED)
"""Ends of an attempt whose target has certainly not executed the request."""
PERMIT_RETURN_TIMEOUT_S = 1.0
"""How long to try to return an unused trial permit."""
TIMER_MARGIN_S = 0.001
"""Event loop timers may fire early by up to the clock's resolution."""


@dataclass(frozen=True, slots=True)
class TrialPermits:
    """Permits to send a quarantined request once.

    Parameters
    ----------
    acquire : callable
        Acquires the permits for some identities; returns whether it succeeded.
    give_back : callable
        Returns the permits of a request that was not sent.
    """

    acquire: Callable[[tuple[Identity, ...]], Awaitable[bool]]
    give_back: Callable[[tuple[Identity, ...]], Awaitable[None]]


class RequestLifecycle:
    """Drives an admitted request to its final response.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    connection : CallerConnection
        Connection that the response is written to.
    admitted : Admitted
        The request.
    log : ExchangeLog
        Logs the events of the request.
    trial_permits : TrialPermits
        Permits for trials of quarantined requests.
    """

    def __init__(
        self,
        context: RouterContext,
        connection: CallerConnection,
        admitted: Admitted,
        log: ExchangeLog,
        *,
        trial_permits: TrialPermits,
    ) -> None:
        self._context = context
        self._connection = connection
        self._admitted = admitted
        self._log = log
        self._trial_permits = trial_permits
        self._attempts = Attempts()
        self._excluded: set[str] = set()
        self._silent: set[str] = set()
        self._stream_version: str | None = None
        self._response_writer = ResponseWriter(
            connection, last_event_id=admitted.parsed_headers.last_event_id
        )
        self._attempt_runner = AttemptRunner(
            context,
            admitted,
            response_writer=self._response_writer,
            attempts=self._attempts,
            log=log,
            secure_takeover=TakeoverSearch(
                context,
                admitted,
                attempts=self._attempts,
                pending=self._pending_takeover,
                on_retry_decision=self._on_retry_decision,
            ).secure,
        )
        self._first_arrived_at = admitted.request.arrived_at
        self._send_by = float("-inf")
        self._available_at = float("-inf")
        self._has_sent = False
        self._last_event_at = admitted.request.arrived_at
        self.is_finished = False

    async def run(self) -> None:
        """Drive the request; a trial that was not sent does not use up its permits."""
        if self._is_too_late_to_begin():
            self._fail(AttemptEnd.NOT_SENT, ROUTER_STOPPING)
            return
        trial_of = self._admitted.verdict.trial_of
        if not trial_of:
            await self._run()
            return
        if not await self._trial_permits.acquire(trial_of):
            blocked_by = self._admitted.verdict.blocked_by
            self._fail(AttemptEnd.NOT_SENT, quarantine_reason(blocked_by))
            return
        try:
            await self._run()
        finally:
            if not self._has_sent:
                with move_on_after(PERMIT_RETURN_TIMEOUT_S, shield=True):
                    await self._trial_permits.give_back(trial_of)

    def discard_held(self) -> None:
        """Drop events that are held for their record; call it after the end."""
        self._response_writer.discard()

    def close_target_connection(self) -> None:
        """Close the connection of the running attempt, if there is one."""
        self._attempt_runner.close_connection()

    def end_at_stop(self) -> None:
        """Respond that the router stops; call it after the request was cancelled."""
        end = AttemptEnd.BROKEN if self._has_sent else AttemptEnd.NOT_SENT
        self._attempts.note(end)
        self._fail(end, ROUTER_STOPPED)

    async def _run(self) -> None:
        """Attempt targets until one responds or no further attempt is allowed."""
        context, admitted = self._context, self._admitted
        context.retries.record_request(admitted.service, context.clock())
        context.request_rates.record_request(admitted.service, context.clock())
        deadlines = self._deadlines_at_arrival()
        if admitted.takes_up_stream:
            if not await self._bind_to_stream_version():
                self._fail(AttemptEnd.NOT_SENT, "stream-version-unknown")
                return
            # It waits like a stream that the router itself continues.
            deadlines = deadlines_after_failure(context.clock(), admitted.deadline)
        if context.vm_capacity.refuses(
            admitted.rank, open_requests=context.open_requests
        ):
            self._fail(AttemptEnd.NOT_SENT, VM_LIMIT)
            return
        takeover: Takeover | None = None
        while True:
            if takeover is None:
                target = await self._acquire_target(deadlines)
            else:
                target = takeover.target
            if target is None:
                self._fail(AttemptEnd.NOT_SENT, self._unplaced_reason())
                return
            if self._is_too_late_to_begin():
                self._release(target)
                self._fail(AttemptEnd.NOT_SENT, ROUTER_STOPPING)
                return
            attempt = await self._send(target, takeover)
            takeover = self._attempt_runner.takeover
            if attempt.last_event_at is not None:
                self._last_event_at = attempt.last_event_at
            if self._response_writer.started and self._stream_version is None:
                self._stream_version = target.entry.version
            if attempt.end is AttemptEnd.ANSWERED:
                self._complete(attempt)
                return
            reason = "" if takeover else self._reason_not_to_retry(attempt)
            if reason:
                self._respond_failure(attempt, reason)
                return
            self._exclude(target, attempt, is_handed_over=takeover is not None)
            deadlines = self._deadlines_after_failure()
            self._log.log_retried(
                admitted, target, attempt, self._response_writer.last_event_id
            )

    @property
    def _has_time_order(self) -> bool:
        """Whether requests are ordered by time left and by usage of accounts."""
        context = self._context
        return context.peers.known_count() >= context.settings.time_order_min_routers

    def _deadlines_at_arrival(self) -> RequestDeadlines:
        context, admitted = self._context, self._admitted
        now, arrived_at = context.clock(), admitted.request.arrived_at
        if not self._has_time_order:
            return short_deadlines(
                arrived_at, admitted.route.objective_s, admitted.deadline
            )
        first_arrived_at = context.refused.take(
            admitted.identity, gives_up_at=admitted.gives_up_at, now=now
        )
        if first_arrived_at is not None:
            self._first_arrived_at = first_arrived_at
        deadlines = deadlines_at_arrival(
            arrived_at,
            admitted.route.objective_s,
            admitted.deadline,
            first_arrived_at=first_arrived_at,
            idle_start_s=context.dispatcher.idle_start_s(
                admitted.service, admitted.parsed_headers.work, now
            ),
        )
        self._send_by = deadlines.send_by
        self._log.record_deadlines(deadlines.send_by, first_arrived_at)
        return deadlines

    def _deadlines_after_failure(self) -> RequestDeadlines:
        context, admitted = self._context, self._admitted
        now = context.clock()
        if not self._response_writer.started:
            return deadlines_after_failure(now, admitted.deadline)
        return deadlines_of_begun_stream(
            now,
            admitted.deadline,
            last_event_at=self._last_event_at,
            objective_s=admitted.route.objective_s,
            longest_pause_s=admitted.route.longest_pause_s,
            idle_start_s=context.dispatcher.idle_start_s(
                admitted.service, admitted.parsed_headers.work, now
            ),
        )

    def _is_too_late_to_begin(self) -> bool:
        """Return whether the request can't end before a stop under way does.

        One that a target may have run goes on.
        """
        context, admitted = self._context, self._admitted
        if context.stop is None or self._attempts.may_have_run:
            return False
        now = context.clock()
        work = admitted.parsed_headers.work
        run_s = context.dispatcher.idle_run_s(admitted.service, work, now)
        return not context.may_begin(admitted.deadline, now, run_s=run_s)

    def _release(self, target: Target) -> None:
        """Give back a place at a target that the request was not sent to."""
        context, admitted = self._context, self._admitted
        target.note_finished(admitted.parsed_headers.work, had_first_event=False)
        context.dispatcher.dispatch_queued(admitted.service, context.clock())

    async def _send(self, target: Target, takeover: Takeover | None) -> Attempt:
        had_sent = self._has_sent
        # An attempt that is cancelled may have been sent.
        self._has_sent = True
        context, admitted = self._context, self._admitted
        usage, account = context.account_usage, admitted.account_name
        usage.note_started(admitted.service, account, context.clock())
        try:
            connection = None if takeover is None else takeover.connection
            attempt = await self._attempt_runner.send(target, connection)
        finally:
            usage.note_ended(admitted.service, account, context.clock())
        if attempt.end is AttemptEnd.NOT_SENT:
            self._has_sent = had_sent
        return attempt

    def _exclude(
        self, target: Target, attempt: Attempt, *, is_handed_over: bool
    ) -> None:
        """Exclude a target that was tried from further attempts.

        Those that were silent may have gone on. They are tried again if the request
        did not reach the target that was to take it over.
        """
        incarnation_id = target.entry.incarnation_id
        if is_handed_over:
            self._silent.add(incarnation_id)
        elif attempt.end in NOT_EXECUTED_ENDS:
            self._excluded -= self._silent
        self._excluded.add(incarnation_id)

    async def _bind_to_stream_version(self) -> bool:
        """Bind the request to the version that began its stream.

        Returns
        -------
        bool
            Whether the version is known.
        """
        context, admitted = self._context, self._admitted
        version, source = await find_stream_version(context, admitted)
        listed = context.targets.versions_of(admitted.service)
        self._log.log_taken_up(admitted, version, source, listed)
        self._stream_version = version
        return version is not None

    def _unplaced_reason(self) -> str:
        """Return the reason why the request got no target."""
        if self._is_too_late_to_begin():
            return ROUTER_STOPPING
        if self._is_newly_quarantined():
            return quarantine_reason(self._verdict().blocked_by)
        version = self._stream_version
        targets = self._context.targets.of_service(self._admitted.service)
        if version is None or any(each.entry.version == version for each in targets):
            return "no-place"
        return "version-gone"

    def _reason_not_to_retry(self, attempt: Attempt) -> str:
        """Return the reason not to retry on another target; empty to retry."""
        now = self._context.clock()
        if now >= self._admitted.deadline:
            return "timeout"
        if not self._attempts.may_retry(self._admitted.route, attempt.end):
            return f"attempt-{attempt.end}"
        if attempt.is_paused:
            return SLOW_READER
        if self._is_too_late_to_begin():
            return ROUTER_STOPPING
        is_unused_trial = self._admitted.is_trial and attempt.end is AttemptEnd.NOT_SENT
        verdict = self._verdict()
        if verdict.blocked_by and not is_unused_trial:
            return quarantine_reason(verdict.blocked_by)
        if attempt.end is AttemptEnd.NOT_SENT:
            return ""
        return "" if self._take_retry(now) else "retry-budget"

    def _take_retry(self, now: float) -> bool:
        """Return whether the retry budget grants one more target."""
        retries, service = self._context.retries, self._admitted.service
        state = retries.state(service, now)
        is_granted = retries.take(service, now)
        self._on_retry_decision(state, is_granted)
        return is_granted

    def _on_retry_decision(self, state: RetryBudgetState, is_granted: bool) -> None:
        self._log.record_retry_decision(self._admitted, state, is_granted=is_granted)

    def _verdict(self) -> Verdict:
        """Return how the quarantine treats the request by now."""
        context = self._context
        return context.quarantine.verdict(self._admitted.subjects, context.clock())

    def _is_newly_quarantined(self) -> bool:
        """Return whether the request was quarantined after its admission."""
        return bool(self._verdict().blocked_by) and not self._admitted.is_trial

    async def _acquire_target(self, deadlines: RequestDeadlines) -> Target | None:
        """Return a target that the request already counts against, or None."""
        context, admitted = self._context, self._admitted
        placed = Event()
        granted: list[Target] = []

        def on_placed(target: Target) -> None:
            # Counted immediately so that the next placement decision includes it.
            target.note_sent(admitted.parsed_headers.work, context.clock())
            granted.append(target)
            placed.set()

        pending = self._pending_request(deadlines, on_placed)
        started_at = context.clock()
        target = self._canary_target(pending, started_at)
        if target is None:
            target = context.dispatcher.submit(pending, started_at)
        if target is not None:
            target.note_sent(admitted.parsed_headers.work, started_at)
            self._log.record_wait(admitted, 0.0)
            return target
        try:
            await self._wait_for_placement(placed, pending, deadlines)
        except BaseException:
            if not context.dispatcher.cancel(pending) and granted:
                self._release(granted[0])
            raise
        self._log.record_wait(admitted, context.clock() - started_at)
        if granted:
            return granted[0]
        context.dispatcher.cancel(pending)
        self._log.log_not_placed(admitted, pending)
        return None

    async def _wait_for_placement(
        self, placed: Event, pending: PendingRequest, deadlines: RequestDeadlines
    ) -> None:
        """Wait for a placement for as long as one may arrive in time."""
        clock = self._context.clock
        while not placed.is_set():
            if self._is_newly_quarantined() or self._is_too_late_to_begin():
                return
            now = clock()
            wait_until = self._wait_deadline(pending, deadlines, now)
            if wait_until <= now:
                return
            with move_on_after(min(wait_until - now, PLACEMENT_CHECK_INTERVAL_S)):
                await placed.wait()

    def _wait_deadline(
        self, pending: PendingRequest, deadlines: RequestDeadlines, now: float
    ) -> float:
        """Return until when to wait for a placement.

        If every target has announced when it becomes available again, dispatch is
        triggered at the earliest of these times. If that is not soon, the wait ends
        immediately. It ends early if the service has no target.
        """
        context, service = self._context, self._admitted.service
        dispatcher = context.dispatcher
        self._available_at = available_at = dispatcher.available_at(pending, now)
        unserved_until = min(deadlines.wait_until, deadlines.unserved_until)
        is_soon = available_at <= max(now, unserved_until)
        if not is_soon or not dispatcher.has_candidate(pending, now):
            return now
        if available_at > now:
            get_running_loop().call_later(
                available_at - now + TIMER_MARGIN_S,
                lambda: dispatcher.dispatch_queued(service, context.clock()),
            )
        if dispatcher.is_served(pending, now):
            return deadlines.wait_until
        return unserved_until

    def _canary_target(self, pending: PendingRequest, now: float) -> Target | None:
        """Return a canary target if this request is selected for one, else None.

        Retries are never sent to a canary.
        """
        rollouts, service = self._context.rollouts, self._admitted.service
        is_continued = self._stream_version is not None
        if self._excluded or is_continued or not rollouts.is_in_progress(service):
            return None
        version = rollouts.progress(service).order.version
        may_begin = self._context.targets.versions.may_begin(service, version, now)
        if self._admitted.may_be_taken_up and not may_begin:
            return None
        rollouts.count_send(service)
        route = self._admitted.route.name
        if not rollouts.take_canary(service, route, now):
            return None
        targets = self._context.targets.of_service(service)
        incarnation_ids = [
            each.entry.incarnation_id
            for each in targets
            if each.entry.version == version
        ]
        candidates = rollouts.canary_targets(
            service, incarnation_ids, len(targets) - len(incarnation_ids), now
        )
        target = self._context.dispatcher.choose_among(pending, candidates, now)
        if target is None:
            rollouts.refund_canary(service, route)
        return target

    def _pending_request(
        self, deadlines: RequestDeadlines, on_placed: Callable[[Target], None]
    ) -> PendingRequest:
        admitted = self._admitted
        return PendingRequest(
            service=admitted.service,
            rank=admitted.rank,
            work=admitted.parsed_headers.work,
            deadline=admitted.deadline,
            start_by=deadlines.start_by,
            send_by=deadlines.send_by,
            longest_pause_s=admitted.route.longest_pause_s,
            on_placed=on_placed,
            excluded=self._excluded,
            isolation_key=admitted.identity if self._must_run_isolated() else b"",
            arrived_at=admitted.request.arrived_at,
            version_draw=random(),
            stream_version=self._stream_version,
            is_resumable=admitted.may_be_taken_up,
            is_begun=self._response_writer.started,
            account=admitted.account_name if self._has_time_order else None,
        )

    def _pending_takeover(self, current: Target) -> PendingRequest:
        """Return the request as it is placed while a target runs it.

        It is not queued: the running attempt is kept until another target is free.
        """
        deadlines = deadlines_after_failure(
            self._context.clock(), self._admitted.deadline
        )
        pending = self._pending_request(deadlines, on_placed=lambda target: None)
        pending.excluded = self._excluded | {current.entry.incarnation_id}
        if self._response_writer.started and pending.stream_version is None:
            pending.stream_version = current.entry.version
        return pending

    def _must_run_isolated(self) -> bool:
        """Return whether the request may terminate its target."""
        return (
            self._admitted.is_trial
            or self._verdict().status is QuarantineStatus.SUSPECTED
        )

    def _complete(self, attempt: Attempt) -> None:
        if self._response_writer.started and not attempt.is_stream:
            # A response of its own can't follow a part of a stream.
            self._fail(attempt.end, "stream-not-continued")
            return
        if attempt.is_stream:
            self._response_writer.end(attempt.status, attempt.headers)
            self._context.streams.finish(self._admitted.stream_key)
        else:
            self._response_writer.write_response(
                attempt.status, attempt.headers, attempt.body
            )
        self._finish(attempt.status, "answered")

    def _respond_failure(self, attempt: Attempt, reason: str) -> None:
        if attempt.end is AttemptEnd.FAILED and not self._response_writer.started:
            # The target's own error response is the most informative one.
            self._response_writer.write_response(
                attempt.status, attempt.headers, attempt.body
            )
            self._finish(attempt.status, reason)
        else:
            self._fail(attempt.end, reason)

    def _fail(self, end: AttemptEnd, reason: str) -> None:
        if self._response_writer.started:
            self._response_writer.truncate_response()
            self._finish(NO_STATUS, f"cut-{reason}")
            return
        status = self._attempts.final_status(end)
        retry_after_s = None
        if status == 503:
            retry_after_s = self._refund(reason)
        headers = refusal_headers(self._admitted.request_id, retry_after_s)
        self._connection.respond(status, headers, b"")
        self._finish(status, reason)

    def _refund(self, reason: str) -> float:
        """Refund the cost, record the refusal and return its ``Retry-After`` time."""
        admitted, now = self._admitted, self._context.clock()
        if admitted.account is not None and admitted.charge is not None:
            self._context.quotas.refund(
                admitted.account,
                admitted.cost,
                charged_at=admitted.charge.at,
                now=now,
            )
        if self._has_time_order:
            self._context.refused.record(
                admitted.identity,
                self._first_arrived_at,
                gives_up_at=admitted.gives_up_at,
                now=now,
            )
        blocked_by = self._verdict().blocked_by
        if blocked_by:
            return self._context.quarantine.retry_after_s(blocked_by, now)
        if reason in (ROUTER_STOPPING, ROUTER_STOPPED):
            return ELSEWHERE_DELAY_S
        in_time_s = self._send_by - now if self._has_time_order else SHORT_RETURN_S
        return retry_after_s(
            admitted.deadline - now,
            in_time_s=in_time_s,
            available_in_s=self._available_at - now,
        )

    def _finish(self, status: int, reason: str) -> None:
        self.is_finished = True
        self._log.log_ended(self._admitted, status, reason)
