"""A single attempt of a request at one target."""

from collections.abc import Callable

from anyio import Event as Signal

from berylwalk.direct._end_proof import EndProof
from berylwalk.direct._event_order import EventOrderError
from berylwalk.direct._response_writer import ResponseWriter
from berylwalk.dispatch import NO_SIGNALS, AttemptEnd, TargetSignals
from berylwalk.forwarding import EventSplitter, Headers, ResponseEnd, header_value
from berylwalk.platform import (
    REQUEST_ID_HEADER,
    is_not_executed,
    parse_target_headers,
)

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
SPEED_REPORT_EVENTS = 8
"""Events of a stream after which the output speed of the target is updated."""
BEGUN_AFTER_S = 0.05
"""Time from the first event of a stream after which its target has survived the start
of the response: the event may arrive just before the crash that it belongs to."""
UNREAD_PAUSE_S = 0.2
"""Shortest pause in reading for which a target may end its response, in seconds. A
caller that reads all the time causes shorter ones."""
UNREAD_END_S = 1.0
"""Time after such a pause within which an end of the response is put down to the pause,
in seconds: what the target sent before is read first."""
EVENT_STREAM = b"text/event-stream"


class Attempt:
    """Receives the response of one target.

    The events of a stream are forwarded as they arrive. Any other response is
    buffered until it is complete, so that a truncated one is not forwarded.

    Parameters
    ----------
    response_writer : ResponseWriter
        Writes the response to the caller.
    request_id : bytes
        Id that the response has to echo.
    expects_stream : bool
        Whether a successful response is forwarded event by event.
    clock : callable
        Time of the loop, in seconds.
    on_first_event : callable
        Called when the first event has arrived.
    on_begun : callable
        Called once when the target has survived the start of a stream.
    on_output : callable
        Called periodically with a number of events and their duration in seconds.
    on_signals : callable
        Called with the signals in the response headers, and the status.
    suspended_s : callable
        Returns for how long the VM has been suspended so far, in seconds, which is no
        time of the target.

    Attributes
    ----------
    done : Signal
        Set when the attempt has ended, or awaits a proof of its end.
    on_finished : callable or None
        Called at the same time.
    end : AttemptEnd or None
        How the attempt ended; None while it runs.
    response_end : ResponseEnd or None
        What ended the response of the target; None if it had not ended.
    end_proof : EndProof or None
        Whether the target outlived an end of its connection that completes the
        response; None if that was not asked.
    proof_s : float
        How long the proof took, in seconds; no part of the response's time.
    target_unreachable : bool
        Whether the attempt was abandoned because the target is unreachable.
    target_ended : bool
        Whether the target appears to have terminated while it ran the request.
    is_paused : bool
        Whether the response is not read now because the caller reads too slowly.
    was_paused : bool
        Whether that was so at any time.
    ended_unread : bool
        Whether the target may have ended the response because it was not read.
    kept_reason : str
        Why the attempt was last kept although another target should have taken over;
        empty if none should.
    repeated_events, misplaced_events : int
        Events that were not passed on; see `EventOrder`.
    """

    def __init__(
        self,
        response_writer: ResponseWriter,
        *,
        request_id: bytes,
        expects_stream: bool,
        clock: Callable[[], float],
        on_first_event: Callable[[], None],
        on_begun: Callable[[], None],
        on_output: Callable[[int, float], None],
        on_signals: Callable[[TargetSignals, int], None],
        suspended_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._response_writer = response_writer
        self._request_id = request_id
        self._expects_stream = expects_stream
        self._clock = clock
        self._on_first_event = on_first_event
        self._on_begun = on_begun
        self._begun_reported = False
        self._on_output = on_output
        self._on_signals = on_signals
        self._suspended_s = suspended_s
        self._events_reported = 0
        self._reported_at = 0.0
        self._awake_event_at = 0.0
        self._splitter: EventSplitter | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.status = 0
        self.headers: Headers = []
        self.signals = NO_SIGNALS
        self.done = Signal()
        self.on_finished: Callable[[], None] | None = None
        self.end: AttemptEnd | None = None
        self.detail = ""
        self.response_end: ResponseEnd | None = None
        self.end_proof: EndProof | None = None
        self.proof_s = 0.0
        self.target_unreachable = False
        self.target_ended = False
        self.is_paused = False
        self.was_paused = False
        self.ended_unread = False
        self.kept_reason = ""
        self._paused_at = float("-inf")
        self._resumed_at = float("-inf")
        self._unread_until = float("-inf")
        self._heard_at = float("-inf")
        self.events = 0
        self.repeated_events = 0
        self.misplaced_events = 0
        self.longest_pause_s = 0.0
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the response is forwarded event by event."""
        return self._splitter is not None

    @property
    def awaits_proof(self) -> bool:
        """Whether all depends on whether the target has outlived the response."""
        is_closed = self.response_end is ResponseEnd.AT_CLOSE
        return self.end is None and is_closed

    @property
    def is_running(self) -> bool:
        """Whether more of the response may arrive."""
        return self.end is None and self.response_end is None

    @property
    def is_success(self) -> bool:
        """Whether the target responded with a 2xx status."""
        return 200 <= self.status < 300

    @property
    def quiet_since(self) -> float:
        """Time of the last data, or of the end of a pause of the caller, in seconds."""
        return max(self._heard_at, self._resumed_at)

    def has_begun(self, now: float) -> bool:
        """Return whether the target has survived the start of the response."""
        started_at = self.first_event_at
        return started_at is not None and now - started_at >= BEGUN_AFTER_S

    @property
    def body(self) -> bytes:
        """Body of a response that is not a stream."""
        return b"".join(self._body)

    def set_paused(self, paused: bool) -> None:
        """Record whether the response is not read because of its caller."""
        now = self._clock()
        if paused and not self.is_paused:
            self._paused_at = now
        if self.is_paused and not paused:
            self._resumed_at = now
            if self._may_end_unread(now):
                self._unread_until = now
        self.is_paused = paused
        self.was_paused = self.was_paused or paused

    def _may_end_unread(self, now: float) -> bool:
        """Return whether a target may end the response because it is not read.

        The end shows once all that the target sent before is read, maybe after further,
        shorter pauses.
        """
        if self.is_paused and now - self._paused_at >= UNREAD_PAUSE_S:
            return True
        read_until = self._paused_at if self.is_paused else now
        return read_until - self._unread_until <= UNREAD_END_S

    def on_head(self, status: int, headers: Headers) -> None:
        """Handle the status and headers."""
        self.status = status
        self.headers = headers
        self.signals = parse_target_headers(status, headers)
        self._on_signals(self.signals, status)
        content_type = header_value(headers, b"content-type") or b""
        if self._expects_stream and status == 200 and EVENT_STREAM in content_type:
            if header_value(headers, REQUEST_ID_HEADER) != self._request_id:
                self._finish(AttemptEnd.BROKEN, "response does not echo the request id")
                return
            self._splitter = EventSplitter()
            self._response_writer.begin_stream()

    def on_data(self, data: bytes) -> None:
        """Handle a chunk of the body."""
        if self.end is not None:
            return
        now = self._heard_at = self._clock()
        if self._splitter is None:
            self._body.append(data)
            self._body_bytes += len(data)
            if self._body_bytes > MAX_BUFFERED_BYTES:
                self._finish(AttemptEnd.BROKEN, "response exceeds the buffer limit")
            return
        try:
            events = self._splitter.feed(data)
        except ValueError as error:
            self._finish(AttemptEnd.BROKEN, str(error))
            return
        if not events:
            return
        awake_at = now - self._suspended_s()
        if self.last_event_at is not None:
            pause_s = awake_at - self._awake_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at, self._awake_event_at = now, awake_at
        if self.first_event_at is None:
            self.first_event_at, self._reported_at = now, awake_at
            self._events_reported = len(events)
            self._on_first_event()
        elif not self._begun_reported and self.has_begun(now):
            self._begun_reported = True
            self._on_begun()
        self.events += len(events)
        if self.events - self._events_reported >= SPEED_REPORT_EVENTS:
            self._report_output()
        try:
            self._response_writer.write_events(self.status, self.headers, events)
        except EventOrderError as error:
            self._finish(AttemptEnd.BROKEN, str(error))
        self.repeated_events = self._response_writer.event_order.repeated_events
        self.misplaced_events = self._response_writer.event_order.misplaced_events

    def _report_output(self) -> None:
        events = self.events - self._events_reported
        if events > 0:
            self._on_output(events, self._awake_event_at - self._reported_at)
        self._events_reported = self.events
        self._reported_at = self._awake_event_at

    def on_end(self, end: ResponseEnd, detail: str) -> None:
        """Handle the end of the response."""
        if self.end is not None:
            return
        self.response_end = end
        self.ended_unread = self._may_end_unread(self._clock())
        self.target_ended = end is ResponseEnd.CLOSED and not self.ended_unread
        if end is ResponseEnd.AT_CLOSE and self._is_truncated():
            self.target_ended = not self.ended_unread
            self._finish(AttemptEnd.BROKEN, "closed before the end of the response")
        elif end is ResponseEnd.AT_CLOSE and not self._is_refused:
            if self.ended_unread:
                self._finish(AttemptEnd.BROKEN, "closed while it was not read")
            else:
                self._signal_end()
        elif end not in (ResponseEnd.COMPLETE, ResponseEnd.AT_CLOSE):
            self._finish(AttemptEnd.BROKEN, f"{end}: {detail}")
        else:
            self._complete()

    def note_proof(self, proof: EndProof) -> None:
        """End an attempt that awaits the proof of its end.

        Parameters
        ----------
        proof : EndProof
            Whether the target has outlived the end of the connection.
        """
        if self.end is not None:
            return
        self.end_proof = proof
        if proof is EndProof.OUTLIVED:
            self._complete()
            return
        self.target_ended = proof is EndProof.ENDED
        self._finish(AttemptEnd.BROKEN, f"closed without a length, target {proof}")

    def _complete(self) -> None:
        if self._splitter is not None:
            if self._splitter.has_partial_event:
                self._finish(AttemptEnd.BROKEN, "stream ends with a partial event")
            elif self._response_writer.event_order.is_behind:
                self._finish(AttemptEnd.BROKEN, "stream ends before the caller's last")
            else:
                if self.last_event_at is not None:
                    self._report_output()
                self._finish(AttemptEnd.ANSWERED, "")
        else:
            self._finish(*self._classify_answer())

    @property
    def _is_refused(self) -> bool:
        """Whether the head says that the request was not executed."""
        return self._splitter is None and is_not_executed(self.status, self.headers)

    def _is_truncated(self) -> bool:
        """Return whether a response that ended with its connection is incomplete.

        One that ends after its head may be that of a handler that failed in a process
        that goes on. So may a continuation, also of a stream that has no event left.
        """
        if self._splitter is not None:
            return self.events == 0 or self._splitter.has_partial_event
        return self.is_success and self._body_bytes == 0

    def record_buffered_answer(self) -> None:
        """Record a buffered response as its own first event."""
        self.first_event_at = self._clock()
        self._on_first_event()

    def abort_target_ended(self, detail: str) -> None:
        """Abort the attempt because the target process has terminated."""
        if self.end is None:
            self.target_ended = True
            self._finish(AttemptEnd.BROKEN, detail)

    def abandon(
        self, end: AttemptEnd, detail: str, *, target_unreachable: bool = False
    ) -> None:
        """End the attempt without waiting for the target.

        Parameters
        ----------
        end : AttemptEnd
            How the attempt ends.
        detail : str
            Reason, for logs.
        target_unreachable : bool
            Whether the target is considered unreachable.
        """
        self.target_unreachable = target_unreachable
        self._finish(end, detail)

    def _classify_answer(self) -> tuple[AttemptEnd, str]:
        if is_not_executed(self.status, self.headers):
            return AttemptEnd.REFUSED, f"status {self.status}"
        if self.status >= 500:
            return AttemptEnd.FAILED, f"status {self.status}"
        named = header_value(self.headers, REQUEST_ID_HEADER)
        if self.status < 300 and named != self._request_id:
            return AttemptEnd.BROKEN, "response does not echo the request id"
        return AttemptEnd.ANSWERED, ""

    def _finish(self, end: AttemptEnd, detail: str) -> None:
        if self.end is None:
            self.end = end
            self.detail = detail
            self._signal_end()

    def _signal_end(self) -> None:
        self.done.set()
        if self.on_finished is not None:
            self.on_finished()
