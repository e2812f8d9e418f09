"""Timing of the ticks that the router's shell sends to its state machine."""

from math import inf

import anyio
import pytest

from berylwalk.router import RequestArrived, Tick
from berylwalk.router import _shell as shell_module
from berylwalk.router._observing import RequestObserver
from berylwalk.router._shell import RouterShell
from berylwalk.telemetry import RouterMetrics, Tracing

NO_IDLE_TICK_S = 10_000.0


class TimedMachine:
    """Counts ticks and has one timer."""

    def __init__(self):
        self.due = inf
        self.ticks = 0

    def handle(self, event, now):
        """Count a tick; any other event sets the timer."""
        if isinstance(event, Tick):
            self.ticks += 1
            self.due = inf
        else:
            self.due = now
        return []


@pytest.mark.anyio
class TestTicks:
    async def test_a_new_timer_ends_an_idle_wait(self, monkeypatch):
        """A timer that is set during an idle wait is not delayed."""
        monkeypatch.setattr(shell_module, "IDLE_TICK_S", NO_IDLE_TICK_S)
        machine = TimedMachine()
        shell = RouterShell(
            machine,
            router="r1",
            incarnation=1,
            records=None,
            observer=RequestObserver(RouterMetrics.create()),
            tracing=Tracing(None),
            next_due=lambda: machine.due,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(shell.run_ticks)
            with anyio.fail_after(20):
                while machine.ticks < 1:
                    await anyio.sleep(0)
                await anyio.sleep(0)
                shell.handle(RequestArrived(None))
                while machine.ticks < 2:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
