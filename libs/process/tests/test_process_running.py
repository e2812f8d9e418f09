from signal import SIGINT, SIGTERM

import anyio
import pytest

from berylwalk.process import drain_unless_interrupted, keep_running

pytestmark = pytest.mark.anyio


class SlowDaemon:
    """Daemon whose drain finishes when `work_finished` is set."""

    def __init__(self):
        self.work_finished = anyio.Event()
        self.drained = False

    async def drain(self):
        await self.work_finished.wait()
        self.drained = True


class TestDrain:
    async def test_repeated_sigterm_does_not_cancel_the_drain(self):
        """A repeated SIGTERM, as platforms send it, does not cancel the drain."""
        daemon = SlowDaemon()
        handled = anyio.Event()

        async def signals():
            yield SIGTERM
            handled.set()
            await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain_unless_interrupted, daemon, signals())
            await handled.wait()
            daemon.work_finished.set()
        assert daemon.drained

    async def test_sigint_cancels_the_drain(self):
        """A second Ctrl-C ends the process without waiting for the drain."""
        daemon = SlowDaemon()

        async def signals():
            yield SIGINT

        await drain_unless_interrupted(daemon, signals())
        assert not daemon.drained


class TestBackground:
    async def test_failed_and_returned_tasks_are_restarted(self):
        """A background task that fails or returns is restarted with backoff."""
        delays = []

        async def run() -> None:
            if len(delays) == 1:
                raise RuntimeError("fault")
            if len(delays) == 3:
                await anyio.sleep_forever()

        async def pause(delay_s: float) -> None:
            delays.append(delay_s)

        with anyio.move_on_after(0.2):
            await keep_running("task", run, pause=pause)
        assert len(delays) == 3
        assert delays[0] < delays[1] < delays[2]
