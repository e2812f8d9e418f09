"""Error responses in the format of the OpenAI API."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from berylwalk.model import Finding, Outcome

REQUEST_ID_HEADER = "berylwalk-request-id"
OUTCOME_HEADER = "berylwalk-outcome"
AGENT_HEADER = "berylwalk-agent"


class ErrorType(StrEnum):
    """Value of ``error.type``."""

    INVALID_REQUEST = "invalid_request_error"
    AUTHENTICATION = "authentication_error"
    PERMISSION = "permission_error"
    NOT_FOUND = "not_found_error"
    RATE_LIMIT = "rate_limit_error"
    CONFLICT = "conflict_error"
    NOT_RUN = "not_run_error"
    UNKNOWN_OUTCOME = "unknown_outcome_error"


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """An error response to the caller.

    Parameters
    ----------
    status : int
        HTTP status code.
    error_type : ErrorType
        Kind of error.
    code : str
        Stable identifier of the cause.
    message : str
        One sentence.
    outcome : Outcome
        Outcome of the request.
    findings : tuple of Finding
        All problems found in the request.
    retry_after_ms : int
        Delay before a retry, in milliseconds; with 0 no delay is sent.
    may_retry : bool
        Whether clients may retry automatically.
    close : bool
        Whether the connection is closed after the response.
    headers : tuple of (str, str)
        Further headers.
    """

    status: int
    error_type: ErrorType
    code: str
    message: str
    outcome: Outcome
    findings: tuple[Finding, ...] = ()
    retry_after_ms: int = 0
    may_retry: bool = False
    close: bool = False
    headers: tuple[tuple[str, str], ...] = ()


class _ErrorFields(msgspec.Struct, omit_defaults=True):
    message: str
    type: str
    code: str
    param: str | None
    findings: tuple[Finding, ...]
    request_id: str
    outcome: str
    retry_after_ms: int | msgspec.UnsetType = msgspec.UNSET


class ErrorDocument(msgspec.Struct):
    """Body of an error response."""

    error: _ErrorFields


@dataclass(frozen=True, slots=True)
class Problem:
    """A finding, and the status of the response if there is no other finding."""

    status: int
    finding: Finding


def error_document(response: ErrorResponse, request_id: str) -> ErrorDocument:
    """Return the JSON body of an error response."""
    return ErrorDocument(
        _ErrorFields(
            message=response.message,
            type=response.error_type.value,
            code=response.code,
            param=response.findings[0].place if response.findings else None,
            findings=response.findings,
            request_id=request_id,
            outcome=response.outcome.value,
            retry_after_ms=response.retry_after_ms or msgspec.UNSET,
        )
    )


def error_headers(response: ErrorResponse, request_id: str) -> dict[str, str]:
    """Return the headers of an error response."""
    values_by_name = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: response.outcome.value,
        # Without this header OpenAI clients retry many statuses automatically.
        "x-should-retry": "true" if response.may_retry else "false",
    }
    values_by_name.update(response.headers)
    if response.retry_after_ms:
        seconds = math.ceil(response.retry_after_ms / 1000)
        values_by_name["retry-after"] = str(seconds)
        values_by_name["retry-after-ms"] = str(response.retry_after_ms)
    if response.close:
        values_by_name["connection"] = "close"
    return values_by_name


def invalid(
    status: int,
    code: str,
    findings: Sequence[Finding],
    *,
    error_type: ErrorType = ErrorType.INVALID_REQUEST,
    close: bool = False,
    headers: tuple[tuple[str, str], ...] = (),
) -> ErrorResponse:
    """Return the response to an invalid request, which was not placed."""
    return ErrorResponse(
        status=status,
        error_type=error_type,
        code=code,
        message="; ".join(str(finding) for finding in findings),
        outcome=Outcome.INVALID,
        findings=tuple(findings),
        close=close,
        headers=headers,
    )


MAX_FINDINGS = 100
BAD_REQUEST = 400
FORBIDDEN = 403
NOT_FOUND = 404

_CODES_BY_STATUS = {
    BAD_REQUEST: ("invalid-request", ErrorType.INVALID_REQUEST),
    FORBIDDEN: ("not-allowed", ErrorType.PERMISSION),
    NOT_FOUND: ("not-found", ErrorType.NOT_FOUND),
}


def rejected(problems: Sequence[Problem]) -> ErrorResponse:
    """Return one response for all problems, with the lowest of their statuses.

    Findings beyond `MAX_FINDINGS` are counted but not listed.
    """
    status = min(problem.status for problem in problems)
    code, error_type = _CODES_BY_STATUS[status]
    findings = [problem.finding for problem in problems[:MAX_FINDINGS]]
    omitted_count = len(problems) - len(findings)
    if omitted_count:
        findings.append(
            Finding("request", f"{omitted_count} more mistakes are not listed")
        )
    return invalid(status, code, findings, error_type=error_type)
