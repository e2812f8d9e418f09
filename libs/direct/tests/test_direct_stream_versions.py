"""Streams go on only at the version of the software that began them."""

import pytest
from anyio import fail_after, sleep

from direct_fleet import event, streams

pytestmark = pytest.mark.anyio

STREAM = ("streaming",)
WHOLE = b"".join(map(event, range(1, 21)))


def resumable(fleet):
    """Make the route resumable, with one target for each request."""
    fleet.routes[0].update({"resumable": True, "max-attempts": 1})


def resumable_at(*versions):
    """Return what makes the route resumable, with targets of some versions."""

    def prepare(fleet):
        resumable(fleet)
        for target, version in zip(fleet.targets, versions, strict=True):
            fleet.put_target(target, version=version)

    return prepare


def stored_streams(fleet):
    """Return the records of streams in the store."""
    return fleet.platform.store.range(b"berylwalk/streams/", b"berylwalk/streams0")


def resumable_within(fleet):
    """Make the route resumable, with several targets for each request."""
    fleet.routes[0].update({"resumable": True, "max-attempts": 3})


async def set_versions(fleet, routers, *versions):
    """Publish the versions of the targets; earlier targets seem to be faster."""
    for target, version in zip(fleet.targets, versions, strict=True):
        fleet.put_target(target, version=version)
    for router in routers:
        by_id = router._context.targets.by_id
        for number, target in enumerate(fleet.targets):

            def is_known(target=target, number=number, by_id=by_id):
                known = by_id.get(target.target_id)
                return known is not None and known.entry.version == versions[number]

            await fleet.until(is_known)
            by_id[target.target_id].fixed_s = 0.01 + 3.0 * number
        versions_seen = router._context.rollouts.versions
        await fleet.until(lambda seen=versions_seen: not seen.pending("s"))


def resumed_at(fleet):
    """Return the ids of the targets that were asked to go on with a stream."""
    return [
        target.target_id
        for target in fleet.targets
        for request in target.received
        if "last-event-id" in request.headers
    ]


CUT = streams(1, 20, until=5)
GOES_ON = streams(1, 20)


class TestStreamsOfTwoVersions:
    """Targets of two versions serve side by side."""

    async def test_stream_does_not_join_two_versions(self, running):
        """The router itself goes on at a target of the same version."""
        async with running(
            CUT, GOES_ON, GOES_ON, routes=STREAM, prepare=resumable_within
        ) as fleet:
            await set_versions(fleet, [fleet.router], "v1", "v2", "v1")
            reply = await fleet.call("/streaming/")
        assert resumed_at(fleet) == ["i-2"]
        assert reply.body == WHOLE

    async def test_stream_taken_up_at_another_router_keeps_its_version(
        self, running, beside
    ):
        """The caller names the attempt that brought the first event."""
        async with (
            running(CUT, GOES_ON, GOES_ON, routes=STREAM, prepare=resumable) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            routers = [fleet.router, second]
            await set_versions(fleet, routers, "v1", "v2", "v1")
            await fleet.until(
                lambda: second._context.peers.alive_count(second._context.clock()) == 2
            )
            reply = await fleet.call("/streaming/", request_id="first")
            assert reply.body == WHOLE[: len(reply.body)]
            second._context.targets.by_id["i-0"].fixed_s = 9.0
            fleet.settings = second._context.settings
            reply = await fleet.call("/streaming/", Resumes="first", Last_Event_Id="5")
        assert set(resumed_at(fleet)) <= {"i-0", "i-2"}
        assert resumed_at(fleet)

    async def test_stream_of_unknown_version_is_not_taken_up(self, running):
        """Without a record, no version is guessed; the caller hears at once."""
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=resumable) as fleet:
            await set_versions(fleet, [fleet.router], "v1", "v2")
            reply = await fleet.call("/streaming/", Resumes="other", Last_Event_Id="5")
        assert reply.status == 503
        assert resumed_at(fleet) == []

    async def test_caller_of_an_unknown_version_is_told_to_return_in_time(
        self, running
    ):
        """Another router may know the version; the service is not overloaded."""
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=resumable) as fleet:
            await set_versions(fleet, [fleet.router], "v1", "v2")
            reply = await fleet.call("/streaming/", Resumes="other", Last_Event_Id="5")
        assert float(reply.headers["retry-after"]) < 0.4

    async def test_stream_that_is_not_named_does_not_join_versions(self, running):
        """No record can be found for it."""
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=resumable) as fleet:
            await set_versions(fleet, [fleet.router], "v1", "v2")
            reply = await fleet.call("/streaming/", Last_Event_Id="5")
        assert reply.status == 503
        assert resumed_at(fleet) == []

    async def test_stream_that_is_not_named_goes_on_at_the_only_version(self, running):
        """It can have begun at no other."""
        prepare = resumable_at("v1", "v1")
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=prepare) as fleet:
            reply = await fleet.call("/streaming/", Last_Event_Id="5")
        assert reply.body == b"".join(map(event, range(6, 21)))

    async def test_stream_of_a_service_with_one_version_is_taken_up(self, running):
        """No record is needed."""
        prepare = resumable_at("v1", "v1")
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=prepare) as fleet:
            reply = await fleet.call("/streaming/", Resumes="other", Last_Event_Id="5")
        assert reply.body == b"".join(map(event, range(6, 21)))

    async def test_stream_taken_up_after_all_routers_ended_keeps_its_version(
        self, running, beside
    ):
        """No router is left that has seen the stream begin."""
        async with running(
            CUT, GOES_ON, GOES_ON, routes=STREAM, prepare=resumable
        ) as fleet:
            await set_versions(fleet, [fleet.router], "v1", "v2", "v1")
            await fleet.call("/streaming/", request_id="first")
            fleet.router._peering.close()
            async with beside({"name": "edge-2"}) as (second,):
                await set_versions(fleet, [second], "v1", "v2", "v1")
                second._context.targets.by_id["i-0"].fixed_s = 9.0
                fleet.settings = second._context.settings
                await fleet.call("/streaming/", Resumes="first", Last_Event_Id="5")
        assert set(resumed_at(fleet)) <= {"i-0", "i-2"}
        assert resumed_at(fleet)


class TestStoredVersions:
    """Versions in the store, for routers that know of no router that saw the stream."""

    async def test_streams_of_a_service_with_one_version_are_not_stored(self, running):
        """Any router can tell its version without a record."""
        prepare = resumable_at("v1", "v1")
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=prepare) as fleet:
            versions = fleet.router._context.targets.versions
            await fleet.until(lambda: versions.stored("s") == {"v1"})
            await fleet.call("/streaming/")
            await sleep(0.2)
            assert stored_streams(fleet) == []

    async def test_records_end_with_their_lease(self, running):
        """They are kept for as long as callers come back, and no longer."""
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=resumable) as fleet:
            await set_versions(fleet, [fleet.router], "v1", "v2")
            await fleet.call("/streaming/")
            await fleet.until(lambda: stored_streams(fleet))
            (record,) = stored_streams(fleet)
            leases_by_id = fleet.platform.store.leases_by_id
            assert 30.0 < leases_by_id[record.lease_id].ttl_s < 60.0

    async def test_caller_hears_soon_while_the_store_is_away(self, running):
        """No version is guessed, and the caller is not held."""
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=resumable) as fleet:
            await set_versions(fleet, [fleet.router], "v1", "v2")
            fleet.platform.faults.delay_ms = 2000.0
            with fail_after(1.0):
                reply = await fleet.call(
                    "/streaming/", Resumes="other", Last_Event_Id="5"
                )
        assert reply.status == 503
        assert resumed_at(fleet) == []
