"""Answers to changes of the settings."""

from msgspec import Struct

from berylwalk.admin._calls import Answer
from berylwalk.admin._inputs import CHANGE_ID, as_json_value, place_in_request
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
    """An accepted change.

    Parameters
    ----------
    version : int
        Settings version that the change made.
    change_id : str
        Its name.
    author : str
        Who made it; left out in the answer to the change itself.
    """

    version: int
    change_id: str
    author: str = ""


def answer_for(result: SubmitResult, change_id: str) -> Answer:
    """Make the answer to a change.

    Parameters
    ----------
    result : SubmitResult
        What became of it.
    change_id : str
        Its name.

    Returns
    -------
    Answer
        When it was accepted.

    Raises
    ------
    ProblemError
        In every other case.
    """
    if isinstance(result, Accepted):
        return accepted_answer(result.version, change_id)
    raise _error_for(result, change_id)


def accepted_answer(version: int, change_id: str) -> Answer:
    """Make the answer to an accepted change."""
    headers = {CHANGE_ID: change_id, "ETag": f'"{version}"'}
    return Answer(AcceptedChange(version, change_id), headers)


def _error_for(
    result: PatchConflict | Stale | Rejected | Undecided, change_id: str
) -> ProblemError:
    if isinstance(result, PatchConflict):
        return _clash(result, change_id)
    if isinstance(result, Stale):
        problem = Problem(ProblemKind.STALE, str(result), change_id=change_id)
        return ProblemError(409, problem, {CHANGE_ID: change_id})
    if isinstance(result, Rejected):
        return invalid(map(place_in_request, result.findings), change_id=change_id)
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
