"""What a router that stops still begins, and the end of what remains.

Load that it answers: requests that wait when the router gets SIGTERM. Granted later,
one may be cut at the end of the process, with its target at work; refused instead, its
caller reaches another router while it has time.
"""

from functools import partial

from berylwalk.dispatch import GracefulStop
from berylwalk.model import Refusal, RefusalReason
from berylwalk.router._config import DEFAULT_RETRY_AFTER_MS
from berylwalk.router._core import RouterCore
from berylwalk.router._ending import end_not_run, end_unknown
from berylwalk.router._events import AbandonGrant
from berylwalk.router._request_state import RequestState


def begin_drain(core: RouterCore, stop: GracefulStop | None) -> None:
    """Refuse new requests, and the waiting ones that may outlast the process.

    Parameters
    ----------
    core : RouterCore
        State of the router.
    stop : GracefulStop or None
        When the process ends; None if it waits for all accepted requests.
    """
    core.draining = True
    if stop is None:
        return
    core.stop = stop
    for state in tuple(core.requests_by_id.values()):
        if state.grant is None and may_outlast_process(core, state):
            end_not_run(core, state, leaving_refusal())
    core.timers.add(stop.exit_at, partial(_end_remaining, core))


def may_outlast_process(core: RouterCore, state: RequestState) -> bool:
    """Return whether a request that begins now may be cut by the end of the process."""
    return core.stop is not None and state.request.deadline_at > core.stop.exit_at


def leaving_refusal() -> Refusal:
    """Return the refusal for a request that another router can serve."""
    detail = "the router is draining"
    return Refusal(RefusalReason.LEAVING, DEFAULT_RETRY_AFTER_MS, detail)


def _end_remaining(core: RouterCore, now: float) -> None:
    for state in tuple(core.requests_by_id.values()):
        if state.grant is None:
            end_not_run(core, state, leaving_refusal())
            continue
        if state.grant.lost_at is None:
            attempt = state.grant.attempt
            core.outbox.add_action(AbandonGrant(state.request.request_id, attempt))
        end_unknown(core, state, "the router stopped before the response was complete")
