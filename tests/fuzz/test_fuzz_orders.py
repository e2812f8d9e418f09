"""Fuzzing of fenced orders: leases that lapse under paused holders."""

import os
from dataclasses import dataclass, field
from functools import partial
from unittest.mock import patch

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from step_counts import STEPS_BY_TEST

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
from berylwalk.platform import resolve_swap
from berylwalk.standins.memory import InMemoryKeyValue

LONG = os.environ.get("BERYLWALK_FUZZ") == "long"
ROUTERS = ("r1", "r2")
TARGET = "engine-1"
TURNS = 30
PICK = st.integers(0, 20)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.sampled_from(ROUTERS)),
        st.tuples(st.just("arrive"), PICK),
        st.tuples(st.just("pause"), st.sampled_from((1.0, 9.0, 20.0))),
        st.tuples(st.just("pause_in_write"), st.sampled_from((9.0, 10.5, 20.0))),
        st.tuples(st.just("restart_agent"), st.none()),
        st.tuples(st.just("outage"), st.booleans()),
        st.tuples(st.just("lose_answers"), st.integers(0, 1)),
    ),
    min_size=8,
    max_size=25,
)


class PausingStore(InMemoryKeyValue):
    """Pauses its caller after a write."""

    def __init__(self, world: "OrderWorld") -> None:
        super().__init__(clock=lambda: world.now)
        self._world = world
        self.pause_s = 0.0

    async def compare_and_swap(self, *args, **kwargs):
        result = await super().compare_and_swap(*args, **kwargs)
        self._world.now += self.pause_s
        self.pause_s = 0.0
        return result


@dataclass(slots=True)
class Transmission:
    """An order under way; its router may be paused meanwhile."""

    order: Order
    arrived: anyio.Event = field(default_factory=anyio.Event)


class OrderWorld:
    """Two routers, one agent, and a target that ignores fencing numbers."""

    def __init__(self) -> None:
        self.now = 100.0
        self.store = PausingStore(self)
        self.sending: list[Transmission] = []
        self.carried_out: list[Order] = []
        self.restart_agent()

    def restart_agent(self) -> None:
        """Start the agent anew: it has seen no number."""
        self.gate = FencingGate(TARGET, self.store, self.carry_out)

    def holder(self) -> int:
        """Return the number of the lease in force; 0 when nobody holds it."""
        self.store._store.expire(self.now)
        entry = self.store._store.get(lock_key(TARGET))
        return 0 if entry is None else entry.mod_revision

    async def carry_out(self, order: Order) -> OrderResult:
        """Change the target, whatever number the order has."""
        assert order.fencing == self.holder(), "an order of a lapsed holder"
        self.carried_out.append(order)
        return OrderResult(OrderOutcome.DONE)

    async def transmit(self, order: Order) -> OrderResult:
        """Hold the order until it arrives."""
        # As the holder knows it, with its allowance for clocks.
        assert order.fencing == self.holder(), "sent without the lease"
        lease = self.store._store.get(lock_key(TARGET)).lease_id
        left_s = self.store._store.leases_by_id[lease].expires_at - self.now
        assert left_s >= MIN_REMAINING_S, "sent with too little time left"
        transmission = Transmission(order)
        self.sending.append(transmission)
        await transmission.arrived.wait()
        return await self.gate.handle(order)

    async def send(self, router: str, serial: int) -> None:
        """Send one order from a router."""
        order = Order(TARGET, OrderKind.LOAD_ADAPTER, f"adapter-{serial}")
        sender = OrderSender(router, self.store, self.transmit, clock=lambda: self.now)
        result = await sender.send(order)
        was_seen = any(one.name == order.name for one in self.carried_out)
        assert (result.outcome is OrderOutcome.DONE) == was_seen, "untrue result"

    def act(self, tasks: anyio.abc.TaskGroup, serial: int, kind: str, value) -> None:
        """Carry out one operation."""
        if kind == "send":
            tasks.start_soon(self.send, value, serial)
        elif kind == "arrive" and self.sending:
            self.sending.pop(value % len(self.sending)).arrived.set()
        elif kind == "pause":
            self.now += value
        elif kind == "pause_in_write":
            self.store.pause_s = value
        elif kind == "restart_agent":
            self.restart_agent()
        elif kind == "outage":
            self.store.down = value
        elif kind == "lose_answers":
            self.store.lose_answers = value


async def _no_pause(_: float) -> None:
    await anyio.sleep(0)


# Waiting between reads of a lost write would take real time.
@patch(
    "berylwalk.platform._leased_lock.resolve_swap",
    partial(resolve_swap, pause=_no_pause),
)
@settings(
    max_examples=3000 if LONG else 300,
    derandomize=True,
    deadline=None,
    database=None,
)
@given(OPERATIONS)
def test_paused_holder_changes_nothing(operations):
    """Only the order of the lease's present holder reaches the target."""

    async def scenario():
        world = OrderWorld()
        async with anyio.create_task_group() as tasks:
            for serial, (kind, value) in enumerate(operations):
                world.act(tasks, serial, kind, value)
                for _ in range(TURNS):
                    await anyio.sleep(0)
                STEPS_BY_TEST["orders"] += 1
            world.store.down = False
            for _ in range(len(operations)):
                for transmission in world.sending:
                    transmission.arrived.set()
                for _ in range(TURNS):
                    await anyio.sleep(0)
        numbers = [order.fencing for order in world.carried_out]
        assert numbers == sorted(set(numbers)), "numbers went back"

    anyio.run(scenario)
