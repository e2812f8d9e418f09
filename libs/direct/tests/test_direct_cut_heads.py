"""Targets that end their connections in the midst of the head of a response."""

import socket
import struct
from asyncio import IncompleteReadError

import pytest
from anyio import fail_after

from direct_fleet import CHUNKED, EVENTS, head, read_reply

pytestmark = pytest.mark.anyio

TEST_TIMEOUT_S = 60.0
TARGETS = 60
BODY = b"id: 1\ndata: 1\n\n"
ROUTES = {
    "idempotent": "application/json",
    "non_idempotent": "application/json",
    "streaming": EVENTS,
}
FRAMINGS = {
    "length": f"Content-Length: {len(BODY)}\r\n",
    "chunks": CHUNKED,
    "neither": "",
}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REFUSED_STATUSES = (429, 503)


class CutHeads:
    """Script that ends each response one byte later in its head than the one before."""

    def __init__(self, *, kind, more, is_reset):
        self._kind = kind
        self._more = more
        self._is_reset = is_reset
        self._next_size = 0
        self.is_done = False

    async def __call__(self, request, writer):
        """Send a part of the head, then end the connection."""
        whole = head(request, kind=self._kind, more=self._more)
        size = self._next_size
        self._next_size += 1
        self.is_done = self._next_size >= len(whole)
        writer.write(whole[: min(size, len(whole) - 1)])
        await writer.drain()
        if self._is_reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        raise ConnectionResetError


class Caller:
    """Keeps its connection as long as the router does."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._connection = None

    async def call(self, path, request_id):
        """Return the response; its connection must be usable or closed before it."""
        reply = None
        if self._connection is not None:
            reply = await self._call(path, request_id)
        if reply is None:
            self._connection = await self._fleet.connect()
            reply = await self._call(path, request_id)
        assert reply is not None
        return reply

    async def _call(self, path, request_id):
        reader, writer = self._connection
        try:
            writer.write(self._fleet.encoded(path, request_id=request_id))
            return await read_reply(reader)
        except IncompleteReadError as error:
            # Only a closed connection before the head has neither.
            if error.partial or error.expected is not None:
                raise
        except ConnectionError:
            pass
        writer.close()
        return None


class TestCutHeads:
    @pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("route", ROUTES)
    async def test_no_response_begins(self, running, route, framing, is_reset):
        """The outcome of a request that was sent is unknown, not a refusal."""
        script = CutHeads(kind=ROUTES[route], more=FRAMINGS[framing], is_reset=is_reset)
        # Targets that fail get no request for a moment.
        async with running(*[script] * TARGETS, routes=(route,)) as fleet:
            caller, number, wrong = Caller(fleet), 0, []
            with fail_after(TEST_TIMEOUT_S):
                while not script.is_done:
                    number += 1
                    reply = await caller.call(f"/{route}/{number}", f"r{number}")
                    wrong += self.wrong(fleet, route, f"r{number}", reply)
        assert wrong == []

    def wrong(self, fleet, route, request_id, reply):
        """Return the response of a request if it says what the target didn't."""
        was_sent = any(
            request.headers["attempt-id"] == request_id
            for target in fleet.targets
            for request in target.received[-1:]
        )
        is_refused = reply.status in REFUSED_STATUSES
        is_wrong_refusal = route == "non_idempotent" and was_sent and is_refused
        if reply.status < 300 or is_wrong_refusal:
            return [(request_id, reply)]
        return []
