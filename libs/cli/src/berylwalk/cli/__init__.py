"""The ``berylwalk`` command."""

from berylwalk.cli._exit_codes import ExitCode
from berylwalk.cli._main import main
from berylwalk.cli._parser import make_parser

__all__ = ["ExitCode", "main", "make_parser"]
