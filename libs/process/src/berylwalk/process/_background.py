"""Supervision of background tasks."""

from collections.abc import Awaitable, Callable
from time import monotonic

from absl import logging
from anyio import sleep

from berylwalk.platform import backoff_s

BACKOFF_RESET_S = 30.0
"""Duration of a run after which the restart backoff starts anew."""


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    *,
    pause: Callable[[float], Awaitable[None]] = sleep,
    clock: Callable[[], float] = monotonic,
) -> None:
    """Run a coroutine function and restart it with backoff whenever it ends.

    It runs until it is cancelled.

    Parameters
    ----------
    name : str
        Name of the task, for the logs.
    run : callable
        Coroutine function that is expected not to return.
    pause : callable
        Coroutine function that sleeps between runs; takes seconds.
    clock : callable
        Monotonic clock, in seconds.
    """
    failures = 0
    while True:
        started_at = clock()
        try:
            await run()
        except Exception:
            logging.exception("background task %s failed", name)
        else:
            logging.error("background task %s returned unexpectedly", name)
        if clock() - started_at >= BACKOFF_RESET_S:
            failures = 0
        failures += 1
        delay_s = backoff_s(failures)
        logging.info("background task %s restarts in %.2f s", name, delay_s)
        await pause(delay_s)
