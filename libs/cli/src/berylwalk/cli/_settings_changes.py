"""Commands that change the settings."""

import json
from argparse import Namespace
from urllib.parse import quote
from uuid import uuid4

from berylwalk.cli._admin_client import AdminClient, OutcomeUnknownError, Reply
from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.cli._settings_checks import read_text
from berylwalk.cli._settings_queries import VERSION_COMMENT


def set_value(arguments: Namespace) -> ExitCode:
    """Set a key.

    Parameters
    ----------
    arguments : Namespace
        With ``path``, ``key``, ``value``, ``if_version`` and ``change_id``.

    Returns
    -------
    ExitCode
    """
    return _patch(
        arguments,
        {"path": arguments.path, "key": arguments.key, "value": arguments.value},
    )


def unset_value(arguments: Namespace) -> ExitCode:
    """Remove a key, so that it is inherited; arguments as for `set_value`."""
    return _patch(
        arguments, {"path": arguments.path, "key": arguments.key, "value": None}
    )


def delete_section(arguments: Namespace) -> ExitCode:
    """Delete a section and all sections below it; arguments as for `set_value`."""
    return _patch(arguments, {"path": arguments.path, "section": "delete"})


def import_settings(arguments: Namespace) -> ExitCode:
    """Replace the settings tree by that of a file.

    Parameters
    ----------
    arguments : Namespace
        With ``file``, ``if_version`` and ``change_id``.

    Returns
    -------
    ExitCode
    """
    text = read_text(arguments.file)
    version = arguments.if_version
    if version is None:
        version = _exported_version(text)
    if version is None:
        line = (
            f"{arguments.file}: the first line has no settings version: "
            "export the settings again or give --if-version"
        )
        raise CommandError(ExitCode.USAGE, [line])
    headers = {"Import-File": quote(str(arguments.file))}
    return _change(
        arguments, "POST", "settings/import", text.encode(), version, headers
    )


def show_change(arguments: Namespace) -> ExitCode:
    """Show the settings version of a change, if it was accepted.

    Parameters
    ----------
    arguments : Namespace
        With ``change_id``.

    Returns
    -------
    ExitCode
        `ExitCode.OK`.

    Raises
    ------
    CommandError
        With ``UNDECIDED`` if the change is not among the recent accepted changes.
    """
    client = AdminClient.from_arguments(arguments)
    document = client.request("GET", f"settings/changes/{arguments.change_id}").document
    print(
        f"version {document['version']}, change {document['change_id']} "
        f"of {document['author']}"
    )
    return ExitCode.OK


def _patch(arguments: Namespace, edit: dict[str, object]) -> ExitCode:
    version = arguments.if_version
    if version is None:
        client = AdminClient.from_arguments(arguments)
        version = client.request("GET", "settings").version
    body = json.dumps([edit]).encode()
    return _change(arguments, "PATCH", "settings", body, version, {})


def _change(
    arguments: Namespace,
    method: str,
    path: str,
    body: bytes,
    version: int,
    headers: dict[str, str],
) -> ExitCode:
    # Chosen by the client, so that the change can be looked up if no response arrives.
    change_id = arguments.change_id or uuid4().hex
    headers = {**headers, "If-Match": f'"{version}"', "Change-Id": change_id}
    client = AdminClient.from_arguments(arguments)
    try:
        reply = client.request(method, path, body, headers)
    except OutcomeUnknownError as error:
        raise _with_instructions(error, change_id, version) from error
    _print_accepted(reply)
    return ExitCode.OK


def _with_instructions(
    error: OutcomeUnknownError, change_id: str, version: int
) -> CommandError:
    instructions = (
        "it is unknown whether the change was accepted: check with 'berylwalk "
        f"settings change {change_id}', or repeat the command with "
        f"--change-id {change_id} --if-version {version}"
    )
    return CommandError(error.exit_code, [*error.lines, instructions])


def _print_accepted(reply: Reply) -> None:
    document = reply.document
    print(f"version {document['version']}, change {document['change_id']}")


def _exported_version(text: str) -> int | None:
    first = text.partition("\n")[0].strip()
    version = first.removeprefix(VERSION_COMMENT)
    return int(version) if version != first and version.isdecimal() else None
