"""Reading of request bodies within the limits."""

from berylwalk.caller._error_responses import RetryDelays
from berylwalk.caller._errors import ErrorResponse, ErrorType, invalid
from berylwalk.caller._headers import ValuesByName
from berylwalk.caller._limits import ByteReservation, CallerLimits
from berylwalk.model import Finding, Outcome
from berylwalk.transport import BodyFailure, Message, Receive, read_body

CONTENT_TOO_LARGE = 413
REQUEST_TIMEOUT = 408
SERVICE_UNAVAILABLE = 503


class CallerDisconnected:
    """Result in place of a body when the caller closed its connection."""


class _BudgetExceededError(Exception):
    """The common byte budget of all requests is exhausted."""


async def receive_body(
    receive: Receive,
    values: ValuesByName,
    reservation: ByteReservation,
    limits: CallerLimits,
    retry_delays: RetryDelays,
) -> bytes | ErrorResponse | CallerDisconnected:
    """Read a request body.

    Parameters
    ----------
    receive : callable
        ASGI receive callable.
    values : mapping
        Values of the headers by name.
    reservation : ByteReservation
        Counts the bytes against the common budget.
    limits : CallerLimits
        Maximum size and timeout.
    retry_delays : RetryDelays
        Retry delay when the budget is exhausted.

    Returns
    -------
    bytes, ErrorResponse or CallerDisconnected
        The body, or the reason why there is none.
    """
    if _declared_size(values) > limits.max_body_bytes:
        return _too_large(limits)

    async def counted() -> Message:
        message = await receive()
        if not reservation.grow(len(message.get("body", b""))):
            raise _BudgetExceededError
        return message

    try:
        body = await read_body(counted, limits.max_body_bytes, limits.body_timeout_s)
    except _BudgetExceededError:
        return _over_budget(retry_delays)
    if body is BodyFailure.DISCONNECTED:
        return CallerDisconnected()
    if body is BodyFailure.TOO_LARGE:
        return _too_large(limits)
    if body is BodyFailure.TIMED_OUT:
        return _timed_out(limits)
    return body


def _declared_size(values: ValuesByName) -> int:
    declared = values.get("content-length", ["0"])[0]
    return int(declared) if declared.isdecimal() else 0


def _too_large(limits: CallerLimits) -> ErrorResponse:
    finding = Finding("body", f"is larger than {limits.max_body_bytes} bytes")
    return invalid(CONTENT_TOO_LARGE, "body-too-large", [finding])


def _timed_out(limits: CallerLimits) -> ErrorResponse:
    problem = f"did not arrive whole within {limits.body_timeout_s:g} s"
    finding = Finding("body", problem)
    return invalid(REQUEST_TIMEOUT, "body-timeout", [finding], close=True)


def _over_budget(retry_delays: RetryDelays) -> ErrorResponse:
    return ErrorResponse(
        status=SERVICE_UNAVAILABLE,
        error_type=ErrorType.NOT_RUN,
        code="router-full",
        message="This request was not run: the router holds too many bytes at present",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=retry_delays.with_jitter(0),
        may_retry=True,
    )
