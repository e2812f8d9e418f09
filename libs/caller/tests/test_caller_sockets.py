"""The application on a socket: clients, incomplete bodies and disconnects."""

import msgspec
import pytest
from anyio import (
    CancelScope,
    EndOfStream,
    Event,
    connect_tcp,
    create_task_group,
    fail_after,
    sleep_forever,
)
from anyio.lowlevel import checkpoint
from openai import APIError, AsyncOpenAI, InternalServerError

from berylwalk.model import FinalResponse, Outcome

pytestmark = pytest.mark.anyio

TOKEN = "field-token"
TEST_TIMEOUT_S = 20.0
JSON = ((b"content-type", b"application/json"),)
EVENTS = ((b"content-type", b"text/event-stream"),)
COMPLETE = FinalResponse(Outcome.COMPLETE, started=True)
UNKNOWN = FinalResponse(Outcome.UNKNOWN, started=True)


def chunk_event(request, text):
    """Return one event of a chat stream."""
    model = request.call.resource.removeprefix("model:")
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    document = {
        "id": str(request.request_id),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


def chat_completion(request, text):
    """Return a chat completion."""
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    document = {
        "id": str(request.request_id),
        "object": "chat.completion",
        "created": 0,
        "model": request.call.resource.removeprefix("model:"),
        "choices": [choice],
    }
    return msgspec.json.encode(document)


async def engine(request, sink):
    """Respond to a chat call with its last message."""
    body = msgspec.json.decode(request.call.body)
    text = body["messages"][-1]["content"]
    if not body.get("stream"):
        await sink.start(200, JSON, "agent-1")
        await sink.chunk(chat_completion(request, text))
        return COMPLETE
    await sink.start(200, EVENTS, "agent-1")
    for word in text.split(" "):
        await sink.chunk(chunk_event(request, word + " "))
    await sink.chunk(b"data: [DONE]\n\n")
    return COMPLETE


async def breaking_engine(request, sink):
    """Break the stream after one event."""
    await sink.start(200, EVENTS, "agent-1")
    await sink.chunk(chunk_event(request, "half"))
    await sink.chunk(b'data: {"id"')
    return UNKNOWN


def openai_client(address):
    """Return a client of the application."""
    host, port = address
    url = f"http://{host}:{port}/v1"
    return AsyncOpenAI(base_url=url, api_key=TOKEN, max_retries=0)


async def collect(stream, pieces):
    """Append the pieces of a chat stream as they arrive."""
    async for event in stream:
        pieces.append(event.choices[0].delta.content)


async def read_all(stream):
    """Read until the server closes."""
    received = b""
    try:
        while True:
            received += await stream.receive()
    except EndOfStream:
        return received


class TestOpenAiClient:
    async def test_buffered_and_streamed_concurrently(self, serve):
        """Concurrent streamed and buffered calls receive their own responses."""
        texts_by_mode = {}

        async def buffered(client):
            message = {"role": "user", "content": "box 17"}
            response = await client.chat.completions.create(
                model="small", messages=[message]
            )
            texts_by_mode["buffered"] = response.choices[0].message.content

        async def streamed(client):
            message = {"role": "user", "content": "level two is full"}
            stream = await client.chat.completions.create(
                model="small", messages=[message], stream=True
            )
            pieces = [event.choices[0].delta.content async for event in stream]
            texts_by_mode["streamed"] = "".join(pieces)

        with fail_after(TEST_TIMEOUT_S):
            async with (
                serve(engine) as address,
                openai_client(address) as client,
                create_task_group() as tasks,
            ):
                tasks.start_soon(buffered, client)
                tasks.start_soon(streamed, client)
        assert texts_by_mode == {"buffered": "box 17", "streamed": "level two is full "}

    async def test_broken_stream_raises(self, serve):
        """The client raises on a broken stream after the pieces it received."""
        pieces = []
        message = {"role": "user", "content": "box 17"}
        with fail_after(TEST_TIMEOUT_S):
            async with (
                serve(breaking_engine) as address,
                openai_client(address) as client,
            ):
                stream = await client.chat.completions.create(
                    model="small", messages=[message], stream=True
                )
                with pytest.raises(APIError, match="could not be learned"):
                    await collect(stream, pieces)
        assert pieces == ["half"]

    async def test_error_document(self, serve):
        """The client finds code and outcome in the error body."""

        async def respond(request, sink):
            return FinalResponse(Outcome.UNKNOWN)

        message = {"role": "user", "content": "box 17"}
        with fail_after(TEST_TIMEOUT_S):
            async with serve(respond) as address, openai_client(address) as client:
                with pytest.raises(InternalServerError) as raised:
                    await client.chat.completions.create(
                        model="small", messages=[message]
                    )
        assert raised.value.code == "unknown-outcome"
        assert raised.value.body["outcome"] == "unknown"


class TestRawSockets:
    async def test_incomplete_body(self, serve):
        """An incomplete body gets status 408 and is never submitted."""
        placed = []

        async def respond(request, sink):
            placed.append(request)
            return UNKNOWN

        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n"
            f"authorization: Bearer {TOKEN}\r\n\r\n"
        )
        with fail_after(TEST_TIMEOUT_S):
            async with (
                serve(respond, body_timeout_s=0.05) as address,
                await connect_tcp(*address) as stream,
            ):
                await stream.send(head.encode() + b'{"model"')
                received = await read_all(stream)
        assert received.startswith(b"HTTP/1.1 408 ")
        assert b"berylwalk-outcome: invalid" in received
        assert placed == []

    async def test_broken_stream_has_no_last_chunk(self, serve):
        """The chunked encoding of a broken stream is not terminated."""
        body = b'{"model":"small","messages":[{"role":"user"}],"stream":true}'
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
            f"authorization: Bearer {TOKEN}\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        with fail_after(TEST_TIMEOUT_S):
            async with (
                serve(breaking_engine) as address,
                await connect_tcp(*address) as stream,
            ):
                await stream.send(head.encode() + body)
                received = await read_all(stream)
        assert b"event: error" in received
        assert b"\r\n0\r\n" not in received

    async def test_disconnect_cancels_request(self, serve):
        """A request is cancelled when its caller closes the connection."""
        started, cancelled = Event(), Event()

        async def respond(request, sink):
            started.set()
            try:
                await sleep_forever()
            finally:
                cancelled.set()

        head = (
            "GET /services/signs/a HTTP/1.1\r\nhost: a\r\n"
            f"authorization: Bearer {TOKEN}\r\n\r\n"
        )
        with fail_after(TEST_TIMEOUT_S):
            async with serve(respond) as address:
                async with await connect_tcp(*address) as stream:
                    await stream.send(head.encode())
                    await started.wait()
                await cancelled.wait()

    async def test_caller_that_stops_reading(self, serve):
        """A request is cancelled when its caller stops reading the stream."""
        cancelled = Event()

        async def respond(request, sink):
            await sink.start(200, EVENTS, "agent-1")
            try:
                while True:
                    await sink.chunk(b"data: " + b"x" * 50_000 + b"\n\n")
                    await checkpoint()
            finally:
                with CancelScope(shield=True):
                    cancelled.set()

        head = (
            "GET /services/signs/a HTTP/1.1\r\nhost: a\r\n"
            f"authorization: Bearer {TOKEN}\r\n\r\n"
        )
        with fail_after(TEST_TIMEOUT_S):
            async with (
                serve(respond, write_timeout_s=0.05) as address,
                await connect_tcp(*address) as stream,
            ):
                await stream.send(head.encode())
                await cancelled.wait()
