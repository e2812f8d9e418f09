"""Tests of ``rollouts``."""

from os import getpid

import pytest
from anyio.to_thread import run_sync
from msgspec.json import encode

from berylwalk.rollout import Phase, Record, record_key
from berylwalk.standins import serving
from berylwalk.standins.platform import PlatformStandin

pytestmark = pytest.mark.anyio
HOST = f"127.75.{1 + getpid() // 250 % 250}.{1 + getpid() % 250}"
PORT = 2381
URL = f"http://{HOST}:{PORT}"
RECORD = Record("v2", 7, Phase.REVERTED, 2, 1_000_000_000.0, ["v2"], "12 bad")


@pytest.fixture
def anyio_backend():
    """Run on asyncio."""
    return "asyncio"


class TestList:
    """Output of the records."""

    @pytest.mark.parametrize(
        ("value", "line"),
        [
            (
                encode(RECORD),
                "s  to v2  reverted  since order 2001-09-09T01:46:40+00:00  "
                "gets nothing: v2  why: 12 bad\n",
            ),
            (None, "there was no roll-out\n"),
        ],
    )
    async def test_records(self, command, value, line):
        """A line has phase, start, versions without traffic, and the reason."""
        platform = PlatformStandin()
        if value is not None:
            platform.store.put(record_key("s"), value)
        async with serving(platform.handle, HOST, PORT, platform.run):
            result = await run_sync(lambda: command("rollouts", URL))
        assert (result.exit_code, result.output) == (0, line)

    async def test_invalid_record(self, command):
        """A record that cannot be decoded is reported with its service."""
        platform = PlatformStandin()
        platform.store.put(record_key("s"), b"{")
        async with serving(platform.handle, HOST, PORT, platform.run):
            result = await run_sync(lambda: command("rollouts", URL))
        assert result.output.startswith("s: not readable: ")
