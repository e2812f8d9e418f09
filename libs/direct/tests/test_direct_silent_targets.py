"""A sound target may send nothing for a while and go on; its responses are kept.

Guards against attempts that were given up for the silence of their target although
nothing could take the request over.
"""

import pytest
from anyio import create_task_group, fail_after, sleep

from direct_fleet import CHUNKED, EVENTS, answers, chunk, event, head, streams

pytestmark = pytest.mark.anyio

SILENCE_S = 2.0
"""Longer than any timeout for silence in these tests."""
LAST = 12
WHOLE = b"".join(map(event, range(1, LAST + 1)))
STREAM = ("streaming",)


def falls_silent(after, *, silence_s=SILENCE_S):
    """Return a script that streams events, with a silence after one of them."""

    async def script(request, writer):
        writer.write(head(request, kind=EVENTS, more=CHUNKED))
        start = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(start, LAST + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await sleep(silence_s if number == after else 0.001)
        writer.write(b"0\r\n\r\n")

    return script


def falls_silent_once(after):
    """Return a script that falls silent under its first request only."""
    silences_s = iter([SILENCE_S])

    async def script(request, writer):
        silence_s = next(silences_s, 0.0)
        await falls_silent(after, silence_s=silence_s)(request, writer)

    return script


async def refuses(request, writer):
    """Refuse the request as not executed."""
    writer.write(head(request, status="503 Full", length=0, more="Not-Executed: 1\r\n"))


def answers_late(text, *, silence_s=SILENCE_S):
    """Return a script that answers after a silence."""
    answer = answers(text)

    async def script(request, writer):
        await sleep(silence_s)
        await answer(request, writer)

    return script


def resumable(max_attempts):
    """Return what makes a stream resumable, with short pauses allowed."""

    def prepare(fleet):
        fleet.routes[0].update(
            {"resumable": True, "max-attempts": max_attempts, "gap-target-ms": 100}
        )

    return prepare


def prefer_first(fleet):
    """Let the first target seem to be the fastest."""
    by_id = fleet.router._context.targets.by_id
    for number, target in enumerate(fleet.targets):
        by_id[target.target_id].fixed_s = 0.01 + 0.5 * number


def exhaust_retries(fleet):
    """Let the retry budget refuse every retry."""
    fleet.router._context.retries.take = lambda service, now: False


class TestNothingTakesOver:
    """The response is awaited if the request can't go on anywhere else."""

    async def test_stream_without_another_target(self, running):
        async with running(
            falls_silent(5), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE

    async def test_stream_whose_second_target_falls_silent_too(self, running):
        async with running(
            falls_silent(5), falls_silent(8), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            prefer_first(fleet)
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE

    async def test_stream_without_a_retry_left(self, running):
        async with running(
            falls_silent(5), falls_silent(5), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            exhaust_retries(fleet)
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE

    async def test_stream_whose_other_target_refuses_connections(self, running):
        async with running(
            falls_silent(5), falls_silent(5), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            prefer_first(fleet)
            await fleet.targets[1].close()
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE

    async def test_stream_of_a_version_that_no_other_target_has(self, running):
        async with running(
            falls_silent(5), streams(1, LAST), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            prefer_first(fleet)
            fleet.put_target(fleet.targets[1], version="v2")
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: by_id["i-1"].entry.version == "v2")
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE
        assert fleet.targets[1].received == []

    async def test_plain_request_without_another_target(self, running):
        async with running(answers_late("late")) as fleet:
            reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, b"late")

    async def test_request_that_must_not_be_repeated(self, running):
        """It may have run at the silent target, though another is free."""
        scripts = (answers_late("late"), answers("other"))
        async with running(*scripts, routes=("non_idempotent",)) as fleet:
            prefer_first(fleet)
            reply = await fleet.call("/non_idempotent/")
        assert reply.body == b"late"
        assert fleet.targets[1].received == []

    async def test_plain_request_whose_second_target_falls_silent_too(self, running):
        async with running(answers_late("late"), answers_late("late")) as fleet:
            reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, b"late")

    async def test_places_of_targets_that_were_not_needed_are_free_again(self, running):
        async with running(
            falls_silent(5), falls_silent(5), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            prefer_first(fleet)
            await fleet.targets[1].close()
            await fleet.call("/streaming/")
            targets = fleet.router._context.targets
            await fleet.until(lambda: not targets.own_loads())
        assert targets.by_id["i-1"].waiting_tokens == 0


class TestAnotherTakesOver:
    """A request goes on elsewhere as soon as that is possible."""

    async def test_stream_goes_on_at_a_free_target(self, running):
        async with running(
            falls_silent(5, silence_s=9.0),
            streams(1, LAST),
            routes=STREAM,
            prepare=resumable(2),
        ) as fleet:
            prefer_first(fleet)
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE
        assert len(fleet.targets[1].received) == 1

    async def test_target_that_is_listed_during_the_silence(self, running):
        async with running(
            falls_silent(5, silence_s=9.0),
            streams(1, LAST),
            routes=STREAM,
            prepare=resumable(2),
        ) as fleet:
            by_id = fleet.router._context.targets.by_id
            fleet.platform.store.delete(b"servers/i-1")
            await fleet.until(lambda: "i-1" not in by_id)

            async def list_later():
                await sleep(1.5)
                fleet.put_target(fleet.targets[1])

            async with create_task_group() as tasks:
                tasks.start_soon(list_later)
                reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE
        assert len(fleet.targets[1].received) == 1

    async def test_caller_that_leaves_frees_both_places(self, running):
        async with running(
            falls_silent(5, silence_s=9.0),
            falls_silent(5, silence_s=9.0),
            routes=STREAM,
            prepare=resumable(2),
        ) as fleet:
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/streaming/"))
            await fleet.until(lambda: all(each.received for each in fleet.targets))
            writer.close()
            targets = fleet.router._context.targets
            await fleet.until(lambda: not targets.own_loads())


class TestSlowConnections:
    """A connection that takes long to open holds no response up."""

    CONNECTING_S = 3.0

    def connect_slowly(self, fleet, monkeypatch, *target_ids):
        """Let connections to some targets fail after a while."""
        pool = fleet.router._context.pool
        open_connection = pool.open

        async def open_slowly(entry):
            if entry.target_id in target_ids:
                await sleep(self.CONNECTING_S)
                return None
            return await open_connection(entry)

        monkeypatch.setattr(pool, "open", open_slowly)

    async def test_answer_that_arrives_while_another_target_is_connected_to(
        self, running, monkeypatch
    ):
        async with running(answers_late("late", silence_s=1.2), answers("ok")) as fleet:
            prefer_first(fleet)
            self.connect_slowly(fleet, monkeypatch, "i-1")
            with fail_after(self.CONNECTING_S):
                reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, b"late")

    async def test_deadline_that_passes_while_another_target_is_connected_to(
        self, running, monkeypatch
    ):
        async with running(answers_late("late"), answers("ok")) as fleet:
            prefer_first(fleet)
            self.connect_slowly(fleet, monkeypatch, "i-1")
            with fail_after(2.2):
                reply = await fleet.call("/idempotent/", Deadline_Ms="1800")
        assert reply.status == 504

    async def test_deadline_that_passes_while_the_first_target_is_connected_to(
        self, running, monkeypatch
    ):
        async with running(answers("ok")) as fleet:
            self.connect_slowly(fleet, monkeypatch, "i-0")
            with fail_after(0.6):
                reply = await fleet.call("/idempotent/", Deadline_Ms="300")
        assert reply.status == 503

    async def test_caller_that_leaves_while_another_target_is_connected_to(
        self, running, monkeypatch
    ):
        async with running(answers_late("late"), answers("ok")) as fleet:
            prefer_first(fleet)
            self.connect_slowly(fleet, monkeypatch, "i-1")
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            targets = fleet.router._context.targets
            await fleet.until(lambda: len(targets.own_loads()) == 2)
            writer.close()
            with fail_after(1.0):
                await fleet.until(lambda: not targets.own_loads())

    def connect_after(self, fleet, monkeypatch, delay_s):
        """Let connections to the second target open after a while."""
        pool = fleet.router._context.pool
        open_connection = pool.open

        async def open_late(entry):
            if entry.target_id == "i-1":
                await sleep(delay_s)
            return await open_connection(entry)

        monkeypatch.setattr(pool, "open", open_late)

    async def test_target_that_goes_on_while_another_is_connected_to(
        self, running, monkeypatch
    ):
        async with running(
            falls_silent(5, silence_s=1.2),
            streams(1, LAST),
            routes=STREAM,
            prepare=resumable(2),
        ) as fleet:
            prefer_first(fleet)
            self.connect_after(fleet, monkeypatch, 1.0)
            reply = await fleet.call("/streaming/")
            targets = fleet.router._context.targets
            await fleet.until(lambda: not targets.own_loads())
        assert reply.is_complete
        assert reply.body == WHOLE
        assert fleet.targets[1].received == []

    async def test_target_that_is_removed_while_it_is_connected_to(
        self, running, monkeypatch
    ):
        async with running(
            falls_silent(5), streams(1, LAST), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            prefer_first(fleet)
            self.connect_after(fleet, monkeypatch, 0.5)
            by_id = fleet.router._context.targets.by_id
            other = by_id["i-1"]

            async def remove():
                await fleet.until(lambda: other.in_flight)
                fleet.platform.store.delete(b"servers/i-1")

            async with create_task_group() as tasks:
                tasks.start_soon(remove)
                reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == WHOLE
        assert fleet.targets[1].received == []
        assert other.in_flight == 0

    async def test_retry_that_others_use_while_another_is_connected_to(
        self, running, monkeypatch
    ):
        async with running(
            falls_silent(5), streams(1, LAST), routes=STREAM, prepare=resumable(2)
        ) as fleet:
            prefer_first(fleet)
            self.connect_after(fleet, monkeypatch, 0.5)
            exhaust_retries(fleet)
            reply = await fleet.call("/streaming/")
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: not by_id["i-1"].in_flight)
        assert reply.is_complete
        assert reply.body == WHOLE
        assert fleet.targets[1].received == []


class TestRefusalOfTheOther:
    """The target that was to take a request over refuses it."""

    @pytest.fixture
    def refusing_fleet(self, running):
        """Return a context manager of a target that goes on, and one that refuses."""

        def fleet_of(script, route):
            return running(
                script, refuses, routes=(route,), prepare=resumable(max_attempts=2)
            )

        return fleet_of

    async def test_stream_goes_on_at_the_first_target(self, refusing_fleet):
        async with refusing_fleet(falls_silent_once(5), "streaming") as fleet:
            prefer_first(fleet)
            reply = await fleet.call("/streaming/")
        assert [len(target.received) for target in fleet.targets] == [2, 1]
        assert reply.is_complete
        assert reply.body == WHOLE

    async def test_plain_request_is_answered_by_the_first_target(self, refusing_fleet):
        async with refusing_fleet(answers_late("ok"), "idempotent") as fleet:
            prefer_first(fleet)
            reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, b"ok")
