"""Proofs of an end of targets that can't be reached."""

from contextlib import asynccontextmanager, suppress
from socket import SO_REUSEADDR, SOL_SOCKET, socket

import pytest
from anyio import sleep

from berylwalk.direct._end_proof import EndProof, prove_end
from direct_fleet import HOST, answers

pytestmark = pytest.mark.anyio
TIMEOUT_S = 5.0
FILLING_CONNECTIONS = 4


@asynccontextmanager
async def asked(running, *, by):
    """Return what asks for the proof of a target that another server stands for."""
    async with running(answers("usual")) as fleet:
        target = fleet.targets[0]
        await target.close()
        context = fleet.router._context
        known = context.targets.by_id[target.target_id]

        async def ask():
            return await prove_end(context, known, TIMEOUT_S)

        async with by(target.port):
            yield ask


@asynccontextmanager
async def accepting_nothing(port):
    """Listen with a queue that is full, so that connections are not established."""
    with socket() as listener:
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.bind((HOST, port))
        listener.listen(0)
        fillers = [socket() for _ in range(FILLING_CONNECTIONS)]
        for each in fillers:
            each.setblocking(False)
            with suppress(BlockingIOError):
                each.connect((HOST, port))
        await sleep(0)
        try:
            yield
        finally:
            for each in fillers:
                each.close()


class TestUnreachable:
    """Targets of which nothing tells whether they ended."""

    async def test_target_that_can_not_be_reached_counts_as_ended(self, running):
        """Its request would be accused of ending it."""
        async with asked(running, by=accepting_nothing) as ask:
            assert await ask() is EndProof.UNKNOWN
