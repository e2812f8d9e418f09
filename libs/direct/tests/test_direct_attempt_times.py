"""Times that a router learns of targets whose responses end with their connection."""

import pytest
from anyio import sleep

from berylwalk.direct._end_proof import STATE_TIMEOUT_S
from direct_fleet import head

pytestmark = pytest.mark.anyio
BODY = b"ends with its connection"


async def closes(request, writer):
    """End a whole response with its connection."""
    writer.write(head(request, kind="text/plain") + BODY)
    await writer.drain()
    raise ConnectionResetError


async def says_nothing(request, writer):
    """Leave the request for the state without a response."""
    await sleep(60)


def silent(fleet):
    """Prepare a fleet whose target tells no state."""
    fleet.targets[0].state_script = says_nothing


async def test_time_of_the_proof_counts_as_time_of_the_target(running):
    """The proof begins after the response, and waits for a state that does not come."""
    async with running(closes, prepare=silent) as fleet:
        target = fleet.router._context.targets.by_id["i-0"]
        reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, BODY)
        assert 0 < target.fixed_s < STATE_TIMEOUT_S / 2
