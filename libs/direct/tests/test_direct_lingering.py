"""Callers of a router that are still sending when they are refused."""

from asyncio import CancelledError, create_task
from contextlib import suppress

import pytest
from anyio import fail_after, sleep

from berylwalk.dispatch._graceful_stop import KILL_MARGIN_S
from direct_fleet import TEST_TIMEOUT_S, answers, read_reply

pytestmark = pytest.mark.anyio
GRACE_S = 4.0
BEFORE_THE_END_S = 0.3
"""Time before the end of the grace, shorter than connections are read on."""
HEAD_AFTER_S = 2.0
"""Time from the stop to the begin of a request, which is then not idle when idle
connections are closed, and not overdue when its head is completed, in seconds."""
BODY = b"x" * 30_000
REFUSED = f"Content-Length: {len(BODY)}\r\nContent-Length: null\r\n\r\n"
TOO_LARGE = "Content-Length: 9999999\r\n\r\n"


def head(rest):
    """Return the head of a request with a line that is refused."""
    return f"POST /idempotent/ HTTP/1.1\r\nHost: h\r\n{rest}".encode()


async def send_without_end(writer):
    """Send on until the connection is reset."""
    with suppress(ConnectionError):
        while True:
            writer.write(BODY)
            await writer.drain()
            await sleep(0.01)


class TestRefusals:
    """A request that is refused at its head."""

    async def test_body_that_is_sent_after_the_refusal(self, running):
        async with running(answers("ok")) as fleet:
            reader, writer = await fleet.connect()
            writer.write(head(REFUSED))
            with fail_after(TEST_TIMEOUT_S):
                reply = await read_reply(reader)
                assert await reader.read() == b""
                for _ in range(3):
                    writer.write(BODY)
                    await writer.drain()
                    await sleep(0.01)
            assert len(fleet.router._callers.connections) == 1
            writer.close()
            await fleet.until(lambda: not fleet.router._callers.connections)
        assert reply.status == 400
        assert fleet.targets[0].received == []


class TestStop:
    """A router that stops while connections are read on."""

    async def test_stop_is_not_held_up_beyond_its_grace(self, running):
        """Callers that neither close nor stop sending."""
        async with running(answers("ok"), stop_grace_s=GRACE_S) as fleet:
            clock = fleet.router._context.clock
            callers = [await fleet.connect() for _ in range(5)]
            fleet.stop()
            stopped_at = clock()
            await sleep(HEAD_AFTER_S)
            for _, writer in callers:
                writer.write(head(""))
            await sleep(GRACE_S - KILL_MARGIN_S - BEFORE_THE_END_S - HEAD_AFTER_S)
            for _, writer in callers:
                writer.write(TOO_LARGE.encode())
            replies = [await read_reply(reader) for reader, _ in callers]
            sending = [create_task(send_without_end(writer)) for _, writer in callers]
            await fleet.until(lambda: fleet.done)
            took_s = clock() - stopped_at
            for task in sending:
                task.cancel()
                with suppress(CancelledError):
                    await task
            for _, writer in callers:
                writer.close()
        assert took_s < GRACE_S
        assert {reply.status for reply in replies} == {413}

    async def test_request_that_is_not_received_by_the_end_of_the_grace(self, running):
        """Its caller is told that it has not run, instead of losing its connection."""
        async with running(answers("ok"), stop_grace_s=GRACE_S) as fleet:
            reader, writer = await fleet.connect()
            fleet.stop()
            await sleep(HEAD_AFTER_S)
            writer.write(head(f"Content-Length: {len(BODY)}\r\n\r\n") + BODY[:-1])
            with fail_after(TEST_TIMEOUT_S):
                reply = await read_reply(reader)
            await fleet.until(lambda: fleet.done)
            writer.close()
        assert reply.status == 503
        assert reply.headers["connection"] == "close"
        assert int(reply.headers["retry-after"]) > 0
        assert fleet.targets[0].received == []

    async def test_request_that_was_sent_ahead_is_not_begun_at_the_end(self, running):
        """It would be cut while its target is at work on it."""

        async def hangs(request, writer):
            await sleep(60)

        async with running(hangs, stop_grace_s=GRACE_S) as fleet:
            reader, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/") * 2)
            await fleet.until(lambda: fleet.targets[0].received)
            fleet.stop()
            reply = await read_reply(reader)
            assert await reader.read() == b""
            await fleet.until(lambda: fleet.done)
            writer.close()
        assert reply.status == 502
        assert reply.headers["connection"] == "close"
        assert len(fleet.targets[0].received) == 1
