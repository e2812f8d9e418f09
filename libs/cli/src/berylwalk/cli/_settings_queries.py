"""Commands that show the current settings."""

import json
from argparse import Namespace
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

from berylwalk.cli._admin_client import AdminClient
from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.cli._formatting import format_table, format_value

VERSION_COMMENT = "; settings version "


def get_settings(arguments: Namespace) -> ExitCode:
    """Show the effective values of a node, or of a single key.

    Parameters
    ----------
    arguments : Namespace
        With ``path``, ``key`` (or None) and ``json``.

    Returns
    -------
    ExitCode
    """
    client = AdminClient.from_arguments(arguments)
    query = urlencode({"path": arguments.path})
    document = client.request("GET", f"settings?{query}").document
    values = document["section"]["values"]
    if arguments.key is not None:
        values = [_find_key(values, arguments.path, arguments.key)]
    if arguments.json:
        print(json.dumps(document if arguments.key is None else values[0], indent=2))
    elif arguments.key is not None:
        print(format_value(values[0]["value"]))
    else:
        print(_values_table(document["version"], values))
    return ExitCode.OK


def print_tree(arguments: Namespace) -> ExitCode:
    """Show the settings tree and the origin of each value."""
    document = AdminClient.from_arguments(arguments).request("GET", "settings/tree")
    if arguments.json:
        print(json.dumps(document.document, indent=2))
        return ExitCode.OK
    print(f"version {document.version}")
    for section in document.document["sections"]:
        print("\n".join(_section_lines(section)))
    return ExitCode.OK


def export_settings(arguments: Namespace) -> ExitCode:
    """Print the tree as INI; a comment holds the version that an import is based on."""
    reply = AdminClient.from_arguments(arguments).request("GET", "settings/export")
    print(f"{VERSION_COMMENT}{reply.version}")
    print(reply.body.decode().rstrip("\n"))
    return ExitCode.OK


def _find_key(values: list[dict[str, Any]], path: str, key: str) -> dict[str, Any]:
    for value in values:
        if value["key"] == key:
            return value
    line = f"[{path}] {key}: is set neither here nor further up"
    raise CommandError(ExitCode.FINDINGS, [line])


def _values_table(version: int, values: list[dict[str, Any]]) -> str:
    rows = [
        (value["key"], value["value"], value["origin"], value["source"])
        for value in values
    ]
    return f"version {version}\n" + format_table(
        ("KEY", "VALUE", "ORIGIN", "FROM"), rows
    )


def _section_lines(section: dict[str, Any]) -> Iterator[str]:
    yield f"[{section['path']}]"
    for value in section["values"]:
        yield f"  {value['key']} = {format_value(value['value'])}{_origin_note(value)}"


def _origin_note(value: dict[str, Any]) -> str:
    if value["origin"] == "inherited":
        return f"  (inherited from {value['source']})"
    if value["origin"] == "overridden":
        nearest = value["overrides"][0]
        shown = format_value(nearest["value"])
        return f"  (overrides {shown} of {nearest['source']})"
    return ""
