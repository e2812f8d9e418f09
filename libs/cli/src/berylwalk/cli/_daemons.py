"""Commands that start a daemon."""

from argparse import Namespace
from collections.abc import Callable
from typing import TypeVar

from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.settings import AgentSettings, RouterSettings

_Settings = TypeVar("_Settings")


def run_router_command(arguments: Namespace) -> ExitCode:
    """Run a router until it is stopped by a signal.

    Parameters
    ----------
    arguments : Namespace
        With ``settings``, the path of the settings file.

    Returns
    -------
    ExitCode

    Raises
    ------
    FindingsError
        With all errors of the settings file.
    CommandError
        If the daemon fails with an `OSError`, such as an address in use.
    """
    settings = RouterSettings.from_file(arguments.settings)
    # Imported here to keep the start of the other commands fast.
    from berylwalk.router import run_router

    return _run(run_router, settings)


def run_agent_command(arguments: Namespace) -> ExitCode:
    """Run an agent until it is stopped; arguments as for `run_router_command`."""
    settings = AgentSettings.from_file(arguments.settings)
    from berylwalk.agent import run_agent

    return _run(run_agent, settings)


def _run(daemon: Callable[[_Settings], None], settings: _Settings) -> ExitCode:
    try:
        daemon(settings)
    except OSError as error:
        raise CommandError(ExitCode.FAILED, [f"cannot run: {error}"]) from error
    return ExitCode.OK
