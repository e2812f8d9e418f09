"""Targets that start again under their ids, and entries of other writers."""

import pytest
from anyio import sleep_forever

from direct_fleet import answers, chunk, event, head, read_reply, streams

pytestmark = pytest.mark.anyio


def once(first, later):
    """Return a script that does the first thing once, as a first life would."""
    scripts = iter([first])

    async def script(request, writer):
        await next(scripts, later)(request, writer)

    return script


async def hangs(request, writer):
    """Answer nothing."""
    await sleep_forever()


async def streams_two_and_hangs(request, writer):
    """Send two events of a stream and nothing more."""
    more = "Transfer-Encoding: chunked\r\n"
    writer.write(head(request, kind="text/event-stream", more=more))
    writer.write(chunk(event(1)) + chunk(event(2)))
    await writer.drain()
    await sleep_forever()


def started(fleet, target, started_ms):
    """Write the entry of a life of a target."""
    fleet.put_target(target, born=started_ms)


def first_life(fleet):
    """Let all targets say when they started."""
    for target in fleet.targets:
        started(fleet, target, 1_796_254_082_000)


async def sent_to_first(fleet, path):
    """Send a request that reaches the first target; return its reader and writer."""
    now = fleet.router._context.clock()
    fleet.router._context.targets.by_id["i-1"].note_refused(now, 0.4)
    reader, writer = await fleet.connect()
    writer.write(fleet.encoded(path))
    await fleet.until(lambda: fleet.targets[0].received)
    return reader, writer


class TestNewLife:
    """The target of a request in flight starts again; its connection stays open."""

    @pytest.mark.parametrize(
        ("kind", "status", "body"),
        [("idempotent", 200, b"b"), ("non_idempotent", 502, None)],
    )
    async def test_request_is_ended_by_what_may_be_repeated(
        self, running, kind, status, body
    ):
        """It goes on elsewhere, or the caller hears at once that it may have run."""
        first = once(hangs, answers("b"))
        async with running(
            first, answers("b"), routes=(kind,), prepare=first_life
        ) as fleet:
            reader, writer = await sent_to_first(fleet, f"/{kind}/")
            started(fleet, fleet.targets[0], 1_796_254_082_900)
            reply = await read_reply(reader)
            writer.close()
            received = [each for of in fleet.targets for each in of.received]
        assert reply.status == status
        assert body in (None, reply.body)
        assert len(received) == (2 if status == 200 else 1)

    async def test_stream_goes_on(self, running):
        """After the last event that was passed on."""
        first = once(streams_two_and_hangs, streams(1, 4))
        async with running(
            first, streams(1, 4), routes=(), prepare=self._resumable
        ) as fleet:
            reader, writer = await sent_to_first(fleet, "/streaming/")
            target = fleet.router._context.targets.by_id["i-0"]
            await fleet.until(lambda: target.waiting_tokens == 0 and target.fixed_s)
            started(fleet, fleet.targets[0], 1_796_254_082_900)
            reply = await read_reply(reader)
            writer.close()
        assert reply.whole
        assert reply.body == b"".join(event(number) for number in range(1, 5))
        later = [*fleet.targets[0].received[1:], *fleet.targets[1].received]
        assert [each.headers["last-event-id"] for each in later] == ["2"]

    @staticmethod
    def _resumable(fleet):
        fleet.route("streaming", resumable=True)
        first_life(fleet)

    async def test_late_entry_of_an_earlier_life_ends_nothing(self, running):
        """The request is answered where it is."""

        async def slow(request, writer):
            await fleet.until(lambda: fleet.late_entry_taken)
            await answers("a")(request, writer)

        async with running(slow, answers("b"), prepare=first_life) as fleet:
            fleet.late_entry_taken = False
            reader, writer = await sent_to_first(fleet, "/idempotent/")
            started(fleet, fleet.targets[0], 1_796_254_000_000)
            revision = fleet.platform.store.revision
            ordered = fleet.router._target_feed.mirror._state
            await fleet.until(lambda: ordered.revision >= revision)
            fleet.late_entry_taken = True
            reply = await read_reply(reader)
            writer.close()
        assert (reply.status, reply.body) == (200, b"a")


class TestEntriesOfOtherWriters:
    """Anyone may write under the prefix of the targets."""

    async def test_entry_that_can_not_be_used_touches_no_other(self, running):
        """It is told once, counted each time, and the targets go on serving."""
        async with running(answers("a"), answers("b")) as fleet:
            store, context = fleet.platform.store, fleet.router._context
            counted = context.metrics.unusable_items.labels(
                "target-invalid", "not-readable"
            )
            for number in range(3):
                store.put(b"servers/other", b"\xff" * (number + 1))
                await fleet.until(lambda seen=number: counted._value.get() > seen)
            assert set(context.targets.by_id) == {"i-0", "i-1"}
            assert (await fleet.call("/idempotent/")).status == 200

    async def test_target_whose_entry_turns_unusable_is_used_no_more(self, running):
        """Also in the seconds after an outage; a good entry brings it back."""
        async with running(answers("a"), answers("b")) as fleet:
            context = fleet.router._context
            context.targets.note_outage_ended(context.clock())
            fleet.put_target(fleet.targets[0], slots="many")
            await fleet.until(lambda: "i-0" not in context.targets.by_id)
            for _ in range(4):
                assert (await fleet.call("/idempotent/")).body == b"b"
            fleet.put_target(fleet.targets[0])
            await fleet.until(lambda: "i-0" in context.targets.by_id)

    async def test_entry_without_the_start_that_was_told(self, running):
        """A field is missing: the entry is of another writer."""
        async with running(answers("a"), answers("b"), prepare=first_life) as fleet:
            by_id = fleet.router._context.targets.by_id
            fleet.put_target(fleet.targets[0])
            await fleet.until(lambda: "i-0" not in by_id)

    async def test_router_that_can_not_be_one(self, running):
        """Its entry is told once, and the others are heard."""
        async with running(answers("a")) as fleet:
            context = fleet.router._context
            store = fleet.platform.store
            store.put(b"berylwalk/routers/x", b'{"host": "h", "port": 1, "life": "l"}')
            store.put(b"berylwalk/routers/y", b"\x00")
            good = b'{"host": "127.78.1.9", "port": 9, "life": "l"}'
            store.put(b"berylwalk/routers/z", good)
            await fleet.until(lambda: "z" in context.peers.by_name)
            assert set(context.peers.by_name) == {"z"}

    @pytest.mark.parametrize(
        "note",
        [
            b"\xff",
            b"[" * 10_000,
            b'{"t": [-1]}',
            b'{"t": [1e300]}',
            b'{"t": "much"}',
            b'{"targets": {}, "start_models": {"s": [1e999, 0, 0]}}',
            b'{"targets": {"i-0": {"fixed_s": -1, "slot_s": 0, "output_token_s": 0,'
            b' "event_s": 0, "paused_share": 7}}, "start_models": {"s": [0, 0, 0]}}',
        ],
    )
    async def test_note_that_can_not_be(self, running, note):
        """A start believes nothing of it, and serves."""

        def noted(fleet):
            fleet.platform.store.put(b"berylwalk/speeds", note)
            fleet.platform.store.put(b"berylwalk/spending", note)

        async with running(answers("a"), prepare=noted) as fleet:
            assert (await fleet.call("/idempotent/")).status == 200
            target = fleet.router._context.targets.by_id["i-0"]
            assert target.paused_share == 0.0
            spent = fleet.router._context.quotas.spent_in_window
            assert spent(fleet.router._context.clock()).get("t", 0) < 1000

    async def test_configuration_that_can_not_be_read(self, running):
        """The one before stays in force, and is not taken for confirmed."""
        async with running(answers("a")) as fleet:
            context = fleet.router._context
            counted = context.metrics.unusable_items.labels(
                "configuration-invalid", "not-readable"
            )
            fleet.platform.store.put(b"op/config", b'{"version": 9')
            await fleet.until(lambda: counted._value.get() >= 1)
            confirmed_at = context.configuration.confirmed_at
            assert (await fleet.call("/idempotent/")).status == 200
            await fleet.until(lambda: counted._value.get() >= 2)
            assert context.configuration.confirmed_at == confirmed_at
            fleet.version = 9
            fleet.put_configuration()
            await fleet.until_ready()
            state = context.configuration
            await fleet.until(lambda: state.confirmed_at > confirmed_at)
