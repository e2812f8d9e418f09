"""Handlers of request arrival, key claims, deadlines and caller disconnects."""

from functools import partial

from berylwalk.model import (
    FinalResponse,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
)
from berylwalk.router._accounts import account_refusal
from berylwalk.router._core import RouterCore
from berylwalk.router._ending import end_not_run, end_unknown
from berylwalk.router._events import (
    AbandonGrant,
    ClaimKey,
    EndRequest,
    KeyClaimed,
    KeyRefused,
    ReleaseKey,
)
from berylwalk.router._messages import grant_ready_reservation
from berylwalk.router._placing import deadline_refusal, place
from berylwalk.router._request_state import KeyState, RequestState
from berylwalk.router._stopping import leaving_refusal


def on_arrival(core: RouterCore, request: Request, now: float) -> None:
    """Accept or refuse a request."""
    refusal = _refusal_at_arrival(core, request)
    if refusal is not None:
        response = FinalResponse(Outcome.NOT_RUN, refusal)
        core.outbox.add_action(EndRequest(request.request_id, response))
        return
    key = KeyState.PENDING if request.idempotency_key else KeyState.NOT_NEEDED
    state = RequestState(request, key)
    core.add(state)
    if key is KeyState.PENDING:
        core.outbox.add_action(ClaimKey(request))
    callback = partial(_on_deadline, core, request.request_id)
    core.timers.add(request.deadline_at, callback)
    place(core, state, now)


def on_key_claimed(core: RouterCore, event: KeyClaimed, now: float) -> None:
    """Allow the grant, or release the key of a request that has ended."""
    ended = core.unclaimed_by_id.pop(event.request_id, None)
    if ended is not None:
        core.outbox.add_action(ReleaseKey(ended))
        return
    state = core.requests_by_id.get(event.request_id)
    if state is None or state.key is not KeyState.PENDING:
        return
    state.key = KeyState.CLAIMED
    if not grant_ready_reservation(core, state, now):
        place(core, state, now)


def on_key_refused(core: RouterCore, event: KeyRefused) -> None:
    """End a request whose idempotency key could not be claimed."""
    core.unclaimed_by_id.pop(event.request_id, None)
    state = core.requests_by_id.get(event.request_id)
    if state is None or state.key is not KeyState.PENDING:
        return
    state.key = KeyState.NOT_NEEDED
    end_not_run(core, state, event.refusal)


def on_caller_disconnected(core: RouterCore, request_id: RequestId) -> None:
    """Withdraw a waiting request, or abandon the grant of a granted one."""
    state = core.requests_by_id.get(request_id)
    if state is None:
        return
    if state.grant is None:
        refusal = Refusal(RefusalReason.WITHDRAWN, detail="the caller disconnected")
        end_not_run(core, state, refusal)
        return
    if state.grant.lost_at is None:
        core.outbox.add_action(AbandonGrant(request_id, state.grant.attempt))
    end_unknown(core, state, "the caller disconnected after the grant")


def _refusal_at_arrival(core: RouterCore, request: Request) -> Refusal | None:
    if core.draining:
        return leaving_refusal()
    account = request.service_policy.client_account
    ids = core.ids_by_account.get(account, ())
    states = (core.requests_by_id[request_id] for request_id in ids)
    return account_refusal(request.service_policy, states)


def _on_deadline(core: RouterCore, request_id: RequestId, now: float) -> None:
    state: RequestState | None = core.requests_by_id.get(request_id)
    if state is not None and state.grant is None:
        end_not_run(core, state, deadline_refusal())
