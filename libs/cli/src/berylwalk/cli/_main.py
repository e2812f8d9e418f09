"""Entry point that maps errors of commands to messages and exit codes."""

import os
import sys
from collections.abc import Iterable, Sequence

from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.cli._parser import make_parser
from berylwalk.model import FindingsError


def main(argv: Sequence[str] | None = None) -> int:
    """Run the ``berylwalk`` command.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments without the program name; defaults to those of the process.

    Returns
    -------
    int
        An `ExitCode`.

    Raises
    ------
    SystemExit
        For ``--help``, and with code 2 if the command line is invalid.
    """
    try:
        try:
            return _run(argv)
        finally:
            # Raises BrokenPipeError here rather than at interpreter shutdown.
            sys.stdout.flush()
    except BrokenPipeError:
        _discard_output()
        return ExitCode.FAILED


def _run(argv: Sequence[str] | None) -> int:
    arguments = make_parser().parse_args(argv)
    try:
        return arguments.run(arguments)
    except CommandError as error:
        _print_errors(error.lines)
        return error.exit_code
    except FindingsError as error:
        _print_errors(map(str, error.findings))
        return ExitCode.FINDINGS


def _discard_output() -> None:
    # The interpreter flushes buffered output at shutdown, which must not fail again.
    devnull = os.open(os.devnull, os.O_WRONLY)
    os.dup2(devnull, sys.stdout.fileno())
    os.close(devnull)


def _print_errors(lines: Iterable[str]) -> None:
    for line in lines:
        print(line, file=sys.stderr)
