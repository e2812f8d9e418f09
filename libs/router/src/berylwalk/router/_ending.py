"""Ending of requests and withdrawal of their reservations."""

from berylwalk.model import FinalResponse, Outcome, Refusal, RefusalReason
from berylwalk.router._config import DEFAULT_RETRY_AFTER_MS
from berylwalk.router._core import RouterCore
from berylwalk.router._events import EndRequest, ReleaseKey
from berylwalk.router._request_state import KeyState, Phase, RequestState
from berylwalk.wire import Withdraw


def withdraw_reservation(core: RouterCore, state: RequestState, agent: str) -> None:
    """Withdraw the reservation at one agent."""
    reservation = state.reservations_by_agent.pop(agent, None)
    if reservation is None:
        return
    request_id = state.request.request_id
    core.outbox.send(agent, Withdraw(request_id, reservation.attempt))


def withdraw_reservations(core: RouterCore, state: RequestState) -> None:
    """Withdraw the reservations at all agents."""
    for agent in tuple(state.reservations_by_agent):
        withdraw_reservation(core, state, agent)


def end_not_run(core: RouterCore, state: RequestState, refusal: Refusal) -> None:
    """End a request that did not run.

    Raises
    ------
    RuntimeError
        If a grant is outstanding, so that the request may have run.
    """
    if state.phase not in (Phase.UNPLACED, Phase.WAITING):
        raise RuntimeError(f"{state.request.request_id} has an outstanding grant")
    retry_after_ms = refusal.retry_after_ms or DEFAULT_RETRY_AFTER_MS
    final_refusal = Refusal(refusal.reason, retry_after_ms, refusal.detail)
    withdraw_reservations(core, state)
    _release_key(core, state)
    _end(core, state, FinalResponse(Outcome.NOT_RUN, final_refusal))


def end_unknown(core: RouterCore, state: RequestState, detail: str) -> None:
    """End a request whose grant has an unknown result."""
    grant = state.grant
    assert grant is not None
    refusal = Refusal(RefusalReason.LOST, DEFAULT_RETRY_AFTER_MS, detail)
    response = FinalResponse(Outcome.UNKNOWN, refusal, grant.started, grant.agent)
    _end(core, state, response)


def end_complete(core: RouterCore, state: RequestState) -> None:
    """End a request whose whole response arrived."""
    grant = state.grant
    assert grant is not None
    core.retry_budget.record_success()
    response = FinalResponse(Outcome.COMPLETE, started=True, agent=grant.agent)
    _end(core, state, response)


def _end(core: RouterCore, state: RequestState, response: FinalResponse) -> None:
    core.remove(state)
    core.outbox.add_action(EndRequest(state.request.request_id, response))


def _release_key(core: RouterCore, state: RequestState) -> None:
    request = state.request
    if state.key is KeyState.CLAIMED:
        core.outbox.add_action(ReleaseKey(request))
    if state.key is KeyState.PENDING:
        # The claim is in progress; its record is deleted once the claim succeeds.
        core.unclaimed_by_id[request.request_id] = request
