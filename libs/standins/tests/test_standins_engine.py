"""Tests of the engine stand-in: batching, and HTTP API."""

from contextlib import asynccontextmanager
from functools import partial

import pytest
from anyio import create_task_group, fail_after, sleep
from httpcore import AsyncConnectionPool, RemoteProtocolError
from msgspec.json import decode, encode

from berylwalk.standins import expected_text, loopback_host, serving
from berylwalk.standins._batching import BatchingEngine, Sequence, Speed
from berylwalk.standins.engine import EngineStandin, build_parser

HOST = loopback_host(82)
PORT = 9000
BASE = f"http://{HOST}:{PORT}"
TIMEOUT_S = 20.0
BLOCK = "x" * 256
SPEED = Speed(step_s=0.01, batch_slope=0.1, prefill_tokens_per_s=1000.0)


def batching_engine(**options):
    """Return a batching engine with test options."""
    return BatchingEngine(SPEED, **{"max_batch": 2, "cache_blocks": 4, **options})


@asynccontextmanager
async def running_engine(*flags):
    """Serve an engine stand-in; yield it and an HTTP client."""
    standin = EngineStandin.from_args(
        build_parser().parse_args(["--step-ms", "1", *flags])
    )
    async with (
        serving(standin.handle, HOST, PORT, standin.run),
        AsyncConnectionPool(max_connections=300) as client,
    ):
        yield standin, client


async def post(client, path, body, **headers):
    """Send a POST request; return the status and the body."""
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    response = await client.request(
        "POST", BASE + path, headers=fields, content=encode(body)
    )
    return response.status, response.content


async def until(condition):
    """Wait for a condition; fail after a timeout."""
    with fail_after(TIMEOUT_S):
        while not condition():
            await sleep(0.005)


def completion(prompt, tokens=8, **fields):
    """Return the body of a completion request."""
    return {"model": "stand-in", "prompt": prompt, "max_tokens": tokens, **fields}


def streamed_text(content):
    """Return the text of a complete stream of events."""
    events = content.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    parsed = [decode(event.removeprefix("data: ")) for event in events[:-2]]
    return "".join(event["choices"][0]["text"] for event in parsed)


class TestBatching:
    """Steps of the engine."""

    def test_step_time_counts_batch_and_prefill(self):
        """The duration of a step depends on the batch size and on new prompts."""
        engine = batching_engine()
        engine.submit(Sequence("y" * 400, 5))
        assert engine.begin_step() == pytest.approx(0.01 * 1.1 + 0.1)
        engine.end_step()
        assert engine.begin_step() == pytest.approx(0.01 * 1.1)

    def test_batch_is_bounded_and_fifo(self):
        """A sequence beyond the maximum batch size waits for a free slot."""
        engine = batching_engine()
        first, second, third = (Sequence(name, 2) for name in "abc")
        for sequence in (first, second, third):
            engine.submit(sequence)
        engine.begin_step()
        assert engine.running == [first, second]
        engine.end_step()
        engine.begin_step()
        engine.end_step()
        engine.begin_step()
        assert engine.running == [third]
        assert engine.totals.max_running == 2

    def test_cached_prefix_skips_prefill(self):
        """With a cached prefix, only the rest of the prompt is prefilled."""
        engine = batching_engine()
        first = Sequence(BLOCK * 2 + "a" * 80, 1)
        second = Sequence(BLOCK * 2 + "b" * 80, 1)
        for sequence in (first, second):
            engine.submit(sequence)
        engine.begin_step()
        assert first.prefill_tokens == 148
        assert (second.cached_tokens, second.prefill_tokens) == (128, 20)

    def test_least_recently_used_blocks_are_evicted(self):
        """A prompt that was evicted from the cache is prefilled again."""
        engine = batching_engine(cache_blocks=2)
        for prompt in ("p", "q", "p"):
            engine.submit(Sequence(prompt * 512, 1))
            engine.begin_step()
            engine.end_step()
        assert engine.totals.cached_prefill_tokens == 0

    def test_cancel_counts_waste_only_for_prefill_done(self):
        """A sequence that is cancelled while it waits counts no wasted tokens."""
        engine = batching_engine(max_batch=1)
        running, waiting = Sequence("y" * 400, 9), Sequence("z" * 400, 9)
        engine.submit(running)
        engine.submit(waiting)
        engine.begin_step()
        engine.cancel(waiting)
        assert engine.totals.wasted_prefill_tokens == 0
        engine.cancel(running)
        assert engine.totals.wasted_prefill_tokens == 100

    def test_prefill_records_have_cache_changes(self):
        """Records have the added and evicted blocks, and later cancellation."""
        engine = batching_engine(cache_blocks=2)
        for prompt in (BLOCK * 2, BLOCK * 2, "y" * 256):
            sequence = Sequence(prompt, 2)
            engine.submit(sequence)
            engine.begin_step()
            engine.end_step()
            engine.cancel(sequence)
        first, second = engine.prefills
        assert len(first.added) == 2
        assert len(second.added) == 1
        assert second.evicted == first.added[1:]
        assert first.given_up
        assert engine.idle


@pytest.mark.anyio
class TestResponses:
    """Responses over HTTP."""

    async def test_concurrent_streams_are_complete_and_separate(self):
        """Tokens of 200 concurrent streams are neither mixed up nor lost."""
        bodies = [
            completion(f"prompt {n % 7}", user=f"user {n}", stream=True)
            for n in range(200)
        ]
        texts = {}

        async def ask(number):
            _, content = await post(client, "/v1/completions", bodies[number])
            texts[number] = streamed_text(content)

        async with running_engine("--max-batch", "64") as (standin, client):
            with fail_after(TIMEOUT_S):
                async with create_task_group() as group:
                    for number in range(len(bodies)):
                        group.start_soon(ask, number)
        assert texts == {n: expected_text(body) for n, body in enumerate(bodies)}
        assert len(set(texts.values())) == len(bodies)
        assert standin.batching.totals.max_running == 64

    async def test_chat_without_streaming(self):
        """The response has the complete text, and the request id is counted."""
        messages = [{"role": "user", "content": "hello"}]
        body = {"model": "stand-in", "messages": messages, "max_tokens": 3}
        async with running_engine() as (standin, client):
            path = "/v1/chat/completions"
            _, content = await post(client, path, body, berylwalk_request_id="r.1.1")
        response = decode(content)
        assert response["choices"][0]["message"]["content"] == expected_text(body)
        assert standin.seen_by_request_id == {"r.1.1": 1}

    async def test_disconnected_client_frees_its_slot(self):
        """Running and waiting sequences are cancelled when the client disconnects."""
        async with running_engine("--max-batch", "1") as (standin, client):
            call = partial(post, client, "/v1/completions")
            async with create_task_group() as group:
                for name in "ab":
                    group.start_soon(call, completion(name * 400, 10**6))
                await until(lambda: standin.batching.waiting)
                group.cancel_scope.cancel()
            await until(lambda: standin.batching.idle)
            assert standin.batching.totals.cancelled == 2
            assert standin.batching.totals.wasted_prefill_tokens == 100

    async def test_aborted_stream_is_a_protocol_error(self):
        """An aborted stream must not look like a complete response."""
        async with running_engine() as (standin, client):
            await post(client, "/control/faults", {"break_after_tokens": 3})
            with pytest.raises(RemoteProtocolError):
                await post(client, "/v1/completions", completion("a", stream=True))
            await until(lambda: standin.batching.idle)

    async def test_hung_engine_resumes(self):
        """A request that was sent during a hang is answered after it."""
        body = completion("a")
        contents = []

        async def ask():
            contents.append((await post(client, "/v1/completions", body))[1])

        async with running_engine() as (standin, client):
            await post(client, "/control/faults", {"hang": True})
            async with create_task_group() as group:
                group.start_soon(ask)
                await until(lambda: standin.batching.waiting)
                assert not contents
                await post(client, "/control/faults", {"hang": False})
        assert decode(contents[0])["choices"][0]["text"] == expected_text(body)


@pytest.mark.anyio
class TestOrders:
    """Orders with fencing tokens."""

    async def test_outdated_fencing_token_is_rejected_if_checked(self):
        """With fencing checks, a token lower than the highest one is rejected."""
        async with running_engine("--check-fencing") as (standin, client):
            order = partial(post, client, "/admin/role")
            statuses = [
                (await order({"role": role}, fencing_token=token))[0]
                for role, token in (("prefill", "7"), ("decode", "6"), ("both", "7"))
            ]
        assert statuses == [200, 409, 200]
        assert standin.orders.role == "both"

    async def test_outdated_fencing_token_is_accepted_if_not_checked(self):
        """Without fencing checks, an outdated order is executed."""
        async with running_engine() as (standin, client):
            order = partial(post, client, "/admin/role")
            await order({"role": "prefill"}, fencing_token="7")
            status, _ = await order({"role": "decode"}, fencing_token="6")
        assert status == 200
        assert standin.orders.role == "decode"

    async def test_adapter_is_served_once_loaded(self):
        """Requests for an adapter are rejected until it is loaded."""
        body = {**completion("a"), "model": "tuned"}
        async with running_engine() as (_, client):
            before, _ = await post(client, "/v1/completions", body)
            await post(client, "/v1/load_lora_adapter", {"lora_name": "tuned"})
            after, _ = await post(client, "/v1/completions", body)
        assert (before, after) == (404, 200)
