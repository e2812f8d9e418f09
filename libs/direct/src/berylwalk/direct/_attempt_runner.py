"""Attempts of a request at targets."""

from collections.abc import Awaitable, Callable

from anyio import move_on_after

from berylwalk.direct._admission import Admitted
from berylwalk.direct._attempt import Attempt
from berylwalk.direct._attempt_feedback import (
    STATUS_MISDIRECTED_REQUEST,
    STATUS_TOO_MANY_REQUESTS,
    AttemptFeedback,
)
from berylwalk.direct._attempt_progress import AttemptProgress, GiveUpReason
from berylwalk.direct._context import RouterContext
from berylwalk.direct._end_proof import prove_end
from berylwalk.direct._exchange_log import ExchangeLog
from berylwalk.direct._flow_control import apply_signals
from berylwalk.direct._response_writer import ResponseWriter
from berylwalk.direct._send_check import may_send
from berylwalk.direct._takeover import KeptReason, Takeover
from berylwalk.direct._version_observer import VersionObserver
from berylwalk.dispatch import (
    AttemptEnd,
    Attempts,
    FirstEventEstimate,
    Target,
    TargetSignals,
    estimate_first_event,
)
from berylwalk.forwarding import TargetConnection, end_to_end, request_head
from berylwalk.platform import headers_for_target, headers_to_resume

PROGRESS_CHECK_INTERVAL_S = 0.25
"""How often an attempt without progress is checked."""
SILENT_PAUSE_FACTOR = 2.0
"""Multiple of the longest allowed pause after which a stream counts as stalled, if its
target is silent on all connections."""
SecureTakeover = Callable[
    [Target, Callable[[], bool]], Awaitable[Takeover | KeptReason]
]
"""Secures a second target; see `TakeoverSearch.secure`."""
REUSABLE_ENDS = (AttemptEnd.ANSWERED, AttemptEnd.REFUSED, AttemptEnd.FAILED)
"""Ends of an attempt after which the connection can be reused."""


class AttemptRunner:
    """Runs the attempts of one request.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    admitted : Admitted
        The request.
    response_writer : ResponseWriter
        Writes the response to the caller.
    attempts : Attempts
        Counts how the attempts of the request ended.
    log : ExchangeLog
        Logs the events of the request.
    secure_takeover : callable
        Secures another target for the request while an attempt runs.

    Attributes
    ----------
    takeover : Takeover or None
        Target that takes the request over after the last attempt, which was given up
        for it.
    """

    def __init__(
        self,
        context: RouterContext,
        admitted: Admitted,
        *,
        response_writer: ResponseWriter,
        attempts: Attempts,
        log: ExchangeLog,
        secure_takeover: SecureTakeover,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._response_writer = response_writer
        self._attempts = attempts
        self._log = log
        self._secure_takeover = secure_takeover
        self.takeover: Takeover | None = None
        self._attempt_feedback = AttemptFeedback(context, admitted, log)
        self._progress: AttemptProgress | None = None
        self._version_observer: VersionObserver | None = None
        self._connection: TargetConnection | None = None
        self._time_limit_s: float | None = None

    def close_connection(self) -> None:
        """Close the connection of the running attempt; its target stops processing."""
        if self._connection is not None:
            self._connection.close()

    async def send(
        self, target: Target, connection: TargetConnection | None = None
    ) -> Attempt:
        """Send the request to a target that it already counts against.

        Parameters
        ----------
        target : Target
            The target.
        connection : TargetConnection or None
            Open connection to it; None to use any.
        """
        context = self._context
        context.on_placed(target)
        sent_at = context.clock()
        self._attempt_feedback = AttemptFeedback(context, self._admitted, self._log)
        try:
            attempt = self._new_attempt(target, sent_at)
        except BaseException:
            work = self._admitted.parsed_headers.work
            target.note_finished(work, had_first_event=False)
            raise
        self.takeover = None
        self._time_limit_s = None
        try:
            if connection is None:
                connection = context.pool.take_idle(target.entry.incarnation_id)
            if connection is None:
                connection = await self._open(target)
            if context.clock() >= self._admitted.deadline:
                attempt.abandon(AttemptEnd.NOT_SENT, "timeout")
            elif connection is None:
                attempt.abandon(
                    AttemptEnd.NOT_SENT, "connection failed", target_unreachable=True
                )
            elif not may_send(context, self._admitted, target):
                attempt.abandon(AttemptEnd.NOT_SENT, "sending no longer allowed")
            else:
                await self._transfer(target, connection, attempt)
        finally:
            if connection is not None:
                self._end_connection(target, connection, attempt)
            self._record_end(target, attempt, sent_at)
        return attempt

    async def _open(self, target: Target) -> TargetConnection | None:
        """Open a connection, for as long as the request may still be answered."""
        context = self._context
        with move_on_after(self._admitted.deadline - context.clock()):
            return await context.pool.open(target.entry)
        return None

    def _new_attempt(self, target: Target, sent_at: float) -> Attempt:
        work = self._admitted.parsed_headers.work
        incarnation_id = target.entry.incarnation_id
        prefix_cache_index = self._context.dispatcher.prefix_cache_index
        cached_tokens = prefix_cache_index.cached_tokens(work).get(incarnation_id, 0)
        estimate = estimate_first_event(target, work, cached_tokens=cached_tokens)
        prefix_cache_index.note_sent(work, incarnation_id)
        self._log.log_placed(self._admitted, target, estimate)
        self._observe_version(target, estimate)
        progress = AttemptProgress(self._admitted, target, estimate, sent_at)
        self._progress = progress

        def on_first_event() -> None:
            if attempt.is_stream:
                self._record_stream(target)
            taken_s = self._attempt_feedback.elapsed_s(sent_at + attempt.proof_s)
            target.note_first_event(work, estimate, taken_s)
            progress.note_first_event(attempt, self._context.clock())
            if estimate.total_s > 0:
                ratio = taken_s / estimate.total_s
                metrics = self._context.metrics
                metrics.first_event_ratio.labels(self._admitted.service).observe(ratio)
            self._attempt_feedback.record_alive(target)

        def on_begun() -> None:
            self._attempt_feedback.record_begun(target)

        def on_output(events: int, elapsed_s: float) -> None:
            tokens = self._tokens_per_event() * events
            target.note_output(tokens, events, elapsed_s)

        def on_signals(signals: TargetSignals, status: int) -> None:
            if status != STATUS_MISDIRECTED_REQUEST:
                # Status 421 comes from another target process at the same address.
                self._log.log_signals(self._admitted, target, signals)
                apply_signals(self._context, target, signals, sent_at)
                if status < 500 and status != STATUS_TOO_MANY_REQUESTS:
                    slots = target.entry.slots
                    target.flow_control.backoff.note_accepted(slots, sent_at=sent_at)

        def suspended_s() -> float:
            self._context.note_suspension()
            return self._context.suspension.total_s

        attempt = Attempt(
            self._response_writer,
            request_id=self._admitted.request_id,
            expects_stream=self._admitted.expects_stream,
            clock=self._context.clock,
            on_first_event=on_first_event,
            on_begun=on_begun,
            on_output=on_output,
            on_signals=on_signals,
            suspended_s=suspended_s,
        )
        return attempt

    def _record_stream(self, target: Target) -> None:
        """Record the version of a stream that the caller may take up.

        If it may have begun at several versions, the caller gets its first event once
        the record is stored: it may come back when no router is left that has seen it.
        """
        context, admitted = self._context, self._admitted
        if not admitted.may_be_taken_up:
            return
        is_unstored = context.streams.record(
            admitted.service,
            admitted.stream_key,
            target.entry.version,
            context.clock(),
        )
        if is_unstored and context.targets.versions.is_mixed(admitted.service):
            self._response_writer.hold()
            context.when_stream_stored(
                admitted.stream_key, self._response_writer.release
            )

    def _observe_version(self, target: Target, estimate: FirstEventEstimate) -> None:
        """Observe the attempt if a version of the service is being rolled out."""
        context, admitted = self._context, self._admitted
        self._version_observer = None
        if context.rollouts.is_in_progress(admitted.service):
            self._version_observer = VersionObserver(
                context, admitted, target, estimate
            )

    async def _transfer(
        self, target: Target, connection: TargetConnection, attempt: Attempt
    ) -> None:
        def on_writable(writable: bool) -> None:
            if writable is not attempt.is_paused:
                return
            attempt.set_paused(not writable)
            if writable:
                target.note_read(self._context.clock())
                connection.resume()
            else:
                target.note_unread()
                connection.pause()

        def on_incarnation_ended() -> None:
            attempt.abort_target_ended("target restarted")

        self._response_writer.set_on_writable(on_writable)
        if not self._response_writer.is_writable:
            on_writable(False)
        connection.send(
            self._encode_request(target),
            self._admitted.request_id,
            attempt,
            is_head=self._admitted.request.is_head,
        )
        self._connection = connection
        if self._progress is not None:
            self._progress.note_sent(self._context.clock())
        target.on_incarnation_ended.add(on_incarnation_ended)
        try:
            await self._wait_for_end(target, attempt)
        finally:
            self._connection = None
            target.on_incarnation_ended.discard(on_incarnation_ended)
            if attempt.is_paused:
                target.note_read(self._context.clock())

    async def _wait_for_end(self, target: Target, attempt: Attempt) -> None:
        clock, deadline = self._context.clock, self._admitted.deadline
        sent_at = clock()
        while attempt.end is None:
            self._context.note_suspension()
            now = clock()
            if attempt.awaits_proof:
                proof = await prove_end(self._context, target, deadline - now)
                attempt.proof_s = clock() - now
                attempt.note_proof(proof)
            elif now >= deadline:
                attempt.abandon(AttemptEnd.SILENT, "timeout")
            elif reason := await self._reason_to_hand_over(target, attempt, now):
                attempt.abandon(
                    reason.attempt_end,
                    reason,
                    target_unreachable=reason is GiveUpReason.SILENT,
                )
            else:
                if self._version_observer is not None:
                    self._version_observer.check_progress(
                        attempt, self._attempt_feedback.elapsed_s(sent_at)
                    )
                left_s = deadline - clock()
                with move_on_after(min(PROGRESS_CHECK_INTERVAL_S, left_s)):
                    await attempt.done.wait()

    def _encode_request(self, target: Target) -> bytes:
        request = self._admitted.request
        headers = end_to_end(request.headers)
        if (
            self._response_writer.last_event_id
            > self._admitted.parsed_headers.last_event_id
        ):
            headers = headers_to_resume(headers, self._response_writer.last_event_id)
        self._time_limit_s = self._admitted.deadline - self._context.clock()
        headers = headers_for_target(
            headers,
            target_id=target.entry.target_id,
            account=self._admitted.account_name,
            remaining_s=self._time_limit_s,
        )
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        return request_head(request.method, request.target, headers) + request.body

    async def _reason_to_hand_over(
        self, target: Target, attempt: Attempt, now: float
    ) -> GiveUpReason | None:
        """Secure another target if this one makes no progress with the request.

        Returns
        -------
        GiveUpReason or None
            Why the attempt is given up for `takeover`; None if it is kept.
        """
        reason = self._give_up_reason(target, attempt, now)
        if reason is None:
            return None

        def is_needed() -> bool:
            now = self._context.clock()
            is_running = attempt.is_running and now < self._admitted.deadline
            return is_running and bool(self._give_up_reason(target, attempt, now))

        found: Takeover | KeptReason = KeptReason.NOT_CONNECTED
        # A connection that opens slowly must hold up neither an answer nor a refusal.
        with move_on_after(self._admitted.deadline - now) as scope:
            attempt.on_finished = scope.cancel
            found = await self._secure_takeover(target, is_needed)
        attempt.on_finished = None
        if isinstance(found, KeptReason):
            attempt.kept_reason = found
            return None
        self.takeover = found
        return reason

    def _give_up_reason(
        self, target: Target, attempt: Attempt, now: float
    ) -> GiveUpReason | None:
        """Return why the request had better run at another target, or None."""
        if attempt.is_paused or not self._admitted.route.repeatable:
            return None
        if target.is_silent(now):
            is_due = self._is_silence_too_long(attempt, now)
            return GiveUpReason.SILENT if is_due else None
        if self._progress is None:
            return None
        waited_s = self._attempt_feedback.elapsed_s(self._progress.sent_at)
        return self._progress.give_up_reason(attempt, waited_s, now)

    def _is_silence_too_long(self, attempt: Attempt, now: float) -> bool:
        """Return whether an attempt at a silent target had better be given up."""
        if attempt.last_event_at is None:
            return True
        longest_s = SILENT_PAUSE_FACTOR * max(
            self._admitted.route.longest_pause_s, PROGRESS_CHECK_INTERVAL_S
        )
        return now - attempt.last_event_at > longest_s

    def _end_connection(
        self, target: Target, connection: TargetConnection, attempt: Attempt
    ) -> None:
        self._response_writer.set_on_writable(None)
        if attempt.end in REUSABLE_ENDS:
            self._context.pool.release(target.entry.incarnation_id, connection)
        else:
            # Closing the connection makes the target stop processing the request.
            connection.close()

    def _record_end(self, target: Target, attempt: Attempt, sent_at: float) -> None:
        context, admitted = self._context, self._admitted
        self._attempt_feedback.record(target, attempt, sent_at)
        if self._version_observer is not None:
            elapsed_s = self._attempt_feedback.elapsed_s(sent_at + attempt.proof_s)
            self._version_observer.record(attempt, elapsed_s, self._tokens_per_event())
        if attempt.end is not None:
            self._attempts.note(attempt.end)
            context.metrics.attempts.labels(admitted.service, attempt.end).inc()
        if attempt.response_end is not None:
            ends = context.metrics.response_ends
            ends.labels(admitted.service, attempt.response_end).inc()
        self._log.record_attempt(target, attempt, sent_at, self._time_limit_s)
        target.note_finished(
            admitted.parsed_headers.work,
            had_first_event=attempt.first_event_at is not None,
        )
        context.dispatcher.dispatch_queued(admitted.service, context.clock())

    def _tokens_per_event(self) -> int:
        current = self._context.configuration.current
        service = current.services_by_name.get(self._admitted.service)
        return 1 if service is None else service.tokens_per_event
