"""Exposure of a bad version during a roll-out, over several real routers."""

from asyncio import open_connection
from json import dumps, loads

import pytest
from anyio import create_task_group, fail_after, sleep

from direct_fleet import TEST_TIMEOUT_S, ScriptedTarget, head, read_reply

pytestmark = pytest.mark.anyio
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
CALLS = 400
CALLERS = 8
PERIOD_S = 120
"""The ramp begins after half of it, when the calls have ended on a slow machine too."""
ORDER_KEY = b"op/rollout/s"
STATUS_KEY = b"status/rollout/s"


def fails_after(number):
    """Return a script that serves some requests, then fails every second one."""
    served = 0

    async def script(request, writer):
        nonlocal served
        served += 1
        if served > number and served % 2:
            writer.write(head(request, status="500 Failed", length=0))
        else:
            writer.write(head(request, length=2) + b"ok")

    return script


def name_old_version(fleet):
    """Write the entries of the first targets, each with slots for all callers."""
    for target in fleet.targets:
        fleet.put_target(target, version="v1", slots=CALLERS)


async def add_version(fleet, free_port, script, version, count):
    """Start and return targets of a version."""
    added = []
    for _ in range(count):
        number = len(fleet.targets)
        target = ScriptedTarget(f"i-{number}", free_port(), script)
        fleet.targets.append(target)
        added.append(target)
        await target.start()
        fleet.put_target(target, version=version)
    return added


def put_order(fleet, version, period_s=PERIOD_S):
    """Write a roll-out order."""
    order = {"service": "s", "target": version, "period-s": period_s}
    fleet.platform.store.put(ORDER_KEY, dumps(order).encode())


async def call_routers(fleet, addresses, calls=CALLS):
    """Make concurrent calls at several routers and return the statuses."""
    statuses = []

    async def caller(number):
        for each in range(calls // CALLERS):
            address = addresses[(number + each) % len(addresses)]
            reply = await call_at(fleet, address)
            statuses.append(reply.status)

    async with create_task_group() as tasks:
        for number in range(CALLERS):
            tasks.start_soon(caller, number)
    return statuses


async def call_at(fleet, address):
    """Make one call at a router."""
    reader, writer = await open_connection(address.host, address.port)
    writer.write(fleet.encoded("/idempotent/"))
    try:
        return await read_reply(reader)
    finally:
        writer.close()


def published_state(fleet):
    """Return the published state of the roll-out; None if there is none."""
    entry = fleet.platform.store.get(STATUS_KEY)
    return None if entry is None else loads(entry.value)["state"]


async def fails(request, writer):
    """Fail."""
    writer.write(head(request, status="500 Failed", length=0))


class TestRevert:
    """A version that fails all requests, with real routers and a real store."""

    async def test_revert_holds_at_a_router_that_starts_later(
        self, running, beside, free_port
    ):
        """The record in the store outlives the routers that judged the version."""

        async def old(request, writer):
            await sleep(0.01)
            writer.write(head(request, length=2) + b"ok")

        async with running(old, old, prepare=name_old_version) as fleet:
            await fleet.until(lambda: len(fleet.router._context.targets.by_id) == 2)
            put_order(fleet, "v2", period_s=30)
            new = await add_version(fleet, free_port, fails, "v2", 3)
            await fleet.until_ready()
            address = fleet.settings.caller_address
            with fail_after(TEST_TIMEOUT_S):
                while published_state(fleet) != "reverted":
                    await call_routers(fleet, [address], calls=CALLERS * 4)
            exposed = sum(len(target.received) for target in new)
            async with beside({"name": "edge-2"}) as (second,):
                context = second._context
                await fleet.until(lambda: len(context.targets.by_id) == 5)
                await fleet.until(lambda: context.configuration.current is not None)
                await fleet.until(lambda: context.rollouts.last_record("s") is not None)
                addresses = [address, context.settings.caller_address]
                statuses = await call_routers(fleet, addresses, calls=CALLERS * 10)
        assert statuses == [200] * len(statuses)
        assert sum(len(target.received) for target in new) == exposed
        total = sum(len(target.received) for target in fleet.targets)
        assert exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK


class TestExposure:
    """Requests at targets of a bad version, over all routers."""

    async def test_bad_version_stays_within_its_share(self, running, beside, free_port):
        """The share includes requests before the version turned bad."""

        async def old(request, writer):
            # Slower than the new version, so that routers would prefer the new one.
            await sleep(0.01)
            writer.write(head(request, length=2) + b"ok")

        async with running(old, old, prepare=name_old_version) as fleet:
            put_order(fleet, "v2")
            new = await add_version(fleet, free_port, fails_after(150), "v2", 2)
            async with beside({"name": "edge-2"}) as (second,):
                await fleet.until(
                    lambda: len(second._context.targets.by_id) == len(fleet.targets)
                )
                await fleet.until_ready()
                await fleet.until(
                    lambda: second._context.configuration.current is not None
                )
                addresses = [
                    router._context.settings.caller_address
                    for router in (fleet.router, second)
                ]
                await call_routers(fleet, addresses)
        total = sum(len(target.received) for target in fleet.targets)
        exposed = sum(len(target.received) for target in new)
        assert total >= CALLS
        assert exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK
