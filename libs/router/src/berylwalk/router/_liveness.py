"""Handlers of agent lists, datagrams, restarts and silence of agents."""

from functools import partial

from berylwalk.router._agents import AgentState
from berylwalk.router._config import SCAN_INTERVAL_S
from berylwalk.router._core import RouterCore
from berylwalk.router._ending import withdraw_reservation
from berylwalk.router._events import AgentsListed
from berylwalk.router._granting import abandon_if_stalled, end_if_restarted
from berylwalk.router._hellos import refresh, refresh_when_due
from berylwalk.router._messages import (
    cancel_reservations,
    on_message,
    place_unplaced,
)
from berylwalk.router._placing import place
from berylwalk.router._request_state import RequestState
from berylwalk.wire import Datagram


def on_agents_listed(core: RouterCore, event: AgentsListed, now: float) -> None:
    """Apply the VM list, and withdraw reservations at leaving agents."""
    core.agents.list_agents(event.agents, event.leaving)
    refresh(core, now)
    leaving = {agent.agent for agent in core.agents if agent.is_leaving()}
    cancel_reservations(core, leaving, now)


def on_datagram(core: RouterCore, datagram: Datagram, now: float) -> None:
    """Handle the messages of an agent."""
    agent = core.agents.get(datagram.sender)
    if agent is None or not agent.accepts_sender(datagram.incarnation, now):
        return
    displaced: list[RequestState] = []
    if datagram.incarnation != agent.incarnation:
        displaced = _replace_incarnation(core, agent, datagram.incarnation)
    agent.record_datagram(now)
    agent.settings_version = datagram.settings_version
    for message in datagram.messages:
        on_message(core, agent, message, now)
    # Placed after the messages, which include the new incarnation's load.
    for state in displaced:
        if state.request.request_id in core.requests_by_id:
            place(core, state, now)


def scan(core: RouterCore, now: float) -> None:
    """Handle silent agents and stalled grants, and schedule the next scan."""
    core.coarse_timers.add(now + SCAN_INTERVAL_S, partial(scan, core))
    unavailable = {
        agent.agent
        for agent in core.agents.monitored_by_id.values()
        if agent.is_leaving() or not agent.is_reachable(now)
    }
    cancel_reservations(core, unavailable, now)
    for state in tuple(core.requests_by_id.values()):
        abandon_if_stalled(core, state, now)
    _forget_unlisted(core)
    refresh_when_due(core, now)
    place_unplaced(core, now)


def _replace_incarnation(
    core: RouterCore, agent: AgentState, incarnation: int
) -> list[RequestState]:
    """Reset an agent to a new incarnation; return the requests that waited there."""
    agent.restart(incarnation)
    core.agents.changes += 1
    displaced = []
    for state in tuple(core.requests_by_id.values()):
        state.forget_refusals(agent.agent)
        end_if_restarted(core, state)
        if agent.agent in state.reservations_by_agent:
            withdraw_reservation(core, state, agent.agent)
            displaced.append(state)
    return displaced


def _forget_unlisted(core: RouterCore) -> None:
    granted = {
        state.grant.agent
        for state in core.requests_by_id.values()
        if state.grant is not None
    }
    for agent in tuple(core.agents):
        if not agent.listed and agent.agent not in granted:
            core.agents.remove(agent.agent)
            core.history.forget(agent.agent)
