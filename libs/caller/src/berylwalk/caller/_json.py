"""Strict JSON parsing that rejects ambiguous documents."""

import json
import re
from collections.abc import Collection
from typing import Any

import msgspec

from berylwalk.caller._errors import BAD_REQUEST, Problem
from berylwalk.caller._number_lists import NumberList
from berylwalk.model import Finding

MAX_CONTAINERS = 250_000
"""Limit on objects and arrays in one body; parsing more would block the event loop."""

_MAX_SHOWN_NAME = 64
_LONG_LIST_START = re.compile(rb"\[[0-9,\s.eE+-]{32}")
_LONG_NUMBER_LIST = re.compile(rb"\[[0-9,\s.eE+-]{32,}\]")
_LONG_LIST_MIN_BYTES = 34
_PLACEHOLDER_LIST = b"[0]"


def parse_json(body: bytes, read_names: Collection[str] = ()) -> object | Problem:
    """Parse a JSON body, or return the problem with it.

    Duplicate names, NaN and infinities are rejected, because a target's parser may
    interpret them differently. Long lists of numbers are not converted to Python
    objects, which would block the event loop.

    Parameters
    ----------
    body : bytes
        The body.
    read_names : collection of str
        Top-level names whose values are needed in full. A long list of numbers
        that is the value of one of them is returned as `NumberList`. Under other
        names, long lists of numbers are replaced by a placeholder.

    Returns
    -------
    object or Problem
        The document.
    """
    if body.count(b"{") + body.count(b"[") > MAX_CONTAINERS:
        problem = f"holds more than {MAX_CONTAINERS} opening brackets"
        return _problem("body", problem)
    if not _LONG_LIST_START.search(body):
        return _parse(body)
    raw_by_name = _raw_values(body)
    if isinstance(raw_by_name, Problem):
        return raw_by_name
    names = raw_by_name.keys() & set(read_names)
    numbers_by_name = _number_lists({name: raw_by_name[name] for name in names})
    without_number_lists = body
    for name in numbers_by_name:
        without_number_lists = without_number_lists.replace(
            raw_by_name[name], _PLACEHOLDER_LIST, 1
        )
    shortened = _LONG_NUMBER_LIST.sub(_PLACEHOLDER_LIST, without_number_lists)
    # All names are still in the shortened text, so that duplicates are detected.
    document = _parse(shortened)
    if isinstance(document, Problem):
        return document
    if len(shortened) < len(without_number_lists):
        texts = {name: raw_by_name[name] for name in names - numbers_by_name.keys()}
        document.update(_values_with_numbers(texts))
    document.update(numbers_by_name)
    return document


def _raw_values(body: bytes) -> dict[str, bytes] | Problem:
    """Check the syntax of an object without decoding its values."""
    try:
        raw_by_name = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.ValidationError:
        return _problem("body", "must be a JSON object")
    except msgspec.DecodeError as error:
        return _problem("body", f"is not JSON: {error}")
    return {name: bytes(raw) for name, raw in raw_by_name.items()}


def _number_lists(raw_by_name: dict[str, bytes]) -> dict[str, NumberList]:
    found = {
        name: NumberList.from_json(raw)
        for name, raw in raw_by_name.items()
        if len(raw) >= _LONG_LIST_MIN_BYTES
    }
    return {name: numbers for name, numbers in found.items() if numbers is not None}


def _values_with_numbers(raw_by_name: dict[str, bytes]) -> dict[str, Any]:
    """Parse those values in full that contain long number lists."""
    return {
        name: _parse(raw)
        for name, raw in raw_by_name.items()
        if _LONG_NUMBER_LIST.search(raw)
    }


def _parse(body: bytes) -> object | Problem:
    try:
        return json.loads(
            body.decode(),
            object_pairs_hook=_unique_names,
            parse_constant=_refuse_constant,
        )
    except UnicodeDecodeError as error:
        return _problem(f"body byte {error.start}", "is not UTF-8")
    except json.JSONDecodeError as error:
        place = f"body line {error.lineno} column {error.colno}"
        return _problem(place, f"is not JSON: {error.msg}")
    except _DuplicateNameError as error:
        return _problem("body", f"names {error.name[:_MAX_SHOWN_NAME]!r} twice")
    except RecursionError:
        return _problem("body", "is nested too deeply")
    except ValueError:
        return _problem("body", "holds a number that is not allowed")


class _DuplicateNameError(ValueError):
    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.name = name


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # A target may use the other value of a duplicate name, which was not validated.
    values_by_name = dict(pairs)
    if len(values_by_name) == len(pairs):
        return values_by_name
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            raise _DuplicateNameError(name)
        seen.add(name)
    return values_by_name


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is not JSON")


def _problem(place: str, text: str) -> Problem:
    return Problem(BAD_REQUEST, Finding(place, text))
