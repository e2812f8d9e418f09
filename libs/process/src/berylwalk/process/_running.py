"""Main loop of a daemon process: startup, signals and shutdown."""

from collections.abc import AsyncIterator, Callable
from signal import SIGINT, SIGTERM, Signals
from typing import Protocol

from absl import logging
from anyio import create_task_group, open_signal_receiver, run

from berylwalk.telemetry import Level, configure_logging


class Daemon(Protocol):
    """Service that a process runs."""

    async def start(self) -> None:
        """Bind all ports and start the background tasks."""

    async def drain(self) -> None:
        """Refuse new work, and return when all accepted work has finished."""

    async def close(self) -> None:
        """Stop immediately; work in progress is aborted."""


def run_daemon(build: Callable[[], Daemon], *, node_id: str, log_level: str) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it and close it.

    A second SIGINT cancels the drain. A second SIGTERM is ignored, because
    platforms may repeat it.

    Parameters
    ----------
    build : callable
        Constructs the daemon, inside the running event loop.
    node_id : str
        Node id in the logs.
    log_level : str
        Minimum severity that is logged, such as ``"info"``.

    Raises
    ------
    OSError or pynng.NNGException
        If an address cannot be bound.
    """
    configure_logging(node_id, Level[log_level.upper()])
    run(_serve, build, backend_options={"use_uvloop": True})


async def _serve(build: Callable[[], Daemon]) -> None:
    daemon = build()
    with open_signal_receiver(SIGTERM, SIGINT) as signals:
        try:
            await daemon.start()
            logging.info("received %s, draining", Signals(await anext(signals)).name)
            await drain_unless_interrupted(daemon, signals)
        finally:
            await daemon.close()


async def drain_unless_interrupted(daemon: Daemon, signals: AsyncIterator[int]) -> None:
    """Drain the daemon; cancel the drain on SIGINT."""
    async with create_task_group() as tasks:

        async def cancel_on_interrupt() -> None:
            async for signal_number in signals:
                logging.warning(
                    "received %s while draining", Signals(signal_number).name
                )
                if signal_number == SIGINT:
                    tasks.cancel_scope.cancel()

        tasks.start_soon(cancel_on_interrupt)
        await daemon.drain()
        tasks.cancel_scope.cancel()
