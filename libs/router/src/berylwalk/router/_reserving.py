"""Sending of reservations, with resends until they are answered."""

from functools import partial

from berylwalk.model import RequestId
from berylwalk.router._agents import AgentState
from berylwalk.router._config import RESERVATION_REFRESH_S
from berylwalk.router._core import RouterCore
from berylwalk.router._request_state import RequestState, Reservation
from berylwalk.wire import Reserve


def reserve(
    core: RouterCore, state: RequestState, agent: AgentState, now: float
) -> None:
    """Request an entry in the admission queue of an agent."""
    reservation = Reservation(
        agent=agent.agent,
        incarnation=agent.incarnation,
        attempt=state.next_attempt(),
    )
    state.reservations_by_agent[agent.agent] = reservation
    agent.record_sent(state.work, now)
    _send(core, state, reservation, now)


def _send(
    core: RouterCore, state: RequestState, reservation: Reservation, now: float
) -> None:
    request = state.request
    message = Reserve(
        request_id=request.request_id,
        attempt=reservation.attempt,
        resource=request.call.resource,
        client_account=request.service_policy.client_account,
        tier_rank=request.service_policy.tier.rank,
        weight=request.service_policy.weight,
        prompt_tokens=request.estimate.prompt_tokens,
        output_tokens=request.estimate.output_tokens,
        deadline_ms=state.remaining_ms(now),
    )
    core.outbox.send(reservation.agent, message)
    reservation.sent_at = now
    delay = core.resend_delay(reservation.resends)
    _schedule_resend(core, request.request_id, reservation, now + delay)


def _schedule_resend(
    core: RouterCore, request_id: RequestId, reservation: Reservation, when: float
) -> None:
    agent, attempt = reservation.agent, reservation.attempt
    core.timers.add(when, partial(_resend, core, request_id, agent, attempt))


def _resend(
    core: RouterCore, request_id: RequestId, agent: str, attempt: int, now: float
) -> None:
    state = core.requests_by_id.get(request_id)
    if state is None:
        return
    reservation = state.reservations_by_agent.get(agent)
    if reservation is None or reservation.attempt != attempt:
        return
    # An agent that considers the router unreachable drops its reservations, so
    # queued ones are resent periodically.
    refresh_at = reservation.sent_at + RESERVATION_REFRESH_S
    if reservation.queued and now < refresh_at:
        _schedule_resend(core, request_id, reservation, refresh_at)
        return
    reservation.resends += 1
    _send(core, state, reservation, now)
