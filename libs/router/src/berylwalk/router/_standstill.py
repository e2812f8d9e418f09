"""Standstills of the router's own process, which are no silence of its agents.

Load that it answers: a VM without processor time for some seconds. Afterwards all
timers are due at once, while what the agents sent meanwhile still waits to be read.
"""

from berylwalk.router._core import RouterCore

MIN_STANDSTILL_S = 0.5
"""Time without any event after which the process has stood still, in seconds: several
times the maximum between two ticks."""


class StandstillDetector:
    """Excludes standstills from the times since agents were heard.

    Parameters
    ----------
    core : RouterCore
        State of the router.
    """

    def __init__(self, core: RouterCore) -> None:
        self._core = core
        self._last_event_at: float | None = None

    def note_event(self, now: float) -> None:
        """Record that an event is about to be handled, at a time in seconds."""
        last_event_at, self._last_event_at = self._last_event_at, now
        if last_event_at is None or now - last_event_at < MIN_STANDSTILL_S:
            return
        duration_s = now - last_event_at
        for agent in self._core.agents:
            agent.note_standstill(duration_s)
        for state in self._core.requests_by_id.values():
            if state.grant is not None:
                state.grant.note_standstill(duration_s)
