"""Handlers of messages from agents."""

from berylwalk.model import Refusal, RefusalReason
from berylwalk.router._agents import AgentState
from berylwalk.router._core import RouterCore
from berylwalk.router._ending import withdraw_reservation
from berylwalk.router._granting import on_revoke_result
from berylwalk.router._issuing import grant_reservation
from berylwalk.router._placing import place, record_failed_attempt, record_refusal
from berylwalk.router._request_state import KeyState, RequestState, Reservation
from berylwalk.wire import (
    ControlMessage,
    Digest,
    Queued,
    Ready,
    Refused,
    RevokeResult,
    Withdraw,
)


def on_message(
    core: RouterCore, agent: AgentState, message: ControlMessage, now: float
) -> None:
    """Handle one message; messages that only routers send are ignored."""
    if isinstance(message, Digest):
        _on_digest(core, agent, message, now)
    elif isinstance(message, Queued):
        _on_queued(core, agent, message)
    elif isinstance(message, Ready):
        _on_ready(core, agent, message, now)
    elif isinstance(message, Refused):
        _on_refused(core, agent, message, now)
    elif isinstance(message, RevokeResult):
        on_revoke_result(core, agent.agent, agent.incarnation, message, now)


def cancel_reservations(core: RouterCore, agents: set[str], now: float) -> None:
    """Withdraw all reservations at the agents and place the requests elsewhere."""
    if not agents:
        return
    for state in tuple(core.requests_by_id.values()):
        lost = agents & state.reservations_by_agent.keys()
        for agent in sorted(lost):
            withdraw_reservation(core, state, agent)
        if lost:
            place(core, state, now)


def grant_ready_reservation(core: RouterCore, state: RequestState, now: float) -> bool:
    """Grant a reservation whose `Ready` preceded the key claim; return if any did."""
    for reservation in tuple(state.reservations_by_agent.values()):
        agent = core.agents.get(reservation.agent)
        if reservation.ready and agent is not None:
            grant_reservation(core, state, agent, reservation, now)
            return True
    return False


def _on_digest(core: RouterCore, agent: AgentState, digest: Digest, now: float) -> None:
    before = (agent.resources, agent.offered)
    if not agent.update(digest, now):
        return
    core.agents.record_resources(before, (agent.resources, agent.offered))
    if agent.is_leaving():
        cancel_reservations(core, {agent.agent}, now)
    elif agent.takes_work(now):
        place_unplaced(core, now)


def place_unplaced(core: RouterCore, now: float) -> None:
    """Retry the placement of requests that found no eligible agent."""
    for request_id in tuple(core.unplaced_ids):
        place(core, core.requests_by_id[request_id], now)


def _find(
    core: RouterCore, agent: AgentState, message: Queued | Ready | Refused
) -> tuple[RequestState, Reservation] | None:
    state = core.requests_by_id.get(message.request_id)
    if state is None:
        return None
    reservation = state.reservations_by_agent.get(agent.agent)
    if reservation is None:
        return None
    expected = (reservation.attempt, reservation.incarnation)
    if expected != (message.attempt, agent.incarnation):
        return None
    return state, reservation


def _on_queued(core: RouterCore, agent: AgentState, message: Queued) -> None:
    found = _find(core, agent, message)
    if found is not None:
        _, reservation = found
        reservation.queued = True


def _on_ready(core: RouterCore, agent: AgentState, message: Ready, now: float) -> None:
    found = _find(core, agent, message)
    if found is None:
        if not _matches_grant(core, agent, message):
            withdraw = Withdraw(message.request_id, message.attempt)
            core.outbox.send(agent.agent, withdraw)
        return
    state, reservation = found
    reservation.queued = True
    if state.key is KeyState.PENDING:
        reservation.ready = True
        return
    grant_reservation(core, state, agent, reservation, now)


def _matches_grant(core: RouterCore, agent: AgentState, message: Ready) -> bool:
    # A resent Ready may cross the grant that was issued for it.
    state = core.requests_by_id.get(message.request_id)
    if state is None or state.grant is None:
        return False
    grant = state.grant
    return (grant.agent, grant.attempt) == (agent.agent, message.attempt)


def _on_refused(
    core: RouterCore, agent: AgentState, message: Refused, now: float
) -> None:
    found = _find(core, agent, message)
    if found is None:
        return
    state, _ = found
    del state.reservations_by_agent[agent.agent]
    refusal = Refusal(message.reason, message.retry_after_ms)
    if message.reason is RefusalReason.TOMBSTONE:
        record_failed_attempt(state, agent.agent, refusal, now)
    else:
        record_refusal(state, agent.agent, refusal, now)
    if message.reason is RefusalReason.LEAVING:
        agent.suspect = True
    place(core, state, now)
