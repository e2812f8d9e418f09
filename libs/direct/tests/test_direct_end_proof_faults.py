"""Proofs of an end of targets that can't be reached."""

from asyncio import start_server
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


@asynccontextmanager
async def ending_late(port):
    """Accept and close connections; the listener ends with the second one."""
    accepted = []

    async def on_connection(reader, writer):
        accepted.append(writer)
        if len(accepted) > 1:
            server.close()
        writer.close()

    server = await start_server(on_connection, HOST, port)
    async with server:
        yield


class TestEndingLate:
    """Targets that take a while to end."""

    async def test_close_by_the_end_of_a_process_counts_as_going_on(self, running):
        """A connection that is closed without a response may be closed by the end."""
        async with asked(running, by=ending_late) as ask:
            assert await ask() is EndProof.ENDED


class TestUnreachable:
    """Targets of which nothing tells whether they ended."""

    async def test_target_that_can_not_be_reached_counts_as_ended(self, running):
        """Its request would be accused of ending it."""
        async with asked(running, by=accepting_nothing) as ask:
            assert await ask() is EndProof.UNKNOWN
