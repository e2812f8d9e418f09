"""Responses to settings changes."""

from msgspec import Struct

from berylwalk.admin._calls import Response
from berylwalk.admin._inputs import CHANGE_ID, as_json_value, with_request_place
from berylwalk.admin._problems import (
    ClashDetails,
    Problem,
    ProblemError,
    ProblemKind,
    invalid,
)
from berylwalk.settings import (
    Accepted,
    ConflictingEdit,
    PatchConflict,
    Rejected,
    Stale,
    SubmitResult,
    Undecided,
)

RETRY_AFTER_S = 1
CHANGES_PATH = "/admin/v1/settings/changes/"


class AcceptedChange(Struct, frozen=True, omit_defaults=True):
    """Body that describes an accepted change.

    Parameters
    ----------
    version : int
        Settings version that the change created.
    change_id : str
        Id of the change.
    author : str
        Author of the change; omitted in the response to its submission.
    """

    version: int
    change_id: str
    author: str = ""


def response_for(result: SubmitResult, change_id: str) -> Response:
    """Return the response to a submitted change.

    Parameters
    ----------
    result : SubmitResult
        Result of the submission.
    change_id : str
        Id of the change.

    Returns
    -------
    Response
        If the change was accepted.

    Raises
    ------
    ProblemError
        Otherwise.
    """
    if isinstance(result, Accepted):
        return accepted_response(result.version, change_id)
    raise _error_for(result, change_id)


def accepted_response(version: int, change_id: str) -> Response:
    """Return the response to an accepted change."""
    headers = {CHANGE_ID: change_id, "ETag": f'"{version}"'}
    return Response(AcceptedChange(version, change_id), headers)


def _error_for(
    result: PatchConflict | Stale | Rejected | Undecided, change_id: str
) -> ProblemError:
    if isinstance(result, PatchConflict):
        return _clash(result, change_id)
    if isinstance(result, Stale):
        problem = Problem(ProblemKind.STALE, str(result), change_id=change_id)
        return ProblemError(409, problem, {CHANGE_ID: change_id})
    if isinstance(result, Rejected):
        return invalid(map(with_request_place, result.findings), change_id=change_id)
    problem = Problem(ProblemKind.UNDECIDED, result.reason, change_id=change_id)
    headers = {
        CHANGE_ID: change_id,
        "Location": CHANGES_PATH + change_id,
        "Retry-After": str(RETRY_AFTER_S),
    }
    return ProblemError(503, problem, headers)


def _clash(result: PatchConflict, change_id: str) -> ProblemError:
    problem = Problem(
        ProblemKind.CLASH,
        f"{len(result.edits)} edit(s) clash with later changes; nothing was changed",
        clashes=tuple(map(_clash_details, result.edits)),
        version=result.version,
        change_id=change_id,
    )
    return ProblemError(409, problem, {CHANGE_ID: change_id})


def _clash_details(edit: ConflictingEdit) -> ClashDetails:
    return ClashDetails(
        path=edit.path,
        key=edit.key,
        yours=as_json_value(edit.yours),
        theirs=as_json_value(edit.theirs),
        their_author=edit.their_author,
        their_change_id=edit.their_change_id,
        their_version=edit.their_version,
    )
