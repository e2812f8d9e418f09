"""Targets that stop, and close their listening socket before their last responses end.

Such a response has the bytes of one that ends with a crash, so that nothing shows that
it is whole, unless it has a length or chunks.
"""

import pytest

from direct_fleet import EVENTS, event, head

pytestmark = pytest.mark.anyio
BODY = b"ends with its connection"
WHOLE = b"".join(map(event, range(1, 4)))
LEAVING = "Server-Leaving: 1\r\n"
KINDS = ("non_idempotent", "streaming")


class StoppingTarget:
    """Scripts that use the fleet in which they run."""

    def __init__(self, *, more="", is_framed=False, is_listed_as="ready"):
        self._more = more
        self._is_framed = is_framed
        self._is_listed_as = is_listed_as

    def prepare(self, fleet):
        """Store the fleet."""
        self._fleet = fleet

    async def respond(self, request, writer):
        """Close the listening socket, then send a whole response and close."""
        fleet, is_stream = self._fleet, "/streaming/" in request.path
        target = fleet.targets[0]
        await target.close()
        if self._is_listed_as != "ready":
            fleet.put_target(target, state=self._is_listed_as)
            known = fleet.router._context.targets.by_id[target.target_id]
            await fleet.until(lambda: known.entry.state == self._is_listed_as)
        body = WHOLE if is_stream else BODY
        length = len(body) if self._is_framed else None
        kind = EVENTS if is_stream else "text/plain"
        writer.write(head(request, kind=kind, length=length, more=self._more) + body)
        await writer.drain()
        raise ConnectionResetError


@pytest.mark.parametrize("kind", KINDS)
class TestClosingTarget:
    async def test_response_that_may_be_cut_looks_whole(self, running, kind):
        """Its caller sees that it may be incomplete, and may ask again."""
        stopping = StoppingTarget()
        async with running(
            stopping.respond, routes=(kind,), prepare=stopping.prepare
        ) as fleet:
            reply = await fleet.call(f"/{kind}/")
        if kind == "streaming":
            assert (reply.is_complete, reply.body) == (False, WHOLE)
        else:
            assert reply.status == 502

    async def test_response_with_a_length_counts_as_cut(self, running, kind):
        stopping = StoppingTarget(is_framed=True)
        async with running(
            stopping.respond, routes=(kind,), prepare=stopping.prepare
        ) as fleet:
            reply = await fleet.call(f"/{kind}/")
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body == (WHOLE if kind == "streaming" else BODY)

    @pytest.mark.parametrize(
        "told", [{"more": LEAVING}, {"is_listed_as": "draining"}], ids=["head", "list"]
    )
    async def test_request_is_accused_of_the_end_of_a_leaving_target(
        self, running, kind, told
    ):
        """It has told that it ends, so that its end says nothing of its requests."""
        stopping = StoppingTarget(**told)
        async with running(
            stopping.respond, routes=(kind,), prepare=stopping.prepare
        ) as fleet:
            await fleet.call(f"/{kind}/")
            assert len(fleet.router._context.quarantine) == 0

    async def test_end_without_notice_accuses_nothing(self, running, kind):
        """A crash under a request looks the same."""
        stopping = StoppingTarget()
        async with running(
            stopping.respond, routes=(kind,), prepare=stopping.prepare
        ) as fleet:
            await fleet.call(f"/{kind}/")
            assert len(fleet.router._context.quarantine) > 0
