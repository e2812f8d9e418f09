"""Whether a target's process runs after the end of a connection."""

import os
from contextlib import asynccontextmanager
from functools import partial

import pytest
from anyio import create_task_group, create_tcp_listener, move_on_after, sleep
from anyio.abc import SocketAttribute

from berylwalk.agent._target_probe import CONFIRM_TIMEOUT_S, KEPT_IDLE_S, TargetProbe
from berylwalk.transport import HttpResponse, KeptConnection

pytestmark = pytest.mark.anyio

HOST = f"127.80.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
POLL_TIMEOUT_S = 2.0
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
SHORT_IDLE_S = 0.2
CONFIRMATIONS = 50


class Server:
    """Health checks of one process at a time."""

    def __init__(self):
        self.requests = 0
        self.delay_s = 0.0
        self.more_head = b"\r\n"
        self.idle_s = 60.0
        self._tasks = None
        self._port = 0

    async def start(self):
        """Listen, at the same address as before."""
        self._listener = await create_tcp_listener(
            local_host=HOST, local_port=self._port
        )
        self._port = self._listener.extra(SocketAttribute.local_address)[1]
        self._serving = create_task_group()
        await self._serving.__aenter__()
        self._serving.start_soon(self._listener.serve, self._serve)
        return f"http://{HOST}:{self._port}/healthz"

    async def end(self):
        """Close the listener and all connections."""
        self._serving.cancel_scope.cancel()
        await self._serving.__aexit__(None, None, None)
        await self._listener.aclose()

    async def _serve(self, stream):
        async with stream:
            while True:
                with move_on_after(self.idle_s) as idle:
                    await stream.receive()
                if idle.cancelled_caught:
                    return
                self.requests += 1
                await sleep(self.delay_s)
                await stream.send(HEALTHY + self.more_head + b"{}")
                if b"close" in self.more_head:
                    return


@asynccontextmanager
async def probed(**changes):
    """Yield a server and a probe that has polled it."""
    server = Server()
    for name, value in changes.items():
        setattr(server, name, value)
    probe = TargetProbe(partial(KeptConnection.from_config, await server.start()))
    await probe.request(POLL_TIMEOUT_S)
    try:
        yield server, probe
    finally:
        await probe.close()
        await server.end()


@pytest.fixture(
    params=[b"\r\n", b"Connection: close\r\n\r\n"], ids=["kept", "not kept"]
)
def more_head(request):
    return request.param


class TestLivingTarget:
    async def test_is_confirmed(self, more_head):
        async with probed(more_head=more_head) as (_, probe):
            assert await probe.confirms(probe.current_process())

    async def test_confirmations_share_requests(self):
        """A slow health check does not add up over many responses."""
        results = []

        async def confirm(probe):
            results.append(await probe.confirms(probe.current_process()))

        async with probed(delay_s=0.2) as (server, probe):
            async with create_task_group() as tasks:
                for _ in range(CONFIRMATIONS):
                    tasks.start_soon(confirm, probe)
            assert results == [True] * CONFIRMATIONS
            assert server.requests == 2

    async def test_later_confirmation_sends_its_own_request(self):
        """A response to a request before the end shows nothing."""
        results = []

        async def confirm(probe):
            results.append(await probe.confirms(probe.current_process()))

        async with probed(delay_s=0.2) as (server, probe):
            async with create_task_group() as tasks:
                tasks.start_soon(confirm, probe)
                await sleep(0.1)
                tasks.start_soon(confirm, probe)
            assert results == [True, True]
            assert server.requests == 3

    async def test_idle_connection_that_it_closes_is_no_end(self):
        """A server that closes idle connections early is the same process."""
        async with probed(idle_s=SHORT_IDLE_S) as (_, probe):
            number = probe.current_process()
            assert await probe.confirms(number)
            await sleep(KEPT_IDLE_S + 0.1)
            assert probe.current_process() == number
            assert await probe.confirms(number)


class TestEndedTarget:
    async def test_refused_connection_confirms_nothing(self, more_head):
        async with probed(more_head=more_head) as (server, probe):
            number = probe.current_process()
            await server.end()
            assert not await probe.confirms(number)
            await server.start()
            assert not await probe.confirms(number)
            assert await probe.confirms(probe.current_process())

    async def test_process_that_replaces_it_confirms_nothing(self):
        async with probed() as (server, probe):
            await sleep(KEPT_IDLE_S)
            await probe.request(POLL_TIMEOUT_S)
            number = probe.current_process()
            await server.end()
            await server.start()
            assert not await probe.confirms(number)
            assert await probe.confirms(probe.current_process())

    async def test_requests_to_the_process_that_replaces_it_are_confirmed(self):
        async with probed() as (server, probe):
            await sleep(KEPT_IDLE_S)
            await probe.request(POLL_TIMEOUT_S)
            await server.end()
            await server.start()
            assert await probe.confirms(probe.current_process())

    async def test_target_that_does_not_respond_confirms_nothing(self):
        async with probed() as (server, probe):
            server.delay_s = 2 * CONFIRM_TIMEOUT_S
            with move_on_after(1.5 * CONFIRM_TIMEOUT_S) as scope:
                assert not await probe.confirms(probe.current_process())
            assert not scope.cancelled_caught
            server.delay_s = 0.0
            assert isinstance(await probe.request(POLL_TIMEOUT_S), HttpResponse)
