"""Error responses of the administration API."""

from collections.abc import Iterable, Mapping
from enum import StrEnum

from msgspec import Struct

from berylwalk.model import Finding


class ProblemKind(StrEnum):
    """Machine-readable kind of error."""

    DENIED = "denied"
    """The bearer token is missing or wrong."""

    NOT_FOUND = "not-found"
    """There is no such resource."""

    METHOD_NOT_ALLOWED = "method-not-allowed"
    """The resource does not support this method."""

    INVALID = "invalid"
    """The input is invalid; all problems are listed."""

    TOO_LARGE = "too-large"
    """The body is too large."""

    TIMED_OUT = "timed-out"
    """The body was not received in time."""

    CLASH = "clash"
    """The edits conflict with a later change to the same settings."""

    STALE = "stale"
    """The base version is too old, or the settings have changed since."""

    UNDECIDED = "undecided"
    """It is unknown whether the change or order took effect."""

    UNKNOWN_CHANGE = "unknown-change"
    """The change is not among the recently accepted ones."""

    UNAVAILABLE = "unavailable"
    """The request cannot be served at present; nothing was changed."""

    UNSUPPORTED = "unsupported"
    """This deployment does not support the operation."""

    REFUSED = "refused"
    """The order was refused; nothing was sent to a target."""

    INTERNAL = "internal"
    """An internal error; the logs have details."""


class ClashDetails(Struct, frozen=True):
    """An edit that conflicts with a later change; null stands for an absent key.

    Parameters
    ----------
    path, key : str
        Path and key of the rejected edit.
    yours, theirs : object
        Value of the rejected edit, and the current value.
    their_author, their_change_id : str
        Author and id of the conflicting change.
    their_version : int
        Settings version that the conflicting change created.
    """

    path: str
    key: str
    yours: object
    theirs: object
    their_author: str
    their_change_id: str
    their_version: int


class Problem(Struct, frozen=True, omit_defaults=True):
    """Body of error responses.

    Parameters
    ----------
    kind : ProblemKind
        Machine-readable kind of error.
    detail : str
        Description of the error for operators.
    findings : tuple of Finding
        All problems of the input, for the kind ``invalid``.
    clashes : tuple of ClashDetails
        All conflicting edits, for the kind ``clash``.
    version : int or None
        Settings version that the input was checked against.
    change_id : str
        Id of the change, if the request submitted one.
    """

    kind: ProblemKind
    detail: str
    findings: tuple[Finding, ...] = ()
    clashes: tuple[ClashDetails, ...] = ()
    version: int | None = None
    change_id: str = ""


class ProblemError(Exception):
    """Raised by handlers to send an error response.

    Parameters
    ----------
    status : int
        HTTP status code.
    problem : Problem
        The body.
    headers : mapping of str to str, optional
        Further headers.
    """

    def __init__(
        self, status: int, problem: Problem, headers: Mapping[str, str] | None = None
    ) -> None:
        super().__init__(problem.detail)
        self.status = status
        self.problem = problem
        self.headers = dict(headers or {})


def invalid(findings: Iterable[Finding], *, change_id: str = "") -> ProblemError:
    """Return the error for invalid input.

    Parameters
    ----------
    findings : iterable of Finding
        All problems of the input.
    change_id : str
        Id of the change, if the request submitted one.

    Returns
    -------
    ProblemError
        With status 422.
    """
    found = tuple(findings)
    detail = f"the input has {len(found)} mistake(s)"
    return ProblemError(
        422, Problem(ProblemKind.INVALID, detail, findings=found, change_id=change_id)
    )
