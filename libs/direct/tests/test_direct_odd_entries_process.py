"""A router process that follows the list of targets while odd entries come."""

from contextlib import asynccontextmanager
from itertools import count
from json import dumps

import pytest
from anyio import create_task_group, fail_after, sleep

from berylwalk.standins import serving
from direct_fleet import HOST, STORE, TEST_TIMEOUT_S, Fleet, ScriptedTarget, answers
from direct_processes import Routers

pytestmark = pytest.mark.anyio
DRAINED_S = 3.0
"""Time after which a target that drains gets nothing, with what runs already."""
RUN_S = 0.02
"""Time that a target takes for a request."""
DEEP = (10_000, 100_000)
USUAL = {
    "service": "s",
    "address": f"{HOST}:9",
    "zone": "fd-a",
    "slots": 4,
    "state": "ready",
    "version": "v1",
    "born": 1796254082258,
    "cold-left-ms": 0,
    "seq-no": 1,
}
ODD_TEXTS = [
    "null",
    "true",
    "-1",
    "-0",
    "1.5",
    "1e400",
    "NaN",
    "9" * 20,
    "9" * 400,
    "9" * 5_000,
    '""',
    '"\\ud800"',
    '"\\u0000"',
    '"a\\r\\nb"',
    f'"{"x" * 1_000_000}"',
    *("[" * depth + "]" * depth for depth in DEEP),
    *('{"a":' * depth + "1" + "}" * depth for depth in DEEP),
]
ODD_ADDRESSES = [
    f"{HOST}:0",
    f"{HOST}:65536",
    f"{HOST}:{10**20}",
    f"{HOST}:-1",
    f"{HOST}:80:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "[::1]:80",
    "fe80::1%eth0:80",
    "fe80::1%a\x00b:80",
]
ODD_VALUES = [b"", b"\xff\xfe", b"\x00", b"{", b"[]", b"null", b"7", b"x" * 1_000_000]


def with_field(name, text):
    """Return an entry of a target in which a field has a JSON text as its value."""
    usual = {key: value for key, value in USUAL.items() if key != name}
    return f'{dumps(usual)[:-1]}, "{name}": {text}}}'.encode()


def odd_values():
    """Return values of entries that name no target."""
    fields = [
        with_field(name, text)
        for name in ("service", "address", "zone", "slots", "state", "born")
        for text in ODD_TEXTS
        if (name, text) != ("born", "null")
    ]
    nested = [with_field("unknown", text) for text in ODD_TEXTS[-2 * len(DEEP) :]]
    addresses = [dumps({**USUAL, "address": each}).encode() for each in ODD_ADDRESSES]
    return [*fields, *nested, *addresses, *ODD_VALUES]


class Members:
    """Targets that join and leave, beside odd entries."""

    def __init__(self, fleet, free_port):
        self.fleet = fleet
        self._free_port = free_port
        self._numbers = count()
        self.targets = []

    async def join(self):
        """Start a target and write its entry."""
        name = f"i-{next(self._numbers)}"
        target = ScriptedTarget(name, self._free_port(), takes_time)
        await target.start()
        self.targets.append(target)
        self.fleet.put_target(target)
        return target

    async def close(self):
        """Close all targets."""
        for target in self.targets:
            await target.close()


@pytest.fixture
def following(make_settings, free_port, tmp_path):
    """Return a context manager that runs a router process and targets."""

    @asynccontextmanager
    async def run():
        settings = make_settings()
        fleet = Fleet(settings)
        fleet.route("idempotent")
        members = Members(fleet, free_port)
        async with serving(fleet.platform.handle, *STORE, fleet.platform.run):
            fleet.put_configuration()
            routers = Routers.from_settings([settings], tmp_path)
            try:
                yield fleet, members, routers
            finally:
                routers.close()
                await members.close()

    return run


async def takes_time(request, writer):
    """Respond after a while, so that requests at once need several targets."""
    await sleep(RUN_S)
    await answers("ok")(request, writer)


async def until_ready(fleet, routers):
    """Wait until the router process answers."""
    while True:
        routers.check()
        try:
            if (await fleet.call("/idempotent/")).status == 200:
                return
        except (OSError, EOFError):
            await sleep(0.05)


async def call_at_once(fleet):
    """Send as many requests as two targets run at once; each one is answered."""

    async def call():
        assert (await fleet.call("/idempotent/")).status == 200

    async with create_task_group() as callers:
        for _ in range(2 * USUAL["slots"]):
            callers.start_soon(call)


async def until_served(fleet, target):
    """Call until a target gets a request."""
    with fail_after(TEST_TIMEOUT_S):
        while not target.received:
            await call_at_once(fleet)


async def until_drained(fleet, target):
    """Let a target drain; return how many requests it got after the bound."""
    fleet.put_target(target, state="draining")
    await sleep(DRAINED_S)
    before = len(target.received)
    for _ in range(5):
        await call_at_once(fleet)
    return len(target.received) - before


class TestOddEntries:
    """Entries of all kinds, written again and again."""

    async def test_odd_entries_end_the_process_or_what_it_follows(self, following):
        """Targets join and drain before, between and after odd entries."""
        odd = odd_values()
        async with following() as (fleet, members, routers):
            store = fleet.platform.store
            first = await members.join()
            await until_ready(fleet, routers)

            async def write_odd():
                for number, value in enumerate(odd):
                    # The same key again, one of its own, and that of a usual target.
                    store.put(b"servers/i-odd", value)
                    store.put(b"servers/odd-%d" % (number % 40), value)
                    if number % 10 == 0:
                        store.put(b"servers/i-known", value)
                    await sleep(0.02)

            async with create_task_group() as tasks:
                tasks.start_soon(write_odd)
                second = await members.join()
                await until_served(fleet, second)
                assert await until_drained(fleet, first) == 0
            third = await members.join()
            await until_served(fleet, third)
            fleet.platform.store.put(b"servers/i-known", odd[-1])
            assert await until_drained(fleet, second) == 0
            assert len(third.received) >= 20
            routers.check()

    async def test_odd_entries_at_the_start_end_the_process(self, following):
        """A router that starts reads all of them in one list."""
        async with following() as (fleet, members, routers):
            store = fleet.platform.store
            for number, value in enumerate(odd_values()):
                if len(value) < 100_000 or number % 5 == 0:
                    store.put(b"servers/odd-%d" % number, value)
            routers.close()
            routers.processes = [routers._start(path) for path in routers._files]
            first = await members.join()
            await until_ready(fleet, routers)
            second = await members.join()
            await until_served(fleet, second)
            assert await until_drained(fleet, first) == 0
            routers.check()
