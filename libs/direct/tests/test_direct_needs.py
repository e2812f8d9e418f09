"""What targets state in their answers, through real connections."""

import pytest
from anyio import sleep

from berylwalk.direct._gauges import refresh_gauges
from berylwalk.dispatch import IneligibilityReason
from direct_fleet import ScriptedTarget, answers, head

pytestmark = pytest.mark.anyio
LEAVING = "Server-Leaving: 1\r\n"


def asks_for_rest(rest, *, status="503 Unavailable"):
    """Return a script that turns requests away and names a time."""

    async def script(request, writer):
        asks = f"Not-Executed: 1\r\nRetry-After: {rest}\r\n"
        writer.write(head(request, status=status, length=0, more=asks))

    return script


def needs_of(router, target_id):
    """Return what a router believes of a target."""
    return router._context.targets.by_id[target_id].flow_control


async def add_target(fleet, port, script):
    """Start another target and list it; wait until the router knows it."""
    target = ScriptedTarget(f"i-{len(fleet.targets)}", port, script)
    await target.start()
    fleet.targets.append(target)
    fleet.put_target(target)
    await fleet.until_ready()


class TestLeaving:
    """Said in an answer."""

    async def test_its_entry_does_not_take_it_back(self, running, free_port):
        """Neither the one that was known nor one that is written later."""
        async with running(answers("bye", more=LEAVING)) as fleet:
            assert (await fleet.call("/idempotent/")).body == b"bye"
            await add_target(fleet, free_port(), answers("ok"))
            fleet.put_target(fleet.targets[0], slots=9)
            context = fleet.router._context
            await fleet.until(lambda: context.targets.by_id["i-0"].entry.slots == 9)
            for _ in range(10):
                assert (await fleet.call("/idempotent/")).body == b"ok"
        assert len(fleet.targets[0].received) == 1

    async def test_other_routers_are_told(self, running, beside):
        """They send nothing there."""
        async with (
            running(answers("bye", more=LEAVING)) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            await fleet.until(lambda: "i-0" in second._context.targets.by_id)
            await fleet.call("/idempotent/")
            await fleet.until(lambda: needs_of(second, "i-0").is_leaving)
            target = second._context.targets.by_id["i-0"]
            ineligibility_reason = target.ineligibility_reason(second._context.clock())
        assert ineligibility_reason is IneligibilityReason.LEAVING

    async def test_gauges_show_it(self, running):
        """Beside limit and rest."""
        more = "Server-Leaving: 1\r\nServer-Limit: 2.5\r\n"
        async with running(answers("bye", more=more)) as fleet:
            await fleet.call("/idempotent/")
            context = fleet.router._context
            refresh_gauges(context)
            text = context.metrics.text().decode()
        assert 'berylwalk_target_leaving{target="i-0"} 1.0' in text
        assert 'berylwalk_target_limit_per_s{target="i-0"} 2.5' in text
        assert 'berylwalk_target_rest_seconds{target="i-0"} 0.0' in text


class TestRest:
    """Asked for with a refusal."""

    @pytest.mark.parametrize("status", ["503 Unavailable", "429 Too Many"])
    async def test_request_goes_to_another_target(self, running, free_port, status):
        """And none after it comes back within the rest."""
        async with running(asks_for_rest(60, status=status)) as fleet:
            assert (await fleet.call("/idempotent/")).status == 503
            await add_target(fleet, free_port(), answers("ok"))
            for _ in range(4):
                await sleep(0.12)
                assert (await fleet.call("/idempotent/")).status == 200
        assert len(fleet.targets[0].received) == 1

    async def test_caller_hears_when_the_first_returns(self, running):
        """At once, though it might have waited."""
        async with running(asks_for_rest(60), asks_for_rest(30)) as fleet:
            for _ in range(3):
                reply = await fleet.call("/idempotent/", Deadline_Ms="9000")
                assert reply.status == 503
        # The first of them returns after 30 s, less what this test has taken.
        assert 3 < float(reply.headers["retry-after"]) < 32
        assert sum(len(target.received) for target in fleet.targets) == 2

    async def test_rest_asked_for_while_a_connection_is_opened(
        self, running, monkeypatch
    ):
        """What had its place there is not sent."""
        async with running(answers("ok"), answers("ok")) as fleet:
            context = fleet.router._context
            opens = context.pool.open
            asked = []

            async def open_slowly(entry):
                if not asked:
                    asked.append(entry.target_id)
                    needs_of(fleet.router, entry.target_id).backoff.note_requested(
                        60.0, context.clock()
                    )
                return await opens(entry)

            monkeypatch.setattr(context.pool, "open", open_slowly)
            reply = await fleet.call("/idempotent/")
        assert reply.status == 200
        (resting,) = (each for each in fleet.targets if each.target_id in asked)
        assert resting.received == []


class TestOtherLife:
    """Another life answers at the address."""

    async def test_its_word_is_not_taken_for_that_of_the_one_meant(self, running):
        """It says with the same head that it isn't that one."""

        async def other(request, writer):
            more = "Server-Leaving: 1\r\nServer-Limit: 0.1\r\n"
            status = "421 Misdirected Request"
            writer.write(head(request, status=status, length=0, more=more))

        async with running(other) as fleet:
            await fleet.call("/idempotent/")
            needs = needs_of(fleet.router, "i-0")
        assert not needs.is_leaving
        assert needs.limit.per_s is None


class TestUnreadable:
    """A value that is no number."""

    async def test_is_told_and_changes_nothing(self, running):
        """The target goes on to get requests."""
        lines = []
        more = "Server-Limit: some\r\n"
        async with running(answers("ok", more=more)) as fleet:
            log = fleet.router._context.log
            log.request = lambda event, _, **fields: lines.append((event, fields))
            for _ in range(5):
                assert (await fleet.call("/idempotent/")).status == 200
        told = [fields for event, fields in lines if event == "target-statement"]
        assert len(told) == 1
        assert "server-limit" in told[0]["statement_problem"]
