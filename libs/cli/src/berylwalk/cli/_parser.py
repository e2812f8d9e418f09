"""Parser of the command line."""

from argparse import (
    ArgumentParser,
    Namespace,
    RawDescriptionHelpFormatter,
    _SubParsersAction,
)
from collections.abc import Callable
from pathlib import Path

from berylwalk.cli._causes import print_causes
from berylwalk.cli._daemons import run_agent_command, run_router_command
from berylwalk.cli._deployment import check_deployment
from berylwalk.cli._exit_codes import EXIT_CODES_HELP, ExitCode
from berylwalk.cli._options import change_id, change_options, client_options
from berylwalk.cli._quarantined import print_quarantined
from berylwalk.cli._replay_command import parse_override, replay
from berylwalk.cli._request_timeline import explain, print_router_metrics
from berylwalk.cli._rollouts import print_rollouts
from berylwalk.cli._settings_changes import (
    delete_section,
    import_settings,
    set_value,
    show_change,
    unset_value,
)
from berylwalk.cli._settings_checks import FileRole, check_settings, print_reference
from berylwalk.cli._settings_queries import export_settings, get_settings, print_tree
from berylwalk.cli._status import print_status

Command = Callable[[Namespace], ExitCode]


def make_parser() -> ArgumentParser:
    """Return the parser of the command line.

    Returns
    -------
    ArgumentParser
        Its parsed arguments hold the function of the command as ``run``.
    """
    parser = ArgumentParser(
        prog="berylwalk",
        description="Run and administer the berylwalk request scheduler.",
        epilog=EXIT_CODES_HELP,
        formatter_class=RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    _add_daemons(commands)
    _add_checks(commands)
    _add_status(commands)
    _add_settings(commands)
    _add_platform(commands)
    return parser


def _add_daemons(commands: _SubParsersAction) -> None:
    daemons = (
        ("router", "run a router", run_router_command),
        ("agent", "run an agent beside a target", run_agent_command),
    )
    for name, text, run in daemons:
        command = _add(commands, name, text, run)
        command.add_argument(
            "--settings",
            type=Path,
            required=True,
            metavar="FILE",
            help=f"settings file of the {name}",
        )


def _add_checks(commands: _SubParsersAction) -> None:
    check = _add(
        commands,
        "check-settings",
        "check settings files and report all mistakes",
        check_settings,
    )
    check.add_argument("files", type=Path, nargs="+", metavar="FILE")
    check.add_argument(
        "--role",
        choices=[role.value for role in FileRole],
        help="what the files are for; told by their sections when left out",
    )
    _add(
        commands,
        "settings-reference",
        "print the reference of all settings as Markdown",
        print_reference,
    )


def _add_platform(commands: _SubParsersAction) -> None:
    text = "check settings files of VMs and deploy files of the platform"
    check = _add(commands, "check-deployment", text, check_deployment)
    check.add_argument("files", type=Path, nargs="+", metavar="FILE")

    text = "tell what became of a request, from log files of routers"
    explaining = _add(commands, "explain", text, explain)
    explaining.add_argument("request_id", metavar="ID", help="the request's id")
    explaining.add_argument("files", type=Path, nargs="+", metavar="LOG")

    text = "count the requests in logs of routers by what kept them from being in time"
    causes = _add(commands, "causes", text, print_causes)
    causes.add_argument("files", type=Path, nargs="+", metavar="LOG")
    for name, default in (("since", 0.0), ("until", float("inf"))):
        causes.add_argument(
            f"--{name}",
            dest=f"{name}_s",
            type=float,
            default=default,
            metavar="SECONDS",
            help="from the first line on",
        )

    text = "replay a load in virtual time on the decisions of the direct router"
    replaying = _add(commands, "replay", text, replay)
    replaying.add_argument(
        "scenario",
        metavar="SCENARIO",
        help="a TOML file, or the name of a standard scenario such as burst",
    )
    replaying.add_argument("--seeds", type=int, default=3, metavar="N")
    replaying.add_argument(
        "--without",
        action="append",
        default=[],
        metavar="MECHANISM",
        help="show also without it, such as reserved-places",
    )
    replaying.add_argument(
        "--set",
        dest="changes",
        action="append",
        default=[],
        type=parse_override,
        metavar="NAME=VALUE",
        help="change a setting, such as _concurrency_limits.RESERVED_REQUESTS=0",
    )

    text = "show what a direct router believes, from its metrics"
    beliefs = _add(commands, "beliefs", text, print_router_metrics)
    beliefs.add_argument("url", metavar="URL", help="address of its metrics")
    beliefs.add_argument(
        "--timeout-s", type=float, default=2.0, help="bound of the call, in seconds"
    )

    text = "show requests that are held back since targets ended under them"
    quarantined = _add(commands, "quarantined", text, print_quarantined)
    quarantined.add_argument("url", metavar="URL", help="address of the store")
    quarantined.add_argument(
        "--release", metavar="IDENTITY", help="let this one through again"
    )
    quarantined.add_argument(
        "--timeout-s", type=float, default=2.0, help="bound of a call, in seconds"
    )

    text = "show the last roll-out of each service, from the store"
    rollouts = _add(commands, "rollouts", text, print_rollouts)
    rollouts.add_argument("url", metavar="URL", help="address of the store")
    rollouts.add_argument(
        "--timeout-s", type=float, default=2.0, help="bound of a call, in seconds"
    )


def _add_status(commands: _SubParsersAction) -> None:
    text = "show targets, tiers and nodes as one router sees them"
    status = _add(commands, "status", text, print_status, parents=[client_options()])
    _add_json(status)


def _add_settings(commands: _SubParsersAction) -> None:
    text = "show and change the settings tree of a running system"
    settings = commands.add_parser("settings", help=text, description=_sentence(text))
    commands = settings.add_subparsers(
        title="commands", required=True, metavar="COMMAND"
    )
    _add_settings_queries(commands, [client_options()])
    _add_settings_changes(commands, [client_options(), change_options()])


def _add_settings_queries(
    commands: _SubParsersAction, parents: list[ArgumentParser]
) -> None:
    text = "show the effective values of a node and where they come from"
    get = _add(commands, "get", text, get_settings, parents=parents)
    _add_path(get)
    get.add_argument("key", nargs="?", metavar="KEY", help="show this value alone")
    _add_json(get)

    text = "show the whole tree, and what is inherited and overridden"
    tree = _add(commands, "tree", text, print_tree, parents=parents)
    _add_json(tree)

    text = "print the tree as INI"
    _add(commands, "export", text, export_settings, parents=parents)

    text = "tell whether a change was accepted"
    change = _add(commands, "change", text, show_change, parents=parents)
    change.add_argument(
        "change_id", type=change_id, metavar="CHANGE_ID", help="name of the change"
    )


def _add_settings_changes(
    commands: _SubParsersAction, parents: list[ArgumentParser]
) -> None:
    setting = _add(commands, "set", "set a key", set_value, parents=parents)
    _add_path(setting)
    _add_key(setting)
    setting.add_argument("value", metavar="VALUE", help="as in an INI file")

    text = "remove a key, so that the value further up is in force"
    unset = _add(commands, "unset", text, unset_value, parents=parents)
    _add_path(unset)
    _add_key(unset)

    text = "delete a node or tier, with all nodes below it"
    delete = _add(commands, "delete", text, delete_section, parents=parents)
    _add_path(delete)

    text = "replace the tree by that of an INI file, as one change"
    importing = _add(commands, "import", text, import_settings, parents=parents)
    importing.add_argument("file", type=Path, metavar="FILE", help="an edited export")


def _add(
    commands: _SubParsersAction,
    name: str,
    text: str,
    run: Command,
    *,
    parents: list[ArgumentParser] | None = None,
) -> ArgumentParser:
    command = commands.add_parser(
        name, help=text, description=_sentence(text), parents=parents or []
    )
    command.set_defaults(run=run)
    return command


def _add_path(command: ArgumentParser) -> None:
    command.add_argument(
        "path", metavar="PATH", help="a path such as /a/b, or 'tier NAME'"
    )


def _add_key(command: ArgumentParser) -> None:
    command.add_argument("key", metavar="KEY", help="name of the setting")


def _add_json(command: ArgumentParser) -> None:
    command.add_argument("--json", action="store_true", help="print JSON")


def _sentence(text: str) -> str:
    return f"{text[0].upper()}{text[1:]}."
