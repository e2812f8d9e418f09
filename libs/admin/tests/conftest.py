"""Administration API with real settings in an in-memory store."""

import json
from dataclasses import dataclass
from hashlib import sha256
from types import SimpleNamespace

import pytest

from berylwalk.admin import NodeRole, NodeStatus, TargetStatus, TierStatus, admin_app
from berylwalk.settings import (
    Accepted,
    ReadFailed,
    SettingsDocument,
    StoredValue,
    SwapResult,
    parse_ini,
    read_document,
    submit_patch,
)

TOKEN = "operator-token"
CREDENTIAL = sha256(TOKEN.encode()).hexdigest()
SETTINGS = """
[tier urgent]
rank = 0

[tier batch]
rank = 1
deadline_s = 600

[/]
tier = batch
max_waiting = 50

[/east]
tier = urgent

[/east/signs]
max_waiting = 5
"""


class MemoryStore:
    """Store with one key; ``outcomes`` are the outcomes of the next calls, in order."""

    def __init__(self, value):
        self.value = value
        self.revision = 1
        self.outcomes = []

    def _next_outcome(self):
        return self.outcomes.pop(0) if self.outcomes else "answered"

    async def get(self, key):
        """Read the value."""
        if self._next_outcome() == "down":
            return ReadFailed("the store is down")
        return StoredValue(self.value, self.revision)

    async def compare_and_swap(self, key, value, expected_mod_revision):
        """Write the value, subject to the next outcome."""
        outcome = self._next_outcome()
        if outcome == "down":
            return SwapResult.UNAVAILABLE
        if expected_mod_revision != self.revision:
            return SwapResult.CONFLICT
        if outcome != "lost":
            self.value = value
            self.revision += 1
        return (
            SwapResult.SWAPPED if outcome == "answered" else SwapResult.OUTCOME_UNKNOWN
        )


class MemorySettings:
    """Settings service of a router without peers."""

    def __init__(self, document):
        self.document = document
        self.store = MemoryStore(document.encode())

    async def latest(self):
        """Read the document from the store."""
        return await read_document(self.store)

    async def submit(self, patch, author):
        """Write a patch to the store."""
        result = await submit_patch(self.store, patch, author)
        if isinstance(result, Accepted):
            self.document = result.document
        return result


def make_fleet():
    """Return a fleet of one router and one agent."""
    state = {"reachable": True, "leaving": False, "slow": False}
    load = {"running": 3, "limit": 8, "waiting": 1}
    target = TargetStatus(
        "agent-1", "127.0.0.11", "a", ("model:small",), **state, **load
    )
    nodes = (
        NodeStatus("router-1", NodeRole.ROUTER, "127.0.0.1", "a", 1),
        NodeStatus("agent-1", NodeRole.AGENT, "127.0.0.11", "a", 1, 0.25),
    )
    tiers = (TierStatus("urgent", 0, 0, 2), TierStatus("batch", 1, 1, 1))
    return SimpleNamespace(
        nodes=lambda: nodes, targets=lambda: (target,), tiers=lambda: tiers
    )


@dataclass
class Reply:
    """A complete response."""

    status: int
    headers: dict
    body: bytes

    @property
    def document(self):
        """The body as JSON."""
        return json.loads(self.body)


class AdminCaller:
    """Calls the application without a network."""

    def __init__(self, application):
        self._application = application

    async def __call__(self, method, target, body=b"", *, token=TOKEN, **headers):
        """Send one request and return its response."""
        path, _, query = target.partition("?")
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers["authorization"] = f"Bearer {token}"
        scope = {
            "type": "http",
            "method": method,
            "path": f"/admin/v1/{path}",
            "query_string": query.encode(),
            "headers": [
                (name.replace("_", "-").encode(), value.encode())
                for name, value in headers.items()
            ],
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": body}

        async def send(message):
            sent.append(message)

        await self._application(scope, receive, send)
        start, end = sent
        decoded = {name.decode(): value.decode() for name, value in start["headers"]}
        return Reply(start["status"], decoded, end["body"])


@pytest.fixture
def settings():
    """Return settings at version 1 without recent changes."""
    return MemorySettings(SettingsDocument(1, parse_ini(SETTINGS)))


@pytest.fixture
def make_call(settings):
    """Return a factory of callers of an administration API."""

    def make(**options):
        application = admin_app(
            settings=settings,
            fleet=make_fleet(),
            credentials=[sha256(b"another").hexdigest(), CREDENTIAL],
            **options,
        )
        return AdminCaller(application)

    return make


@pytest.fixture
def call(make_call):
    """Return a caller of an administration API without an order service."""
    return make_call()
