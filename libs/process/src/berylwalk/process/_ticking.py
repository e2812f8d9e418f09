"""Timer loop of a state machine."""

from collections.abc import Callable

from anyio import Event, move_on_after, sleep

NEVER = float("-inf")


class TickLoop:
    """Loop that ticks a state machine when its next timer is due.

    Parameters
    ----------
    tick : callable
        Advances the state machine to the current time.
    next_due : callable
        Returns the clock time at which the next tick is due, in seconds.
    min_interval_s, max_interval_s : float
        Minimum and maximum time between two ticks, in seconds.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        tick: Callable[[], None],
        *,
        next_due: Callable[[], float],
        min_interval_s: float,
        max_interval_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._tick = tick
        self._next_due = next_due
        self._min_interval_s = min_interval_s
        self._max_interval_s = max_interval_s
        self._clock = clock
        self._next_tick_at = NEVER
        self._rescheduled = Event()

    def reschedule(self) -> None:
        """End the current wait if the next tick is now due before its end.

        Call it after each event that may set a timer.
        """
        if self._next_tick_at == NEVER:
            return
        if self._next_due() < self._next_tick_at:
            self._next_tick_at = NEVER
            self._rescheduled.set()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._tick()
            await self._sleep_until_due()

    async def _sleep_until_due(self) -> None:
        now = self._clock()
        wait_s = min(
            max(self._next_due() - now, self._min_interval_s), self._max_interval_s
        )
        if wait_s <= 2 * self._min_interval_s:
            # For short waits a plain sleep costs less than a wait on the event.
            await sleep(wait_s)
            return
        self._rescheduled = Event()
        self._next_tick_at = now + wait_s
        with move_on_after(wait_s):
            await self._rescheduled.wait()
        self._next_tick_at = NEVER
