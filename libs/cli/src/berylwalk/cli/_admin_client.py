"""Client of the administration API."""

import json
import os
from argparse import Namespace
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

import httpcore

from berylwalk.cli._exit_codes import CommandError, ExitCode
from berylwalk.cli._problem_lines import problem_lines

TOKEN_VARIABLE = "BERYLWALK_ADMIN_TOKEN"
ROOT_PATH = "/admin/v1/"
_EXIT_CODE_BY_KIND = {
    "denied": ExitCode.DENIED,
    "invalid": ExitCode.FINDINGS,
    "too-large": ExitCode.FINDINGS,
    "clash": ExitCode.CLASH,
    "stale": ExitCode.CLASH,
    "undecided": ExitCode.UNDECIDED,
    "unknown-change": ExitCode.UNDECIDED,
    "unavailable": ExitCode.UNDECIDED,
    "timed-out": ExitCode.UNDECIDED,
}
_OUTCOME_UNKNOWN_KINDS = frozenset({"undecided", "internal"})


@dataclass(frozen=True, slots=True)
class Reply:
    """A successful response.

    Parameters
    ----------
    headers : mapping of str to str
        Headers by lower-case name.
    body : bytes
        Complete body.
    """

    headers: Mapping[str, str]
    body: bytes

    @property
    def document(self) -> dict[str, Any]:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def version(self) -> int:
        """Settings version in the ``ETag`` header."""
        return int(self.headers["etag"].strip('"'))


class OutcomeUnknownError(CommandError):
    """The request was sent, and it is unknown whether it takes effect."""


class AdminClient:
    """Client of the administration API of one router.

    Parameters
    ----------
    url : str
        Base URL of the API's listener.
    token : str
        The operator's bearer token.
    timeout_s : float
        Timeout for connecting and for each read and write, in seconds.
    """

    def __init__(self, url: str, token: str, *, timeout_s: float) -> None:
        self._url = url
        self._token = token
        self._timeouts = dict.fromkeys(("connect", "read", "write"), timeout_s)

    @classmethod
    def from_arguments(cls, arguments: Namespace) -> Self:
        """Construct from the command line and the environment.

        Parameters
        ----------
        arguments : Namespace
            With ``admin``, ``token_file`` and ``timeout``.

        Returns
        -------
        AdminClient

        Raises
        ------
        CommandError
            If no token is given, or its file cannot be read.
        """
        token = _read_token(arguments.token_file)
        return cls(arguments.admin, token, timeout_s=arguments.timeout)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one request.

        Parameters
        ----------
        method, path : str
            HTTP method, and path relative to the root of the API.
        body : bytes
            Request body.
        headers : mapping of str to str, optional
            Additional headers.

        Returns
        -------
        Reply

        Raises
        ------
        CommandError
            If the API cannot be reached, or responds with an error.
        OutcomeUnknownError
            If it is unknown whether the request takes effect.
        """
        all_headers = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        try:
            response = httpcore.request(
                method,
                f"{self._url}{ROOT_PATH}{path}",
                headers=[(name, value.encode()) for name, value in all_headers.items()],
                content=body,
                extensions={"timeout": self._timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            line = f"{self._url} cannot be reached: {_reason(error)}"
            raise CommandError(ExitCode.UNDECIDED, [line]) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            line = f"{self._url} did not answer: {_reason(error)}"
            raise OutcomeUnknownError(ExitCode.UNDECIDED, [line]) from error
        if response.status != 200:
            raise self._error(response)
        return Reply(_headers(response), response.content)

    def _error(self, response: httpcore.Response) -> CommandError:
        try:
            problem = json.loads(response.content)
            lines = problem_lines(problem)
            kind = problem["kind"]
        except (ValueError, KeyError, TypeError, AttributeError):
            line = f"{self._url} is not an administration API: status {response.status}"
            return OutcomeUnknownError(ExitCode.UNDECIDED, [line])
        exit_code = _EXIT_CODE_BY_KIND.get(kind, ExitCode.FAILED)
        if kind in _OUTCOME_UNKNOWN_KINDS:
            return OutcomeUnknownError(exit_code, lines)
        return CommandError(exit_code, lines)


def _read_token(token_file: Path | None) -> str:
    if token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, "").strip()
        problem = f"no token given: set {TOKEN_VARIABLE} or use --token-file"
    else:
        try:
            token = token_file.read_text(encoding="utf-8").strip()
            problem = f"{token_file}: token file is empty"
        except (OSError, UnicodeDecodeError) as error:
            token = ""
            problem = f"{token_file}: cannot be read: {error}"
    if not token:
        raise CommandError(ExitCode.USAGE, [problem])
    return token


def _headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }


def _reason(error: Exception) -> str:
    return str(error) or type(error).__name__
