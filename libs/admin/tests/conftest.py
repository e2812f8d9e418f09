"""An administration API over the real settings and an in-memory store."""

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
    """One key; ``fates`` says what becomes of the next calls, in order."""

    def __init__(self, value):
        self.value = value
        self.revision = 1
        self.fates = []

    def _fate(self):
        return self.fates.pop(0) if self.fates else "answered"

    async def get(self, key):
        """Read the key."""
        if self._fate() == "down":
            return ReadFailed("the store is down")
        return StoredValue(self.value, self.revision)

    async def compare_and_swap(self, key, value, expected_mod_revision):
        """Write the key, as its next fate says."""
        fate = self._fate()
        if fate == "down":
            return SwapResult.UNAVAILABLE
        if expected_mod_revision != self.revision:
            return SwapResult.CONFLICT
        if fate != "lost":
            self.value = value
            self.revision += 1
        return SwapResult.SWAPPED if fate == "answered" else SwapResult.OUTCOME_UNKNOWN


class MemorySettings:
    """A router's settings without peers."""

    def __init__(self, document):
        self.document = document
        self.store = MemoryStore(document.encode())

    async def latest(self):
        """Read the store."""
        return await read_document(self.store)

    async def submit(self, patch, author):
        """Write a patch to the store."""
        result = await submit_patch(self.store, patch, author)
        if isinstance(result, Accepted):
            self.document = result.document
        return result


def make_fleet():
    """Make a fleet of one router and one agent."""
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
    """A whole answer."""

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
        """Send one request and return its whole answer."""
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
    """Settings at version 1, without known changes."""
    return MemorySettings(SettingsDocument(1, parse_ini(SETTINGS)))


@pytest.fixture
def make_call(settings):
    """Make callers of an administration API with the given options."""

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
    """Call an administration API without an order service."""
    return make_call()
