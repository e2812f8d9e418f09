"""Submission of a request to the core and relay of its response."""

from anyio import CancelScope, create_task_group, move_on_after

from berylwalk.caller._error_responses import RetryDelays, error_for, unknown_outcome
from berylwalk.caller._errors import ErrorResponse, error_document
from berylwalk.caller._limits import CallerLimits
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
    retry_delays: RetryDelays,
) -> ErrorResponse | None:
    """Submit a request and relay its response.

    Parameters
    ----------
    submitter : Submitter
        The router's core.
    request : Request
        The request.
    relay : Relay
        Receives the response.
    receive : callable
        ASGI receive callable; the body has been read.
    limits : CallerLimits
        Write timeout.
    retry_delays : RetryDelays
        Retry delays of refusals.

    Returns
    -------
    ErrorResponse or None
        Error that remains to be sent; None when the complete response was sent or
        the caller disconnected.

    Raises
    ------
    AbortConnection
        If the response failed after a part of it was sent to the caller.
    """
    final = await _submit_until_disconnect(submitter, request, relay, receive, limits)
    if final is None:
        return None
    if final.outcome is Outcome.COMPLETE and relay.is_complete():
        await relay.complete()
        return None
    error = _error_for_final(final, request, relay, retry_delays)
    if relay.has_sent_bytes:
        await relay.abort(error_document(error, str(request.request_id)))
    return error


def _error_for_final(
    final: FinalResponse, request: Request, relay: Relay, retry_delays: RetryDelays
) -> ErrorResponse:
    if final.outcome is Outcome.COMPLETE or relay.status:
        # The target received the request, so the outcome cannot be not-run.
        return unknown_outcome(idempotent=request.idempotent)
    return error_for(final, request, retry_delays)


async def _submit_until_disconnect(
    submitter: Submitter,
    request: Request,
    relay: Relay,
    receive: Receive,
    limits: CallerLimits,
) -> FinalResponse | None:
    """Submit the request; return None when the caller disconnected."""
    final: FinalResponse | None = None
    async with create_task_group() as tasks:
        scope = tasks.cancel_scope
        tasks.start_soon(_watch_caller, receive, relay, limits, scope)
        final = await _submit_or_unknown(submitter, request, relay)
        scope.cancel()
    return final


async def _submit_or_unknown(
    submitter: Submitter, request: Request, relay: Relay
) -> FinalResponse | None:
    try:
        return await submitter.submit(request, relay)
    except CallerDisconnectedError:
        return None
    except Exception as error:
        # A grant may have been issued before the error.
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
