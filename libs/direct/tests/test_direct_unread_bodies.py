"""Targets that do not read a request for a while, with real sockets."""

from asyncio import start_server
from socket import IPPROTO_TCP, SO_RCVBUF, SO_REUSEADDR, SOL_SOCKET, socket

import pytest
from anyio import sleep

from berylwalk.forwarding._target_connection import (
    TCP_USER_TIMEOUT,
    UNACKNOWLEDGED_MS,
    UNREAD_MS,
    TargetConnection,
)
from direct_fleet import HOST, TEST_TIMEOUT_S, ScriptedTarget, answers

pytestmark = pytest.mark.anyio
RECEIVE_BUFFER_BYTES = 4096
"""So small that the kernel acknowledges little that the target has not read."""
LARGE_BODY = b"x" * 4 * 1024 * 1024
SMALL_TIMEOUT_MS = 300
"""Timeout for unacknowledged data, shortened for the test."""
UNREAD_S = 1.2
POOL = "berylwalk.forwarding._target_pool"
CONNECTION = "berylwalk.forwarding._target_connection"


class UnreadingTarget(ScriptedTarget):
    """A target that reads nothing of a connection at first."""

    def __init__(self, *args):
        super().__init__(*args)
        self._unread = []

    async def start(self):
        """Listen with a small receive buffer."""
        listener = socket()
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((HOST, self.port))
        self.server = await start_server(self._serve_later, sock=listener)

    async def close(self):
        """Close the listener and the connections that were not read yet."""
        await super().close()
        for writer in self._unread:
            writer.transport.abort()

    async def _serve_later(self, reader, writer):
        self._unread.append(writer)
        writer.transport.pause_reading()
        await sleep(UNREAD_S)
        writer.transport.resume_reading()
        await self._serve(reader, writer)


@pytest.fixture
def unreading(running, free_port):
    """Return a context manager that runs a fleet with such a target."""

    def prepare(fleet):
        fleet.put_target(target)
        fleet.targets.append(target)

    target = UnreadingTarget("i-0", free_port(), answers("whole"))
    return target, lambda: running(routes=("non_idempotent",), prepare=prepare)


class TestUnreadBodies:
    async def test_large_body_is_lost_at_a_target_that_reads_late(
        self, unreading, monkeypatch
    ):
        """It is sound, and goes on; its request must not be sent again."""
        monkeypatch.setattr(f"{CONNECTION}.UNACKNOWLEDGED_MS", SMALL_TIMEOUT_MS)
        target, fleet_with_it = unreading
        await target.start()
        async with fleet_with_it() as fleet:
            reply = await fleet.call("/non_idempotent/", body=LARGE_BODY)
        assert (reply.status, reply.body) == (200, b"whole")
        assert [len(each.body) for each in target.received] == [len(LARGE_BODY)]

    async def test_target_that_never_reads_holds_a_large_body_for_ever(
        self, unreading, monkeypatch
    ):
        """It may be a VM that acknowledges nothing; the request has time left."""
        monkeypatch.setattr(f"{CONNECTION}.UNREAD_MS", SMALL_TIMEOUT_MS)
        monkeypatch.setattr(f"{__name__}.UNREAD_S", 2 * TEST_TIMEOUT_S)
        target, fleet_with_it = unreading
        await target.start()
        async with fleet_with_it() as fleet:
            reply = await fleet.call(
                "/non_idempotent/", body=LARGE_BODY, Deadline_Ms="60000"
            )
        assert reply.status == 502
        assert target.received == []

    async def test_next_request_of_the_connection_keeps_the_longer_time(self, running):
        """A small one at a VM that is gone ends as soon as on a new connection."""
        limits_ms = []

        class Recording(TargetConnection):
            def send(self, *args, **options):
                super().send(*args, **options)
                option = self._socket.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT)
                limits_ms.append(option)

        async with running(answers("ok")) as fleet:
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(f"{POOL}.TargetConnection", Recording)
                await fleet.call("/idempotent/", body=LARGE_BODY)
                await fleet.call("/idempotent/", body=b"small")
            assert fleet.router._context.pool.idle_count() == 1
        assert limits_ms == [UNREAD_MS, UNACKNOWLEDGED_MS]
