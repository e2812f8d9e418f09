"""Heartbeats to monitored agents, and probes of the others."""

from functools import partial

from berylwalk.router._agents import AgentState
from berylwalk.router._config import HELLO_INTERVAL_S, MAX_HELLO_INTERVAL_S
from berylwalk.router._core import RouterCore
from berylwalk.router._probe_queue import PROBE_INTERVAL_S
from berylwalk.wire import Hello

TARGET_HELLOS_PER_S = 40
"""Rate of heartbeats above which the interval is lengthened."""

MAX_DIGESTS_PER_S = 80
"""Budget for solicited and unsolicited digests per second."""

MIN_UNSOLICITED_DIGESTS_PER_S = 20
"""Minimum rate of unsolicited digests, regardless of the number of agents."""

MIN_UNSOLICITED_DIGEST_INTERVAL_S = 0.05
"""Minimum time between two unsolicited digests of an agent."""

REFRESH_INTERVAL_S = 1.0
"""Time after which the subsets are recomputed in any case."""

MIN_REFRESH_INTERVAL_S = 0.1
"""Minimum time between two computations of the subsets."""


def refresh(core: RouterCore, now: float) -> None:
    """Recompute the subsets and send heartbeats to newly monitored agents."""
    for agent in core.agents.refresh(_agents_in_use(core), now):
        _send_heartbeat(core, agent, now)
        if agent.has_timer:
            continue
        agent.has_timer = True
        # A random first interval spreads the heartbeats over time.
        first = core.rng.uniform(0.0, HELLO_INTERVAL_S)
        core.coarse_timers.add(now + first, partial(_repeat_heartbeat, core, agent))


def refresh_when_due(core: RouterCore, now: float) -> None:
    """Recompute the subsets after a change, and periodically."""
    age = now - core.agents.refreshed_at
    if age >= REFRESH_INTERVAL_S or (
        core.agents.is_stale and age >= MIN_REFRESH_INTERVAL_S
    ):
        refresh(core, now)


def record_resource_use(core: RouterCore, resource: str, now: float) -> None:
    """Record that a resource is in use, and refresh the subsets if none serves it."""
    core.agents.record_use(resource)
    if core.agents.is_stale and not core.agents.is_served_by_selected(resource):
        refresh_when_due(core, now)


def probe_agents(core: RouterCore, now: float) -> None:
    """Probe a few agents outside the subsets, and schedule the next probes."""
    core.coarse_timers.add(now + PROBE_INTERVAL_S, partial(probe_agents, core))
    for agent in core.agents.next_probes():
        _send_hello(core, agent, now, digest_ms=0)


def heartbeat_interval_s(monitored: int) -> float:
    """Return the time between two heartbeats to each agent, in seconds."""
    wanted = max(HELLO_INTERVAL_S, monitored / TARGET_HELLOS_PER_S)
    return min(wanted, MAX_HELLO_INTERVAL_S)


def unsolicited_digest_interval_s(monitored: int) -> float:
    """Return the minimum time between unsolicited digests of an agent, in seconds."""
    replies_per_s = monitored / heartbeat_interval_s(monitored)
    unsolicited_per_s = max(
        MIN_UNSOLICITED_DIGESTS_PER_S, MAX_DIGESTS_PER_S - replies_per_s
    )
    return max(MIN_UNSOLICITED_DIGEST_INTERVAL_S, monitored / unsolicited_per_s)


def _send_heartbeat(core: RouterCore, agent: AgentState, now: float) -> None:
    interval_s = unsolicited_digest_interval_s(len(core.agents.monitored_by_id))
    _send_hello(core, agent, now, digest_ms=round(interval_s * 1000))


def _send_hello(
    core: RouterCore, agent: AgentState, now: float, *, digest_ms: int
) -> None:
    agent.record_hello_sent(now)
    core.outbox.send(agent.agent, Hello(core.draining, digest_ms))


def _repeat_heartbeat(core: RouterCore, agent: AgentState, now: float) -> None:
    if core.agents.monitored_by_id.get(agent.agent) is not agent:
        agent.has_timer = False
        return
    _send_heartbeat(core, agent, now)
    next_at = now + heartbeat_interval_s(len(core.agents.monitored_by_id))
    core.coarse_timers.add(next_at, partial(_repeat_heartbeat, core, agent))


def _agents_in_use(core: RouterCore) -> set[str]:
    # Heartbeats detect the failure of agents that hold requests.
    in_use: set[str] = set()
    for state in core.requests_by_id.values():
        in_use.update(state.reservations_by_agent)
        if state.grant is not None:
            in_use.add(state.grant.agent)
    return in_use
