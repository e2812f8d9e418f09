"""Grants over HTTP connections, and the resulting responses to callers."""

from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import count

import anyio
import pytest

from berylwalk.model import (
    CallerDisconnectedError,
    FinalResponse,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
    ServicePolicy,
    TargetCall,
    TierPolicy,
    WorkEstimate,
)
from berylwalk.router import (
    AbandonGrant,
    CallerDisconnected,
    ClaimKey,
    DrainFinished,
    DrainRequested,
    EndRequest,
    GrantLost,
    GrantNotSent,
    GrantRefused,
    IssueGrant,
    KeyRefused,
    RequestArrived,
    ResponseComplete,
    ResponseStarted,
    Tick,
)
from berylwalk.router._claim_results import Claimed, ClaimRefused
from berylwalk.router._grants_http import GrantSender
from berylwalk.router._message_batches import MessageBatches
from berylwalk.router._observing import RequestObserver
from berylwalk.router._shell import RouterShell
from berylwalk.router._stored_responses import StoredResponse
from berylwalk.telemetry import RouterMetrics, Tracing, render
from berylwalk.transport import (
    AbortConnection,
    HttpClient,
    HttpServer,
    read_body,
    read_headers,
    send_chunk,
    send_end,
    send_json,
    send_start,
)
from berylwalk.wire import FleetKey, Grant, grant_from_header

pytestmark = pytest.mark.anyio

KEY = FleetKey(b"a secret of the tests")
DISPATCHED = (b"berylwalk-dispatched", b"1")
CLOSED_PORT_URL = "http://127.0.0.1:1/v1/dispatch"
STORED = StoredResponse(201, ((b"content-type", b"text/plain"),), b"kept", "agent-0")


def make_request(serial: int = 1, *, key: str = "") -> Request:
    """Build a request."""
    now = anyio.current_time()
    return Request(
        request_id=RequestId("r1", 1, serial),
        service_policy=ServicePolicy("/box", "", TierPolicy("counter", 0)),
        call=TargetCall("POST", "/pull", "service:boxes", body=b"{}"),
        estimate=WorkEstimate(),
        arrived_at=now,
        deadline_at=now + 60,
        idempotency_key=key,
    )


def make_grant(request: Request) -> Grant:
    """Build the first grant of a request."""
    return Grant(
        request_id=request.request_id,
        attempt=1,
        router="r1",
        agent="agent-1",
        agent_incarnation=1,
        conditional=True,
        resource=request.call.resource,
        client_account="/box",
        tier_rank=0,
        weight=1.0,
        prompt_tokens=0,
        output_tokens=1,
        deadline_ms=60_000,
        idempotent=True,
        method="POST",
        path="/pull",
    )


class OneGrantMachine:
    """Grants each request once, or claims its key, and records all events."""

    def __init__(self) -> None:
        self.events: list[object] = []
        self.draining = False

    def handle(self, event, now: float) -> list:
        """Return the actions for an event."""
        if not isinstance(event, Tick):
            self.events.append(event)
        match event:
            case RequestArrived(request) if self.draining:
                refusal = Refusal(RefusalReason.LEAVING)
                return [self._end(request.request_id, Outcome.NOT_RUN, refusal)]
            case RequestArrived(request) if request.idempotency_key:
                return [ClaimKey(request)]
            case RequestArrived(request):
                return [IssueGrant("agent-1", make_grant(request))]
            case KeyRefused(request_id, refusal):
                return [self._end(request_id, Outcome.NOT_RUN, refusal)]
            case ResponseComplete(request_id):
                return [self._end(request_id, Outcome.COMPLETE)]
            case GrantNotSent(request_id) | GrantRefused(request_id):
                refusal = Refusal(RefusalReason.NO_TARGET)
                return [self._end(request_id, Outcome.NOT_RUN, refusal)]
            case GrantLost(request_id):
                return [self._end(request_id, Outcome.UNKNOWN)]
            case CallerDisconnected(request_id):
                return [AbandonGrant(request_id, 1)]
            case DrainRequested():
                self.draining = True
                return [DrainFinished()]
        return []

    def _end(self, request_id, outcome, refusal=None) -> EndRequest:
        return EndRequest(request_id, FinalResponse(outcome, refusal))

    def kinds(self) -> list[type]:
        """Return the types of the events after the arrival."""
        return [type(event) for event in self.events[1:]]


class FakeRecords:
    """Returns a configured result for each claim."""

    def __init__(self, result=None) -> None:
        self.result = result or Claimed()
        self.completed: list[tuple[int, StoredResponse | None]] = []

    async def claim(self, request):
        """Return the result."""
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    async def delete_late_record(self, request) -> None:
        """Do nothing."""

    def complete(self, request, status, response) -> None:
        """Record the status and response."""
        self.completed.append((status, response))

    def forget(self, request_id) -> None:
        """Do nothing."""


class Sink:
    """Collects a response; ``leaves`` disconnects it at the first chunk."""

    def __init__(self, *, leaves: bool = False) -> None:
        self.leaves = leaves
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.got_chunk = anyio.Event()

    async def start(self, status, headers, agent) -> None:
        """Record the status and headers."""
        self.status = status
        self.headers = dict(headers)

    async def chunk(self, body: bytes) -> None:
        """Record a chunk."""
        if self.leaves:
            raise CallerDisconnectedError
        self.body += body
        self.got_chunk.set()

    def try_chunk(self, body: bytes) -> bool:
        """Decline, so that each chunk goes to `chunk`."""
        return False


@asynccontextmanager
async def running_shell(dispatch=None, *, records=None, metrics=None):
    """Yield a shell whose grants reach an agent with this dispatch handler."""
    machine = OneGrantMachine()
    client = HttpClient.from_config()
    await client.start()
    server = HttpServer(dispatch, "127.0.0.1", 0) if dispatch else None
    url = CLOSED_PORT_URL
    if server is not None:
        await server.start()
        url = f"http://127.0.0.1:{server.address[1]}/v1/dispatch"
    async with anyio.create_task_group() as tasks:
        shell = RouterShell(
            machine,
            router="r1",
            incarnation=1,
            records=records or FakeRecords(),
            observer=RequestObserver(metrics or RouterMetrics.create()),
            tracing=Tracing(None),
        )
        shell.connect(
            grants=GrantSender(
                client, KEY, url_of=lambda agent: url, report=shell.report
            ),
            messages=MessageBatches(lambda agent, messages: None),
            spawn=tasks.start_soon,
        )
        with anyio.fail_after(20):
            yield shell, machine
        tasks.cancel_scope.cancel()
    await client.close()
    if server is not None:
        await server.close()


class TestGrants:
    async def test_complete_response(self):
        """The grant contains the body's digest; the response is relayed unchanged."""
        seen = []

        async def dispatch(scope, receive, send):
            body = await read_body(receive, 1000, 5)
            grant = grant_from_header(read_headers(scope)["berylwalk-grant"], KEY)
            seen.append(grant.body_digest == KEY.digest(body))
            await send_start(send, 418, [DISPATCHED, (b"x-kind", b"tea")])
            await send_chunk(send, b"one ")
            await send_end(send, b"two")

        sink = Sink()
        async with running_shell(dispatch) as (shell, machine):
            final = await shell.submit(make_request(), sink)
        assert final == FinalResponse(Outcome.COMPLETE, None, True, "agent-1")
        assert seen == [True]
        assert (sink.status, sink.body) == (418, b"one two")
        assert sink.headers[b"x-kind"] == b"tea"
        assert DISPATCHED[0] not in sink.headers
        assert machine.kinds() == [ResponseStarted, ResponseComplete]

    async def test_refusal(self):
        """The agent's refusal reaches the state machine with its retry-after time."""

        async def dispatch(scope, receive, send):
            headers = {"berylwalk-refused": "no-slot"}
            await send_json(send, 409, {"retry_after_ms": 70}, headers)

        async with running_shell(dispatch) as (shell, machine):
            await shell.submit(make_request(), Sink())
        refusal = Refusal(RefusalReason.NO_SLOT, 70)
        assert machine.events[1].refusal == refusal

    @pytest.mark.parametrize(
        ("status", "headers"),
        [(503, {}), (409, {}), (409, {"berylwalk-refused": "other"}), (200, {})],
    )
    async def test_response_without_proof(self, status, headers):
        """A response that is no valid refusal does not prove that nothing ran."""

        async def dispatch(scope, receive, send):
            await send_json(send, status, {}, headers)

        async with running_shell(dispatch) as (shell, machine):
            final = await shell.submit(make_request(), Sink())
        assert machine.events[1] == GrantLost(RequestId("r1", 1, 1), 1, started=False)
        assert not final.started

    async def test_refused_connection(self):
        """A refused connection proves that the grant was not sent."""
        async with running_shell() as (shell, machine):
            await shell.submit(make_request(), Sink())
        assert machine.kinds() == [GrantNotSent]

    async def test_truncated_response(self):
        """A truncated stream does not count as a complete response."""

        async def dispatch(scope, receive, send):
            await send_start(send, 200, [DISPATCHED])
            await send_chunk(send, b"half")
            raise AbortConnection

        sink = Sink()
        async with running_shell(dispatch) as (shell, machine):
            final = await shell.submit(make_request(), sink)
        assert machine.events[-1] == GrantLost(RequestId("r1", 1, 1), 1, started=True)
        assert final.outcome is Outcome.UNKNOWN
        assert final.started

    async def test_deadline_that_passed_while_the_process_was_stopped(self):
        """A grant is not sent once its idempotency record may have expired."""

        async def dispatch(scope, receive, send):
            raise AssertionError("the grant was sent")

        late = replace(make_request(), deadline_at=anyio.current_time() - 1)
        async with running_shell(dispatch) as (shell, machine):
            await shell.submit(late, Sink())
        assert machine.kinds() == [GrantNotSent]


class TestCallers:
    async def test_sink_that_fails(self):
        """A disconnected caller closes the agent's connection and ends the request."""

        async def dispatch(scope, receive, send):
            await send_start(send, 200, [DISPATCHED])
            await send_chunk(send, b"half")
            await anyio.sleep_forever()

        async with running_shell(dispatch) as (shell, machine):
            final = await shell.submit(make_request(), Sink(leaves=True))
            assert shell.active_requests == ()
        assert machine.kinds() == [ResponseStarted, CallerDisconnected]
        assert final.outcome is Outcome.UNKNOWN

    async def test_cancelled_submit(self):
        """Cancelling withdraws the request, and the sink gets no further chunks."""

        async def dispatch(scope, receive, send):
            await send_start(send, 200, [DISPATCHED])
            while True:
                await send_chunk(send, b"more")
                await anyio.sleep(0.001)

        sink = Sink()
        async with running_shell(dispatch) as (shell, machine):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(shell.submit, make_request(), sink)
                await sink.got_chunk.wait()
                tasks.cancel_scope.cancel()
            await anyio.sleep(0.05)
            size = len(sink.body)
            await anyio.sleep(0.05)
            assert len(sink.body) == size
        assert machine.kinds()[-1] is CallerDisconnected

    async def test_fault_in_the_machine_ends_only_its_request(self):
        """An error while handling an event does not leave the caller waiting."""
        async with running_shell() as (shell, machine):

            def fail(event, now):
                raise RuntimeError("fault")

            machine.handle = fail
            final = await shell.submit(make_request(), Sink())
        assert final.outcome is Outcome.UNKNOWN


class TestKeys:
    async def test_repeat_gets_the_stored_response(self):
        """The stored response is replayed as complete, with the replay marker."""
        refusal = Refusal(RefusalReason.KEY_IN_USE)
        records = FakeRecords(ClaimRefused(refusal, STORED))
        sink = Sink()
        async with running_shell(records=records) as (shell, _):
            final = await shell.submit(make_request(key="k"), sink)
        assert final.outcome is Outcome.COMPLETE
        assert (sink.status, sink.body) == (201, b"kept")
        assert sink.headers[b"berylwalk-replayed"] == b"true"
        assert records.completed == []

    @pytest.mark.parametrize(
        ("reason", "outcome"),
        [
            (RefusalReason.KEY_IN_USE, "unknown"),
            (RefusalReason.KEY_REUSED, "invalid"),
            (RefusalReason.KEY_SETTLED, "complete"),
        ],
    )
    async def test_metrics_count_what_the_caller_is_told(self, reason, outcome):
        """A key held by another request is not counted as not-run."""
        records = FakeRecords(ClaimRefused(Refusal(reason)))
        metrics = RouterMetrics.create()
        async with running_shell(records=records, metrics=metrics) as (shell, _):
            await shell.submit(make_request(key="k"), Sink())
        text = render(metrics.registry).decode()
        name = "berylwalk_router_requests_total"
        assert f'{name}{{outcome="{outcome}",tier="counter"}} 1.0' in text
        assert 'outcome="not-run"' not in text

    async def test_error_while_claiming_refuses(self):
        """An error while claiming does not leave the request waiting."""
        records = FakeRecords(RuntimeError("fault"))
        async with running_shell(records=records) as (shell, _):
            final = await shell.submit(make_request(key="k"), Sink())
        assert final.refusal.reason is RefusalReason.PLATFORM_DOWN


class TestDrain:
    async def test_waits_for_running_responses(self):
        """A drain does not truncate running responses."""
        may_end = anyio.Event()

        async def dispatch(scope, receive, send):
            await send_start(send, 200, [DISPATCHED])
            await send_chunk(send, b"first ")
            await may_end.wait()
            await send_end(send, b"last")

        sink = Sink()
        async with running_shell(dispatch) as (shell, _):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(shell.submit, make_request(), sink)
                await sink.got_chunk.wait()
                with anyio.move_on_after(0.05):
                    await shell.drain()
                assert shell.active_requests
                may_end.set()
                await shell.drain()
            assert sink.body == b"first last"

    async def test_ends_while_refused_requests_arrive_without_a_pause(self):
        """Callers that send on whatever they are told do not hold up the drain."""

        async def send_without_a_pause(shell, serials):
            for serial in serials:
                await shell.submit(make_request(serial), Sink())

        async with running_shell() as (shell, machine):
            machine.draining = True
            async with anyio.create_task_group() as callers:
                for caller in range(3):
                    serials = count(caller, 3)
                    callers.start_soon(send_without_a_pause, shell, serials)
                await shell.drain()
                callers.cancel_scope.cancel()
            assert shell.drained.is_set()
