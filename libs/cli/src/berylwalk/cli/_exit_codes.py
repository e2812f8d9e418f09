"""Exit codes, and the exception that ends a command with one."""

from collections.abc import Iterable
from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    """The command succeeded."""

    FAILED = 1
    """A daemon or the administration API failed."""

    USAGE = 2
    """The command line is invalid."""

    FINDINGS = 3
    """The input has errors; all of them are printed."""

    CLASH = 4
    """The change conflicts with a later one; nothing was changed."""

    UNDECIDED = 5
    """The API cannot be reached, or the outcome of the change is unknown."""

    DENIED = 6
    """The token is missing or wrong."""


EXIT_CODES_HELP = """\
exit codes:
  0  done
  1  a daemon or the administration API failed
  2  the command line is wrong
  3  the input has mistakes; all of them are printed
  4  another operator changed the settings meanwhile; nothing was changed
  5  the API cannot be reached, or the change is not decided yet
  6  the token is missing or wrong
"""


class CommandError(Exception):
    """Raised to end a command with a message.

    Parameters
    ----------
    exit_code : ExitCode
        Exit code of the process.
    lines : iterable of str
        Lines that are printed to standard error.
    """

    def __init__(self, exit_code: ExitCode, lines: Iterable[str]) -> None:
        self.exit_code = exit_code
        self.lines = tuple(lines)
        super().__init__("; ".join(self.lines))
