"""Ends a router that was asked to stop, in steps, within its grace."""

from collections.abc import Awaitable, Callable, Collection

from anyio import create_task_group, move_on_after, sleep

from berylwalk.direct._context import RouterContext
from berylwalk.direct._exchange import Exchange
from berylwalk.direct._listeners import Listener
from berylwalk.dispatch import GracefulStop

IDLE_CHECK_S = 0.05
"""Interval between looks for connections that can be closed."""
FLUSH_CHECK_S = 0.05
"""Interval between looks whether all is sent."""


class GracefulEnd:
    """Lets the requests of a router end, and refuses what can't end in time.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router; its `stop` tells what may begin meanwhile.
    callers : Listener
        Connections of callers.
    open_exchanges : callable
        Returns the requests that are not answered.
    leave : callable
        Removes the router from the members.
    """

    def __init__(
        self,
        context: RouterContext,
        callers: Listener,
        *,
        open_exchanges: Callable[[], Collection[Exchange]],
        leave: Callable[[], Awaitable[None]],
    ) -> None:
        self._context = context
        self._callers = callers
        self._open_exchanges = open_exchanges
        self._leave = leave

    async def run(self, requested_at: float) -> None:
        """Return when no caller's connection is left, or the grace is nearly over.

        Parameters
        ----------
        requested_at : float
            When the stop was requested, in seconds.
        """
        context = self._context
        stop = GracefulStop.from_grace(
            requested_at, grace_s=context.settings.stop_grace_s
        )
        context.stop = stop
        context.log.process("stopping", open_requests=len(self._open_exchanges()))
        self._callers.announce_closing()
        await sleep(max(0.0, stop.accept_until - context.clock()))
        self._callers.close()
        await self._close_idle(stop)
        self._end_requests()
        left_s = max(2 * FLUSH_CHECK_S, stop.flushed_by - context.clock())
        with move_on_after(left_s):
            async with create_task_group() as tasks:
                tasks.start_soon(self._flush)
                tasks.start_soon(self._leave)
        context.log.process("exiting", unsent_bytes=self._callers.unsent_bytes)
        context.log.flush()

    async def _close_idle(self, stop: GracefulStop) -> None:
        """Close connections as their responses end, until the process has to exit."""
        while self._context.clock() < stop.exit_at:
            self._callers.close_idle()
            if not self._callers.connections:
                return
            await sleep(IDLE_CHECK_S)

    def _end_requests(self) -> None:
        """End the requests that are left, with a status where none was sent."""
        exchanges = list(self._open_exchanges())
        self._context.log.process(
            "stopped",
            cut_requests=len(exchanges),
            dropped_requests=self._callers.end_input(),
            connections=len(self._callers.connections),
            unsent_bytes=self._callers.unsent_bytes,
        )
        for exchange in exchanges:
            exchange.end_at_stop()

    async def _flush(self) -> None:
        """Let requests that were ended respond, and wait until that is sent."""
        await sleep(FLUSH_CHECK_S)
        while self._callers.unsent_bytes:
            await sleep(FLUSH_CHECK_S)
