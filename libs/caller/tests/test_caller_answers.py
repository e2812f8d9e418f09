"""Requests passed to the core and responses relayed to callers, without sockets."""

import msgspec
import pytest
from anyio import create_task_group, sleep

from berylwalk.caller._event_stream import EventSplitter
from berylwalk.model import FinalResponse, Outcome

pytestmark = pytest.mark.anyio

EVENTS = ((b"Content-Type", b"text/event-stream; charset=utf-8"),)
COMPLETE = FinalResponse(Outcome.COMPLETE, started=True)
UNKNOWN = FinalResponse(Outcome.UNKNOWN, started=True)


def responding_with(headers, chunks, final=COMPLETE):
    """Return a handler that responds to each request with the same chunks."""

    async def respond(request, sink):
        await sink.start(200, headers, "agent-1")
        for chunk in chunks:
            await sink.chunk(chunk)
        return final

    return respond


class TestRequest:
    async def test_body_and_settings(self, make_caller):
        """The core receives the unchanged body and the options of the headers."""
        caller = make_caller()
        body = (
            b'{ "model":"small","messages":[{"role":"user","content":"abcd\\ud800"}],'
            b'"max_completion_tokens":20,"n":3,"own":{"field":1}}'
        )
        headers = (
            ("idempotency-key", "k-1"),
            ("berylwalk-deadline-ms", "1500"),
            ("berylwalk-service", "signs"),
            ("accept-encoding", "gzip"),
        )
        await caller.call("POST", "/v1/chat/completions", body, headers)
        (request,) = caller.submitter.requests
        assert request.call.body == body
        assert request.call.resource == "model:small"
        assert request.call.headers == (("content-type", "application/json"),)
        assert request.estimate.output_tokens == 60
        assert request.deadline_at == request.arrived_at + 1.5
        assert request.idempotency_key == "k-1"
        assert request.service_policy.service == "signs"
        assert request.prefix == (len("user\nabcd___\n"),)

    async def test_service_call(self, make_caller):
        """A service receives no token and no hop-by-hop headers of the caller."""
        caller = make_caller()
        headers = (
            ("connection", "x-hop, keep-alive"),
            ("x-hop", "1"),
            ("berylwalk-idempotent", "false"),
            ("x-own", "1"),
            ("x-own", "2"),
        )
        path = "/services/signs/a%2Fb//c?x=1&y=%20"
        await caller.call("GET", path, headers=headers)
        (request,) = caller.submitter.requests
        assert request.call.path == "/a%2Fb//c?x=1&y=%20"
        assert request.call.headers == (("x-own", "1"), ("x-own", "2"))
        assert not request.idempotent
        assert request.service_policy.service == "signs"

    async def test_target_service(self, make_caller):
        """Calls of a service node go to the target service of its settings."""
        caller = make_caller()
        response = await caller.call("GET", "/services/boards/a")
        assert response.status == 200
        (request,) = caller.submitter.requests
        assert request.call.resource == "service:signs"
        assert request.service_policy.service == "boards"

    @pytest.mark.parametrize(("method", "idempotent"), [("GET", True), ("POST", False)])
    async def test_service_methods(self, make_caller, method, idempotent):
        """Service calls are idempotent if their method is."""
        caller = make_caller()
        await caller.call(method, "/services/signs/a")
        assert caller.submitter.requests[0].idempotent is idempotent

    async def test_settings_mark_calls_non_idempotent(self, make_caller):
        """A non-idempotent setting also applies to methods that are idempotent."""
        caller = make_caller(idempotent=False)
        await caller.call("GET", "/services/signs/a")
        await caller.chat()
        assert not any(request.idempotent for request in caller.submitter.requests)

    async def test_models(self, make_caller):
        """Only known models that the account may use are listed."""
        response = await make_caller().call("GET", "/v1/models")
        names = [model["id"] for model in msgspec.json.decode(response.body)["data"]]
        assert names == ["org/tuned", "small"]
        named = await make_caller().call("GET", "/v1/models/org/tuned")
        assert msgspec.json.decode(named.body)["id"] == "org/tuned"


class TestBufferedResponse:
    async def test_headers(self, make_caller):
        """A target cannot set outcome, agent or framing; the replay header is kept."""
        headers = (
            (b"Berylwalk-Outcome", b"not-run"),
            (b"Berylwalk-Agent", b"agent-9"),
            (b"Berylwalk-Replayed", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Own", b"1"),
        )
        response = await make_caller(responding_with(headers, [b"ab", b"c"])).chat()
        assert response.body == b"abc"
        assert response.outcome == "complete"
        assert response.headers["berylwalk-request-id"] == "router-1.ff.1"
        assert response.headers["berylwalk-agent"] == "agent-1"
        assert response.headers["x-own"] == "1"
        assert response.headers["berylwalk-replayed"] == "1"
        assert response.headers["content-length"] == "3"
        assert "transfer-encoding" not in response.headers

    async def test_broken_response_is_not_sent(self, make_caller):
        """No part of an incomplete buffered response reaches the caller."""
        response = await make_caller(responding_with((), [b"secret"], UNKNOWN)).chat()
        assert (response.status, response.outcome) == (502, "unknown")
        assert b"secret" not in response.body

    async def test_short_response(self, make_caller):
        """A response shorter than its Content-Length is not complete."""
        headers = ((b"content-length", b"9"),)
        response = await make_caller(responding_with(headers, [b"short"])).chat()
        assert (response.status, response.outcome) == (502, "unknown")

    @pytest.mark.parametrize("limit", ["max_buffered_bytes", "max_total_held_bytes"])
    async def test_large_response(self, make_caller, limit):
        """A response too large to buffer is streamed, and aborted if it breaks."""
        chunks = [b"a" * 300, b"b" * 300, b"c"]
        complete = make_caller(responding_with((), chunks), **{limit: 500})
        response = await complete.chat()
        assert response.outcome == "streaming"
        assert (response.body, response.ended) == (b"".join(chunks), True)
        broken = make_caller(responding_with((), chunks, UNKNOWN), **{limit: 500})
        response = await broken.chat()
        assert (response.aborted, response.ended) == (True, False)


class TestEventStream:
    async def test_bytes_unchanged(self, make_caller):
        """A stream is relayed unchanged and terminated."""
        chunks = [b"data: {}\n", b"\ndata: 1\n\nda", b"ta: [DO", b"NE]\n\n"]
        response = await make_caller(responding_with(EVENTS, chunks)).chat(stream=True)
        assert response.outcome == "streaming"
        assert (response.body, response.ended) == (b"".join(chunks), True)

    @pytest.mark.parametrize(
        ("chunks", "final"),
        [
            ([b"data: 1\n\n", b'data: {"cut'], UNKNOWN),
            ([b"data: 1\n\n", b"data: [DONE]\n\n"], UNKNOWN),
            ([b"data: 1\n\n"], COMPLETE),
            ([b"data: 1\n\n", b'data: "data: [DONE]"\n\n'], COMPLETE),
        ],
        ids=["cut event", "cut after done", "no done", "done inside text"],
    )
    async def test_broken_stream_never_looks_complete(self, make_caller, chunks, final):
        """An incomplete stream has an error event and no [DONE], and is aborted."""
        response = await make_caller(responding_with(EVENTS, chunks, final)).chat(
            stream=True
        )
        *events, last, rest = response.body.split(b"\n\n")
        assert events[0] == b"data: 1"
        assert b"data: [DONE]" not in events
        assert rest == b""
        event, data = last.split(b"\n")
        assert event == b"event: error"
        error = msgspec.json.decode(data.removeprefix(b"data: "))["error"]
        assert error["outcome"] == "unknown"
        assert (response.aborted, response.ended) == (True, False)

    async def test_service_stream_needs_no_done(self, make_caller):
        """Event streams of plain services need no [DONE] event."""
        caller = make_caller(responding_with(EVENTS, [b"data: 1\n\n"]))
        response = await caller.call("GET", "/services/signs/events")
        assert (response.body, response.ended) == (b"data: 1\n\n", True)

    @pytest.mark.parametrize("newline", [b"\n", b"\r\n"])
    def test_splitter_emits_complete_events(self, newline):
        """Only complete events are emitted, wherever the chunk boundaries are."""
        end = newline * 2
        stream = b"data: a" + end + b"data: b" + newline + b"id: 1" + end
        boundaries = (0, len(b"data: a" + end), len(stream))
        for first in range(len(stream)):
            for second in range(first, len(stream)):
                splitter = EventSplitter()
                cuts = (stream[:first], stream[first:second], stream[second:])
                sent = 0
                for cut in cuts:
                    sent += len(splitter.feed(cut))
                    assert sent in boundaries
                assert sent == len(stream)


class TestManyCallers:
    async def test_concurrent_responses_never_mix(self, make_caller):
        """Interleaved responses reach the callers that they belong to."""

        async def respond(request, sink):
            number = int(request.call.path.removeprefix("/"))
            await sink.start(200, (), "agent-1")
            for _ in range(3):
                await sleep(0.001 * (number % 7))
                await sink.chunk(b"%d;" % number)
            return COMPLETE

        caller = make_caller(respond)
        responses_by_number = {}

        async def call(number):
            path = f"/services/signs/{number}"
            responses_by_number[number] = await caller.call("GET", path)

        async with create_task_group() as tasks:
            for number in range(50):
                tasks.start_soon(call, number)
        for number, response in responses_by_number.items():
            assert response.body == b"%d;" % number * 3
        ids = {a.headers["berylwalk-request-id"] for a in responses_by_number.values()}
        assert len(ids) == 50
