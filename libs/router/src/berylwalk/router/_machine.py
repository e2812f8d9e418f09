"""The router's state machine."""

from random import Random

from berylwalk.placement import Chooser
from berylwalk.router._arrivals import (
    on_arrival,
    on_caller_disconnected,
    on_key_claimed,
    on_key_refused,
)
from berylwalk.router._config import RouterConfig
from berylwalk.router._core import RouterCore
from berylwalk.router._events import (
    AgentsListed,
    CallerDisconnected,
    DatagramArrived,
    DrainFinished,
    DrainRequested,
    GrantLost,
    GrantNotSent,
    GrantRefused,
    KeyClaimed,
    KeyRefused,
    RequestArrived,
    ResponseComplete,
    ResponseProgress,
    ResponseStarted,
    RouterAction,
    RouterEvent,
    Tick,
)
from berylwalk.router._granting import (
    GrantEvent,
    find_granted,
    on_complete,
    on_lost,
    on_not_sent,
    on_progress,
    on_refused,
    on_started,
)
from berylwalk.router._hellos import probe_agents
from berylwalk.router._liveness import on_agents_listed, on_datagram, scan
from berylwalk.router._standstill import StandstillDetector
from berylwalk.router._stopping import begin_drain
from berylwalk.router._views import (
    AgentView,
    RequestView,
    TierCounts,
    count_by_tier,
    resources_when_complete,
    view_agents,
    view_requests,
)


class RouterMachine:
    """Places requests and issues at most one grant at a time for each.

    A plain state machine: it does no I/O and reads no clock.

    Parameters
    ----------
    config : RouterConfig
        Settings of the router.
    rng : random.Random
        Source of jitter and tie breaks.
    chooser : Chooser or None
        Replaces the chooser of the configured policy; for comparisons.
    """

    def __init__(
        self, config: RouterConfig, *, rng: Random, chooser: Chooser | None = None
    ) -> None:
        self._core = RouterCore(config, rng=rng, chooser=chooser)
        self._core.coarse_timers.add(0.0, lambda now: scan(self._core, now))
        self._core.coarse_timers.add(0.0, lambda now: probe_agents(self._core, now))
        self._standstills = StandstillDetector(self._core)
        self._drain_reported = False

    def handle(self, event: RouterEvent, now: float) -> list[RouterAction]:
        """Process one event and return the actions to carry out.

        Parameters
        ----------
        event : RouterEvent
            The event.
        now : float
            Monotonic time, in seconds; never less than in the previous call.

        Returns
        -------
        list of RouterAction
            In order of execution.
        """
        self._standstills.note_event(now)
        self._dispatch(event, now)
        self._report_drained()
        return self._core.outbox.take()

    def next_due(self) -> float:
        """Return when the next `Tick` is due; idle ticks are needed in addition."""
        return self._core.timers.next_due

    def agents_view(self, now: float) -> tuple[AgentView, ...]:
        """Return all known agents, sorted by name."""
        return view_agents(self._core, now)

    @property
    def agent_changes(self) -> int:
        """Number of changes of the agents and of what they serve."""
        return self._core.agents.changes

    def resources_when_complete(self, agents: int) -> frozenset[str]:
        """Return what all agents serve; empty until ``agents`` have reported."""
        return resources_when_complete(self._core, agents)

    def requests_view(self, now: float) -> tuple[RequestView, ...]:
        """Return all accepted requests, oldest first."""
        return view_requests(self._core, now)

    def tier_counts(self) -> dict[str, TierCounts]:
        """Return the number of waiting and running requests by tier name."""
        return count_by_tier(self._core)

    def _dispatch(self, event: RouterEvent, now: float) -> None:
        core = self._core
        match event:
            case Tick():
                core.coarse_timers.run(now)
                core.timers.run(now)
            case RequestArrived(request):
                on_arrival(core, request, now)
            case DatagramArrived(datagram):
                on_datagram(core, datagram, now)
            case CallerDisconnected(request_id):
                on_caller_disconnected(core, request_id)
            case KeyClaimed():
                on_key_claimed(core, event, now)
            case KeyRefused():
                on_key_refused(core, event)
            case AgentsListed():
                on_agents_listed(core, event, now)
            case DrainRequested(stop):
                begin_drain(core, stop)
            case _:
                self._dispatch_grant_event(event, now)

    def _dispatch_grant_event(self, event: GrantEvent, now: float) -> None:
        core = self._core
        state = find_granted(core, event)
        if state is None:
            return
        match event:
            case GrantNotSent():
                on_not_sent(core, state, now)
            case GrantRefused(refusal=refusal):
                on_refused(core, state, refusal, now)
            case ResponseStarted():
                on_started(state, now)
            case ResponseProgress():
                on_progress(state, now)
            case ResponseComplete():
                on_complete(core, state)
            case GrantLost(started=started):
                on_lost(core, state, started, now)

    def _report_drained(self) -> None:
        core = self._core
        if not core.draining or self._drain_reported:
            return
        if core.requests_by_id or core.unclaimed_by_id:
            return
        self._drain_reported = True
        core.outbox.add_action(DrainFinished())
