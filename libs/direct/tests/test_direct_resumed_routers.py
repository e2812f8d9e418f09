"""Processes of the router that stand still while a version joins, and then resume."""

from asyncio import open_connection, start_server
from contextlib import asynccontextmanager, suppress
from signal import SIGCONT, SIGSTOP

import pytest
from anyio import create_task_group, fail_after, sleep

from berylwalk.standins import serving
from direct_fleet import (
    CHUNKED,
    EVENTS,
    HOST,
    STORE,
    Fleet,
    ScriptedTarget,
    chunk,
    event,
    head,
)
from direct_processes import Routers
from test_direct_stream_versions import resumed_at
from test_direct_unknown_histories import stored_history

pytestmark = pytest.mark.anyio
LAST, BROKEN_AFTER = 10, 5
RESUMED_S = 3.0
"""Time for which callers come back to a router that has resumed."""
STEP_S = 0.05
START_S = 20.0
LAPSED_S = 15.0
"""Time in which the entry of a router that stands still has lapsed."""
IN_STEP_S = 8.0
"""Time in which a router that is back in step takes streams up."""


class StoreRelay:
    """Passes the connections of one router on to the store, until it is cut."""

    def __init__(self, port):
        self.port = port
        self.is_cut = False
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await start_server(self._serve, HOST, self.port)

    def cut(self):
        """Break all connections, and those that are opened from now on."""
        self.is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    async def close(self):
        """Break all connections and stop listening."""
        self.cut()
        self._server.close()

    async def _serve(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        store_reader, store_writer = await open_connection(*STORE)
        self._writers |= {writer, store_writer}
        async with create_task_group() as tasks:
            tasks.start_soon(self._pass_on, reader, store_writer)
            tasks.start_soon(self._pass_on, store_reader, writer)

    async def _pass_on(self, reader, writer):
        with suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
        self._writers.discard(writer)


async def breaks_off(request, writer):
    """Send a stream that breaks off, and what follows whole."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    last = BROKEN_AFTER if first == 1 else LAST
    writer.write(head(request, kind=EVENTS, more=CHUNKED))
    for number in range(first, last + 1):
        writer.write(chunk(event(number)))
    if last < LAST:
        await writer.drain()
        await sleep(STEP_S)
        raise ConnectionResetError
    writer.write(b"0\r\n\r\n")


class ResumedRouter:
    """Two routers, of which the first reaches the store through a relay."""

    def __init__(self, fleet, settings, relay, folder, free_port):
        self.fleet = fleet
        self.relay = relay
        self._settings = settings
        self._folder = folder
        self._free_port = free_port
        self._routers = []

    def start(self, number):
        """Start the process of a router."""
        host, port = STORE if number else (HOST, self.relay.port)
        settings = self._settings[number]
        ports = [settings.peer_port, settings.metrics_port]
        self._routers.append(
            Routers.from_settings(
                [settings],
                self._folder,
                platform={"address": f"{host}:{port}"},
                bootstrap=not number,
                **{"port-range": ports},
            )
        )

    async def add_target(self, target_id, version):
        """Start a target of a version and list it."""
        target = ScriptedTarget(target_id, self._free_port(), breaks_off)
        await target.start()
        self.fleet.targets.append(target)
        self.fleet.put_target(target, version=version)

    def signal(self, number, signal):
        """Send a signal to the process of a router."""
        self._routers[number].processes[0].send_signal(signal)

    async def call(self, number, **headers):
        """Return the response of a router to a stream, or None."""
        self.fleet.settings = self._settings[number]
        with suppress(OSError, EOFError):
            return await self.fleet.call("/streaming/", **headers)

    async def take_up(self, number):
        """Take the stream that broke off up at a router."""
        headers = {"Resumes": "first", "Last_Event_Id": str(BROKEN_AFTER)}
        return await self.call(number, **headers)

    async def until_served(self, number):
        """Wait until a router serves streams."""
        with fail_after(START_S):
            while (reply := await self.call(number)) is None or reply.status != 200:
                await sleep(STEP_S)

    async def until_listed(self, number, is_listed):
        """Wait until the entry of a router is in the store, or has lapsed."""
        key = b"berylwalk/routers/" + self._settings[number].name.encode()
        with fail_after(LAPSED_S):
            while (self.fleet.platform.store.get(key) is not None) != is_listed:
                await sleep(STEP_S)

    async def join_version(self):
        """Let targets of v2 replace those of v1, and begin a stream at v2."""
        await self.add_target("i-1", "v2")
        await self.fleet.until(lambda: b"v2" in stored_history(self.fleet))
        self.fleet.put_target(self.fleet.targets[0], version="v1", state="draining")
        target = self.fleet.targets[1]
        for attempt in range(100):
            await self.call(1, request_id=f"try-{attempt}")
            if target.received:
                break
        reply = await self.call(1, request_id="first")
        assert event(BROKEN_AFTER) in reply.body
        assert target.received[-1].headers["attempt-id"] == "first"

    async def until_taken_up(self, number):
        """Wait until the stream goes on at a router."""
        with fail_after(IN_STEP_S):
            while True:
                reply = await self.take_up(number)
                if reply is not None and reply.status == 200:
                    return
                await sleep(STEP_S)

    def close(self):
        """Kill all processes."""
        for each in self._routers:
            each.close()


@pytest.fixture
def resuming(make_settings, free_port, tmp_path):
    """Return a context manager that runs the first router and a target of v1."""

    @asynccontextmanager
    async def run():
        settings = [make_settings(name=f"edge-{number}") for number in (1, 2)]
        fleet = Fleet(settings[0])
        fleet.route("streaming", resumable=True, public=True, **{"max-attempts": 1})
        relay = StoreRelay(free_port())
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            await relay.start()
            fleet.put_configuration()
            running = ResumedRouter(fleet, settings, relay, tmp_path, free_port)
            try:
                await running.add_target("i-0", "v1")
                running.start(0)
                await running.until_served(0)
                await fleet.until(lambda: b"v1" in stored_history(fleet))
                yield running
            finally:
                running.close()
                await relay.close()
                for target in fleet.targets:
                    await target.close()

    return run


class TestResumedRouter:
    """A process gets SIGSTOP; a version joins; the process gets SIGCONT."""

    async def test_router_that_resumes_without_the_store_joins_no_versions(
        self, resuming
    ):
        """It knows no other router, one version, and a store that fails."""
        async with resuming() as running:
            running.signal(0, SIGSTOP)
            running.relay.cut()
            await running.until_listed(0, is_listed=False)
            running.start(1)
            await running.until_served(1)
            await running.join_version()
            running.signal(0, SIGCONT)
            for _ in range(round(RESUMED_S / STEP_S)):
                reply = await running.take_up(0)
                assert reply is None or reply.status == 503
                await sleep(STEP_S)
            assert resumed_at(running.fleet) == []
            running.relay.is_cut = False
            await running.until_taken_up(0)
            assert resumed_at(running.fleet) == ["i-1"]

    async def test_router_that_resumes_with_the_store_joins_no_versions(self, resuming):
        """The caller has sent its request while the process stood still."""
        async with resuming() as running:
            running.start(1)
            await running.until_served(1)
            await running.until_listed(1, is_listed=True)
            running.signal(0, SIGSTOP)
            await running.join_version()
            async with create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(running.take_up, 0)
                await sleep(STEP_S)
                running.signal(0, SIGCONT)
            await running.until_taken_up(0)
            assert set(resumed_at(running.fleet)) == {"i-1"}
