"""Parsing and validation of requests from operators."""

import re
from collections.abc import Callable
from enum import StrEnum
from typing import Annotated, TypeVar
from uuid import uuid4

from msgspec import UNSET
from pydantic import (
    BaseModel,
    BeforeValidator,
    ConfigDict,
    TypeAdapter,
    ValidationError,
    model_validator,
)

from berylwalk.admin._calls import AdminCall
from berylwalk.model import Finding
from berylwalk.settings import Edit

IF_MATCH = "If-Match"
CHANGE_ID = "Change-Id"
MAX_INTEGER = 2**53
"""Largest integer; JSON parsers that use doubles are not exact above it."""

_VERSION_PATTERN = re.compile(r'(\d{1,15})|"(\d{1,15})"')
_CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")
_VALUE_ERROR_PREFIX = "Value error, "
_PLACE_BY_PATCH_FIELD = {"/base_version": IF_MATCH, "/change_id": CHANGE_ID}
_EDITS_PREFIX = "/edits"

_Input = TypeVar("_Input")


class SectionAction(StrEnum):
    """Action of an edit on an entire section."""

    CREATE = "create"
    DELETE = "delete"


def _check_value(value: object) -> object:
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise ValueError(f"must be from {-MAX_INTEGER} to {MAX_INTEGER}")
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return tuple(value)
    raise ValueError("must be a boolean, a number, a text, a list of texts or null")


class EditBody(BaseModel):
    """One edit of a patch.

    Parameters
    ----------
    path : str
        Path of a node, or ``tier NAME``.
    key : str
        The key to change.
    value : bool or int or float or str or list of str or None
        The new value; None removes the key.
    section : SectionAction
        Instead of key and value: create the section, or delete it with its
        descendants.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    path: str
    key: str = ""
    value: Annotated[object, BeforeValidator(_check_value)] = UNSET
    section: SectionAction | None = None

    @model_validator(mode="after")
    def _check_shape(self) -> "EditBody":
        if self.section is not None and (self.key or self.value is not UNSET):
            raise ValueError("section goes with neither key nor value")
        if self.section is None and (not self.key or self.value is UNSET):
            raise ValueError("needs a key and a value (null to unset), or a section")
        return self

    def to_edit(self) -> Edit:
        """Convert to an edit of `berylwalk.settings`."""
        if self.section is SectionAction.CREATE:
            return Edit.create(self.path)
        if self.section is SectionAction.DELETE:
            return Edit.delete(self.path)
        return Edit(self.path, self.key, UNSET if self.value is None else self.value)


_EDITS = TypeAdapter(tuple[EditBody, ...])


def read_edits(body: bytes) -> tuple[tuple[Edit, ...], list[Finding]]:
    """Parse the edits of a patch.

    Parameters
    ----------
    body : bytes
        JSON list of edits.

    Returns
    -------
    edits : tuple of Edit
        Empty when there are findings.
    findings : list of Finding
        All problems, located by JSON pointer.
    """
    edits, findings = read_json(_EDITS.validate_json, body)
    return tuple(edit.to_edit() for edit in edits or ()), findings


def read_json(
    validate: Callable[[bytes], _Input], body: bytes
) -> tuple[_Input | None, list[Finding]]:
    """Validate a JSON body.

    Parameters
    ----------
    validate : callable
        Pydantic validator of a JSON text.
    body : bytes
        The body.

    Returns
    -------
    input : object or None
        None when there are findings.
    findings : list of Finding
        All problems, located by JSON pointer.
    """
    try:
        return validate(body), []
    except ValidationError as error:
        return None, [
            Finding(_pointer(details["loc"]), _problem(details["msg"]))
            for details in error.errors(include_url=False)
        ]


def _pointer(location: tuple[int | str, ...]) -> str:
    return "".join(f"/{part}" for part in location) or "body"


def _problem(message: str) -> str:
    return message.removeprefix(_VALUE_ERROR_PREFIX)


def read_base_version(call: AdminCall) -> tuple[int, list[Finding]]:
    """Parse the settings version that a change is based on.

    Parameters
    ----------
    call : AdminCall
        Request with the version in the header ``If-Match``, quoted or unquoted.

    Returns
    -------
    version : int
        0 when there are findings.
    findings : list of Finding
        At most one.
    """
    text = call.headers.get(IF_MATCH.lower())
    if text is None:
        problem = "is required: the settings version that the change is made to"
        return 0, [Finding(IF_MATCH, problem)]
    match = _VERSION_PATTERN.fullmatch(text.strip())
    if match is None:
        return 0, [Finding(IF_MATCH, f"{text!r} is not a settings version")]
    return int(match[1] or match[2]), []


def read_change_id(call: AdminCall) -> tuple[str, list[Finding]]:
    """Parse the id of a change, or generate one.

    Parameters
    ----------
    call : AdminCall
        Request with an optional header ``Change-Id``.

    Returns
    -------
    change_id : str
        Id of the change.
    findings : list of Finding
        At most one.
    """
    text = call.headers.get(CHANGE_ID.lower())
    if text is None:
        return uuid4().hex, []
    if _CHANGE_ID_PATTERN.fullmatch(text) is None:
        problem = "must have from 1 to 100 letters, digits, '.', '_' or '-'"
        return text, [Finding(CHANGE_ID, problem)]
    return text, []


def with_request_place(finding: Finding) -> Finding:
    """Convert the place of a finding from a patch to the request.

    Parameters
    ----------
    finding : Finding
        Finding of `berylwalk.settings`.

    Returns
    -------
    Finding
        Its place is a header name or a JSON pointer into the list of edits.
    """
    place = _PLACE_BY_PATCH_FIELD.get(finding.place, finding.place)
    if place.startswith(_EDITS_PREFIX):
        place = place.removeprefix(_EDITS_PREFIX) or "body"
    return Finding(place, finding.problem)


def as_json_value(value: object) -> object:
    """Return None, JSON null, for an unset value."""
    return None if value is UNSET else value
