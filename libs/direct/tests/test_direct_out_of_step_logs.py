"""Log fields that tell why a router was out of step when a stream was taken up."""

import pytest
from anyio import sleep

from test_direct_stream_versions import GOES_ON, STREAM, resumable_at

pytestmark = pytest.mark.anyio


def collect(router, kind):
    """Return the list to which a router's log lines of one kind are added."""
    lines = []
    setattr(
        router._context.log,
        kind,
        lambda event, *_, **fields: lines.append((event, fields)),
    )
    return lines


class TestStreamTakenUp:
    """The line of a stream that is taken up."""

    async def test_line_names_the_history_and_the_routers(self, running):
        """What the router knew when it bound the stream."""
        prepare = resumable_at("v1")
        async with running(GOES_ON, routes=STREAM, prepare=prepare) as fleet:
            versions = fleet.router._context.targets.versions
            await fleet.until(lambda: versions.stored("s"))
            lines = collect(fleet.router, "request")
            await fleet.call("/streaming/", Resumes="other", Last_Event_Id="5")
        (fields,) = [fields for event, fields in lines if event == "stream-taken-up"]
        assert fields["known_versions"] == ["v1"]
        assert (fields["known_routers"], fields["heard_routers"]) == (1, 1)
        assert fields["source"] == "only-one"


class TestStandstill:
    """A process that did not run for a while."""

    async def test_standstill_is_logged(self, running, monkeypatch):
        """A sweep comes late by the time that it lasted."""
        offset_s = 0.0
        async with running(GOES_ON, routes=STREAM) as fleet:
            context = fleet.router._context
            lines = collect(fleet.router, "process")
            clock = context.clock
            context.clock = lambda: clock() + offset_s
            await sleep(0.3)
            offset_s = 5.0
            await fleet.until(lambda: any(event == "stood-still" for event, _ in lines))
        (fields,) = [fields for event, fields in lines if event == "stood-still"]
        assert 5000 <= fields["late_ms"] < 5500
