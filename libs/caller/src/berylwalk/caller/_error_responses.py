"""Error responses to requests that ended without a complete response."""

from random import Random

from berylwalk.caller._errors import ErrorResponse, ErrorType
from berylwalk.caller._limits import CallerLimits
from berylwalk.model import (
    FinalResponse,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
)

SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
CONFLICT = 409
UNPROCESSABLE = 422

_STATUS_BY_REASON = {
    RefusalReason.ACCOUNT_LIMIT: 429,
    RefusalReason.DEADLINE: 504,
}
_TYPE_BY_REASON = {
    RefusalReason.ACCOUNT_LIMIT: ErrorType.RATE_LIMIT,
}
_MESSAGE_BY_REASON = {
    RefusalReason.ACCOUNT_LIMIT: "the client account is over a limit of its settings",
    RefusalReason.DEADLINE: "it could not meet its deadline",
    RefusalReason.NO_TARGET: "no eligible target is reachable",
    RefusalReason.LEAVING: "the router is draining",
    RefusalReason.PLATFORM_DOWN: "the idempotency key cannot be recorded at present",
}
_DEFAULT_MESSAGE = "every eligible target refused it"


class RetryDelays:
    """Retry delays with jitter, so that refused callers don't retry simultaneously.

    Parameters
    ----------
    limits : CallerLimits
        Default delay and fraction of jitter.
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, limits: CallerLimits, generator: Random) -> None:
        self._limits = limits
        self._generator = generator

    def with_jitter(self, retry_after_ms: int) -> int:
        """Return `retry_after_ms`, or the default delay for 0, with jitter added."""
        base = retry_after_ms or self._limits.retry_after_ms
        return base + int(base * self._limits.retry_jitter * self._generator.random())


def not_run(refusal: Refusal, retry_delays: RetryDelays) -> ErrorResponse:
    """Return the response to a request that did not run and never will."""
    reason = refusal.reason
    cause = refusal.detail or _MESSAGE_BY_REASON.get(reason, _DEFAULT_MESSAGE)
    return ErrorResponse(
        status=_STATUS_BY_REASON.get(reason, SERVICE_UNAVAILABLE),
        error_type=_TYPE_BY_REASON.get(reason, ErrorType.NOT_RUN),
        code=reason.value,
        message=f"This request was not run: {cause}",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=retry_delays.with_jitter(refusal.retry_after_ms),
        may_retry=True,
    )


def not_ready(retry_delays: RetryDelays) -> ErrorResponse:
    """Return the response while the router does not know the settings yet."""
    return ErrorResponse(
        status=SERVICE_UNAVAILABLE,
        error_type=ErrorType.NOT_RUN,
        code="not-ready",
        message="This request was not run: the router has not learned the settings yet",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=retry_delays.with_jitter(0),
        may_retry=True,
    )


def unknown_outcome(*, idempotent: bool) -> ErrorResponse:
    """Return the response to a request whose outcome is unknown."""
    return ErrorResponse(
        status=BAD_GATEWAY,
        error_type=ErrorType.UNKNOWN_OUTCOME,
        code="unknown-outcome",
        message="The request was dispatched and its result could not be learned.",
        outcome=Outcome.UNKNOWN,
        may_retry=idempotent,
    )


def key_in_use(refusal: Refusal, retry_delays: RetryDelays) -> ErrorResponse:
    """Return the response to a request whose idempotency key is in use.

    The outcome is ``unknown``: this request did not run, but the request that
    holds the key, which stands for the same call, may have run.
    """
    cause = refusal.detail or "it runs or may have run"
    return ErrorResponse(
        status=CONFLICT,
        error_type=ErrorType.CONFLICT,
        code=refusal.reason.value,
        message=f"Another request has this idempotency key: {cause}",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=retry_delays.with_jitter(refusal.retry_after_ms),
        may_retry=True,
    )


def key_reused(refusal: Refusal) -> ErrorResponse:
    """Return the response to a call with the idempotency key of a different call."""
    cause = refusal.detail or "it was used for a different call"
    return ErrorResponse(
        status=UNPROCESSABLE,
        error_type=ErrorType.INVALID_REQUEST,
        code=RefusalReason.KEY_REUSED.value,
        message=f"The idempotency key cannot be used for this call: {cause}",
        outcome=Outcome.INVALID,
    )


def key_settled(refusal: Refusal) -> ErrorResponse:
    """Return the response to a repeated call whose response is not stored.

    The outcome is that of the first request with the key.
    """
    cause = refusal.detail or "the call is complete"
    return ErrorResponse(
        status=CONFLICT,
        error_type=ErrorType.CONFLICT,
        code=RefusalReason.KEY_SETTLED.value,
        message=f"The call with this idempotency key was answered before and its "
        f"answer is not kept: {cause}",
        outcome=Outcome.COMPLETE,
    )


def error_for(
    final: FinalResponse, request: Request, retry_delays: RetryDelays
) -> ErrorResponse:
    """Return the error for a request that ended without a complete response."""
    if final.outcome is Outcome.NOT_RUN and not final.started:
        return _refused(final.refusal or Refusal(RefusalReason.NO_TARGET), retry_delays)
    if final.outcome is Outcome.INVALID:
        return _invalid_request(final)
    return unknown_outcome(idempotent=request.idempotent)


def _refused(refusal: Refusal, retry_delays: RetryDelays) -> ErrorResponse:
    match refusal.reason:
        case RefusalReason.KEY_IN_USE:
            return key_in_use(refusal, retry_delays)
        case RefusalReason.KEY_REUSED:
            return key_reused(refusal)
        case RefusalReason.KEY_SETTLED:
            return key_settled(refusal)
    return not_run(refusal, retry_delays)


def _invalid_request(final: FinalResponse) -> ErrorResponse:
    detail = final.refusal.detail if final.refusal else ""
    return ErrorResponse(
        status=400,
        error_type=ErrorType.INVALID_REQUEST,
        code="invalid-request",
        message=detail or "The request was rejected.",
        outcome=Outcome.INVALID,
    )
