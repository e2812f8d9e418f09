"""Field types of the models and conversion of validation errors to findings."""

import re
from collections.abc import Callable
from ipaddress import ip_address
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from berylwalk.model import Finding

_VALUE_ERROR_PREFIX = "Value error, "


class StrictModel(BaseModel):
    """Base class of the models: frozen, and without unknown keys."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, str_strip_whitespace=True, allow_inf_nan=False
    )


def split_commas(value: object) -> object:
    """Split a comma-separated string; return other values unchanged."""
    if not isinstance(value, str):
        return value
    parts = [part.strip() for part in value.split(",")]
    return [part for part in parts if part]


def _check_address(value: str) -> str:
    ip_address(value)
    return value


def _check_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("must be an http or https URL with a host")
    if parts.port == 0:
        raise ValueError("must have a port from 1 to 65535")
    return value.rstrip("/")


def _reject_bool(value: object) -> object:
    if isinstance(value, bool):
        raise ValueError("must be a number")
    return value


def _check_distinct(values: tuple[str, ...]) -> tuple[str, ...]:
    duplicates = sorted({value for value in values if values.count(value) > 1})
    if duplicates:
        raise ValueError(f"repeats {', '.join(duplicates)}")
    return values


Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
ResourceName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._:/@+-]{1,128}$")]
Integer = Annotated[int, BeforeValidator(_reject_bool)]
Number = Annotated[float, BeforeValidator(_reject_bool)]
Address = Annotated[str, AfterValidator(_check_address)]
Url = Annotated[str, AfterValidator(_check_url)]
Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Port = Annotated[int, Field(ge=1, le=65535)]

_COMMA_LIST = (BeforeValidator(split_commas), AfterValidator(_check_distinct))
ResourceNames = Annotated[tuple[ResourceName, ...], *_COMMA_LIST]
Addresses = Annotated[tuple[Address, ...], *_COMMA_LIST]
Urls = Annotated[tuple[Url, ...], *_COMMA_LIST]
Sha256s = Annotated[tuple[Sha256, ...], *_COMMA_LIST]


def findings_from(
    error: ValidationError, place: Callable[[tuple[str, ...]], str]
) -> list[Finding]:
    """Convert the validation errors of a model to findings.

    Parameters
    ----------
    error : ValidationError
        Raised by the model.
    place : callable
        Formats the location of an error, which omits indexes of lists.

    Returns
    -------
    list of Finding
        One for each error, in the order of the errors.
    """
    findings = []
    for details in error.errors(include_url=False):
        location = tuple(part for part in details["loc"] if isinstance(part, str))
        findings.append(Finding(place(location), _problem(details, location)))
    return findings


def _problem(details: dict, location: tuple[str, ...]) -> str:
    if details["type"] == "extra_forbidden":
        return f"there is no setting named {location[-1]!r}"
    if details["type"] == "missing":
        return "is required and missing"
    if details["type"] == "too_short":
        return f"must have a length of at least {details['ctx']['min_length']}"
    problem = details["msg"].removeprefix(_VALUE_ERROR_PREFIX)
    return re.sub(r"^(Input|Value|String) ", "", problem)
