"""Streams that are taken up while the quota of their account is spent."""

import pytest
from anyio import create_task_group, fail_after

from berylwalk.direct import _quota_wait
from berylwalk.dispatch import GracefulStop, HistoryCoverage, QuotaRules
from direct_fleet import event, read_reply, streams

pytestmark = pytest.mark.anyio

BOTH = ("streaming", "idempotent")
RULES = QuotaRules(window_s=8.0)
LIMIT = 945.0
GOES_ON = streams(1, 20)
REST = b"".join(map(event, range(6, 21)))
SOON, LATE = 15, 5
"""Numbers of the bins that leave the window in half a second and in some seconds."""
TAKE_UP = {
    "Resumes": "first",
    "Last_Event_Id": "5",
    "Token_Count": "200,0",
    "Deadline_Ms": "9000",
}


def limited(fleet):
    """Give the account a quota in tokens, and let streams be resumed."""
    fleet.routes[0].update({"resumable": True, "goal-ms": 1000})
    fleet.tenants[0].update(
        {"unit": "tokens", "rate-per-s": 100, "burst": 100, "plain-tokens": 1}
    )


def spend_all(fleet, *, units_by_bin):
    """Let the router count this as spent before its start."""
    context = fleet.router._context
    bins = [float(units_by_bin.get(number, 0)) for number in range(17)]
    context.quotas.restore({"t": bins}, HistoryCoverage.COMPLETE, context.clock())


def awaited(router):
    """Return the units that streams wait for, as a router knows."""
    return router._context.quotas.awaited.total("t", router._context.clock())


@pytest.fixture
def spent(running):
    """Return a fleet whose account gets 500 units back after half a second."""

    def run(**changes):
        return running(
            GOES_ON, routes=BOTH, prepare=limited, allowances=RULES, **changes
        )

    return run


class TestStreamsThatWaitForTheQuota:
    """What the window frees soon is enough for them."""

    async def test_stream_goes_on_instead_of_429(self, spent):
        """A new request is refused at the same moment."""
        async with spent() as fleet:
            spend_all(fleet, units_by_bin={SOON: 500, LATE: LIMIT - 500})
            refused = await fleet.call("/idempotent/", Token_Count="200,0")
            reply = await fleet.call("/streaming/", **TAKE_UP)
        assert refused.status == 429
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body == REST

    async def test_stream_of_a_router_that_stops_is_not_charged(self, spent):
        """It is refused while it waits, as it can't end before the process does."""
        async with spent() as fleet:
            spend_all(fleet, units_by_bin={SOON: 500, LATE: LIMIT - 500})
            context = fleet.router._context
            async with create_task_group() as tasks:

                async def take_up():
                    reply = await fleet.call("/streaming/", **TAKE_UP)
                    assert reply.status == 429

                tasks.start_soon(take_up)
                await fleet.until(lambda: awaited(fleet.router))
                now = context.clock()
                context.stop = GracefulStop(requested_at=now - 4.0, exit_at=now + 4.0)
            assert context.quotas.spent_by_account() == {}
            assert awaited(fleet.router) == 0
            assert fleet.targets[0].received == []

    async def test_charge_counts_as_usual(self, spent):
        """The quota is charged once, when the units are free."""
        async with spent() as fleet:
            spend_all(fleet, units_by_bin={SOON: 500, LATE: LIMIT - 500})
            await fleet.call("/streaming/", **TAKE_UP)
            quotas = fleet.router._context.quotas
            assert quotas.spent_by_account() == {"t": 200.0}
            now = fleet.router._context.clock()
            assert quotas.spent_in_window(now)["t"] <= LIMIT

    async def test_new_requests_at_all_routers_leave_units_to_it(self, spent, beside):
        """Peers are told while it waits, and that the wait is over."""
        async with spent() as fleet, beside({"name": "edge-2"}) as (second,):
            await fleet.until(lambda: fleet.router._context.peers.known_count() == 2)
            spend_all(fleet, units_by_bin={SOON: 500, LATE: LIMIT - 500})
            async with create_task_group() as tasks:
                tasks.start_soon(self._take_up, fleet)
                await fleet.until(lambda: awaited(second) == 200.0)
            await fleet.until(lambda: awaited(second) == 0.0)

    async def test_units_that_are_free_too_late(self, spent):
        """The caller is told at once when to return."""
        async with spent() as fleet:
            spend_all(fleet, units_by_bin={LATE: LIMIT})
            reply = await fleet.call("/streaming/", **TAKE_UP)
        assert reply.status == 429
        assert float(reply.headers["retry-after"]) > 4.0

    async def test_wait_is_limited(self, spent, monkeypatch):
        """The quota does not get the units in time: the caller may return."""
        monkeypatch.setattr(_quota_wait, "wait_limit_s", lambda route: 0.7)
        async with spent() as fleet:
            spend_all(fleet, units_by_bin={SOON: 500, LATE: LIMIT - 500})
            quotas = fleet.router._context.quotas
            monkeypatch.setattr(quotas, "take_awaited", lambda *each: 0.25)
            reply = await fleet.call("/streaming/", **TAKE_UP)
        assert reply.status == 429
        assert float(reply.headers["retry-after"]) == 0.25
        assert fleet.targets[0].received == []

    async def test_caller_that_leaves_meanwhile(self, spent):
        """It reserves nothing any more, and is not charged."""
        async with spent() as fleet:
            spend_all(fleet, units_by_bin={SOON: 500, LATE: LIMIT - 500})
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/streaming/", **TAKE_UP))
            await fleet.until(lambda: awaited(fleet.router) == 200.0)
            writer.close()
            await fleet.until(lambda: awaited(fleet.router) == 0.0)
            assert fleet.router._context.quotas.spent_by_account() == {}

    async def test_router_that_stops_meanwhile(self, spent, monkeypatch):
        """The caller learns that the request was not run."""
        monkeypatch.setattr(_quota_wait, "wait_limit_s", lambda route: 60.0)
        async with spent(stop_grace_s=0.5) as fleet:
            spend_all(fleet, units_by_bin={LATE: LIMIT})
            reader, writer = await fleet.connect()
            writer.write(fleet.encoded("/streaming/", **TAKE_UP))
            await fleet.until(lambda: awaited(fleet.router) == 200.0)
            fleet.stop()
            with fail_after(5.0):
                reply = await read_reply(reader)
            await fleet.until(lambda: fleet.done)
            writer.close()
        assert reply.status == 429
        assert fleet.targets[0].received == []

    @staticmethod
    async def _take_up(fleet):
        reply = await fleet.call("/streaming/", **TAKE_UP)
        assert reply.status == 200
