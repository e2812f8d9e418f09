"""Options shared by several commands."""

import re
from argparse import ArgumentParser, ArgumentTypeError
from pathlib import Path
from urllib.parse import urlsplit

from berylwalk.cli._admin_client import TOKEN_VARIABLE

DEFAULT_ADMIN_URL = "http://127.0.0.1:8081"
DEFAULT_TIMEOUT_S = 15.0
"""Exceeds the time within which the API decides a change."""

_CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")


def client_options() -> ArgumentParser:
    """Return the options of commands that call the administration API."""
    options = ArgumentParser(add_help=False)
    options.add_argument(
        "--admin",
        type=_url,
        default=DEFAULT_ADMIN_URL,
        metavar="URL",
        help="administration API of a router (default: %(default)s)",
    )
    options.add_argument(
        "--token-file",
        type=Path,
        metavar="FILE",
        help=f"file with the operator's token (default: ${TOKEN_VARIABLE})",
    )
    options.add_argument(
        "--timeout",
        type=_seconds,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="longest wait for the answer (default: %(default)s)",
    )
    return options


def change_options() -> ArgumentParser:
    """Return the options of commands that change the settings."""
    options = ArgumentParser(add_help=False)
    options.add_argument(
        "--if-version",
        type=_version,
        metavar="VERSION",
        help="settings version that the change is made to; later changes of the same "
        "settings are a clash (default: the current version; for an import, that of "
        "the export)",
    )
    options.add_argument(
        "--change-id",
        type=change_id,
        metavar="CHANGE_ID",
        help="name of the change, to repeat one that is not decided (default: new)",
    )
    return options


def _url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ArgumentTypeError(f"{text!r} is not an http or https URL")
    return text.rstrip("/")


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= 3600:
        raise ArgumentTypeError(f"{text!r} is not a time from 0 to 3600 seconds")
    return seconds


def _version(text: str) -> int:
    if not text.isdecimal() or len(text) > 15:
        raise ArgumentTypeError(f"{text!r} is not a settings version")
    return int(text)


def change_id(text: str) -> str:
    """Validate a change id.

    Parameters
    ----------
    text : str
        Value on the command line.

    Returns
    -------
    str
        The unchanged value.

    Raises
    ------
    ArgumentTypeError
        If the administration API would reject the id.
    """
    if _CHANGE_ID_PATTERN.fullmatch(text) is None:
        raise ArgumentTypeError(
            f"{text!r} does not consist of 1 to 100 letters, digits, '.', '_' or '-'"
        )
    return text
