"""Issuing of grants, at most one outstanding per request."""

from berylwalk.router._agents import AgentState
from berylwalk.router._core import RouterCore
from berylwalk.router._ending import withdraw_reservations
from berylwalk.router._events import IssueGrant
from berylwalk.router._request_state import OutstandingGrant, RequestState, Reservation
from berylwalk.wire import Grant


def grant_directly(
    core: RouterCore, state: RequestState, agent: AgentState, now: float
) -> None:
    """Issue a conditional grant, which the agent refuses unless a slot is free."""
    attempt = state.next_attempt()
    agent.record_sent(state.work, now)
    _issue(core, state, agent, attempt=attempt, conditional=True, now=now)


def grant_reservation(
    core: RouterCore,
    state: RequestState,
    agent: AgentState,
    reservation: Reservation,
    now: float,
) -> None:
    """Answer a `Ready` with the grant and withdraw the other reservations."""
    del state.reservations_by_agent[agent.agent]
    attempt = reservation.attempt
    _issue(core, state, agent, attempt=attempt, conditional=False, now=now)


def _issue(
    core: RouterCore,
    state: RequestState,
    agent: AgentState,
    *,
    attempt: int,
    conditional: bool,
    now: float,
) -> None:
    if not state.is_grantable:
        raise RuntimeError(f"{state.request.request_id} may not be granted")
    withdraw_reservations(core, state)
    core.history.record(state.request.prefix, agent.agent)
    state.grant = OutstandingGrant(
        agent=agent.agent,
        incarnation=agent.incarnation,
        attempt=attempt,
        conditional=conditional,
        progress_at=now,
    )
    grant = _build_grant(core, state, state.grant, now)
    core.outbox.add_action(IssueGrant(agent.agent, grant))


def _build_grant(
    core: RouterCore, state: RequestState, grant: OutstandingGrant, now: float
) -> Grant:
    request = state.request
    return Grant(
        request_id=request.request_id,
        attempt=grant.attempt,
        router=core.config.router,
        agent=grant.agent,
        agent_incarnation=grant.incarnation,
        conditional=grant.conditional,
        resource=request.call.resource,
        client_account=request.service_policy.client_account,
        tier_rank=request.service_policy.tier.rank,
        weight=request.service_policy.weight,
        prompt_tokens=request.estimate.prompt_tokens,
        output_tokens=request.estimate.output_tokens,
        deadline_ms=state.remaining_ms(now),
        idempotent=request.idempotent,
        method=request.call.method,
        path=request.call.path,
        headers=request.call.headers,
        traceparent=request.traceparent,
    )
