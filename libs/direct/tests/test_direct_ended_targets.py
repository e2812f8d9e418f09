"""A target process that ends in the midst of a response must not make it look whole.

The kernel closes the connections of a process that ends like those of one that goes on.
"""

from contextlib import asynccontextmanager
from itertools import product
from json import dumps
from signal import SIGKILL, SIGTERM

import pytest
from anyio import create_task_group, fail_after, sleep
from anyio.to_thread import run_sync

from berylwalk.standins import serving
from direct_fleet import HOST, STORE, TEST_TIMEOUT_S, Fleet, get
from direct_processes import Routers
from target_process import BODY, TargetProcess, events_from

pytestmark = pytest.mark.anyio
FRAMINGS = ("closed", "chunked", "length")
SIGNALS = (SIGKILL, SIGTERM)
RUNS_ONCE = ("streaming/once", "non_idempotent")
REPEATABLE = ("streaming", "idempotent")
STREAMS = ("streaming", "streaming/once")
ROUTER_METRICS_PORT = 22_001


class Calls:
    """Callers of one router process, whose targets are processes too."""

    def __init__(self, fleet, routers, free_port):
        self.fleet = fleet
        self.routers = routers
        self._free_port = free_port
        self.targets = []

    async def add_target(self, **options):
        """Start a target, list it and wait until the router knows it."""
        target_id, port = f"i-{len(self.targets)}", self._free_port()
        target = TargetProcess(target_id, HOST, port, **options)
        self.targets.append(target)
        entry = {
            "service": "s",
            "address": f"{HOST}:{port}",
            "zone": "fd-a",
            "slots": 4,
            "state": "ready",
            "version": "v1",
        }
        key = f"servers/{target_id}".encode()
        self.fleet.platform.store.put(key, dumps(entry).encode())
        with fail_after(TEST_TIMEOUT_S):
            while f'target="{target_id}"' not in await self._metrics():
                self.routers.check()
                await sleep(0.01)
        return target

    async def _metrics(self):
        try:
            reply = await get(HOST, ROUTER_METRICS_PORT, "/metrics")
        except (ConnectionError, EOFError):
            return ""
        return reply.body.decode()

    async def call(self, kind):
        """Return the response to a request."""
        return await self.fleet.call(f"/{kind}/")

    async def call_beside(self, kind, act):
        """Return the response to a request, and act meanwhile."""
        replies = []

        async def call():
            replies.append(await self.call(kind))

        async with create_task_group() as tasks:
            tasks.start_soon(call)
            await act()
        return replies[0]


@pytest.fixture
def calling(make_settings, free_port, tmp_path):
    """Return a context manager that runs a router process, without a target yet."""

    @asynccontextmanager
    async def run():
        settings = make_settings()
        fleet = Fleet(settings)
        fleet.route("streaming", resumable=True)
        fleet.route("streaming", **{"name": "once", "path-prefix": "/streaming/once/"})
        fleet.route("idempotent")
        fleet.route("non_idempotent")
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            fleet.put_configuration()
            routers = Routers.from_settings([settings], tmp_path, bootstrap=True)
            calls = Calls(fleet, routers, free_port)
            try:
                yield calls
            finally:
                routers.close()
                for target in calls.targets:
                    target.close()

    return run


def whole(kind):
    """Return the whole body of a response."""
    return b"".join(events_from(1)) if kind in STREAMS else BODY


async def call_while_target_ends(calls, kind, framing, signal):
    """Return the response of a target that ends in its midst; another is there."""
    holding = await calls.add_target(framing=framing, holds=True)

    async def end():
        await run_sync(holding.wait_until_it_holds)
        await calls.add_target(framing=framing)
        holding.end(signal)

    return await calls.call_beside(kind, end)


def is_told_truly(kind, reply):
    """Return whether a response is whole, or its caller sees that it is not."""
    if kind in REPEATABLE:
        return reply.is_complete and reply.status == 200 and reply.body == whole(kind)
    if kind in STREAMS:
        return reply.status == 200 and not reply.is_complete
    return reply.status == 502


class TestEndedTarget:
    """Responses of a target whose process ends in their midst.

    A repeatable one is sent again, or goes on, at another target. One that runs once
    ends as incomplete, or with a status that promises nothing.
    """

    async def test_part_of_a_response_without_length_looks_whole(self, calling):
        """Only the end of its connection tells the end of such a response."""
        told_untruly = []
        for kind, signal in product(REPEATABLE + RUNS_ONCE, SIGNALS):
            async with calling() as calls:
                reply = await call_while_target_ends(calls, kind, "closed", signal)
            if not is_told_truly(kind, reply):
                told_untruly.append((kind, signal, reply))
        assert told_untruly == []

    @pytest.mark.parametrize("signal", SIGNALS)
    @pytest.mark.parametrize("framing", ["chunked", "length"])
    @pytest.mark.parametrize("kind", REPEATABLE + RUNS_ONCE)
    async def test_part_of_a_framed_response_looks_whole(
        self, calling, kind, framing, signal
    ):
        """A length or chunks show that it is incomplete."""
        async with calling() as calls:
            reply = await call_while_target_ends(calls, kind, framing, signal)
            assert is_told_truly(kind, reply)


class TestLivingTarget:
    """Responses of a target that goes on."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("kind", REPEATABLE + RUNS_ONCE)
    async def test_whole_response_arrives_as_whole(self, calling, kind, framing):
        """What the end of a connection completes is complete."""
        async with calling() as calls:
            await calls.add_target(framing=framing)
            for _ in range(3):
                reply = await calls.call(kind)
                assert (reply.status, reply.is_complete) == (200, True)
                assert reply.body == whole(kind)
