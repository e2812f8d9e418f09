"""Targets that restart under the same id, and invalid items in the store."""

import pytest
from anyio import sleep_forever

from direct_fleet import answers, chunk, event, head, read_reply, streams

pytestmark = pytest.mark.anyio


def first_then(first, later):
    """Return a script that handles the first request differently from later ones."""
    scripts = iter([first])

    async def script(request, writer):
        await next(scripts, later)(request, writer)

    return script


async def hangs(request, writer):
    """Never respond."""
    await sleep_forever()


async def streams_two_and_hangs(request, writer):
    """Send two events of a stream, then hang."""
    more = "Transfer-Encoding: chunked\r\n"
    writer.write(head(request, kind="text/event-stream", more=more))
    writer.write(chunk(event(1)) + chunk(event(2)))
    await writer.drain()
    await sleep_forever()


def put_incarnation(fleet, target, started_ms):
    """Write the entry of one incarnation of a target."""
    fleet.put_target(target, born=started_ms)


def put_first_incarnations(fleet):
    """Set the start times of all targets."""
    for target in fleet.targets:
        put_incarnation(fleet, target, 1_796_254_082_000)


async def sent_to_first(fleet, path):
    """Send a request that reaches the first target; return its reader and writer."""
    now = fleet.router._context.clock()
    fleet.router._context.targets.by_id["i-1"].note_refused(now, 0.4)
    reader, writer = await fleet.connect()
    writer.write(fleet.encoded(path))
    await fleet.until(lambda: fleet.targets[0].received)
    return reader, writer


class TestRestartedTarget:
    """A target restarts while a request is in flight and its connection stays open."""

    @pytest.mark.parametrize(
        ("kind", "status", "body"),
        [("idempotent", 200, b"b"), ("non_idempotent", 502, None)],
    )
    async def test_request_is_retried_only_if_allowed(
        self, running, kind, status, body
    ):
        """The request is retried if allowed; otherwise it fails at once."""
        first = first_then(hangs, answers("b"))
        async with running(
            first, answers("b"), routes=(kind,), prepare=put_first_incarnations
        ) as fleet:
            reader, writer = await sent_to_first(fleet, f"/{kind}/")
            put_incarnation(fleet, fleet.targets[0], 1_796_254_082_900)
            reply = await read_reply(reader)
            writer.close()
            received = [each for of in fleet.targets for each in of.received]
        assert reply.status == status
        assert body in (None, reply.body)
        assert len(received) == (2 if status == 200 else 1)

    async def test_stream_is_resumed(self, running):
        """The stream resumes after the last forwarded event."""
        first = first_then(streams_two_and_hangs, streams(1, 4))
        async with running(
            first, streams(1, 4), routes=(), prepare=self._resumable
        ) as fleet:
            reader, writer = await sent_to_first(fleet, "/streaming/")
            target = fleet.router._context.targets.by_id["i-0"]
            await fleet.until(lambda: target.waiting_tokens == 0 and target.fixed_s)
            put_incarnation(fleet, fleet.targets[0], 1_796_254_082_900)
            reply = await read_reply(reader)
            writer.close()
        assert reply.is_complete
        assert reply.body == b"".join(event(number) for number in range(1, 5))
        later = [*fleet.targets[0].received[1:], *fleet.targets[1].received]
        assert [each.headers["last-event-id"] for each in later] == ["2"]

    @staticmethod
    def _resumable(fleet):
        fleet.route("streaming", resumable=True)
        put_first_incarnations(fleet)

    async def test_stale_entry_of_earlier_incarnation_is_ignored(self, running):
        """A stale entry does not abort the request."""

        async def slow(request, writer):
            await fleet.until(lambda: fleet.late_entry_taken)
            await answers("a")(request, writer)

        async with running(slow, answers("b"), prepare=put_first_incarnations) as fleet:
            fleet.late_entry_taken = False
            reader, writer = await sent_to_first(fleet, "/idempotent/")
            put_incarnation(fleet, fleet.targets[0], 1_796_254_000_000)
            revision = fleet.platform.store.revision
            ordered = fleet.router._target_feed.mirror._state
            await fleet.until(lambda: ordered.revision >= revision)
            fleet.late_entry_taken = True
            reply = await read_reply(reader)
            writer.close()
        assert (reply.status, reply.body) == (200, b"a")


class TestInvalidItems:
    """Invalid items written by other clients of the store."""

    async def test_invalid_entry_does_not_affect_others(self, running):
        """It is logged once, counted each time, and the targets continue to serve."""
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

    async def test_target_with_invalid_entry_is_removed(self, running):
        """It is removed even after an outage; a valid entry restores it."""
        async with running(answers("a"), answers("b")) as fleet:
            context = fleet.router._context
            context.targets.note_outage_ended(context.clock())
            fleet.put_target(fleet.targets[0], slots="many")
            await fleet.until(lambda: "i-0" not in context.targets.by_id)
            for _ in range(4):
                assert (await fleet.call("/idempotent/")).body == b"b"
            fleet.put_target(fleet.targets[0])
            await fleet.until(lambda: "i-0" in context.targets.by_id)

    async def test_entry_without_known_start_time_is_invalid(self, running):
        """An entry without the known start time comes from another client."""
        async with running(
            answers("a"), answers("b"), prepare=put_first_incarnations
        ) as fleet:
            by_id = fleet.router._context.targets.by_id
            fleet.put_target(fleet.targets[0])
            await fleet.until(lambda: "i-0" not in by_id)

    async def test_invalid_router_entry_is_skipped(self, running):
        """The invalid entry is skipped and valid ones are applied."""
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
        "snapshot",
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
    async def test_implausible_snapshot_is_ignored(self, running, snapshot):
        """An implausible snapshot is ignored and the router serves requests."""

        def put_snapshots(fleet):
            fleet.platform.store.put(b"berylwalk/speeds", snapshot)
            fleet.platform.store.put(b"berylwalk/spending", snapshot)

        async with running(answers("a"), prepare=put_snapshots) as fleet:
            assert (await fleet.call("/idempotent/")).status == 200
            target = fleet.router._context.targets.by_id["i-0"]
            assert target.paused_share == 0.0
            spent = fleet.router._context.quotas.spent_in_window
            assert spent(fleet.router._context.clock()).get("t", 0) < 1000

    async def test_unreadable_configuration_is_not_confirmed(self, running):
        """The previous configuration stays in force but is not confirmed."""
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
