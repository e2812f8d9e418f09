"""What a router measures of its VM, refuses for it, and tells others."""

from asyncio import IncompleteReadError
from itertools import count

import pytest
from msgspec import convert, msgpack

from berylwalk.direct import DirectRouter
from berylwalk.direct._peer_messages import RouterUpdate
from berylwalk.direct._suspension_detector import SuspensionDetector
from berylwalk.direct._vm_meter import INTERVAL_S, VmMeter
from berylwalk.dispatch import VmLimits, VmResource
from direct_fleet import answers, read_reply, readiness

pytestmark = pytest.mark.anyio
THIN = VmLimits(
    link_bytes_per_s=100_000.0,
    memory_bytes=8 * 1024 * 1024,
    descriptors=210,
    processor_share=0.4,
)


class Measured:
    """A router whose time and timers the test sets."""

    def __init__(self, settings):
        self.now = 50.0
        self.suspended_s = 0.0
        self.context = DirectRouter.from_settings(settings)._context
        self.context.clock = lambda: self.now + self.suspended_s
        self.context.suspension = SuspensionDetector(
            self.context.clock, monotonic=lambda: self.now
        )
        self.meter = VmMeter(self.context, caller_connections=lambda: self.callers)
        self.callers = 0

    @property
    def shares(self):
        """Return the measured shares."""
        return self.context.vm_capacity.shares

    def measure(self, steps=20, *, delay_s=0.0, sent_bytes=0, received_bytes=0):
        """Measure for a while with the same use at each step."""
        for _ in range(steps):
            self.now += INTERVAL_S
            self.context.traffic.sent_bytes += sent_bytes
            self.context.traffic.received_bytes += received_bytes
            self.meter.record(delay_s)


def fill(router):
    """Let a router take no connection; returns its capacity."""
    capacity = router._context.vm_capacity
    capacity.may_take = lambda now: False
    return capacity


@pytest.fixture
def measured(make_settings):
    """Return a factory of measured routers."""
    return lambda limits=THIN: Measured(make_settings(limits=limits))


class TestMeasurement:
    """Shares of the limits."""

    async def test_missing_limits_are_not_judged(self, measured):
        """A VM without limits has no shares, however busy it is."""
        router = measured(VmLimits())
        router.measure(sent_bytes=10**9, delay_s=5.0)
        assert router.shares == {}
        assert router.context.vm_capacity.refused_share == 0.0

    async def test_busier_direction_of_the_link_counts(self, measured):
        """A link carries its bandwidth in each direction."""
        router = measured()
        router.context.open_requests = 5
        router.measure(200, sent_bytes=2_000, received_bytes=9_500)
        assert router.shares[VmResource.LINK] == pytest.approx(0.95)
        assert router.context.vm_capacity.refused_share > 0.0

    async def test_persistent_delay_of_the_loop_counts(self, measured):
        """A single long step isn't lack of processor time."""
        router = measured()
        router.measure(delay_s=0.01)
        router.measure(1, delay_s=2.0)
        assert router.shares[VmResource.EVENT_LOOP] < 0.05
        router.measure(delay_s=0.48)
        assert router.shares[VmResource.EVENT_LOOP] == pytest.approx(0.96)

    async def test_time_without_waiting_is_use_of_the_processor(self, measured):
        """Whatever part of a processor the VM has."""
        router = measured()
        waited = (0.02 * step for step in count())
        router.meter._waited_s = lambda: next(waited)
        router.measure()
        assert router.shares[VmResource.PROCESSOR] == pytest.approx(0.8, abs=0.01)
        assert router.context.vm_capacity.refused_share == 0.0

    async def test_suspension_is_not_a_delay(self, measured, monkeypatch):
        """Timers can't fire while the VM is suspended."""
        router = measured()

        async def wake_late(_):
            router.now += INTERVAL_S
            router.suspended_s += 30.0
            if router.now > 53.0:
                raise TimeoutError

        monkeypatch.setattr("berylwalk.direct._vm_meter.sleep", wake_late)
        with pytest.raises(TimeoutError):
            await router.meter.run()
        assert router.shares[VmResource.EVENT_LOOP] == pytest.approx(0.0, abs=0.01)

    async def test_suspension_is_use_of_the_processor(self, measured):
        """Connections would be turned away for a second after it."""
        router = measured()
        waited = (0.9 * INTERVAL_S * step for step in count())
        router.meter._waited_s = lambda: next(waited)
        router.measure()
        router.suspended_s += 30.0
        router.context.note_suspension()
        for _ in range(20):
            router.measure(1)
            assert router.shares[VmResource.PROCESSOR] == pytest.approx(0.1, abs=0.01)

    async def test_suspension_hides_the_use_of_the_link(self, measured):
        """What was sent before it counts as sent in a short time."""
        router = measured()
        router.measure(sent_bytes=9_500)
        router.suspended_s += 30.0
        router.context.note_suspension()
        router.measure(1, sent_bytes=9_500)
        assert router.shares[VmResource.LINK] == pytest.approx(0.95)

    async def test_bytes_held_count_against_the_memory(self, measured):
        """A quarter is for responses, another one for bodies; the fuller one counts."""
        router = measured()
        router.context.response_buffers.record("caller", 1536 * 1024, 0.0)
        router.context.request_bodies.take(1024 * 1024)
        router.measure(1)
        assert router.shares[VmResource.MEMORY] == pytest.approx(0.75)

    async def test_connections_count_against_the_descriptors(self, measured):
        """Those for files can't be used."""
        router = measured()
        router.callers = 9
        router.measure(1)
        assert router.shares[VmResource.DESCRIPTORS] == pytest.approx(0.9)


class TestRefusals:
    """A router whose link is full."""

    async def test_refused_requests_have_not_run(self, running):
        """They are told to return soon, and no target got them."""
        limits = VmLimits(link_bytes_per_s=30_000.0)
        async with running(answers("x" * 4_000), limits=limits) as fleet:
            context = fleet.router._context
            replies = []
            while context.vm_capacity.refused_share < 0.5:
                replies.append(await fleet.call("/idempotent/"))
            replies += [await fleet.call("/idempotent/") for _ in range(40)]
            received = len(fleet.targets[0].received)
        refused = [reply for reply in replies if reply.status == 503]
        assert {reply.status for reply in replies} == {200, 503}
        assert received == len(replies) - len(refused)
        assert all(float(each.headers["retry-after"]) <= 1 for each in refused)

    async def test_without_limits_all_are_served(self, running):
        """The same load on a VM without limits."""
        async with running(answers("x" * 4_000)) as fleet:
            replies = [await fleet.call("/idempotent/") for _ in range(100)]
        assert {reply.status for reply in replies} == {200}


class TestTurnedAway:
    """New connections of a router whose VM has no room."""

    async def test_nothing_is_read_from_a_connection_that_is_turned_away(self, running):
        """Its caller learns at once that another router has to serve it."""
        async with running(answers("ok")) as fleet:
            context = fleet.router._context
            kept_reader, kept_writer = await fleet.connect()
            kept_writer.write(fleet.encoded("/idempotent/"))
            assert (await read_reply(kept_reader)).status == 200
            fill(fleet.router)
            received_bytes = context.traffic.received_bytes
            for _ in range(3):
                with pytest.raises((ConnectionError, IncompleteReadError)):
                    await fleet.call("/idempotent/")
            assert context.traffic.received_bytes == received_bytes
            assert context.vm_capacity.turned_away == 1
            kept_writer.write(fleet.encoded("/idempotent/"))
            assert (await read_reply(kept_reader)).status == 200
            kept_writer.close()
            assert len(fleet.targets[0].received) == 2

    async def test_connections_are_taken_again(self, running):
        """The router listens again once it has room."""
        async with running(answers("ok")) as fleet:
            capacity = fill(fleet.router)
            with pytest.raises((ConnectionError, IncompleteReadError)):
                await fleet.call("/idempotent/")
            assert fleet.router._callers.is_paused
            capacity.may_take = lambda now: True
            # It no longer counts as paused before its socket listens.
            await fleet.until(lambda: fleet.router._callers._server is not None)
            assert (await fleet.call("/idempotent/")).status == 200

    async def test_router_that_stops_does_not_listen_again(self, running):
        """Its callers have to reach others."""
        async with running(answers("ok")) as fleet:
            capacity = fill(fleet.router)
            with pytest.raises((ConnectionError, IncompleteReadError)):
                await fleet.call("/idempotent/")
            fleet.router._callers.close()
            capacity.may_take = lambda now: True
            await fleet.router._callers.resume()
            with pytest.raises(ConnectionError):
                await fleet.call("/idempotent/")


class TestReadiness:
    """What the load balancer and other routers are told."""

    async def test_unready_router_answers_503_and_serves_on(self, running):
        """Open connections stay, and a balancer without others still uses it."""
        async with running(answers("ok")) as fleet:
            assert await readiness(fleet) == 200
            fleet.router._context.vm_capacity.is_unready = True
            fleet.router._vm_meter.record = lambda _: None
            assert await readiness(fleet) == 503
            assert (await fleet.call("/idempotent/")).status == 200

    async def test_peers_are_told(self, running, beside):
        """At most a quarter may leave, so each has to know of the others."""
        async with (
            running(answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) == 2)
            await fleet.until(lambda: not peers.by_name["edge-1"].is_unready)
            capacity = fleet.router._context.vm_capacity
            fleet.router._vm_meter.record = lambda _: None
            capacity.claim, capacity.is_unready = 125, True
            await fleet.until(lambda: peers.by_name["edge-1"].is_unready)
            assert not peers.by_name["edge-1"].is_full
            capacity.shares = {VmResource.MEMORY: 1.0}
            await fleet.until(lambda: peers.by_name["edge-1"].is_full)
            assert peers.by_name["edge-1"].unready_claim == 125
            told = second._vm_meter._peers(clock())["edge-1"]
            assert (told.is_heard, told.has_room) == (True, False)

    async def test_earlier_version_tells_nothing(self):
        """Its messages lack the fields at the end."""
        update = RouterUpdate("r", "h", 1, "i", "fd-a", 1.0, 1, {})
        fields = msgpack.decode(msgpack.encode(update))
        first_new = RouterUpdate.__struct_fields__.index("unready_claim")
        peer = convert(fields[:first_new], RouterUpdate).to_peer()
        assert (peer.unready_claim, peer.is_unready) == (0, False)
        assert not peer.is_full
