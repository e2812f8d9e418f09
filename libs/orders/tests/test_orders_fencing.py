import anyio

from berylwalk.orders import (
    MIN_REMAINING_S,
    FencingGate,
    Order,
    OrderKind,
    OrderOutcome,
    OrderResult,
    OrderSender,
    lock_key,
)
from berylwalk.platform import LeasedLock
from berylwalk.standins.memory import InMemoryKeyValue

TARGET = "engine-1"
ORDER = Order(TARGET, OrderKind.LOAD_ADAPTER, "deeds-v2", "weights/deeds-v2")


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FakeTarget:
    """A target that ignores fencing numbers and records what reaches it."""

    def __init__(self):
        self.orders = []

    async def carry_out(self, order):
        self.orders.append(order)
        return OrderResult(OrderOutcome.DONE)


class TestFencingGate:
    def test_order_of_current_holder_is_passed_on(self):
        """An order under the current lease reaches the target."""

        async def scenario():
            store, target = InMemoryKeyValue(), FakeTarget()
            gate = FencingGate(TARGET, store, target.carry_out)
            result = await OrderSender("r1", store, gate.handle).send(ORDER)
            assert result.outcome is OrderOutcome.DONE
            assert target.orders[0].fencing > 0

        anyio.run(scenario)

    def test_paused_holder_changes_nothing(self):
        """A holder that wakes past its lease is refused on every target.

        The agent has seen no newer order, so only reading the lease helps.
        """

        async def scenario():
            clock = FakeClock()
            store, target = InMemoryKeyValue(clock=clock), FakeTarget()
            gate = FencingGate(TARGET, store, target.carry_out)

            async def transmit_after_pause(order):
                clock.now += 60.0
                await _take_over(store, clock)
                return await gate.handle(order)

            sender = OrderSender("r1", store, transmit_after_pause, clock=clock)
            result = await sender.send(ORDER)
            assert result.outcome is OrderOutcome.REFUSED
            assert target.orders == []

        anyio.run(scenario)

    def test_restarted_agent_learns_the_current_number(self):
        """A fresh agent refuses an old number though it has seen none."""

        async def scenario():
            store, target = InMemoryKeyValue(), FakeTarget()
            old = await LeasedLock.acquire(
                store, lock_key(TARGET), owner="r1", ttl_s=60.0
            )
            await old.release()
            await LeasedLock.acquire(store, lock_key(TARGET), owner="r2", ttl_s=60.0)
            fresh = FencingGate(TARGET, store, target.carry_out)
            late = Order(TARGET, OrderKind.CHANGE_ROLE, "decode", fencing=old.fencing)
            result = await fresh.handle(late)
            assert result.outcome is OrderOutcome.REFUSED
            assert target.orders == []

        anyio.run(scenario)

    def test_outage_refuses(self):
        """Without the key-value service no order is passed on."""

        async def scenario():
            store, target = InMemoryKeyValue(), FakeTarget()
            gate = FencingGate(TARGET, store, target.carry_out)

            async def transmit_in_outage(order):
                store.down = True
                return await gate.handle(order)

            result = await OrderSender("r1", store, transmit_in_outage).send(ORDER)
            assert result.outcome is OrderOutcome.REFUSED
            assert target.orders == []

        anyio.run(scenario)


class TestOrderSender:
    def test_nearly_lapsed_lease_sends_nothing(self):
        """A holder that was paused before sending does not send."""

        async def scenario():
            clock = FakeClock()
            store = PausingStore(clock)
            sent = []

            async def transmit(order):
                sent.append(order)
                return OrderResult(OrderOutcome.DONE)

            result = await OrderSender("r1", store, transmit, clock=clock).send(ORDER)
            assert result.outcome is OrderOutcome.REFUSED
            assert sent == []

        anyio.run(scenario)

    def test_second_sender_is_refused(self):
        """Two routers don't send to one target at once."""

        async def scenario():
            store = InMemoryKeyValue()
            await LeasedLock.acquire(store, lock_key(TARGET), owner="r1", ttl_s=60.0)

            async def transmit(order):
                raise AssertionError("sent without the lease")

            result = await OrderSender("r2", store, transmit).send(ORDER)
            assert result.outcome is OrderOutcome.REFUSED

        anyio.run(scenario)


class PausingStore(InMemoryKeyValue):
    """Pauses its caller after the lock is taken until the lease nearly lapsed."""

    def __init__(self, clock):
        super().__init__(clock=clock)
        self._pause = clock

    async def compare_and_swap(self, *args, **kwargs):
        result = await super().compare_and_swap(*args, **kwargs)
        self._pause.now += 15.0 - MIN_REMAINING_S
        return result


async def _take_over(store, clock):
    lease = await LeasedLock.acquire(
        store, lock_key(TARGET), owner="r2", ttl_s=60.0, clock=clock
    )
    assert isinstance(lease, LeasedLock)
