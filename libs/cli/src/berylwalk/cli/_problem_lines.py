"""Formatting of errors of the administration API."""

from collections.abc import Iterator
from typing import Any

from berylwalk.cli._formatting import format_value


def problem_lines(problem: dict[str, Any]) -> list[str]:
    """Format an error as lines of text.

    Parameters
    ----------
    problem : dict
        Body of the response.

    Returns
    -------
    list of str
        Lines for each finding and clash, or the detail if there are none.

    Raises
    ------
    KeyError, TypeError
        If the body is not an error of the administration API.
    """
    lines = [
        f"{finding['place']}: {finding['problem']}"
        for finding in problem.get("findings", ())
    ]
    for clash in problem.get("clashes", ()):
        lines += _clash_lines(clash)
    return lines or [f"{problem['kind']}: {problem['detail']}"]


def _clash_lines(clash: dict[str, Any]) -> Iterator[str]:
    place = f"[{clash['path']}] {clash['key']}".rstrip()
    yield f"{place}: clashes with a later change; nothing was changed"
    yield f"  yours:  {_display(clash['yours'])}"
    yield (
        f"  theirs: {_display(clash['theirs'])} (version {clash['their_version']}, "
        f"change {clash['their_change_id']} of {clash['their_author']})"
    )


def _display(value: object) -> str:
    return "(unset)" if value is None else format_value(value)
