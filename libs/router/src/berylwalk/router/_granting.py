"""Handling of issued grants: progress, refusal, loss and revocation."""

from functools import partial

from berylwalk.model import Refusal, RefusalReason, RequestId
from berylwalk.router._config import PEER_TIMEOUT_S, REVOKE_TIMEOUT_S
from berylwalk.router._core import RouterCore
from berylwalk.router._ending import end_complete, end_unknown
from berylwalk.router._events import (
    AbandonGrant,
    GrantLost,
    GrantNotSent,
    GrantRefused,
    ResponseComplete,
    ResponseProgress,
    ResponseStarted,
)
from berylwalk.router._placing import (
    place,
    record_failed_attempt,
    record_refusal,
    reserve_after_no_slot,
    retry_or_end,
)
from berylwalk.router._request_state import OutstandingGrant, RequestState
from berylwalk.wire import Revoke, RevokeResult, Withdraw

GrantEvent = (
    GrantNotSent
    | GrantRefused
    | ResponseStarted
    | ResponseProgress
    | ResponseComplete
    | GrantLost
)


def find_granted(core: RouterCore, event: GrantEvent) -> RequestState | None:
    """Return the request whose outstanding grant the event is about, or None."""
    state = core.requests_by_id.get(event.request_id)
    if state is None or state.grant is None or state.grant.attempt != event.attempt:
        return None
    return state


def on_not_sent(core: RouterCore, state: RequestState, now: float) -> None:
    """Place the request again; no byte of the grant was sent."""
    grant = _clear_grant(state)
    if not grant.conditional:
        request_id = state.request.request_id
        core.outbox.send(grant.agent, Withdraw(request_id, grant.attempt))
    _mark_suspect(core, grant)
    refusal = Refusal(RefusalReason.NO_TARGET, detail="the agent is unreachable")
    record_failed_attempt(state, grant.agent, refusal, now)
    place(core, state, now)


def on_refused(
    core: RouterCore, state: RequestState, refusal: Refusal, now: float
) -> None:
    """Handle an agent's refusal of a grant; the attempt never runs."""
    if refusal.reason is RefusalReason.DUPLICATE:
        # The agent has dispatched the request, so it may have run.
        end_unknown(core, state, "the agent had already dispatched the request")
        return
    grant = _clear_grant(state)
    if _agent_restarted(core, grant):
        # The refusal came from an earlier incarnation; the current one was not asked.
        record_failed_attempt(state, grant.agent, refusal, now)
        place(core, state, now)
        return
    if refusal.reason is RefusalReason.NO_SLOT:
        reserve_after_no_slot(core, state, grant.agent, refusal, now)
        return
    if refusal.reason is RefusalReason.TOMBSTONE:
        record_failed_attempt(state, grant.agent, refusal, now)
    elif refusal.reason is RefusalReason.STALE_INCARNATION:
        _mark_suspect(core, grant)
        record_failed_attempt(state, grant.agent, refusal, now)
    else:
        if refusal.reason is RefusalReason.LEAVING:
            _mark_suspect(core, grant)
        record_refusal(state, grant.agent, refusal, now)
    place(core, state, now)


def on_started(state: RequestState, now: float) -> None:
    """Record that the target's status arrived, which proves a dispatch."""
    assert state.grant is not None
    state.grant.started = True
    state.grant.progress_at = now


def on_progress(state: RequestState, now: float) -> None:
    """Record that a chunk of the response arrived."""
    assert state.grant is not None
    state.grant.progress_at = now


def on_complete(core: RouterCore, state: RequestState) -> None:
    """End the request; its whole response arrived."""
    end_complete(core, state)


def on_lost(core: RouterCore, state: RequestState, started: bool, now: float) -> None:
    """Revoke a grant whose connection was lost, unless a dispatch is proven."""
    grant = state.grant
    assert grant is not None
    grant.started = grant.started or started
    if grant.started:
        end_unknown(core, state, "the response ended before it was complete")
        return
    if grant.lost_at is not None:
        return
    grant.lost_at = now
    if _agent_restarted(core, grant):
        end_unknown(core, state, "the agent restarted after the grant")
        return
    _send_revoke(core, state, grant, now)


def on_revoke_result(
    core: RouterCore, agent: str, incarnation: int, result: RevokeResult, now: float
) -> None:
    """Handle an agent's result for a lost grant that was revoked."""
    state = core.requests_by_id.get(result.request_id)
    grant = None if state is None else state.grant
    if state is None or grant is None or grant.lost_at is None:
        return
    expected = (grant.agent, grant.incarnation, grant.attempt)
    if expected != (agent, incarnation, result.attempt):
        return
    if result.ran:
        end_unknown(
            core, state, "the agent dispatched the request; its response was lost"
        )
        return
    _clear_grant(state)
    retry_or_end(core, state, now)


def abandon_if_stalled(core: RouterCore, state: RequestState, now: float) -> None:
    """Abandon a grant whose agent is silent or restarted, but left it open."""
    grant = state.grant
    if grant is None or grant.lost_at is not None:
        return
    agent = core.agents.get(grant.agent)
    is_responsive = agent is not None and agent.is_reachable(now)
    if is_responsive and not _agent_restarted(core, grant):
        return
    if now - grant.progress_at < PEER_TIMEOUT_S:
        return
    core.outbox.add_action(AbandonGrant(state.request.request_id, grant.attempt))
    on_lost(core, state, grant.started, now)


def end_if_restarted(core: RouterCore, state: RequestState) -> None:
    """End a request whose lost grant was for an earlier incarnation of the agent."""
    grant = state.grant
    if grant is None or grant.lost_at is None:
        return
    if _agent_restarted(core, grant):
        end_unknown(core, state, "the agent restarted after the grant")


def _clear_grant(state: RequestState) -> OutstandingGrant:
    grant = state.grant
    assert grant is not None
    state.grant = None
    return grant


def _agent_restarted(core: RouterCore, grant: OutstandingGrant) -> bool:
    agent = core.agents.get(grant.agent)
    return agent is None or agent.incarnation != grant.incarnation


def _mark_suspect(core: RouterCore, grant: OutstandingGrant) -> None:
    agent = core.agents.get(grant.agent)
    if agent is not None and agent.incarnation == grant.incarnation:
        agent.suspect = True


def _send_revoke(
    core: RouterCore, state: RequestState, grant: OutstandingGrant, now: float
) -> None:
    request_id = state.request.request_id
    core.outbox.send(grant.agent, Revoke(request_id, grant.attempt))
    delay = core.resend_delay(grant.resends)
    callback = partial(_resend_revoke, core, request_id, grant.attempt)
    core.timers.add(now + delay, callback)


def _resend_revoke(
    core: RouterCore, request_id: RequestId, attempt: int, now: float
) -> None:
    state = core.requests_by_id.get(request_id)
    grant = None if state is None else state.grant
    if state is None or grant is None or grant.lost_at is None:
        return
    if grant.attempt != attempt:
        return
    if now - grant.lost_at >= REVOKE_TIMEOUT_S:
        end_unknown(core, state, "the agent did not confirm the revocation in time")
        return
    grant.resends += 1
    _send_revoke(core, state, grant, now)
