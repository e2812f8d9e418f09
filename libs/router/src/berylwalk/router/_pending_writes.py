"""Background writes to the key-value service, with retries."""

from collections import deque
from collections.abc import Awaitable, Callable

from absl import logging
from anyio import Event, sleep

from berylwalk.platform import backoff_s

MAX_PENDING_WRITES = 10_000
FLUSH_CHECK_S = 0.02

Write = Callable[[], Awaitable[bool]]
"""Makes one write; returns whether it is settled and needs no retry."""

Pause = Callable[[float], Awaitable[None]]
"""Sleeps for a number of seconds."""


class PendingWrites:
    """Queue of writes, each retried until it is settled, oldest first.

    Parameters
    ----------
    pause : callable
        Sleeps for a number of seconds.
    """

    def __init__(self, *, pause: Pause = sleep) -> None:
        self._pause = pause
        self._writes: deque[Write] = deque()
        self._added = Event()
        self._in_progress = 0

    def __len__(self) -> int:
        return len(self._writes) + self._in_progress

    def add(self, write: Write) -> None:
        """Add a write; it is dropped if too many are pending."""
        if len(self._writes) >= MAX_PENDING_WRITES:
            logging.warning("write dropped: %d writes are pending", len(self._writes))
            return
        self._writes.append(write)
        self._added.set()

    async def run(self) -> None:
        """Make the writes until cancelled; several workers may run concurrently."""
        failures = 0
        while True:
            await self._wait_for_write()
            if await self._make(self._writes.popleft()):
                failures = 0
                continue
            failures += 1
            await self._pause(backoff_s(failures))

    async def flush(self) -> None:
        """Wait until every write is settled."""
        while len(self):
            await self._pause(FLUSH_CHECK_S)

    async def _wait_for_write(self) -> None:
        while not self._writes:
            self._added = Event()
            await self._added.wait()

    async def _make(self, write: Write) -> bool:
        self._in_progress += 1
        try:
            is_settled = await write()
        finally:
            self._in_progress -= 1
        if not is_settled:
            self._writes.appendleft(write)
        return is_settled
