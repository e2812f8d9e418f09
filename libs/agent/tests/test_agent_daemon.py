"""Agent daemon on loopback sockets, with a fake router and target."""

import os
from contextlib import asynccontextmanager

import pytest
from anyio import Event, connect_tcp, create_task_group, fail_after, sleep

from berylwalk.agent import AgentDaemon
from berylwalk.model import RefusalReason, RequestId
from berylwalk.settings import AgentSettings, SettingsDocument, SettingsTree
from berylwalk.transport import (
    AbortConnection,
    DatagramEndpoint,
    HttpClient,
    HttpServer,
    StreamBrokenError,
    SyncClient,
    SyncServer,
    read_body,
    read_headers,
    send_chunk,
    send_end,
    send_json,
    send_start,
)
from berylwalk.wire import (
    Datagram,
    Digest,
    FleetKey,
    Grant,
    Hello,
    Ready,
    Reserve,
    Revoke,
    RevokeResult,
    SettingsQuery,
    SettingsReply,
    decode_datagram,
    decode_reply,
    encode_datagram,
    encode_sync,
    grant_to_header,
)

pytestmark = pytest.mark.anyio

KEY = FleetKey(b"a-secret-for-tests-only")
SEAL = {"seal": KEY.seal, "open_": KEY.open}
# The ports are fixed, so concurrent runs need different addresses.
BLOCK = f"127.9.{1 + os.getpid() % 250}"
AGENT_HOST = f"{BLOCK}.1"
ROUTER_HOST = f"{BLOCK}.2"
PLATFORM = f"http://{BLOCK}.9:1"
CONTROL, SYNC, DISPATCH, OPS, TARGET = 17001, 17002, 17003, 18082, 19000
INCARNATION = 100
ROUTER_INCARNATION = 5
EVENTS = tuple(b'data: {"n":%d}\n\n' % number for number in range(5))
DONE = b"data: [DONE]\n\n"
WAIT_TIMEOUT_S = 20.0
# Reserved headers, which must not be forwarded from a target.
TARGET_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"Berylwalk-Replayed", b"true"),
    (b"Berylwalk-Refused", b"no-slot"),
)

SETTINGS = {
    "node": {
        "id": "a1",
        "address": AGENT_HOST,
        "failure_domain": "d1",
        "region": "r",
    },
    "fleet": {"key": "a-secret-for-tests-only"},
    "ports": {"control": CONTROL, "sync": SYNC, "dispatch": DISPATCH, "ops": OPS},
    "platform": {
        "endpoints": PLATFORM,
        "vm_list_url": PLATFORM,
    },
    "telemetry": {},
    "target": {"url": f"http://{AGENT_HOST}:{TARGET}", "models": "m"},
    "admission": {},
}


def rid(serial):
    return RequestId("r1", ROUTER_INCARNATION, serial)


SIGNALS_BY_PATH = {"/leaving": [(b"server-leaving", b"1")]}
"""Signals in the response headers, by path."""


class Target:
    """Fake target whose behavior depends on the path; records its requests."""

    def __init__(self):
        self.calls = []
        self.ended = []
        self.server = HttpServer(self, AGENT_HOST, TARGET)

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        if path == "/v1/models":
            await send_json(send, 200, {"data": [{"id": "m"}]})
            return
        body = await read_body(receive, 1 << 20, 10.0)
        headers = read_headers(scope)
        self.calls.append((path, headers["berylwalk-request-id"], body))
        signals = SIGNALS_BY_PATH.get(path, [])
        await send_start(send, 200, [*TARGET_HEADERS, *signals])
        for event in EVENTS:
            await send_chunk(send, event)
            await sleep(0.1 if path == "/slow" else 0.0)
        self.ended.append(path)
        if path == "/cut":
            raise AbortConnection
        await send_end(send, b"" if path == "/unmarked" else DONE)


class Router:
    """Fake router that sends grants and datagrams to the agent."""

    def __init__(self):
        self.client = HttpClient()
        self.endpoint = DatagramEndpoint(ROUTER_HOST, CONTROL, **SEAL)
        self.received = []

    async def run(self):
        async for received in self.endpoint:
            datagram = decode_datagram(received.payload)
            self.received.extend((message, datagram) for message in datagram.messages)

    def send(self, *messages, version=0):
        datagram = Datagram("r1", ROUTER_INCARNATION, version, messages)
        self.endpoint.send(encode_datagram(datagram), (AGENT_HOST, CONTROL))

    async def request(self, message, matches, *, version=0):
        """Resend a message until a matching reply arrives."""
        with fail_after(WAIT_TIMEOUT_S):
            while True:
                self.received.clear()
                self.send(message, version=version)
                await sleep(0.05)
                for reply, datagram in self.received:
                    if matches(reply, datagram):
                        return reply

    def grant(self, serial, path="/stream", *, body=b"{}", **changes):
        fields = {
            "attempt": 1,
            "router": "r1",
            "agent": "a1",
            "agent_incarnation": INCARNATION,
            "conditional": True,
            "resource": "model:m",
            "client_account": "acme",
            "tier_rank": 0,
            "weight": 1.0,
            "prompt_tokens": 10,
            "output_tokens": 5,
            "deadline_ms": 60_000,
            "idempotent": True,
            "method": "POST",
            "path": path,
            "body_digest": KEY.digest(body),
        }
        return Grant(rid(serial), **(fields | changes))

    def post(self, grant, body=b"{}"):
        header = (b"berylwalk-grant", grant_to_header(grant, KEY).encode())
        url = f"http://{AGENT_HOST}:{DISPATCH}/v1/dispatch"
        return self.client.stream("POST", url, headers=[header], body=body)

    async def refusal(self, grant, body=b"{}"):
        async with self.post(grant, body) as stream:
            assert stream.status == 409
            return RefusalReason(stream.headers["berylwalk-refused"])

    async def is_ready(self):
        url = f"http://{AGENT_HOST}:{OPS}/readyz"
        return (await self.client.request("GET", url)).status == 200


async def read_all(stream):
    assert stream.headers["berylwalk-dispatched"] == "1"
    assert stream.headers["content-type"] == "text/event-stream"
    assert "berylwalk-replayed" not in stream.headers
    assert "berylwalk-refused" not in stream.headers
    return b"".join([chunk async for chunk in stream])


@asynccontextmanager
async def fleet():
    target, router = Target(), Router()
    settings = AgentSettings.model_validate(SETTINGS)
    daemon = AgentDaemon.from_config(settings, incarnation=INCARNATION)
    await router.client.start()
    await router.endpoint.start()
    await target.server.start()
    async with create_task_group() as tasks:
        tasks.start_soon(router.run)
        await daemon.start()
        try:
            with fail_after(WAIT_TIMEOUT_S):
                while not await router.is_ready():
                    await sleep(0.02)
            yield target, router, daemon
        finally:
            await daemon.close()
            await target.server.close()
            await router.endpoint.close()
            await router.client.close()
            tasks.cancel_scope.cancel()


class TestDispatch:
    async def test_complete_response_once(self):
        """A grant returns the complete stream; its duplicate is refused, not sent."""
        async with fleet() as (target, router, _):
            grant = router.grant(1, body=b'{"a":1}')
            async with router.post(grant, b'{"a":1}') as stream:
                assert await read_all(stream) == b"".join(EVENTS) + DONE
            again = await router.refusal(grant, b'{"a":1}')
            assert again is RefusalReason.DUPLICATE
            url = f"http://{AGENT_HOST}:{OPS}/metrics"
            metrics = (await router.client.request("GET", url)).body.decode()
            assert "berylwalk_agent_dispatch_seconds_count{tier=" in metrics
            assert target.calls == [("/stream", str(rid(1)), b'{"a":1}')]

    @pytest.mark.parametrize("path", ["/cut", "/unmarked"])
    async def test_broken_stream_is_aborted(self, path):
        """A stream that is truncated or lacks its end marker is not ended cleanly."""
        async with fleet() as (_, router, _):
            async with router.post(router.grant(1, path)) as stream:
                with pytest.raises(StreamBrokenError):
                    await read_all(stream)
            result = await router.request(
                Revoke(rid(1), 1), lambda reply, _: isinstance(reply, RevokeResult)
            )
            assert result.ran

    async def test_forged_grants_are_not_run(self):
        """Grants with another key or another body are rejected."""
        async with fleet() as (target, router, _):
            grant = router.grant(1)
            async with router.post(grant, b"other") as stream:
                assert stream.status == 403
            forged = grant_to_header(grant, FleetKey(b"another-secret-altogether"))
            url = f"http://{AGENT_HOST}:{DISPATCH}/v1/dispatch"
            response = await router.client.request(
                "POST",
                url,
                headers=[(b"berylwalk-grant", forged.encode())],
                body=b"{}",
            )
            assert response.status == 403
            assert target.calls == []
            async with router.post(grant) as stream:
                assert await read_all(stream) == b"".join(EVENTS) + DONE

    async def test_target_that_refuses_the_connection(self):
        """The grant is refused, and a revoke reports that it did not run."""
        async with fleet() as (target, router, _):
            await target.server.close()
            reason = await router.refusal(router.grant(1))
            assert reason is RefusalReason.NOT_SERVED
            result = await router.request(
                Revoke(rid(1), 1), lambda reply, _: isinstance(reply, RevokeResult)
            )
            assert not result.ran

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_router_disconnects(self, idempotent):
        """Only an idempotent request is cancelled; others run to completion."""
        async with fleet() as (_, router, daemon):
            grant = router.grant(1, "/slow", idempotent=idempotent)
            async with router.post(grant) as stream:
                await anext(aiter(stream))
            with fail_after(WAIT_TIMEOUT_S):
                while daemon._shell.machine.running_count:
                    await sleep(0.02)
            ends = daemon._metrics.requests
            end = "caller-gone" if idempotent else "complete"
            assert ends.labels("0", end)._value.get() == 1

    async def test_grant_of_a_disconnected_router(self):
        """A grant whose connection was closed before it is read does not run."""
        async with fleet() as (target, router, _):
            async with await connect_tcp(AGENT_HOST, DISPATCH) as connection:
                header = grant_to_header(router.grant(1), KEY)
                head = "POST /v1/dispatch HTTP/1.1\r\nhost: a\r\ncontent-length: 2"
                await connection.send(
                    f"{head}\r\nberylwalk-grant: {header}\r\n\r\n{{}}".encode()
                )
                # The agent shares the event loop and has not run since.
            result = await router.request(
                Revoke(rid(1), 1), lambda reply, _: isinstance(reply, RevokeResult)
            )
            assert not result.ran
            assert target.calls == []

    async def test_reservation_then_grant(self):
        """A reservation is offered a slot and its grant runs."""
        async with fleet() as (_, router, _):
            reserve = Reserve(rid(1), 1, "model:m", "acme", 0, 1.0, 10, 5, 60_000)
            await router.request(reserve, lambda reply, _: isinstance(reply, Ready))
            grant = router.grant(1, conditional=False)
            async with router.post(grant) as stream:
                assert await read_all(stream) == b"".join(EVENTS) + DONE


class TestSignals:
    async def test_target_that_announces_shutdown(self):
        """Its response is relayed, and no further request is sent to it."""
        async with fleet() as (target, router, _):
            async with router.post(router.grant(1, "/leaving")) as stream:
                assert stream.headers["server-leaving"] == "1"
                await read_all(stream)
            refusal = await router.refusal(router.grant(2))
            assert refusal is RefusalReason.LEAVING
            assert len(target.calls) == 1


class TestDrain:
    async def test_running_response_is_finished(self):
        """A drain refuses new requests and relays running responses completely."""
        async with (
            fleet() as (_, router, daemon),
            create_task_group() as tasks,
            router.post(router.grant(1, "/slow")) as stream,
        ):
            tasks.start_soon(daemon.drain)
            await router.request(
                Hello(),
                lambda reply, _: isinstance(reply, Digest) and reply.leaving,
            )
            reason = await router.refusal(router.grant(2))
            assert reason is RefusalReason.LEAVING
            assert await read_all(stream) == b"".join(EVENTS) + DONE


class TestSettings:
    async def test_newer_version_is_pulled(self):
        """An announced version is pulled; until then no request is admitted."""
        tree = SettingsTree.from_sections({"tier high": {"rank": 0, "headroom": 0.5}})
        document = SettingsDocument(7, tree)
        served = []
        was_unreachable = Event()

        async def reply(query):
            # Delayed until the agent was observed without the version; a fixed
            # delay could end before the first query.
            await was_unreachable.wait()
            served.append(query)
            return encode_sync(SettingsReply(7, document.encode()))

        server = SyncServer(ROUTER_HOST, SYNC, reply, **SEAL)
        async with fleet() as (_, router, _):
            async with create_task_group() as tasks:
                await server.start(tasks)
                router.send(Hello(), version=7)
                await router.request(
                    Hello(),
                    lambda reply, _: (
                        isinstance(reply, Digest) and not reply.target_reachable
                    ),
                    version=7,
                )
                was_unreachable.set()
                await router.request(
                    Hello(),
                    lambda reply, datagram: (
                        isinstance(reply, Digest)
                        and reply.target_reachable
                        and reply.resources == ("model:m",)
                        and datagram.settings_version == 7
                    ),
                    version=7,
                )
                await server.close()
            assert len(served) == 1
            # Routers may query the agent for settings.
            client = SyncClient.from_config(timeout_s=WAIT_TIMEOUT_S, **SEAL)
            for known, sent in ((6, document.encode()), (7, b"")):
                query = encode_sync(SettingsQuery(known))
                answer = decode_reply(await client.request(AGENT_HOST, SYNC, query))
                assert answer == SettingsReply(7, sent, is_settled=False)
