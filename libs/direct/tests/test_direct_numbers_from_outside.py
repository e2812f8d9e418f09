"""Numbers that callers state must not end the process or what others share in it."""

from json import loads

import pytest

from berylwalk.direct._peering import MAX_TOLD_UNITS
from direct_fleet import EVENTS, answers, chunk, event, head

pytestmark = pytest.mark.anyio
DIGITS = "9" * 30


def limited(fleet):
    """Limit the account of the callers."""
    fleet.tenants[0].update({"rate-per-s": 100, "burst": 100, "unit": "tokens"})


class TestNumbersFromOutside:
    """Requests with absurd sizes."""

    async def test_requests_far_over_a_quota_end_the_process(self, running, beside):
        """What was refused is told to other routers as a sum."""
        async with (
            running(answers("ok"), prepare=limited) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) == 2)
            for number in (str(2**63 - 1), str(2**64), DIGITS, "9" * 5000):
                size = f"{number},{number}"
                reply = await fleet.call("/idempotent/", Token_Count=size)
                assert reply.status in (200, 429)
            sequence = peers.by_name["edge-1"].sequence
            await fleet.until(lambda: peers.by_name["edge-1"].sequence > sequence + 2)
            assert not fleet.done

    @pytest.mark.parametrize("digits", [400, 5000])
    async def test_absurd_timeout_of_a_target_fails_its_answer(self, running, digits):
        """An answer that is complete is delivered, whatever else its head says."""
        more = f"Keep-Alive: timeout={'9' * digits}\r\n"
        async with running(
            answers("ok", more=more), routes=("non_idempotent",)
        ) as fleet:
            reply = await fleet.call("/non_idempotent/")
        assert (reply.status, reply.body) == (200, b"ok")

    @pytest.mark.parametrize(
        "number", ["9" * 30, "9" * 5000, "-1", "1.5", "1_0", "nan", ""]
    )
    async def test_absurd_event_id_cuts_a_stream(self, running, number):
        """An event whose id is no number that is counted is forwarded as it is."""
        odd = f"id: {number}\ndata: odd\n\n".encode()

        async def script(request, writer):
            more = "Transfer-Encoding: chunked\r\n"
            writer.write(head(request, kind=EVENTS, more=more))
            for each in (event(1), odd, event(2)):
                writer.write(chunk(each))
            writer.write(b"0\r\n\r\n")

        async with running(script, routes=("streaming",)) as fleet:
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == event(1) + odd + event(2)

    async def test_sums_beyond_a_message_are_told_at_its_bound(self, running, beside):
        """A router that has refused for years tells the others all the same."""
        async with (
            running(answers("ok"), prepare=limited) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) == 2)
            fleet.router._context.quotas._spending("t").refused = 1e30
            told = second._context.quotas._spending("t").refused_by_peer
            await fleet.until(lambda: MAX_TOLD_UNITS in told.values())

    async def test_loop_that_fails_is_begun_again(self, running, capfd):
        """One error must not end the requests of all."""
        async with running(answers("ok")) as fleet:
            record, failures = fleet.router._vm_meter.record, [1]

            def fail_once(delay_s):
                if failures:
                    failures.clear()
                    raise ArithmeticError("injected")
                record(delay_s)

            fleet.router._vm_meter.record = fail_once
            metric = fleet.router._context.metrics.loops_failed
            await fleet.until(lambda: metric._value.get() == 1)
            samples = len(fleet.router._vm_meter._samples)
            await fleet.until(lambda: len(fleet.router._vm_meter._samples) > samples)
            assert (await fleet.call("/idempotent/")).status == 200
        lines = [line for line in capfd.readouterr().out.splitlines() if line]
        failed = [each for each in map(loads, lines) if each["event"] == "loop-failed"]
        assert [each["loop"] for each in failed] == ["VmMeter.run"]
