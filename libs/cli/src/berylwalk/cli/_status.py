"""Command that shows the state of the fleet."""

import json
from argparse import Namespace
from typing import Any

from berylwalk.cli._admin_client import AdminClient
from berylwalk.cli._exit_codes import ExitCode
from berylwalk.cli._formatting import format_table

_TARGET_COLUMNS = (
    "AGENT",
    "ADDRESS",
    "DOMAIN",
    "STATE",
    "RUNNING",
    "LIMIT",
    "WAITING",
    "RESOURCES",
)
_TIER_COLUMNS = ("TIER", "RANK", "WAITING", "RUNNING")
_NODE_COLUMNS = ("NODE", "ROLE", "ADDRESS", "DOMAIN", "SETTINGS", "SILENT_S")


def print_status(arguments: Namespace) -> ExitCode:
    """Show the targets, tiers and nodes that a router knows.

    Parameters
    ----------
    arguments : Namespace
        With ``json``.

    Returns
    -------
    ExitCode
    """
    client = AdminClient.from_arguments(arguments)
    status: dict[str, list[dict[str, Any]]] = {}
    for name in ("targets", "tiers", "nodes"):
        status |= client.request("GET", name).document
    if arguments.json:
        print(json.dumps(status, indent=2))
    else:
        print(_status_text(status))
    return ExitCode.OK


def _status_text(status: dict[str, list[dict[str, Any]]]) -> str:
    tables = (
        format_table(_TARGET_COLUMNS, map(_target_row, status["targets"])),
        format_table(_TIER_COLUMNS, map(_tier_row, status["tiers"])),
        format_table(_NODE_COLUMNS, map(_node_row, status["nodes"])),
    )
    return "\n\n".join(tables)


def _target_row(target: dict[str, Any]) -> tuple[object, ...]:
    return (
        target["agent"],
        target["address"],
        target["failure_domain"],
        _target_state(target),
        target["running"],
        target["limit"],
        target["waiting"],
        target["resources"],
    )


def _target_state(target: dict[str, Any]) -> str:
    if not target["reachable"]:
        return "unreachable"
    if not target["target_reachable"]:
        return "target down"
    if target["leaving"]:
        return "leaving"
    return "slow" if target["slow"] else "live"


def _tier_row(tier: dict[str, Any]) -> tuple[object, ...]:
    return tier["name"], tier["rank"], tier["waiting"], tier["running"]


def _format_silence(silent_s: float | None) -> str:
    return "never heard" if silent_s is None else f"{silent_s:.1f}"


def _node_row(node: dict[str, Any]) -> tuple[object, ...]:
    return (
        node["node_id"],
        node["role"],
        node["address"],
        node["failure_domain"],
        node["settings_version"],
        _format_silence(node["silent_s"]),
    )
