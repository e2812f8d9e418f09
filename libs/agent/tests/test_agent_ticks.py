"""Timing of the ticks that the shell sends to the state machine."""

from collections import defaultdict
from math import inf

import anyio
import pytest

from berylwalk.agent import (
    AgentConfig,
    AgentMachine,
    DatagramArrived,
    SendToRouter,
    TargetChanged,
    Tick,
)
from berylwalk.agent import _shell as shell_module
from berylwalk.agent._reservations import DEADLINE_RECHECK_S
from berylwalk.agent._shell import AgentShell
from berylwalk.model import RequestId
from berylwalk.wire import Datagram, Digest, Hello, Ready, Refused, Reserve

NO_IDLE_TICK_S = 10_000.0


class TimedMachine:
    """State machine with one timer that counts ticks."""

    def __init__(self):
        self.due = inf
        self.ticks = 0

    def next_due(self, now):
        """Return the time of the timer."""
        return self.due

    def handle(self, event, now):
        """Count a tick; any other event makes the timer due now."""
        if isinstance(event, Tick):
            self.ticks += 1
            self.due = inf
        else:
            self.due = now
        return []


def send_times_by_type(next_tick, *, deadlines_ms):
    """Return the send times of messages by type, over 2 s without replies.

    Reservations with these deadlines compete for one slot.
    """
    config = AgentConfig(
        agent_id="a1",
        incarnation=1,
        resources=("model:m",),
        initial_limit=1,
        max_limit=1,
        ask_ahead=0,
    )
    machine = AgentMachine.from_config(config)
    hello = Hello(leaving=False, digest_ms=500)
    reserves = [
        Reserve(RequestId("r1", 1, number), 1, "model:m", "acme", 0, 1.0, 10, 5, ms)
        for number, ms in enumerate(deadlines_ms, 1)
    ]
    events = [
        TargetChanged(("model:m",)),
        DatagramArrived(Datagram("r1", 1, 1, (hello,))),
        *(DatagramArrived(Datagram("r1", 1, 1, (each,))) for each in reserves),
    ]
    now = 10.0
    times = defaultdict(list)
    while now < 12.0:
        for event in events or [Tick()]:
            for action in machine.handle(event, now):
                if isinstance(action, SendToRouter):
                    for message in action.messages:
                        times[type(message)].append(now)
        events = []
        now = next_tick(machine, now)
    return times


class TestNextDue:
    @pytest.mark.parametrize("deadlines_ms", [(60_000,), (60_000, 1_130)])
    def test_ticks_at_due_times_are_sufficient(self, deadlines_ms):
        """Ticks at the due times cause the same messages as frequent ticks."""
        frequent = send_times_by_type(
            lambda machine, now: now + 0.0005, deadlines_ms=deadlines_ms
        )
        rare = send_times_by_type(
            lambda machine, now: max(machine.next_due(now), now + 0.0005),
            deadlines_ms=deadlines_ms,
        )
        assert rare[Ready] == pytest.approx(frequent[Ready], abs=0.01)
        # Deadlines are checked at this interval, not at each tick.
        tolerance_s = DEADLINE_RECHECK_S + 0.01
        assert rare[Refused] == pytest.approx(frequent[Refused], abs=tolerance_s)
        assert abs(len(rare[Digest]) - len(frequent[Digest])) <= 1
        # Offers are repeated, load changes are pushed, and the deadline is enforced.
        assert len(frequent[Ready]) > 6
        assert len(frequent[Digest]) > 2
        assert len(frequent[Refused]) == len(deadlines_ms) - 1


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
class TestTicks:
    async def test_sleeps_until_something_is_due(self, monkeypatch):
        """The tick loop does not wake while nothing is due; a new timer wakes it."""
        monkeypatch.setattr(shell_module, "IDLE_TICK_S", NO_IDLE_TICK_S)
        machine = TimedMachine()
        shell = AgentShell(machine)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(shell.run_ticks)
            with anyio.fail_after(20):
                while machine.ticks < 1:
                    await anyio.sleep(0)
                await anyio.sleep(0.2)
                assert machine.ticks == 1
                shell.handle("an event")
                while machine.ticks < 2:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
