"""Requests that are held back, as operators see them and let them through."""

from contextlib import asynccontextmanager
from os import getpid

import pytest
from anyio.to_thread import run_sync
from msgspec.json import encode

from berylwalk.quarantine import record_key
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
    """Return a context manager: a store with a record, and the command against it."""

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


class TestShown:
    """What is printed."""

    async def test_records(self, quarantined):
        """One line each: since when, trials, and the targets that ended."""
        async with quarantined() as run:
            ended = await run()
        assert ended.exit_code == 0
        assert ended.output == (
            f"{IDENTITY.hex()}  since 2001-09-09T01:46:40+00:00  trials 1  "
            "ended: i-1 i-2 i-3\n"
        )

    async def test_none(self, quarantined):
        """That is said."""
        async with quarantined(None) as run:
            ended = await run()
        assert (ended.exit_code, ended.output) == (0, "no request is held back\n")

    async def test_record_that_cannot_be_read(self, quarantined):
        """It is shown as such."""
        async with quarantined(b"{") as run:
            ended = await run()
        assert "not readable" in ended.output

    def test_store_that_does_not_answer(self, command, unused_url):
        """The exit code tells that nothing is known."""
        ended = command("quarantined", unused_url)
        assert ended.exit_code == 5
        assert "the store" in ended.errors


class TestRelease:
    """Letting one through."""

    async def test_record_is_deleted(self, quarantined):
        """Routers notice that it is gone."""
        async with quarantined() as run:
            ended = await run("--release", IDENTITY.hex())
            assert run.store.get(record_key(IDENTITY)) is None
        assert ended.exit_code == 0
        assert "is let through" in ended.output

    @pytest.mark.parametrize("identity", ["nonsense", "ab", "ff" * 16])
    async def test_no_such_record(self, quarantined, identity):
        """It is an error, with the reason."""
        async with quarantined() as run:
            ended = await run("--release", identity)
        assert ended.exit_code == 1
        assert identity in ended.errors
