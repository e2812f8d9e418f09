"""Streams that begin or go on while a router does not know the stored history."""

import pytest
from anyio import (
    Event,
    create_task_group,
    fail_after,
    move_on_after,
    sleep,
    sleep_forever,
)

from berylwalk.dispatch import stream_key
from direct_fleet import CHUNKED, answers, chunk, event, head
from test_direct_stream_versions import (
    CUT,
    GOES_ON,
    STREAM,
    resumable,
    resumed_at,
    stored_streams,
)
from test_direct_versions_that_left import (
    listing,
    relist,
    stop_all_routers,
    take_up,
    unlist,
)

pytestmark = pytest.mark.anyio

ONE = listing(i_0="v1")


def stored_history(fleet):
    """Return the content of the stored histories."""
    entries = fleet.platform.store.range(b"berylwalk/versions/", b"berylwalk/versions0")
    return b"".join(each.value for each in entries)


async def lose_store(fleet, *routers):
    """Let the store go away, and wait until some routers have noticed it."""
    fleet.platform.faults.key_value_down = True
    for router in routers:
        health = router._store_health
        await fleet.until(lambda health=health: health.unreachable_since is not None)


async def lose_store_together(fleet, others):
    """Let the store go away once all routers know each other and the history."""
    routers = [fleet.router, *others]
    for router in routers:
        context = router._context
        await fleet.until(
            lambda context=context: (
                context.peers.alive_count(context.clock()) == len(routers)
                and context.targets.versions.stored("s") == {"v1"}
            )
        )
    await lose_store(fleet, *routers)


class SilentStore:
    """A client of the store whose calls get no answer."""

    era = 0

    async def get(self, key):
        """Get no answer."""
        await sleep_forever()


class TestUnconfirmedHistory:
    """The store does not tell a router the history in time."""

    async def test_router_that_may_be_cut_off_guesses_no_version(self, running):
        """Others may have added versions."""
        async with running(GOES_ON, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            fleet.router._version_history_store._store = SilentStore()
            reply = await take_up(fleet, fleet.router)
            assert reply.status == 503
            assert resumed_at(fleet) == []

    async def test_only_router_guesses_no_version_while_the_store_is_away(
        self, running
    ):
        """It may be cut off; others may have started, and added versions."""
        async with running(GOES_ON, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            await lose_store(fleet, fleet.router)
            reply = await take_up(fleet, fleet.router)
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) < 0.4
            assert resumed_at(fleet) == []
            fleet.platform.faults.key_value_down = False
            with fail_after(2.0):
                while (await take_up(fleet, fleet.router)).status != 200:
                    await sleep(0.05)

    async def test_only_router_continues_its_streams_while_the_store_is_away(
        self, running
    ):
        """It has seen them begin."""
        scripts = (CUT, GOES_ON)
        both = listing(i_0="v1", i_1="v1")
        async with running(*scripts, routes=STREAM, prepare=both) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            by_id = fleet.router._context.targets.by_id
            by_id["i-1"].fixed_s = 9.0
            await fleet.call("/streaming/", request_id="first")
            await lose_store(fleet, fleet.router)
            by_id["i-0"].fixed_s, by_id["i-1"].fixed_s = 9.0, 0.01
            reply = await take_up(fleet, fleet.router)
            assert reply.status == 200

    async def test_stream_goes_on_while_the_store_answers_no_router(
        self, running, beside
    ):
        """All routers tell that they know no other version."""
        async with (
            running(GOES_ON, routes=STREAM, prepare=ONE) as fleet,
            beside({"name": "edge-2"}, {"name": "edge-3"}) as others,
        ):
            await lose_store_together(fleet, others)
            for router in (fleet.router, *others):
                reply = await take_up(fleet, router)
                assert reply.status == 200

    async def test_no_version_is_guessed_while_a_router_does_not_answer(
        self, running, beside
    ):
        """It may reach the store, and add versions."""
        async with (
            running(GOES_ON, routes=STREAM, prepare=ONE) as fleet,
            beside({"name": "edge-2"}, {"name": "edge-3"}) as others,
        ):
            await lose_store_together(fleet, others)
            others[1]._peering.agreed_versions.handle_query = lambda _: None
            reply = await take_up(fleet, fleet.router)
            assert reply.status == 503
            assert resumed_at(fleet) == []

    async def test_record_of_a_stream_goes_before_the_history(self, running):
        """A version may have begun it before it was added."""
        async with running(GOES_ON, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            key = b"berylwalk/streams/%016x" % stream_key("t", b"first")
            fleet.platform.store.put(key, b"v2")
            reply = await take_up(fleet, fleet.router)
            assert reply.status == 503
            assert resumed_at(fleet) == []


class LateStore:
    """A client of the store whose first answer is held after the store gave it."""

    def __init__(self, store):
        self._store = store
        self.era = store.era
        self.reads = 0
        self.may_arrive = Event()

    async def get(self, key):
        """Return the item; the first one comes late."""
        self.reads += 1
        is_first = self.reads == 1
        item = await self._store.get(key)
        if is_first:
            await self.may_arrive.wait()
        return item


class TestUnknownHistory:
    """A router that has just started has not read the history."""

    async def test_streams_begin_at_no_version_before_it_is_read(self, running, beside):
        """It may lack the version."""
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            await stop_all_routers(fleet)
            relist(fleet, fleet.unlisted[0], "v2")
            async with beside({"name": "edge-2", "is_first_start": False}) as (second,):
                fleet.platform.faults.delay_ms = 400.0
                fleet.settings, fleet.router = second._context.settings, second
                await fleet.until_ready()
                second._context.targets.by_id["i-0"].fixed_s = 9.0
                await fleet.call("/streaming/", request_id="first")
            assert b"v2" not in stored_history(fleet)
            assert not fleet.targets[1].received


class TestVersionThatCameAndWent:
    """A version is listed for a moment only."""

    async def test_checks_are_rare_again(self, running, beside):
        """It left before it was added."""
        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            await stop_all_routers(fleet)
            async with beside({"name": "edge-2", "is_first_start": False}) as (second,):
                versions = second._context.targets.versions
                await fleet.until(lambda: versions.stored("s") == {"v1"})
                relist(fleet, fleet.unlisted[0], "v2")
                await fleet.until(lambda: versions.missing("s"))
                assert second._version_history_store._next_check_s() < 0.1
                unlist(fleet, fleet.targets[1])
                await fleet.until(lambda: not versions.missing("s"))
                assert second._version_history_store._next_check_s() == 1.0


class TestSharedRead:
    """Callers that come back together share one read of the history."""

    async def test_caller_that_leaves_does_not_fail_the_others(self, running):
        """The first of them begins the read."""
        async with running(GOES_ON, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            fleet.platform.faults.delay_ms = 200.0
            confirm = fleet.router._version_history_store.confirm
            results = []

            async def wait():
                await sleep(0.02)
                results.append(await confirm("s"))

            async with create_task_group() as tasks:
                tasks.start_soon(wait)
                with move_on_after(0.05):
                    await confirm("s")
        assert results == [True]

    async def test_read_from_before_a_caller_came_back_does_not_confirm(self, running):
        """Its stream may have begun at a version that was added since."""
        async with running(GOES_ON, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            histories = fleet.router._version_history_store
            late = histories._store = LateStore(histories._store)
            async with create_task_group() as tasks:
                tasks.start_soon(histories.confirm, "s")
                await sleep(0.05)
                key = b"berylwalk/versions/s"
                fleet.platform.store.put(key, b'{"era": 0, "versions": ["v1", "v2"]}')
                replies = []

                async def come_back():
                    replies.append(await fleet.call("/streaming/", Last_Event_Id="5"))

                tasks.start_soon(come_back)
                await sleep(0.1)
                late.may_arrive.set()
            assert replies[0].status == 503
            assert resumed_at(fleet) == []


class TestRecords:
    """What needs a record."""

    async def test_answer_that_is_no_stream_is_not_stored(self, running):
        """No caller takes it up."""
        both = listing(i_0="v1", i_1="v2")
        scripts = (answers("{}"), answers("{}"))
        async with running(*scripts, routes=STREAM, prepare=both) as fleet:
            await fleet.call("/streaming/", request_id="first")
            await sleep(0.3)
            assert stored_streams(fleet) == []


def slow_streams(pause_s):
    """Return a script of streams of two events."""

    async def script(request, writer):
        writer.write(head(request, kind="text/event-stream", more=CHUNKED))
        writer.write(chunk(event(1)))
        await writer.drain()
        await sleep(pause_s)
        writer.write(chunk(event(2)) + b"0\r\n\r\n")

    return script


class TestFewTargetsOfTheStoredVersion:
    """All routers start while one target of the stored version is left."""

    async def test_requests_that_wait_get_targets_of_the_new_version(
        self, running, beside
    ):
        """The router doesn't keep them from it for the time of returns."""
        slow = slow_streams(0.5)
        async with running(slow, slow, slow, routes=STREAM, prepare=ONE) as fleet:
            await fleet.until(lambda: b"v1" in stored_history(fleet))
            await stop_all_routers(fleet)
            relist(fleet, fleet.unlisted[0], "v2")
            relist(fleet, fleet.unlisted[0], "v2")
            async with beside({"name": "edge-2", "is_first_start": False}) as (second,):
                fleet.settings, fleet.router = second._context.settings, second
                await fleet.until_ready()

                async with create_task_group() as tasks:
                    for _ in range(40):
                        tasks.start_soon(fleet.call, "/streaming/")
                        await sleep(0.05)
            assert all(each.received for each in fleet.targets)


class TestSplitRoutes:
    """A route is split between services."""

    async def test_stream_is_taken_up_at_the_service_that_began_it(self, running):
        """Another service has not begun it."""

        def split(fleet):
            resumable(fleet)
            del fleet.routes[0]["service"]
            fleet.routes[0]["split"] = [
                {"service": "s", "weight": 1},
                {"service": "other", "weight": 1},
            ]
            fleet.targets[1].service = "other"
            fleet.put_target(fleet.targets[0], version="v1")
            fleet.put_target(fleet.targets[1], version="v7")

        async with running(GOES_ON, GOES_ON, routes=STREAM, prepare=split) as fleet:
            versions = fleet.router._context.targets.versions
            await fleet.until(lambda: versions.stored("s") and versions.stored("other"))
            for number in range(20):
                first = f"f{number}"
                await fleet.call("/streaming/", request_id=first)
                reply = await fleet.call(
                    "/streaming/", Resumes=first, Last_Event_Id="5"
                )
                assert reply.status == 200
            assert all(each.received for each in fleet.targets)
