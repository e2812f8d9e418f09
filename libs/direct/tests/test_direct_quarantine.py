"""A request that ends the targets that run it.

One request of a client account came again and again, each time under a new id and
mostly at another router, and each target that began to run it ended some 0.1 s later,
with up to a dozen other requests. Within 15 s it had ended 19 targets of a service that
has nine. Nothing tied the ends together: the bound of attempts and the budget of
repeats count the sends of one attempt, and each return was a first one. On routes that
may be repeated a router took it to the next target by itself.

Three of the fourteen ends, as the routers logged them (route, account and sizes of the
prompt and of the output in tokens; all other requests of these targets differ):

    69.229 i-783c741a2c  r-xtwfbz8 puse440 310 57  502 attempt-broken, took 87.4 ms
    69.560 i-031608e3ad  r-xtwfbz8 puse440 310 57  502 attempt-broken, took 132.8 ms
    69.869 i-6b3b483f07  r-xtwfbz8 puse440 310 57  502 attempt-broken, took 145.0 ms
"""

import pytest
from anyio import sleep

from direct_fleet import ScriptedTarget, answers

pytestmark = pytest.mark.anyio

GUILTY = b"ends who runs it"
ENDS_ALLOWED = 3
"""Targets that a request may end before it is known."""
SENDS_ALLOWED = 3
"""Sends of it that are allowed once it is known, by all routers together."""
TARGETS = 4
RETURNS = 12
LAPSE_S = 0.1
"""Time after which the entry of a target that has ended lapses."""
PAUSE_S = 0.4
"""Time between two returns: routers tell each other within a fraction of it."""


class Engines:
    """Targets that end when they run a guilty request; each is soon replaced."""

    def __init__(self, fleet, free_port):
        self.fleet = fleet
        self.free_port = free_port
        self.ended = []

    async def begin(self):
        """Start a target and list it."""
        number = len(self.fleet.targets)
        target = ScriptedTarget(f"i-{number}", self.free_port(), None)
        target.script = self._script_of(target)
        await target.start()
        self.fleet.targets.append(target)
        self.fleet.put_target(target)

    def _script_of(self, target):
        async def script(request, writer):
            if request.body != GUILTY:
                await answers("ok")(request, writer)
                return
            self.ended.append(target.target_id)
            await target.crash()
            await sleep(LAPSE_S)
            self.fleet.platform.store.delete(f"servers/{target.target_id}".encode())
            await self.begin()

        return script


class TestGuiltyRequest:
    """What it may still do."""

    @pytest.fixture
    def engines(self, free_port):
        """Return a function that starts the targets of a fleet."""

        async def start(fleet):
            engines = Engines(fleet, free_port)
            for _ in range(TARGETS):
                await engines.begin()
            await fleet.until_ready()
            return engines

        return start

    async def test_returns_at_any_router_are_bounded(self, running, beside, engines):
        """It ends a few targets, however often it comes, and others are served."""
        route = ("streaming",)
        async with (
            running(routes=route) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            ends = await engines(fleet)
            routers = (fleet.settings, second._context.settings)
            targets = second._context.targets.by_id
            await fleet.until(lambda: len(targets) == TARGETS)
            for number in range(RETURNS):
                fleet.settings = routers[number % 2]
                reply = await fleet.call("/streaming/x", body=GUILTY)
                assert reply.status in (502, 503)
                await sleep(PAUSE_S)
                other = await fleet.call("/streaming/x", body=b"harmless")
                assert other.status == 200
        assert len(ends.ended) <= ENDS_ALLOWED + SENDS_ALLOWED

    async def test_own_repeats_are_bounded(self, running, engines):
        """One attempt of a caller does not go on from target to target."""

        def many_attempts(fleet):
            fleet.routes[0]["max-attempts"] = 8

        async with running(prepare=many_attempts, retry_slack=50) as fleet:
            ends = await engines(fleet)
            reply = await fleet.call("/idempotent/x", body=GUILTY)
        assert reply.status == 502
        assert 1 <= len(ends.ended) <= ENDS_ALLOWED

    async def test_life_that_began_anew_counts_as_an_end(self, running):
        """A target that is listed with a later life has ended without a word."""

        async def begins_anew(request, writer):
            fleet.put_target(fleet.targets[0], born=2)
            await sleep(1.0)

        def first_life(fleet):
            fleet.put_target(fleet.targets[0], born=1)

        async with running(begins_anew, prepare=first_life) as fleet:
            context = fleet.router._context
            await fleet.call("/idempotent/x", body=GUILTY, Deadline_Ms="3000")
            assert len(context.quarantine) == 1
