"""One validated request, from the core to the caller's last byte."""

from anyio import CancelScope, create_task_group, move_on_after

from berylwalk.caller._errors import ErrorAnswer, error_document
from berylwalk.caller._limits import CallerLimits
from berylwalk.caller._refusals import RetryTimes, unfinished, unknown
from berylwalk.caller._relay import Relay
from berylwalk.model import (
    CallerDisconnectedError,
    FinalResponse,
    Outcome,
    Request,
    Submitter,
)
from berylwalk.telemetry import Level, log_event
from berylwalk.transport import Receive


async def submit_and_relay(
    submitter: Submitter,
    request: Request,
    relay: Relay,
    receive: Receive,
    limits: CallerLimits,
    times: RetryTimes,
) -> ErrorAnswer | None:
    """Submit a request and relay its answer.

    Parameters
    ----------
    submitter : Submitter
        The router's core.
    request : Request
        The request.
    relay : Relay
        Where the answer goes.
    receive : callable
        ASGI receive callable; the body has been read.
    limits : CallerLimits
        How long a caller may leave its answer unread.
    times : RetryTimes
        Retry times of refusals.

    Returns
    -------
    ErrorAnswer or None
        What is left to be told; None when the whole answer was sent or the
        caller went away.

    Raises
    ------
    AbortConnection
        If the answer broke after the caller received a part of it.
    """
    final = await _submit_watched(submitter, request, relay, receive, limits)
    if final is None:
        return None
    if final.outcome is Outcome.COMPLETE and relay.is_whole():
        await relay.complete()
        return None
    error = _error_of(final, request, relay, times)
    if relay.reached_caller:
        await relay.break_off(error_document(error, str(request.request_id)))
    return error


def _error_of(
    final: FinalResponse, request: Request, relay: Relay, times: RetryTimes
) -> ErrorAnswer:
    if final.outcome is Outcome.COMPLETE or relay.status:
        # The target was reached, whatever the end is called.
        return unknown(idempotent=request.idempotent)
    return unfinished(final, request, times)


async def _submit_watched(
    submitter: Submitter,
    request: Request,
    relay: Relay,
    receive: Receive,
    limits: CallerLimits,
) -> FinalResponse | None:
    """Run the request until its end; None when the caller went away."""
    final: FinalResponse | None = None
    async with create_task_group() as tasks:
        scope = tasks.cancel_scope
        tasks.start_soon(_watch_caller, receive, relay, limits, scope)
        final = await _submit_guarded(submitter, request, relay)
        scope.cancel()
    return final


async def _submit_guarded(
    submitter: Submitter, request: Request, relay: Relay
) -> FinalResponse | None:
    try:
        return await submitter.submit(request, relay)
    except CallerDisconnectedError:
        return None
    except Exception as error:
        # Nobody can say whether a grant was issued.
        log_event(
            Level.ERROR,
            "submit-failed",
            request_id=str(request.request_id),
            error=repr(error),
        )
        return FinalResponse(Outcome.UNKNOWN, started=relay.status != 0)


async def _watch_caller(
    receive: Receive, relay: Relay, limits: CallerLimits, scope: CancelScope
) -> None:
    """Cancel the scope once the caller closes its connection or stops reading."""
    while not relay.is_stalled():
        message = None
        with move_on_after(limits.write_timeout_s):
            message = await receive()
        if message is not None and message["type"] == "http.disconnect":
            break
    scope.cancel()
