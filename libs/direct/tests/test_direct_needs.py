"""Flow control signals in responses, over real connections."""

import pytest
from anyio import sleep

from berylwalk.direct._flow_control import MAX_SIGNALS_PER_MESSAGE, rotate
from berylwalk.direct._gauges import refresh_gauges
from berylwalk.dispatch import IneligibilityReason
from direct_fleet import ScriptedTarget, answers, head

pytestmark = pytest.mark.anyio
LEAVING = "Server-Leaving: 1\r\n"


def requests_backoff(rest, *, status="503 Unavailable"):
    """Return a script that refuses requests and requests a backoff."""

    async def script(request, writer):
        asks = f"Not-Executed: 1\r\nRetry-After: {rest}\r\n"
        writer.write(head(request, status=status, length=0, more=asks))

    return script


def flow_control_of(router, target_id):
    """Return the flow control state of a target at a router."""
    return router._context.targets.by_id[target_id].flow_control


async def add_target(fleet, port, script):
    """Start another target and wait until the router knows it."""
    target = ScriptedTarget(f"i-{len(fleet.targets)}", port, script)
    await target.start()
    fleet.targets.append(target)
    fleet.put_target(target)
    await fleet.until_ready()


class TestMessages:
    """More signals than a message between routers holds."""

    @pytest.mark.parametrize("interval_s", [0.05, 0.1, 0.25, 0.3])
    @pytest.mark.parametrize("count", [65, 128, 192, 300])
    def test_signal_beyond_the_largest_message_is_never_told(self, count, interval_s):
        """They are told in turns, whatever the interval of messages is."""
        told = set()
        for number in range(round(3.0 / interval_s)):
            part = rotate(
                list(range(count)), MAX_SIGNALS_PER_MESSAGE, number * interval_s
            )
            assert len(part) == MAX_SIGNALS_PER_MESSAGE
            told.update(part)
        assert told == set(range(count))


class TestLeaving:
    """Targets that signal in a response that they are leaving."""

    async def test_entry_does_not_revoke_the_signal(self, running, free_port):
        """Neither the known entry nor a later one makes it available again."""
        async with running(answers("bye", more=LEAVING)) as fleet:
            assert (await fleet.call("/idempotent/")).body == b"bye"
            await add_target(fleet, free_port(), answers("ok"))
            fleet.put_target(fleet.targets[0], slots=9)
            context = fleet.router._context
            await fleet.until(lambda: context.targets.by_id["i-0"].entry.slots == 9)
            for _ in range(10):
                assert (await fleet.call("/idempotent/")).body == b"ok"
        assert len(fleet.targets[0].received) == 1

    async def test_other_routers_are_notified(self, running, beside):
        """Other routers stop sending to it."""
        async with (
            running(answers("bye", more=LEAVING)) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            await fleet.until(lambda: "i-0" in second._context.targets.by_id)
            await fleet.call("/idempotent/")
            await fleet.until(lambda: flow_control_of(second, "i-0").is_leaving)
            target = second._context.targets.by_id["i-0"]
            ineligibility_reason = target.ineligibility_reason(second._context.clock())
        assert ineligibility_reason is IneligibilityReason.LEAVING

    async def test_gauges_show_signals(self, running):
        """The gauges show leaving, the limit and the backoff."""
        more = "Server-Leaving: 1\r\nServer-Limit: 2.5\r\n"
        async with running(answers("bye", more=more)) as fleet:
            await fleet.call("/idempotent/")
            context = fleet.router._context
            refresh_gauges(context)
            text = context.metrics.text().decode()
        assert 'berylwalk_target_leaving{target="i-0"} 1.0' in text
        assert 'berylwalk_target_limit_per_s{target="i-0"} 2.5' in text
        assert 'berylwalk_target_rest_seconds{target="i-0"} 0.0' in text


class TestBackoff:
    """Targets that refuse requests and request a backoff."""

    @pytest.mark.parametrize("status", ["503 Unavailable", "429 Too Many"])
    async def test_request_goes_to_another_target(self, running, free_port, status):
        """No request reaches the refusing target during its backoff."""
        async with running(requests_backoff(60, status=status)) as fleet:
            assert (await fleet.call("/idempotent/")).status == 503
            await add_target(fleet, free_port(), answers("ok"))
            for _ in range(4):
                await sleep(0.12)
                assert (await fleet.call("/idempotent/")).status == 200
        assert len(fleet.targets[0].received) == 1

    async def test_retry_after_is_the_earliest_end_of_backoffs(self, running):
        """The request is not queued until its deadline."""
        async with running(requests_backoff(60), requests_backoff(30)) as fleet:
            for _ in range(3):
                reply = await fleet.call("/idempotent/", Deadline_Ms="9000")
                assert reply.status == 503
        # The first backoff ends after 30 s, minus the run time of this test.
        assert 3 < float(reply.headers["retry-after"]) < 32
        assert sum(len(target.received) for target in fleet.targets) == 2

    async def test_backoff_requested_while_a_connection_is_opened(
        self, running, monkeypatch
    ):
        """A request that already has a place at the target is not sent."""
        async with running(answers("ok"), answers("ok")) as fleet:
            context = fleet.router._context
            opens = context.pool.open
            asked = []

            async def open_slowly(entry):
                if not asked:
                    asked.append(entry.target_id)
                    flow_control_of(
                        fleet.router, entry.target_id
                    ).backoff.note_requested(60.0, context.clock())
                return await opens(entry)

            monkeypatch.setattr(context.pool, "open", open_slowly)
            reply = await fleet.call("/idempotent/")
        assert reply.status == 200
        (refusing,) = (each for each in fleet.targets if each.target_id in asked)
        assert refusing.received == []


class TestOtherIncarnation:
    """A response from another process at the address of a target."""

    async def test_signals_with_status_421_are_ignored(self, running):
        """Signals in a response with status 421 are ignored."""

        async def other(request, writer):
            more = "Server-Leaving: 1\r\nServer-Limit: 0.1\r\n"
            status = "421 Misdirected Request"
            writer.write(head(request, status=status, length=0, more=more))

        async with running(other) as fleet:
            await fleet.call("/idempotent/")
            flow_control = flow_control_of(fleet.router, "i-0")
        assert not flow_control.is_leaving
        assert flow_control.limit.per_s is None


class TestInvalidSignal:
    """A signal whose value is not a number."""

    async def test_invalid_limit_is_logged_and_ignored(self, running):
        """It is logged once and the target remains available."""
        lines = []
        more = "Server-Limit: some\r\n"
        async with running(answers("ok", more=more)) as fleet:
            log = fleet.router._context.log
            log.request = lambda event, _, **fields: lines.append((event, fields))
            for _ in range(5):
                assert (await fleet.call("/idempotent/")).status == 200
        logged = [fields for event, fields in lines if event == "target-statement"]
        assert len(logged) == 1
        assert "server-limit" in logged[0]["statement_problem"]
