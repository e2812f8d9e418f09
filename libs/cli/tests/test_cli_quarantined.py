"""Tests of ``quarantined``."""

from contextlib import asynccontextmanager
from os import getpid

import pytest
from anyio.to_thread import run_sync
from msgspec.json import encode

from berylwalk.quarantine import part_identity, record_key
from berylwalk.standins import serving
from berylwalk.standins.platform import PlatformStandin

pytestmark = pytest.mark.anyio
HOST = f"127.77.{1 + getpid() // 250 % 250}.{1 + getpid() % 250}"
PORT = 2380
URL = f"http://{HOST}:{PORT}"
IDENTITY = bytes(range(16))
RECORD = encode(
    {"ended": ["i-1", "i-2", "i-3"], "trials": 1, "noted_s": 1_000_000_000.0}
)


@pytest.fixture
def anyio_backend():
    """Run on asyncio."""
    return "asyncio"


@pytest.fixture
def quarantined(command):
    """Return a context manager that serves a store and yields a runner of commands."""

    @asynccontextmanager
    async def serve(value=RECORD):
        platform = PlatformStandin()
        if value is not None:
            platform.store.put(record_key(IDENTITY), value)

        async def run(*argv):
            return await run_sync(lambda: command("quarantined", URL, *argv))

        run.store = platform.store
        async with serving(platform.handle, HOST, PORT, platform.run):
            yield run

    return serve


class TestList:
    """Output of the records."""

    async def test_records(self, quarantined):
        """A line has identity, start, number of trials and the crashed targets."""
        async with quarantined() as run:
            result = await run()
        assert result.exit_code == 0
        assert result.output == (
            f"{IDENTITY.hex()}  since 2001-09-09T01:46:40+00:00  trials 1  "
            "ended: i-1 i-2 i-3\n"
        )

    async def test_prompt_part(self, quarantined):
        """A part is told from a request."""
        async with quarantined() as run:
            identity = part_identity("s", b"1f")
            value = run.store.get(record_key(IDENTITY)).value
            run.store.put(record_key(identity), value)
            result = await run()
        assert f"{identity.hex()}  prompt part  since " in result.output

    async def test_none(self, quarantined):
        """An empty list is stated explicitly."""
        async with quarantined(None) as run:
            result = await run()
        assert (result.exit_code, result.output) == (0, "no request is held back\n")

    async def test_invalid_record(self, quarantined):
        """A record that cannot be decoded does not fail the command."""
        async with quarantined(b"{") as run:
            result = await run()
        assert "not readable" in result.output

    def test_unreachable_store(self, command, unused_url):
        """An unreachable store is not shown as an empty list."""
        result = command("quarantined", unused_url)
        assert result.exit_code == 5
        assert "the store" in result.errors


class TestRelease:
    """Release of a request."""

    async def test_record_is_deleted(self, quarantined):
        """Routers release the request when its record is deleted."""
        async with quarantined() as run:
            result = await run("--release", IDENTITY.hex())
            assert run.store.get(record_key(IDENTITY)) is None
        assert result.exit_code == 0
        assert "is let through" in result.output

    @pytest.mark.parametrize("identity", ["nonsense", "ab", "ff" * 16])
    async def test_no_such_record(self, quarantined, identity):
        """The error names the identity."""
        async with quarantined() as run:
            result = await run("--release", identity)
        assert result.exit_code == 1
        assert identity in result.errors
