"""Startup, shutdown and background tasks of the router process."""

import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Any, Self

from absl import logging
from anyio import CancelScope, create_task_group, move_on_after, sleep
from anyio.abc import TaskGroup

from berylwalk.dispatch import GracefulStop
from berylwalk.model import Finding
from berylwalk.process import keep_running, run_daemon
from berylwalk.router._parts import RouterParts
from berylwalk.settings import RouterSettings

RECORD_WRITERS = 4
SEED_INTERVAL_S = 0.5
"""Time between two rounds of settings pulls from the configured routers."""

MIN_DRAIN_S = 1.0
"""Minimum time for which new requests are refused before the ports close."""

FLUSH_TIMEOUT_S = 3.0
"""Maximum wait for the last writes of idempotency records."""

CLOSE_TIMEOUT_S = 5.0
"""Maximum wait for callers to read the rest of their responses."""

Task = Callable[[], Awaitable[None]]


class RouterDaemon:
    """A router process.

    Build it with :meth:`from_config`, then ``await start()``. Start and close
    it in the same task.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the node.
    incarnation : int
        Wall-clock milliseconds at the start of the process.
    """

    def __init__(self, settings: RouterSettings, *, incarnation: int) -> None:
        self._name = settings.node.id
        self._grace_s = settings.stop.grace_s
        self._exit_stack = AsyncExitStack()
        self._task_group: TaskGroup | None = None
        self._parts = RouterParts.from_config(
            settings, incarnation=incarnation, spawn=self._spawn
        )

    @classmethod
    def from_config(
        cls, settings: RouterSettings, *, incarnation: int | None = None
    ) -> Self:
        """Build a router; its incarnation is the present time by default."""
        if incarnation is None:
            incarnation = int(time.time() * 1000)
        return cls(settings, incarnation=incarnation)

    async def start(self) -> None:
        """Open all ports and start the background tasks.

        Raises
        ------
        OSError or pynng.NNGException
            If an address cannot be bound.
        """
        parts = self._parts
        group = create_task_group()
        self._task_group = await self._exit_stack.enter_async_context(group)
        await parts.connections.start()
        await parts.vms.start()
        await parts.sync_server.start(self._task_group)
        await parts.listeners.start()
        for name, task in self._background_tasks():
            self._task_group.start_soon(keep_running, name, task)
        self._spawn(self._pull_from_seeds)
        logging.info("router %s started", self._name)

    async def drain(self) -> None:
        """Refuse new requests, and return when the accepted ones have ended.

        If the platform kills the process after a grace, return before that.
        """
        logging.info("draining")
        parts = self._parts
        stop = self._graceful_stop()
        parts.readiness.is_draining = True
        parts.control.leaving = True
        parts.listeners.announce_close()
        async with create_task_group() as tasks:
            tasks.start_soon(sleep, _limited(MIN_DRAIN_S, stop))
            tasks.start_soon(parts.requests.shell.drain, stop)
        with move_on_after(_limited(FLUSH_TIMEOUT_S, stop)):
            await parts.requests.records.flush()
        await parts.listeners.close(timeout_s=_limited(CLOSE_TIMEOUT_S, stop))
        logging.info("drained")

    async def close(self) -> None:
        """Stop immediately; requests in progress are aborted."""
        parts = self._parts
        with CancelScope(shield=True):
            await parts.listeners.close()
            if self._task_group is not None:
                self._task_group.cancel_scope.cancel()
            await parts.sync_server.close()
            await parts.vms.close()
            await parts.connections.close()
        await self._exit_stack.aclose()
        parts.requests.tracing.close()

    def readiness(self) -> list[Finding]:
        """Return the reasons why the router is not ready; empty if it is."""
        return self._parts.readiness.findings()

    def _graceful_stop(self) -> GracefulStop | None:
        if self._grace_s is None:
            return None
        return GracefulStop.from_grace(time.monotonic(), self._grace_s)

    def _background_tasks(self) -> list[tuple[str, Task]]:
        parts = self._parts
        writers = [
            (f"record-writer-{number}", parts.requests.records.run_writer)
            for number in range(RECORD_WRITERS)
        ]
        return [
            ("ticks", parts.requests.shell.run_ticks),
            ("sender", parts.messages.run),
            ("receiver", parts.control.run_receiver),
            ("hellos", parts.control.run_hellos),
            ("members", parts.poller.run),
            ("settings-pulls", parts.settings_sync.run_pulls),
            ("settings-polls", parts.settings_sync.run_polls),
            ("settings-watch", parts.settings_sync.run_watch),
            ("settings-write-backs", parts.settings_sync.run_write_backs),
            ("record-checks", parts.requests.records.run_restore_checks),
            *writers,
        ]

    def _spawn(self, function: Callable[..., Awaitable[None]], *args: Any) -> None:
        self._task_group.start_soon(_log_exceptions, function, *args)

    async def _pull_from_seeds(self) -> None:
        """Pull settings from the configured routers until this one is ready."""
        sync = self._parts.settings_sync
        while not sync.is_ready:
            async with create_task_group() as tasks:
                for address in self._parts.fleet.directory.seed_addresses:
                    tasks.start_soon(sync.pull_from, address)
            await sleep(SEED_INTERVAL_S)


def _limited(timeout_s: float, stop: GracefulStop | None) -> float:
    """Return a timeout that ends before the process does, in seconds."""
    if stop is None:
        return timeout_s
    return max(0.0, min(timeout_s, stop.flushed_by - time.monotonic()))


async def _log_exceptions(function: Callable[..., Awaitable[None]], *args: Any) -> None:
    # An exception in one task would cancel all tasks of the group.
    try:
        await function(*args)
    except Exception:
        logging.exception("task %s failed", function.__qualname__)


def run_router(settings: RouterSettings) -> None:
    """Run a router until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the node.

    Raises
    ------
    OSError or pynng.NNGException
        If an address cannot be bound.
    """
    run_daemon(
        partial(RouterDaemon.from_config, settings),
        node_id=settings.node.id,
        log_level=settings.telemetry.log_level,
    )
