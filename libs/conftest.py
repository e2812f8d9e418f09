"""Event loop of the asynchronous tests of all libraries."""

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the daemons do."""
    return "asyncio"
