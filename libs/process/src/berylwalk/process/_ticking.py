"""When a state machine is told of the passing of time."""

from collections.abc import Callable

from anyio import Event, move_on_after, sleep

NEVER = float("-inf")


class TickLoop:
    """Calls a function when the state machine has something due.

    Parameters
    ----------
    tick : callable
        Tells the state machine of the time.
    next_due : callable
        Returns when the machine needs the next tick, in seconds of the clock.
    min_interval_s, max_interval_s : float
        Least and longest time between two ticks, in seconds.
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
        self._ticks_at = NEVER
        self._due_sooner = Event()

    def reschedule(self) -> None:
        """End the present wait if the last event made something due before it."""
        if self._ticks_at == NEVER:
            return
        if self._next_due() < self._ticks_at:
            self._ticks_at = NEVER
            self._due_sooner.set()

    async def run(self) -> None:
        """Tick for ever."""
        while True:
            self._tick()
            await self._sleep_until_due()

    async def _sleep_until_due(self) -> None:
        now = self._clock()
        wait_s = min(
            max(self._next_due() - now, self._min_interval_s), self._max_interval_s
        )
        if wait_s <= 2 * self._min_interval_s:
            # Cheaper than to be woken.
            await sleep(wait_s)
            return
        self._due_sooner = Event()
        self._ticks_at = now + wait_s
        with move_on_after(wait_s):
            await self._due_sooner.wait()
        self._ticks_at = NEVER
