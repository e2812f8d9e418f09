"""Requests that terminate the targets that run them.

Guards against a request that comes again under new ids and at other routers, and
terminates more targets than the service can lose.
"""

import pytest
from anyio import sleep

from berylwalk.direct import _attempt
from berylwalk.direct._admission import PART_QUARANTINED
from berylwalk.quarantine import part_identity
from direct_fleet import (
    CHUNKED,
    EVENTS,
    ScriptedTarget,
    answers,
    chunk,
    event,
    head,
    read_reply,
)

pytestmark = pytest.mark.anyio

FAULTY_BODY = b"ends who runs it"
MAX_CRASHES = 3
"""Largest number of targets that a request may terminate before it is quarantined."""
MAX_LATE_ATTEMPTS = 3
"""Largest number of attempts by all routers after that."""
TARGETS = 4
REPEATS = 12
LAPSE_S = 0.1
"""Time after which the entry of a terminated target lapses."""
CRASHES_TO_FIND_A_PART = 5
"""Number of terminated targets after which a part has to be found."""
FAULTY_PART = "b4d"
FIRST_PART = "1f"
"""Part that faulty and harmless requests share."""
PAUSE_S = 0.4
"""Interval between repetitions, longer than routers need to update each other."""


class Engines:
    """Targets that terminate when they run a faulty request and are then replaced.

    Attributes
    ----------
    sends_event : bool
        Whether they send one event of a stream before.
    """

    sends_event = False

    def __init__(self, fleet, free_port):
        self.fleet = fleet
        self.free_port = free_port
        self.crashed = []

    def is_faulty(self, request):
        """Return whether a request terminates its target."""
        parts = request.headers.get("prompt-prefix", "").split(",")[:-1]
        return request.body == FAULTY_BODY or any(
            part.split(":")[0] == FAULTY_PART for part in parts
        )

    async def start_target(self):
        """Start a target and list it."""
        number = len(self.fleet.targets)
        target = ScriptedTarget(f"i-{number}", self.free_port(), None)
        target.script = self._script_of(target)
        await target.start()
        self.fleet.targets.append(target)
        self.fleet.put_target(target)

    def _script_of(self, target):
        async def script(request, writer):
            if not self.is_faulty(request):
                await answers("ok")(request, writer)
                return
            self.crashed.append(target.target_id)
            if self.sends_event:
                writer.write(head(request, kind=EVENTS, more=CHUNKED))
                writer.write(chunk(event(1)))
                await writer.drain()
            await target.crash()
            await sleep(LAPSE_S)
            self.fleet.platform.store.delete(f"servers/{target.target_id}".encode())
            await self.start_target()

        return script


@pytest.fixture
def engines(free_port):
    """Return a function that starts the targets of a fleet."""

    async def start(fleet):
        engines = Engines(fleet, free_port)
        for _ in range(TARGETS):
            await engines.start_target()
        await fleet.until_ready()
        return engines

    return start


class TestFaultyRequest:
    """Limits for a request that terminates targets."""

    async def test_repetitions_at_all_routers_are_bounded(
        self, running, beside, engines
    ):
        """The number of terminated targets is bounded and other requests are served."""
        route = ("streaming",)
        async with (
            running(routes=route) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            started_engines = await engines(fleet)
            routers = (fleet.settings, second._context.settings)
            targets = second._context.targets.by_id
            await fleet.until(lambda: len(targets) == TARGETS)
            for number in range(REPEATS):
                fleet.settings = routers[number % 2]
                reply = await fleet.call("/streaming/x", body=FAULTY_BODY)
                assert reply.status in (502, 503)
                await sleep(PAUSE_S)
                other = await fleet.call("/streaming/x", body=b"harmless")
                assert other.status == 200
        assert len(started_engines.crashed) <= MAX_CRASHES + MAX_LATE_ATTEMPTS

    async def test_retries_are_bounded(self, running, engines):
        """Retries of a single request are bounded as well."""

        def many_attempts(fleet):
            fleet.routes[0]["max-attempts"] = 8

        async with running(prepare=many_attempts, retry_slack=50) as fleet:
            started_engines = await engines(fleet)
            reply = await fleet.call("/idempotent/x", body=FAULTY_BODY)
        assert reply.status == 502
        assert 1 <= len(started_engines.crashed) <= MAX_CRASHES

    async def test_restart_counts_as_crash(self, running):
        """An entry with a later start time shows that the target has terminated."""

        async def restarts(request, writer):
            fleet.put_target(fleet.targets[0], born=2)
            await sleep(1.0)

        def put_first_incarnation(fleet):
            fleet.put_target(fleet.targets[0], born=1)

        async with running(restarts, prepare=put_first_incarnation) as fleet:
            context = fleet.router._context
            await fleet.call("/idempotent/x", body=FAULTY_BODY, Deadline_Ms="3000")
            assert len(context.quarantine) == 1


def prompt(*parts):
    """Return a value of the header with the parts of a prompt."""
    return ",".join(f"{part}:60" for part in parts)


class TestFaultyPromptPart:
    """Limits for a part of prompts that terminates targets, in ever new requests."""

    async def test_new_requests_with_a_faulty_part_are_bounded(
        self, running, beside, engines
    ):
        """No two requests are equal, and harmless ones share their first part."""
        async with (
            running(routes=("streaming",)) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            started_engines = await engines(fleet)
            routers = (fleet.settings, second._context.settings)
            targets = second._context.targets.by_id
            await fleet.until(lambda: len(targets) == TARGETS)
            served = 0
            for number in range(REPEATS):
                fleet.settings = routers[number % 2]
                reply = await fleet.call(
                    "/streaming/x",
                    body=b"faulty %d" % number,
                    Prompt_Prefix=prompt(FIRST_PART, FAULTY_PART, f"e{number}"),
                )
                assert reply.status in (502, 503)
                await sleep(PAUSE_S)
                other = await fleet.call(
                    "/streaming/x",
                    body=b"harmless %d" % number,
                    Prompt_Prefix=prompt(FIRST_PART, "50", f"d{number}"),
                )
                served += other.status == 200
        assert len(started_engines.crashed) <= CRASHES_TO_FIND_A_PART
        assert served == REPEATS

    async def test_crash_right_after_the_first_event(
        self, running, engines, monkeypatch
    ):
        """An event that arrives just before the crash must not clear the part."""
        # A busy machine delays the end of the connection.
        monkeypatch.setattr(_attempt, "BEGUN_AFTER_S", 5.0)
        async with running(routes=("streaming",)) as fleet:
            started_engines = await engines(fleet)
            started_engines.sends_event = True
            for number in range(REPEATS):
                reply = await fleet.call(
                    "/streaming/x",
                    body=b"faulty %d" % number,
                    Prompt_Prefix=prompt(FAULTY_PART, f"e{number}"),
                )
                assert reply.status == 503 or not reply.is_complete
                await sleep(PAUSE_S)
        assert 3 <= len(started_engines.crashed) <= CRASHES_TO_FIND_A_PART

    async def test_retries_with_a_faulty_part_are_bounded(self, running, engines):
        """The router's own retries must stop as well."""

        def many_attempts(fleet):
            fleet.routes[0]["max-attempts"] = 8

        async with running(prepare=many_attempts, retry_slack=50) as fleet:
            started_engines = await engines(fleet)
            for number in range(3):
                await fleet.call(
                    "/idempotent/x",
                    body=b"faulty %d" % number,
                    Prompt_Prefix=prompt(FAULTY_PART, f"e{number}"),
                )
        assert 1 <= len(started_engines.crashed) <= CRASHES_TO_FIND_A_PART

    async def test_queued_request_is_rejected_when_its_part_is_blamed(self, running):
        """It must not wait for a target that it will not be sent to."""
        async with running(answers("ok")) as fleet:
            context = fleet.router._context
            context.targets.by_id["i-0"].in_flight += 100
            reader, writer = await fleet.connect()
            parts = prompt(FAULTY_PART, "e1")
            writer.write(fleet.encoded("/idempotent/", Prompt_Prefix=parts))
            await fleet.until(lambda: context.dispatcher.queue_length("s") == 1)
            identity = part_identity("s", FAULTY_PART.encode())
            for incarnation_id in "abc":
                context.quarantine.record_crashes(
                    [identity], incarnation_id, context.clock()
                )
            reply = await read_reply(reader)
            rejected = context.metrics.requests.labels(
                "idempotent", 0, 503, PART_QUARANTINED
            )
            writer.close()
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) >= 1.0
        assert rejected._value.get() == 1
        assert fleet.targets[0].received == []

    async def test_placed_request_is_not_sent_when_its_part_is_blamed(
        self, running, monkeypatch
    ):
        """The check at its arrival is not enough: it may be placed much later."""
        async with running(answers("ok")) as fleet:
            context = fleet.router._context
            identity = part_identity("s", FAULTY_PART.encode())
            open_connection = context.pool.open

            async def open_after_blame(entry):
                for incarnation_id in "abc":
                    context.quarantine.record_crashes(
                        [identity], incarnation_id, context.clock()
                    )
                return await open_connection(entry)

            monkeypatch.setattr(context.pool, "open", open_after_blame)
            reply = await fleet.call(
                "/idempotent/", Prompt_Prefix=prompt(FAULTY_PART, "e1")
            )
        assert reply.status == 503
        assert fleet.targets[0].received == []
