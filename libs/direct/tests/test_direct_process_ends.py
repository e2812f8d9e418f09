"""What one caller sends must not end the process that answers the others."""

from contextlib import asynccontextmanager

import pytest
from anyio import Event, create_task_group, sleep

from berylwalk.standins import serving
from direct_fleet import STORE, Fleet, ScriptedTarget, answers
from direct_processes import Routers

pytestmark = pytest.mark.anyio
LIMITED_KEY = "k2"
LARGEST = 2**63 - 1
CALLERS = 6
"""Callers at each router whose requests run meanwhile."""
TOLD_S = 0.5
"""Time within which routers tell each other what they refused, several times."""


class Processes:
    """Two processes of the router, and callers of each."""

    def __init__(self, fleet, target, routers, settings):
        self.fleet = fleet
        self.target = target
        self.routers = routers
        self._settings = settings
        self.numbers = range(len(settings))

    async def call(self, number, **headers):
        """Return the response of a router, or None if the connection ended."""
        self.fleet.settings = self._settings[number]
        try:
            return await self.fleet.call("/non_idempotent/", **headers)
        except (OSError, EOFError):
            return None

    async def until_ready(self):
        """Wait until both routers serve requests."""
        for number in self.numbers:
            while (reply := await self.call(number)) is None or reply.status != 200:
                self.routers.check()
                await sleep(0.05)


@pytest.fixture
def processes(make_settings, free_port, tmp_path):
    """Return a context manager that runs two processes and a target."""

    @asynccontextmanager
    async def run(script):
        settings = [make_settings(name=f"edge-{number}") for number in range(2)]
        fleet = Fleet(settings[0])
        fleet.route("non_idempotent")
        fleet.tenants.append(
            {
                "name": "limited",
                "api-keys": [LIMITED_KEY],
                "unit": "tokens",
                "rate-per-s": 100,
                "burst": 100,
            }
        )
        target = ScriptedTarget("i-0", free_port(), script)
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            fleet.put_configuration()
            await target.start()
            fleet.put_target(target, slots=2 * CALLERS)
            routers = Routers.from_settings(settings, tmp_path)
            try:
                running = Processes(fleet, target, routers, settings)
                await running.until_ready()
                yield running
            finally:
                routers.close()
                await target.close()

    return run


class TestRefusedSizes:
    """Sizes of requests that are refused."""

    async def test_refused_sizes_beyond_a_message_cut_all_requests(self, processes):
        """Their sum is told to the other routers, where it ended the process."""
        released, respond = Event(), answers("done")
        released.set()
        replies, refused = [], []

        async def script(request, writer):
            await released.wait()
            await respond(request, writer)

        async with processes(script) as running:
            released = Event()

            async def call(number):
                replies.append(await running.call(number))

            async with create_task_group() as callers:
                for number in list(running.numbers) * CALLERS:
                    callers.start_soon(call, number)
                target = running.target
                await running.fleet.until(lambda: target.open_requests == 2 * CALLERS)
                for number in list(running.numbers) * 2:
                    refused.append(
                        await running.call(
                            number,
                            X_Api_Key=LIMITED_KEY,
                            Token_Count=f"1460,{LARGEST}",
                        )
                    )
                await sleep(TOLD_S)
                released.set()
            assert [each and each.status for each in replies] == [200] * 2 * CALLERS
            assert [each and each.status for each in refused] == [429] * 4
            running.routers.check()
