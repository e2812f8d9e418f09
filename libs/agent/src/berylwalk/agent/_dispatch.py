"""Dispatch endpoint: accepts grants and relays the responses of the target."""

from collections.abc import Callable
from time import monotonic

from absl import logging
from anyio import CancelScope, create_task_group, move_on_after, sleep

from berylwalk.agent._dispatch_headers import (
    GRANT_HEADER,
    REFUSED_HEADER,
    response_headers,
    target_headers,
)
from berylwalk.agent._dispatch_observer import DispatchedCall, DispatchObserver
from berylwalk.agent._events import (
    DispatchEnd,
    DispatchEnded,
    TargetProgress,
    TargetSignalsReceived,
)
from berylwalk.agent._response_meter import ResponseMeter
from berylwalk.agent._shell import AgentShell
from berylwalk.agent._target_probe import TargetProbe
from berylwalk.model import Refusal, RefusalReason
from berylwalk.platform import parse_target_headers
from berylwalk.transport import (
    AbortConnection,
    BodyFailure,
    HttpClient,
    HttpStream,
    Receive,
    RequestFailed,
    Scope,
    Send,
    SendState,
    StreamBrokenError,
    chunk_sender,
    read_body,
    read_headers,
    send_chunk,
    send_end,
    send_json,
    send_start,
)
from berylwalk.wire import FleetKey, Grant, grant_from_header

MODEL_PREFIX = "model:"
DISCONNECT = "http.disconnect"
LOOP_PASSES_TO_SEE_DISCONNECT = 2
REFUSED_STATUS = 409
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
MAX_BODY_BYTES = 64 << 20
BODY_TIMEOUT_S = 60.0
UNREACHABLE_RETRY_AFTER_MS = 1000
# Chunks that arrive within this time are relayed as one.
COALESCE_S = 0.005
# Least time between two progress events of a request, in seconds.
PROGRESS_INTERVAL_S = 0.1


class Dispatcher:
    """ASGI application of the dispatch port.

    Parameters
    ----------
    shell : AgentShell
        Admits grants.
    client : HttpClient
        Connections to the target.
    key : FleetKey
        Authenticates grants.
    target_url : str
        Base URL of the target.
    observer : DispatchObserver
        Records the outcomes of grants.
    probe : TargetProbe
        Shows whether the target has outlived the end of a connection.
    on_refused_connection : callable
        Called when the target refuses a connection.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        shell: AgentShell,
        client: HttpClient,
        key: FleetKey,
        target_url: str,
        observer: DispatchObserver,
        probe: TargetProbe,
        *,
        on_refused_connection: Callable[[], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._shell = shell
        self._client = client
        self._key = key
        self._target_url = target_url.rstrip("/")
        self._observer = observer
        self._probe = probe
        self._on_refused_connection = on_refused_connection
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        grant = grant_from_header(read_headers(scope).get(GRANT_HEADER, ""), self._key)
        if grant is None:
            await _send_error(send, 403, "grant is missing or invalid")
            return
        body = await read_body(receive, MAX_BODY_BYTES, BODY_TIMEOUT_S)
        if isinstance(body, BodyFailure):
            raise AbortConnection
        if self._key.digest(body) != grant.body_digest:
            await _send_error(send, 403, "request body does not match the grant")
            return
        if await _is_disconnected(receive):
            # After a suspension of the process, grants arrive whose routers have
            # already disconnected. They are not run.
            raise AbortConnection
        refusal = self._shell.admit(grant)
        if refusal is not None:
            await self._refuse(grant, refusal, send)
            return
        await self._dispatch(grant, body, receive, send)

    async def _refuse(self, grant: Grant, refusal: Refusal, send: Send) -> None:
        self._observer.refused(grant, refusal)
        await send_json(
            send, REFUSED_STATUS, refusal, {REFUSED_HEADER: refusal.reason.value}
        )

    async def _dispatch(
        self, grant: Grant, body: bytes, receive: Receive, send: Send
    ) -> None:
        call = self._observer.started(grant)
        end = DispatchEnd.BROKEN
        try:
            end = await self._relay_until_disconnect(call, body, receive, send)
        finally:
            # Free the slot, or tombstone the attempt, before the router is notified.
            self._shell.handle(DispatchEnded(grant.request_id, end))
            self._observer.ended(call, end)
        if end is DispatchEnd.COMPLETE:
            await send_end(send)
        elif end is DispatchEnd.NOT_SENT:
            refusal = Refusal(RefusalReason.NOT_SERVED, UNREACHABLE_RETRY_AFTER_MS)
            await self._refuse(grant, refusal, send)
        else:
            raise AbortConnection

    async def _relay_until_disconnect(
        self, call: DispatchedCall, body: bytes, receive: Receive, send: Send
    ) -> DispatchEnd:
        end = DispatchEnd.CALLER_GONE
        async with create_task_group() as tasks:
            tasks.start_soon(_watch_caller, call, receive, tasks.cancel_scope)
            end = await self._relay(call, body, send)
            tasks.cancel_scope.cancel()
        return end

    async def _relay(
        self, call: DispatchedCall, body: bytes, send: Send
    ) -> DispatchEnd:
        grant = call.grant
        is_model = grant.resource.startswith(MODEL_PREFIX)
        sent_at = self._clock()
        call.process_number = self._probe.current_process()
        stream = await self._client.open_stream(
            grant.method,
            self._target_url + grant.path,
            headers=target_headers(grant, call.span.traceparent),
            body=body,
            coalesce_s=COALESCE_S if is_model else 0.0,
        )
        if isinstance(stream, RequestFailed):
            return self._handle_failure(grant, stream)
        try:
            return await self._relay_response(call, stream, send, sent_at)
        except StreamBrokenError as error:
            logging.warning("response of %s ended early: %s", grant.request_id, error)
            return DispatchEnd.BROKEN
        finally:
            with CancelScope(shield=True):
                await stream.close()

    async def _relay_response(
        self, call: DispatchedCall, stream: HttpStream, send: Send, sent_at: float
    ) -> DispatchEnd:
        call.status = stream.status
        self._report_signals(stream, sent_at)
        meter = ResponseMeter(
            stream.headers.get("content-type", ""),
            is_model=call.grant.resource.startswith(MODEL_PREFIX),
        )
        progress = _Progress(self._shell, self._observer, call, self._clock)
        await send_start(send, stream.status, response_headers(stream.headers))
        sender = chunk_sender(send)

        def try_forward_chunk(chunk: bytes) -> bool:
            if sender is None or not sender.is_ready():
                return False
            progress.add(meter.feed(chunk), is_stream=meter.is_stream)
            sender.write(chunk)
            return True

        async def forward_chunk(chunk: bytes) -> None:
            progress.add(meter.feed(chunk), is_stream=meter.is_stream)
            await send_chunk(send, chunk)

        await stream.forward(try_forward_chunk, forward_chunk)
        if not meter.is_complete:
            logging.warning("stream of %s has no end marker", call.grant.request_id)
            return DispatchEnd.BROKEN
        if not await self._is_end_certain(call, stream, meter):
            logging.warning(
                "response of %s ended with its connection, and its target has not "
                "responded since",
                call.grant.request_id,
            )
            return DispatchEnd.BROKEN
        progress.finish(0 if meter.is_stream else meter.reported_tokens)
        return DispatchEnd.COMPLETE

    async def _is_end_certain(
        self, call: DispatchedCall, stream: HttpStream, meter: ResponseMeter
    ) -> bool:
        """Return whether the body is whole, although only its connection ended it."""
        if not stream.ended_by_close or meter.has_end_marker:
            return True
        return await self._probe.confirms(call.process_number)

    def _report_signals(self, stream: HttpStream, sent_at: float) -> None:
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in stream.headers.items()
        ]
        signals = parse_target_headers(stream.status, headers)
        if signals.problem:
            logging.warning("invalid signal of the target: %s", signals.problem)
        if not signals.is_empty or self._shell.machine.has_active_signals:
            was_accepted = (
                stream.status < SERVER_ERROR and stream.status != TOO_MANY_REQUESTS
            )
            self._shell.handle(TargetSignalsReceived(signals, sent_at, was_accepted))

    def _handle_failure(self, grant: Grant, failure: RequestFailed) -> DispatchEnd:
        logging.warning("request %s failed: %s", grant.request_id, failure.reason)
        if failure.state is SendState.NOT_SENT:
            self._on_refused_connection()
            return DispatchEnd.NOT_SENT
        return DispatchEnd.BROKEN


class _Progress:
    """Reports the tokens of one response at a limited rate."""

    def __init__(
        self,
        shell: AgentShell,
        observer: DispatchObserver,
        call: DispatchedCall,
        clock: Callable[[], float],
    ) -> None:
        self._shell = shell
        self._observer = observer
        self._call = call
        self._clock = clock
        self._unreported = 0
        self._first_chunk_seen = False
        self._next_report_at = 0.0

    def add(self, tokens: int, *, is_stream: bool) -> None:
        """Count the tokens of a chunk."""
        self._call.tokens += tokens
        if not self._first_chunk_seen:
            self._first_chunk_seen = True
            self._observer.first_chunk(self._call)
            if is_stream:
                self._report(tokens, first=True)
            return
        self._unreported += tokens
        if self._unreported and self._clock() >= self._next_report_at:
            self._report(self._unreported, first=False)

    def finish(self, reported_tokens: int) -> None:
        """Report remaining tokens, or those of a response that is no stream."""
        self._call.tokens += reported_tokens
        tokens = self._unreported + reported_tokens
        if tokens:
            self._report(tokens, first=False)

    def _report(self, tokens: int, *, first: bool) -> None:
        self._unreported = 0
        self._next_report_at = self._clock() + PROGRESS_INTERVAL_S
        self._shell.handle(TargetProgress(self._call.grant.request_id, first, tokens))


async def _is_disconnected(receive: Receive) -> bool:
    # The event loop processes the end of a connection after its buffered data.
    for _ in range(LOOP_PASSES_TO_SEE_DISCONNECT):
        await sleep(0)
    with move_on_after(0):
        return (await receive())["type"] == DISCONNECT
    return False


async def _watch_caller(
    call: DispatchedCall, receive: Receive, scope: CancelScope
) -> None:
    while (await receive())["type"] != DISCONNECT:
        pass
    call.caller_gone = True
    # A request that is not idempotent runs to completion, so that its outcome is known.
    if call.grant.idempotent:
        scope.cancel()


async def _send_error(send: Send, status: int, problem: str) -> None:
    await send_json(send, status, {"error": problem})
