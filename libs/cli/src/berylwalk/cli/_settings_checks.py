"""Commands that validate and document settings files offline."""

import re
from argparse import Namespace
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path

from berylwalk.cli._exit_codes import ExitCode
from berylwalk.model import Finding, FindingsError
from berylwalk.settings import (
    AgentSettings,
    RouterSettings,
    parse_ini,
    settings_reference,
)

_TREE_SECTION = re.compile(r"^\[(/|tier\s)", re.MULTILINE)
_AGENT_SECTION = re.compile(r"^\[(target|admission)\]", re.MULTILINE)


class FileRole(StrEnum):
    """Process or tree that a settings file configures."""

    ROUTER = "router"
    AGENT = "agent"
    TREE = "tree"


def check_settings(arguments: Namespace) -> ExitCode:
    """Check settings files and report the errors of all files together.

    Parameters
    ----------
    arguments : Namespace
        With ``files`` and ``role``. If the role is None, it is inferred from the
        sections of each file.

    Returns
    -------
    ExitCode

    Raises
    ------
    FindingsError
        With all errors of all files.
    """
    findings: list[Finding] = []
    for file in arguments.files:
        try:
            role = arguments.role or _infer_role(file)
            _CHECK_BY_ROLE[role](file)
        except FindingsError as error:
            findings += error.findings
        else:
            print(f"{file}: valid ({role})")
    if findings:
        raise FindingsError(findings)
    return ExitCode.OK


def print_reference(arguments: Namespace) -> ExitCode:
    """Print the reference of all settings as Markdown."""
    print(settings_reference().rstrip("\n"))
    return ExitCode.OK


def read_text(file: Path) -> str:
    """Read a text file.

    Parameters
    ----------
    file : Path
        Path of the file, in UTF-8.

    Returns
    -------
    str

    Raises
    ------
    FindingsError
        If the file cannot be read.
    """
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FindingsError([Finding(str(file), f"cannot be read: {error}")]) from error


def _infer_role(file: Path) -> FileRole:
    text = read_text(file)
    if _TREE_SECTION.search(text):
        return FileRole.TREE
    return FileRole.AGENT if _AGENT_SECTION.search(text) else FileRole.ROUTER


def _check_tree(file: Path) -> None:
    parse_ini(read_text(file), file=str(file))


_CHECK_BY_ROLE: dict[str, Callable[[Path], object]] = {
    FileRole.ROUTER: RouterSettings.from_file,
    FileRole.AGENT: AgentSettings.from_file,
    FileRole.TREE: _check_tree,
}
