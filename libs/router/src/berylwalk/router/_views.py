"""Read-only views of the router's state for the admin API."""

from collections import defaultdict
from dataclasses import dataclass

from berylwalk.router._agents import AgentState
from berylwalk.router._core import RouterCore
from berylwalk.router._request_state import Phase, RequestState


@dataclass(frozen=True, slots=True)
class AgentView:
    """State of one agent, as known to the router.

    Parameters
    ----------
    agent : str
        Node identifier.
    incarnation, settings_version : int
        Values of the last datagram; 0 before the first.
    failure_domain : str
        Failure domain of the target.
    resources : tuple of str
        Resources that the target serves when it is reachable.
    reachable, leaving, slow, takes_work, target_reachable : bool
        State of the agent at the time of the view, and the state of its target as
        reported by the agent.
    running, ready, limit : int
        Dispatched requests, slots held for a grant, and the limit of both.
    waiting_by_rank, wait_ms_by_rank : tuple of int
        Waiting reservations and estimated wait for each tier rank.
    prefill_tokens_per_s, token_gap_ms : float
        Observed speed of the target.
    silent_s : float or None
        Time since its last datagram, in seconds; None before the first.
    reservations, grants : int
        Open reservations and grants of this router at the agent.
    """

    agent: str
    incarnation: int
    settings_version: int
    failure_domain: str
    resources: tuple[str, ...]
    reachable: bool
    leaving: bool
    slow: bool
    takes_work: bool
    target_reachable: bool
    running: int
    ready: int
    limit: int
    waiting_by_rank: tuple[int, ...]
    wait_ms_by_rank: tuple[int, ...]
    prefill_tokens_per_s: float
    token_gap_ms: float
    silent_s: float | None
    reservations: int
    grants: int


@dataclass(frozen=True, slots=True)
class RequestView:
    """One accepted request.

    Parameters
    ----------
    request_id : str
        Request identifier.
    client_account, service, tier, resource : str
        Client account, service and tier of the request, and the resource it needs.
    phase : Phase
        Phase of the request.
    agents : tuple of str
        Agents with a reservation, or the agent with the grant.
    attempts : int
        Number of attempts so far.
    age_s, time_left_s : float
        Time since arrival and until the deadline, in seconds.
    """

    request_id: str
    client_account: str
    service: str
    tier: str
    resource: str
    phase: Phase
    agents: tuple[str, ...]
    attempts: int
    age_s: float
    time_left_s: float


@dataclass(frozen=True, slots=True)
class TierCounts:
    """Accepted requests of one tier."""

    tier: str
    waiting: int
    running: int


def view_agents(core: RouterCore, now: float) -> tuple[AgentView, ...]:
    """Return all known agents, sorted by name."""
    reservations: defaultdict[str, int] = defaultdict(int)
    grants: defaultdict[str, int] = defaultdict(int)
    for state in core.requests_by_id.values():
        for agent in state.reservations_by_agent:
            reservations[agent] += 1
        if state.grant is not None:
            grants[state.grant.agent] += 1
    return tuple(
        _view_agent(agent, now, reservations[agent.agent], grants[agent.agent])
        for agent in sorted(core.agents, key=lambda agent: agent.agent)
    )


def resources_when_complete(core: RouterCore, agents: int) -> frozenset[str]:
    """Return what all agents serve; empty until ``agents`` have reported."""
    reported = [agent for agent in core.agents if agent.digest is not None]
    if len(reported) < max(len(core.agents.agents_by_id), agents):
        return frozenset()
    return frozenset(resource for agent in reported for resource in agent.resources)


def view_requests(core: RouterCore, now: float) -> tuple[RequestView, ...]:
    """Return all accepted requests, oldest first."""
    return tuple(_view_request(state, now) for state in core.requests_by_id.values())


def count_by_tier(core: RouterCore) -> dict[str, TierCounts]:
    """Return the number of waiting and running requests by tier name."""
    waiting: defaultdict[str, int] = defaultdict(int)
    running: defaultdict[str, int] = defaultdict(int)
    for state in core.requests_by_id.values():
        counts = waiting if state.grant is None else running
        counts[state.request.service_policy.tier.name] += 1
    tiers = sorted(waiting.keys() | running.keys())
    return {tier: TierCounts(tier, waiting[tier], running[tier]) for tier in tiers}


def _view_agent(
    agent: AgentState, now: float, reservations: int, grants: int
) -> AgentView:
    digest = agent.digest
    return AgentView(
        agent=agent.agent,
        incarnation=agent.incarnation,
        settings_version=agent.settings_version,
        failure_domain=digest.failure_domain if digest else "",
        resources=digest.resources if digest else (),
        reachable=agent.is_reachable(now),
        leaving=agent.is_leaving(),
        slow=digest.slow if digest else False,
        takes_work=agent.takes_work(now),
        target_reachable=agent.has_target(),
        running=digest.running if digest else 0,
        ready=digest.ready if digest else 0,
        limit=digest.limit if digest else 0,
        waiting_by_rank=digest.waiting_by_rank if digest else (),
        wait_ms_by_rank=digest.wait_ms_by_rank if digest else (),
        prefill_tokens_per_s=digest.prefill_tokens_per_s if digest else 0.0,
        token_gap_ms=digest.token_gap_ms if digest else 0.0,
        silent_s=now - agent.last_heard_at if agent.incarnation else None,
        reservations=reservations,
        grants=grants,
    )


def _view_request(state: RequestState, now: float) -> RequestView:
    request = state.request
    agents = tuple(state.reservations_by_agent)
    if state.grant is not None:
        agents = (state.grant.agent,)
    return RequestView(
        request_id=str(request.request_id),
        client_account=request.service_policy.client_account,
        service=request.service_policy.service,
        tier=request.service_policy.tier.name,
        resource=request.call.resource,
        phase=state.phase,
        agents=agents,
        attempts=state.attempts,
        age_s=now - request.arrived_at,
        time_left_s=request.deadline_at - now,
    )
