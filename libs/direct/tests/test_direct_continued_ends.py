"""Continuations within one response that end with their connection."""

import pytest

from direct_fleet import CHUNKED, EVENTS, chunk, event, head, streams

pytestmark = pytest.mark.anyio
LAST = 20
"""Id of the last event of the stream."""


async def closes_after_head(request, writer):
    """Send a head without a length and close the connection; the process goes on."""
    writer.write(head(request, kind=EVENTS))
    await writer.drain()
    raise ConnectionResetError


def prefer_in_order(fleet):
    """Make targets appear slower one after another, so that they are used in order."""
    for number, target_id in enumerate(sorted(fleet.router._context.targets.by_id)):
        fleet.router._context.targets.by_id[target_id].fixed_s = 0.01 + 3.0 * number


def resumable(fleet):
    """Allow three targets."""
    fleet.routes[0].update({"resumable": True, "max-attempts": 3})


class TestEmptyContinuations:
    """Targets that have closed a continuation before its first event."""

    async def test_stream_looks_whole_before_its_last_event(self, running):
        """A third target has the rest."""
        scripts = streams(1, LAST, until=2), closes_after_head, streams(1, LAST)
        async with running(*scripts, routes=("streaming",), prepare=resumable) as fleet:
            prefer_in_order(fleet)
            reply = await fleet.call("/streaming/x")
        assert [len(each.received) for each in fleet.targets][:2] == [1, 1]
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(1, LAST + 1)))

    async def test_stream_that_its_caller_takes_up_looks_whole(self, running):
        """Its caller has got two events in another response."""
        scripts = closes_after_head, streams(1, LAST)
        async with running(*scripts, routes=("streaming",), prepare=resumable) as fleet:
            prefer_in_order(fleet)
            reply = await fleet.call("/streaming/x", Last_Event_Id="2")
        assert len(fleet.targets[0].received) == 1
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(3, LAST + 1)))


class TestNothingLeft:
    """The first target has sent all events, and ends before the end of the stream."""

    @pytest.mark.parametrize("framed", [True, False], ids=["chunked", "closed"])
    async def test_end_without_an_event(self, running, framed):
        """A last chunk is believed; a connection that ends after a head is not."""
        ends = streams(LAST + 1, LAST) if framed else closes_after_head
        scripts = streams(1, LAST, until=LAST), ends
        async with running(*scripts, routes=("streaming",), prepare=resumable) as fleet:
            prefer_in_order(fleet)
            reply = await fleet.call("/streaming/x")
        assert reply.body == b"".join(map(event, range(1, LAST + 1)))
        assert reply.is_complete is framed


def begins_again(*, framed):
    """Return a script that begins again, and ends before what the caller has."""

    async def script(request, writer):
        writer.write(head(request, kind=EVENTS, more=CHUNKED if framed else ""))
        writer.write(chunk(event(1)) + b"0\r\n\r\n" if framed else event(1))
        await writer.drain()
        if not framed:
            raise ConnectionResetError

    return script


@pytest.mark.parametrize("framed", [True, False], ids=["chunked", "closed"])
class TestRepeatedEvents:
    """Targets that begin a stream again and end it before its caller's last event."""

    async def test_stream_looks_whole_before_its_last_event(self, running, framed):
        """A third target has the rest."""
        again = begins_again(framed=framed)
        scripts = streams(1, LAST, until=2), again, streams(1, LAST)
        async with running(*scripts, routes=("streaming",), prepare=resumable) as fleet:
            prefer_in_order(fleet)
            reply = await fleet.call("/streaming/x")
        assert [len(each.received) for each in fleet.targets][:2] == [1, 1]
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(1, LAST + 1)))

    async def test_stream_that_its_caller_takes_up_looks_whole(self, running, framed):
        """Its caller has got two events in another response."""
        scripts = begins_again(framed=framed), streams(1, LAST)
        async with running(*scripts, routes=("streaming",), prepare=resumable) as fleet:
            prefer_in_order(fleet)
            reply = await fleet.call("/streaming/x", Last_Event_Id="2")
        assert len(fleet.targets[0].received) == 1
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(3, LAST + 1)))
