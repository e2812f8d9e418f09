"""Fixtures that run commands against an administration API."""

from dataclasses import dataclass
from hashlib import sha256
from socket import socket
from types import SimpleNamespace

import pytest
from anyio.to_thread import run_sync

from berylwalk.admin import NodeRole, NodeStatus, TargetStatus, TierStatus, admin_app
from berylwalk.cli import main
from berylwalk.settings import (
    Accepted,
    AlreadyAccepted,
    SettingsDocument,
    Undecided,
    apply_patch,
    parse_ini,
)
from berylwalk.transport import HttpServer, send_json

TOKEN = "operator-token"
SETTINGS = """
[tier urgent]
rank = 0
[tier batch]
rank = 1
[/]
tier = batch
max_waiting = 50
[/east]
tier = urgent
"""


class Settings:
    """In-memory settings; with ``loses_responses`` an accepted change is undecided."""

    def __init__(self):
        self.document = SettingsDocument(1, parse_ini(SETTINGS))
        self.loses_responses = False

    async def latest(self):
        """Return the document."""
        return self.document

    async def submit(self, patch, author):
        """Apply a patch."""
        result = apply_patch(self.document, patch, author)
        if isinstance(result, AlreadyAccepted):
            return Accepted(result.version, self.document)
        if not isinstance(result, SettingsDocument):
            return result
        self.document = result
        if self.loses_responses:
            return Undecided("the response was lost")
        return Accepted(result.version, result)


def _make_fleet():
    targets = (
        TargetStatus(
            "agent-1", "127.0.0.11", "a", ("model:m",), True, False, False, 3, 8, 1
        ),
        TargetStatus(
            "agent-2", "127.0.0.12", "b", ("service:s",), False, False, True, 0, 4, 0
        ),
        TargetStatus(
            "agent-3",
            "127.0.0.13",
            "b",
            ("service:s",),
            reachable=True,
            leaving=False,
            slow=False,
            running=0,
            limit=4,
            waiting=0,
            target_reachable=False,
        ),
    )
    nodes = (
        NodeStatus("router-1", NodeRole.ROUTER, "127.0.0.1", "a", 1),
        NodeStatus("agent-2", NodeRole.AGENT, "127.0.0.12", "b", 0, None),
    )
    tiers = (TierStatus("urgent", 0, 0, 2), TierStatus("batch", 1, 10, 1))
    return SimpleNamespace(
        targets=lambda: targets, nodes=lambda: nodes, tiers=lambda: tiers
    )


@dataclass
class CommandResult:
    """Exit code and output of a command."""

    exit_code: int
    output: str
    errors: str


@pytest.fixture(autouse=True)
def environment(monkeypatch):
    """Set the token and a fixed width for help texts."""
    monkeypatch.setenv("BERYLWALK_ADMIN_TOKEN", TOKEN)
    monkeypatch.setenv("COLUMNS", "88")


@pytest.fixture
def settings():
    """Return settings at version 1."""
    return Settings()


@pytest.fixture
async def admin_url(settings):
    """Yield the URL of a running administration API."""
    application = admin_app(
        settings=settings,
        fleet=_make_fleet(),
        credentials=[sha256(TOKEN.encode()).hexdigest()],
    )
    server = HttpServer(application, "127.0.0.1", 0)
    await server.start()
    host, port = server.address
    yield f"http://{host}:{port}"
    await server.close()


@pytest.fixture
def command(capsys):
    """Return a function that runs a command in this thread."""

    def run(*argv):
        try:
            exit_code = main(argv)
        except SystemExit as error:
            exit_code = error.code
        captured = capsys.readouterr()
        return CommandResult(exit_code, captured.out, captured.err)

    return run


@pytest.fixture
def client_command(command, admin_url):
    """Return a function that runs a command against the API in a thread."""

    async def run(*argv, admin=admin_url):
        return await run_sync(lambda: command(*argv, "--admin", admin))

    return run


@pytest.fixture
def unused_url():
    """Yield the URL of a port that is bound, but not listening."""
    with socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{bound.getsockname()[1]}"


@pytest.fixture
async def other_url():
    """Yield the URL of a server that is not an administration API."""

    async def application(scope, receive, send):
        await send_json(send, 502, ["bad gateway"])

    server = HttpServer(application, "127.0.0.1", 0)
    await server.start()
    yield f"http://127.0.0.1:{server.address[1]}"
    await server.close()
