"""How a request's end is told when no whole answer was delivered."""

from random import Random

from berylwalk.caller._errors import ErrorAnswer, ErrorType
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


class RetryTimes:
    """Retry times with jitter, so that refused callers don't return together.

    Parameters
    ----------
    limits : CallerLimits
        Default time and share of jitter.
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, limits: CallerLimits, generator: Random) -> None:
        self._limits = limits
        self._generator = generator

    def spread(self, retry_after_ms: int) -> int:
        """Return a time at or somewhat after `retry_after_ms`, in milliseconds."""
        base = retry_after_ms or self._limits.retry_after_ms
        return base + int(base * self._limits.retry_jitter * self._generator.random())


def not_run(refusal: Refusal, times: RetryTimes) -> ErrorAnswer:
    """Return the answer to a request that did not run and never will."""
    reason = refusal.reason
    cause = refusal.detail or _MESSAGE_BY_REASON.get(reason, _DEFAULT_MESSAGE)
    return ErrorAnswer(
        status=_STATUS_BY_REASON.get(reason, SERVICE_UNAVAILABLE),
        error_type=_TYPE_BY_REASON.get(reason, ErrorType.NOT_RUN),
        code=reason.value,
        message=f"This request was not run: {cause}",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=times.spread(refusal.retry_after_ms),
        may_retry=True,
    )


def not_ready(times: RetryTimes) -> ErrorAnswer:
    """Return the answer of a router that does not know the settings yet."""
    return ErrorAnswer(
        status=SERVICE_UNAVAILABLE,
        error_type=ErrorType.NOT_RUN,
        code="not-ready",
        message="This request was not run: the router has not learned the settings yet",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=times.spread(0),
        may_retry=True,
    )


def unknown(*, idempotent: bool) -> ErrorAnswer:
    """Return the answer to a request whose end could not be learned."""
    return ErrorAnswer(
        status=BAD_GATEWAY,
        error_type=ErrorType.UNKNOWN_OUTCOME,
        code="unknown-outcome",
        message="The request was dispatched and its result could not be learned.",
        outcome=Outcome.UNKNOWN,
        may_retry=idempotent,
    )


def key_in_use(refusal: Refusal, times: RetryTimes) -> ErrorAnswer:
    """Return the answer to a request whose key another request holds.

    The outcome is that of the key: this request did not run, but the one that
    holds the key may have, and the caller means the same work by both.
    """
    cause = refusal.detail or "it runs or may have run"
    return ErrorAnswer(
        status=CONFLICT,
        error_type=ErrorType.CONFLICT,
        code=refusal.reason.value,
        message=f"Another request has this idempotency key: {cause}",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=times.spread(refusal.retry_after_ms),
        may_retry=True,
    )


def key_reused(refusal: Refusal) -> ErrorAnswer:
    """Return the answer to a call under the key of a different call."""
    cause = refusal.detail or "it was used for a different call"
    return ErrorAnswer(
        status=UNPROCESSABLE,
        error_type=ErrorType.INVALID_REQUEST,
        code=RefusalReason.KEY_REUSED.value,
        message=f"The idempotency key cannot be used for this call: {cause}",
        outcome=Outcome.INVALID,
    )


def key_settled(refusal: Refusal) -> ErrorAnswer:
    """Return the answer to the repeat of a call whose answer is not kept.

    The outcome is that of the key, as in `key_in_use`.
    """
    cause = refusal.detail or "the call is complete"
    return ErrorAnswer(
        status=CONFLICT,
        error_type=ErrorType.CONFLICT,
        code=RefusalReason.KEY_SETTLED.value,
        message=f"The call with this idempotency key was answered before and its "
        f"answer is not kept: {cause}",
        outcome=Outcome.COMPLETE,
    )


def unfinished(
    final: FinalResponse, request: Request, times: RetryTimes
) -> ErrorAnswer:
    """Return the error for a request that ended without its whole answer."""
    if final.outcome is Outcome.NOT_RUN and not final.started:
        return _refused(final.refusal or Refusal(RefusalReason.NO_TARGET), times)
    if final.outcome is Outcome.INVALID:
        return _refused_by_router(final)
    return unknown(idempotent=request.idempotent)


def _refused(refusal: Refusal, times: RetryTimes) -> ErrorAnswer:
    match refusal.reason:
        case RefusalReason.KEY_IN_USE:
            return key_in_use(refusal, times)
        case RefusalReason.KEY_REUSED:
            return key_reused(refusal)
        case RefusalReason.KEY_SETTLED:
            return key_settled(refusal)
    return not_run(refusal, times)


def _refused_by_router(final: FinalResponse) -> ErrorAnswer:
    detail = final.refusal.detail if final.refusal else ""
    return ErrorAnswer(
        status=400,
        error_type=ErrorType.INVALID_REQUEST,
        code="invalid-request",
        message=detail or "The request was rejected.",
        outcome=Outcome.INVALID,
    )
