"""Streams whose version has left, or is joined by another, while no router runs."""

from json import dumps

import pytest

from test_direct_stream_versions import (
    CUT,
    GOES_ON,
    STREAM,
    resumable,
    resumed_at,
    stored_streams,
)

pytestmark = pytest.mark.anyio


async def stop_all_routers(fleet):
    """End the only router, as its process is killed: it writes nothing any more."""
    fleet.router_scope.cancel()
    await fleet.until(lambda: fleet.done)


def listing(**versions_by_id):
    """Return what lists exactly some targets before the router starts."""

    def prepare(fleet):
        resumable(fleet)
        fleet.unlisted = []
        for target in list(fleet.targets):
            version = versions_by_id.get(target.target_id.replace("-", "_"))
            if version is None:
                unlist(fleet, target)
            else:
                fleet.put_target(target, version=version)

    return prepare


def unlist(fleet, target):
    """Remove the entry of a target, which serves on."""
    fleet.platform.store.delete(b"servers/" + target.target_id.encode())
    fleet.targets.remove(target)
    fleet.unlisted.append(target)


def relist(fleet, target, version):
    """List a target that was unlisted."""
    fleet.unlisted.remove(target)
    fleet.targets.append(target)
    fleet.put_target(target, version=version)


async def take_up(fleet, router, **changes):
    """Take the stream `first` up at a router that has started since."""
    fleet.settings = router._context.settings
    fleet.router = router
    await fleet.until_ready()
    return await fleet.call("/streaming/", Resumes="first", Last_Event_Id="5")


class TestVersionThatHasLeft:
    """All routers end; the next ones see other versions than those that ended."""

    async def test_stream_of_a_version_that_left_does_not_join_another(
        self, running, beside
    ):
        """One version is listed, and it is not the one that began the stream."""
        both = listing(i_0="v1", i_1="v2")
        async with running(CUT, GOES_ON, routes=STREAM, prepare=both) as fleet:
            fleet.router._context.targets.by_id["i-1"].fixed_s = 9.0
            await fleet.call("/streaming/", request_id="first")
            await fleet.until(lambda: stored_streams(fleet))
            await stop_all_routers(fleet)
            unlist(fleet, fleet.targets[0])
            async with beside({"name": "edge-2", "is_first_start": False}) as (second,):
                reply = await take_up(fleet, second)
            assert resumed_at(fleet) == []
            assert reply.status == 503

    async def test_stream_from_before_the_second_version_does_not_join_it(
        self, running, beside
    ):
        """The first version left, and the second came, while no router ran."""
        first = listing(i_0="v1")
        async with running(CUT, GOES_ON, routes=STREAM, prepare=first) as fleet:
            await fleet.call("/streaming/", request_id="first")
            await stop_all_routers(fleet)
            unlist(fleet, fleet.targets[0])
            relist(fleet, fleet.unlisted[0], "v2")
            async with beside({"name": "edge-2", "is_first_start": False}) as (second,):
                reply = await take_up(fleet, second)
            assert resumed_at(fleet) == []
            assert reply.status == 503

    async def test_stream_of_a_version_that_returned_does_not_join_another(
        self, running, beside
    ):
        """It was removed from the history, which its router had not read again."""
        both = listing(i_0="v1", i_1="v2")
        async with running(CUT, GOES_ON, routes=STREAM, prepare=both) as fleet:
            fleet.router._context.targets.by_id["i-1"].fixed_s = 9.0
            versions = fleet.router._context.targets.versions
            await fleet.until(lambda: versions.stored("s") == {"v1", "v2"})
            shortened = dumps({"era": 0, "versions": ["v2"]}).encode()
            fleet.platform.store.put(b"berylwalk/versions/s", shortened)
            await fleet.call("/streaming/", request_id="first")
            assert versions.stored("s") == {"v1", "v2"}
            await stop_all_routers(fleet)
            unlist(fleet, fleet.targets[0])
            async with beside({"name": "edge-2", "is_first_start": False}) as (second,):
                reply = await take_up(fleet, second)
            assert fleet.platform.store.get(b"berylwalk/versions/s").value == shortened
            assert resumed_at(fleet) == []
            assert reply.status == 503

    async def test_stream_goes_on_if_the_second_version_comes_while_no_router_runs(
        self, running, beside
    ):
        """Its version serves, and it is the only one at which it can have begun."""
        first = listing(i_0="v1")
        scripts = (CUT, GOES_ON, GOES_ON)
        async with running(*scripts, routes=STREAM, prepare=first) as fleet:
            await fleet.call("/streaming/", request_id="first")
            await stop_all_routers(fleet)
            relist(fleet, fleet.unlisted[0], "v1")
            relist(fleet, fleet.unlisted[0], "v2")
            unlist(fleet, fleet.targets[0])
            async with beside({"name": "edge-2", "is_first_start": False}) as (second,):
                reply = await take_up(fleet, second)
            assert reply.status == 200
            assert resumed_at(fleet) == ["i-1"]


class TestRecordBeforeEvent:
    """What a caller has of a stream of several versions is recorded before."""

    async def test_first_event_follows_its_record(self, running):
        """The process may end as soon as the event is sent."""
        both = listing(i_0="v1", i_1="v2")
        async with running(CUT, GOES_ON, routes=STREAM, prepare=both) as fleet:
            reader, writer = await fleet.connect()
            writer.write(fleet.encoded("/streaming/"))
            await reader.readuntil(b"id: 1")
            assert len(stored_streams(fleet)) == 1
            writer.close()
