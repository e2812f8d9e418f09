"""Forwarding of requests to targets that fail, refuse or stall."""

from dataclasses import replace
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import pytest
from anyio import sleep

from berylwalk.direct._exchange_log import ExchangeLog
from direct_fleet import (
    CHUNKED,
    EVENTS,
    answers,
    chunk,
    event,
    head,
    read_reply,
    streams,
)

pytestmark = pytest.mark.anyio
STREAM = ("streaming",)


def resumable(fleet):
    """Make the route resumable."""
    fleet.routes[0]["resumable"] = True


async def refuses(request, writer):
    """Refuse the request as not executed."""
    writer.write(head(request, status="503 Full", length=0, more="Not-Executed: 1\r\n"))


async def resets(request, writer):
    """Close the connection without a response."""
    raise ConnectionResetError


async def truncates(request, writer):
    """Close the connection in the middle of the response."""
    writer.write(head(request, length=10) + b"half")
    await writer.drain()
    raise ConnectionResetError


async def garbles(request, writer):
    """Send bytes that are not a response."""
    writer.write(b"\x00nonsense\r\n\r\n")


async def hangs(request, writer):
    """Never respond."""
    await sleep(60)


def fails(*arguments, **options):
    """Raise an error that is not expected."""
    raise ZeroDivisionError("no slots")


def prefer_first(fleet):
    """Let the first of two targets seem to be the faster one."""
    by_id = fleet.router._context.targets.by_id
    by_id["i-0"].fixed_s, by_id["i-1"].fixed_s = 0.01, 0.5


def total_received(fleet):
    """Return the number of requests received by targets."""
    return sum(len(target.received) for target in fleet.targets)


class TestForwarding:
    """Forwarding without faults."""

    async def test_request_and_answer_are_unchanged(self, running):
        """Method, path, body, id, status, seal and body are forwarded unchanged."""
        async with running(answers('{"a": 1}')) as fleet:
            reply = await fleet.call("/idempotent/x?y=1", body=b"abc", request_id="id7")
        (received,) = fleet.targets[0].received
        assert (received.method, received.path) == ("POST", "/idempotent/x?y=1")
        assert received.body == b"abc"
        assert received.headers["attempt-id"] == "id7"
        assert received.headers["expect-instance"] == "i-0"
        assert received.headers["tenant"] == "t"
        assert "x-api-key" not in received.headers
        assert (reply.status, reply.body) == (200, b'{"a": 1}')
        assert reply.headers["server-seal"] == "sealed"

    async def test_remaining_time_is_forwarded(self, running):
        """Targets get the earlier deadline of the caller and the route."""
        async with running(answers("ok")) as fleet:
            await fleet.call("/idempotent/", Deadline_Ms="500")
            await fleet.call("/idempotent/", Deadline_Ms="60000")
        limits = [
            int(request.headers["deadline-ms"]) for request in fleet.targets[0].received
        ]
        assert 0 < limits[0] <= 500
        assert 500 < limits[1] <= 10_000

    async def test_request_is_not_sent_after_its_deadline(self, running):
        """Nor over a connection that is open, for which nothing has to be waited."""
        async with running(answers("ok")) as fleet:
            await fleet.call("/idempotent/")
            reply = await fleet.call("/idempotent/", Deadline_Ms="1")
            ends = fleet.router._context.metrics.attempts.labels("s", "not-sent")
            assert ends._value.get() == 1
        assert total_received(fleet) == 1
        assert reply.status == 503

    async def test_target_connection_is_reused(self, running):
        """Sequential requests use one connection."""
        async with running(answers("ok")) as fleet:
            for _ in range(5):
                await fleet.call("/idempotent/")
            opened = fleet.router._context.metrics.connections._value.get()
        assert opened == 1

    async def test_requests_on_one_connection(self, running):
        """A caller's connection is kept alive."""
        async with running(answers("ok")) as fleet:
            reader, writer = await fleet.connect()
            for _ in range(3):
                writer.write(fleet.encoded("/idempotent/"))
                assert (await read_reply(reader)).body == b"ok"
            writer.close()

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [
            ("/nowhere/", {}, 404),
            ("/idempotent/", {"X_Api_Key": "k2"}, 401),
            ("/idempotent/", {"Token_Count": "x"}, 400),
        ],
    )
    async def test_invalid_requests_reach_no_target(
        self, running, path, headers, status
    ):
        """Invalid requests are rejected immediately."""
        async with running(answers("ok")) as fleet:
            reply = await fleet.call(path, **headers)
        assert reply.status == status
        assert total_received(fleet) == 0


class TestNonIdempotent:
    """Requests that must not run more than once."""

    @pytest.mark.parametrize("script", [resets, truncates, garbles])
    async def test_unknown_outcome_is_not_retried(self, running, script):
        """Only one target gets the request, and the status makes no promise."""
        async with running(script, script, routes=("non_idempotent",)) as fleet:
            reply = await fleet.call("/non_idempotent/")
        assert reply.status == 502
        assert total_received(fleet) == 1

    async def test_refused_request_is_retried(self, running):
        """A request that was not executed is retried on another target."""
        async with running(refuses, answers("ok"), routes=("non_idempotent",)) as fleet:
            replies = [await fleet.call("/non_idempotent/") for _ in range(4)]
        assert {reply.status for reply in replies} == {200}

    async def test_request_refused_by_all_targets(self, running):
        """If all targets refuse, the response is 503 with ``Retry-After``."""
        async with running(refuses, refuses, routes=("non_idempotent",)) as fleet:
            reply = await fleet.call("/non_idempotent/", Deadline_Ms="3000")
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 1.0

    async def test_target_error_is_forwarded(self, running):
        """A target's 500 is forwarded with its seal."""
        script = answers("broken", status="500 Error")
        async with running(script, routes=("non_idempotent",)) as fleet:
            reply = await fleet.call("/non_idempotent/")
        assert (reply.status, reply.body) == (500, b"broken")
        assert reply.headers["server-seal"] == "sealed"

    async def test_unreachable_target_is_skipped(self, running):
        """Nothing was sent, so another target may run the request."""
        async with running(
            answers("ok"), answers("ok"), routes=("non_idempotent",)
        ) as fleet:
            await fleet.targets[0].close()
            replies = [await fleet.call("/non_idempotent/") for _ in range(4)]
        assert {reply.status for reply in replies} == {200}


class TestUnexpectedError:
    """Unexpected errors while handling a request."""

    async def test_other_requests_are_served(self, running, monkeypatch):
        """Only that request fails, with a status, and the error is counted."""
        async with running(answers("ok")) as fleet:
            dispatcher = fleet.router._context.dispatcher
            monkeypatch.setattr(dispatcher, "submit", fails)
            failed = await fleet.call("/idempotent/", request_id="f1")
            monkeypatch.undo()
            reply = await fleet.call("/idempotent/")
            text = fleet.router._context.metrics.text().decode()
        assert (failed.status, failed.headers["attempt-id"]) == (502, "f1")
        assert reply.status == 200
        assert "berylwalk_exchanges_failed_total 1.0" in text

    async def test_attempt_that_fails_at_its_start_keeps_its_place(
        self, running, monkeypatch
    ):
        """The target would count a request forever that it never got."""
        async with running(answers("ok")) as fleet:
            context = fleet.router._context
            monkeypatch.setattr(ExchangeLog, "log_placed", fails)
            failed = await fleet.call("/idempotent/")
            monkeypatch.undo()
            (target,) = context.targets.by_id.values()
            assert (failed.status, target.in_flight) == (502, 0)

    async def test_stream_that_has_begun_is_truncated(self, running, monkeypatch):
        """No status can follow its head."""
        async with running(
            streams(1, 20, until=5), streams(1, 20), routes=STREAM, prepare=resumable
        ) as fleet:
            prefer_first(fleet)
            retries = fleet.router._context.retries
            monkeypatch.setattr(retries, "take", fails)
            reply = await fleet.call("/streaming/")
        assert not reply.is_complete
        assert reply.body == b"".join(map(event, range(1, 6)))

    async def test_error_after_a_response_spares_the_next_one(
        self, running, monkeypatch
    ):
        """The next request on the connection is already running."""

        async def slow(request, writer):
            await sleep(0.1)
            await answers("ok")(request, writer)

        async with running(slow) as fleet:
            monkeypatch.setattr(ExchangeLog, "log_ended", fails)
            reader, writer = await fleet.connect()
            writer.write(2 * fleet.encoded("/idempotent/"))
            replies = [await read_reply(reader) for _ in range(2)]
            writer.close()
        assert [reply.status for reply in replies] == [200, 200]


class TestLateTargets:
    """Targets that would respond too late."""

    def slow_down(self, fleet, target_id):
        """Make a target slow and busy."""
        target = fleet.router._context.targets.by_id[target_id]
        target.fixed_s = 1000.0
        fleet.router._context.targets.replace_peer_loads("edge-2", {target_id: (3, 0)})

    async def test_late_request_is_rejected_with_retry_after(self, running):
        """The request is not sent to the only target, which is slow and busy."""
        async with running(answers("ok")) as fleet:
            self.slow_down(fleet, "i-0")
            # Loads of routers that are not heard are dropped within a moment.
            target = fleet.router._context.targets.by_id["i-0"]
            target.in_flight = target.entry.slots - 1
            reply = await fleet.call("/idempotent/", Deadline_Ms="3000")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert total_received(fleet) == 0

    async def test_few_routers_know_no_returns(self, running):
        """The caller is told to return soon, and its return is a new request."""
        async with running(answers("ok")) as fleet:
            context = fleet.router._context
            context.settings = replace(context.settings, time_order_min_routers=7)
            self.slow_down(fleet, "i-0")
            target = context.targets.by_id["i-0"]
            target.in_flight = target.entry.slots - 1
            reply = await fleet.call("/idempotent/", Deadline_Ms="3000")
            assert len(context.refused) == 0
        assert reply.status == 503
        assert 0.1 <= float(reply.headers["retry-after"]) <= 1.0

    async def test_retry_is_sent_to_late_target(self, running):
        """After a failed attempt, a late response is better than none."""
        async with running(resets, answers("ok")) as fleet:
            fleet.router._context.targets.by_id["i-0"].fixed_s = 0.001
            self.slow_down(fleet, "i-1")
            reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, b"ok")
        assert [len(target.received) for target in fleet.targets] == [1, 1]


class TestIdempotent:
    """Requests that may run more than once."""

    @pytest.mark.parametrize("script", [resets, truncates, garbles])
    async def test_request_is_retried_on_another_target(self, running, script):
        """The caller gets one complete response."""
        async with running(script, answers("ok")) as fleet:
            for _ in range(4):
                reply = await fleet.call("/idempotent/")
                assert (reply.status, reply.body) == (200, b"ok")

    async def test_attempts_are_bounded(self, running):
        """The number of attempts does not exceed that of the route."""
        async with running(resets, resets, resets, resets) as fleet:
            reply = await fleet.call("/idempotent/")
        assert reply.status == 502
        assert total_received(fleet) == 2

    async def test_retry_budget_is_respected(self, running):
        """Without a budget, the first failure is final."""
        async with running(resets, resets, retry_slack=0, retry_ratio=0) as fleet:
            assert (await fleet.call("/idempotent/")).status == 502
        assert total_received(fleet) == 1

    async def test_duplicate_response_is_dropped(self, running):
        """A duplicate response never reaches the next caller."""

        async def doubles(request, writer):
            response = head(request, length=3) + request.path[-3:].encode()
            writer.write(response)
            await writer.drain()
            await sleep(0.01)
            writer.write(response)

        async with running(doubles) as fleet:
            for name in ("aaa", "bbb", "ccc"):
                reply = await fleet.call(f"/idempotent/{name}")
                assert reply.body == name.encode()
                await sleep(0.02)


class TestStreams:
    """Complete and truncated streams."""

    async def test_stream_is_complete_and_in_order(self, running):
        """All events arrive once, followed by a proper end."""
        async with running(streams(1, 20), routes=STREAM) as fleet:
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(1, 21)))
        assert reply.headers["server-seal"] == "sealed"

    @pytest.mark.parametrize(
        ("headers", "first"), [({}, 0), ({"Last_Event_Id": "0"}, 1)]
    )
    async def test_first_event_with_id_0_is_taken_for_a_known_one(
        self, running, headers, first
    ):
        """Only a caller that names event 0 has it."""

        async def from_zero(request, writer):
            writer.write(head(request, kind=EVENTS, more=CHUNKED))
            writer.write(b"".join(chunk(event(number)) for number in range(5)))
            writer.write(b"0\r\n\r\n")

        async with running(from_zero, routes=STREAM) as fleet:
            reply = await fleet.call("/streaming/", **headers)
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(first, 5)))

    async def test_truncated_stream_is_incomplete(self, running):
        """Only complete events are forwarded, without a proper end."""
        script = streams(1, 20, until=5, rest=b"id: 6\nda")
        async with running(script, routes=STREAM) as fleet:
            reply = await fleet.call("/streaming/")
        assert not reply.is_complete
        assert reply.body == b"".join(map(event, range(1, 6)))

    async def test_resumable_stream_continues_at_another_target(self, running):
        """The caller gets one stream without gaps or duplicates."""
        first = streams(1, 20, until=5, rest=b"id: 6\nda")
        async with running(first, first, routes=STREAM, prepare=resumable) as fleet:
            fleet.targets[1].script = streams(1, 20)
            # The failing target appears to be faster and is selected first.
            by_id = fleet.router._context.targets.by_id
            by_id["i-0"].fixed_s = 0.01
            by_id["i-1"].fixed_s = 9.0
            reply = await fleet.call("/streaming/")
            assert len(fleet.targets[0].received) == 1
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(1, 21)))

    async def test_resumed_request_names_the_last_event(self, running):
        """The retry continues after the last event, whichever target failed."""
        count = 0

        async def resets_first(request, writer):
            nonlocal count
            count += 1
            script = streams(1, 20, until=5) if count == 1 else streams(1, 20)
            await script(request, writer)

        async with running(
            resets_first, resets_first, routes=STREAM, prepare=resumable
        ) as fleet:
            reply = await fleet.call("/streaming/")
        received = [each for target in fleet.targets for each in target.received]
        last_events = [each.headers.get("last-event-id") for each in received]
        assert sorted(last_events, key=str) == ["5", None]
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(1, 21)))

    async def test_stream_ends_at_its_time_limit(self, running):
        """A stream does not exceed the timeout of the route."""

        def short(fleet):
            fleet.routes[0]["timeout-ms"] = 300

        async def endless(request, writer):
            writer.write(head(request, kind=EVENTS, more=CHUNKED))
            for number in range(1, 10_000):
                data = event(number)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await sleep(0.01)

        async with running(endless, routes=STREAM, prepare=short) as fleet:
            reply = await fleet.call("/streaming/")
            await fleet.until(lambda: fleet.targets[0].open_requests == 0)
        assert not reply.is_complete

    async def test_stalled_request_times_out(self, running):
        """The request may have run, so the status makes no promise."""

        def short(fleet):
            fleet.routes[0]["timeout-ms"] = 300

        async with running(hangs, routes=("non_idempotent",), prepare=short) as fleet:
            reply = await fleet.call("/non_idempotent/")
        assert reply.status == 504


def unframed(*parts, kind=EVENTS, is_reset=False):
    """Return a script whose response ends with its connection.

    With ``is_reset`` the connection is reset instead of closed.
    """

    async def script(request, writer):
        writer.write(head(request, kind=kind))
        for part in parts:
            writer.write(part)
            await writer.drain()
            await sleep(0.001)
        if is_reset:
            linger = pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, linger)
        raise ConnectionResetError

    return script


class TestResponsesThatEndWithTheirConnection:
    """Neither a length nor chunks tell where the response ends."""

    async def test_stream_is_complete(self, running):
        """The caller gets all events and a proper end, on a new connection each."""
        script = unframed(event(1), event(2))
        async with running(script, routes=STREAM) as fleet:
            replies = [await fleet.call("/streaming/") for _ in range(3)]
        for reply in replies:
            assert reply.is_complete
            assert reply.body == event(1) + event(2)

    async def test_stream_that_is_reset_is_incomplete(self, running):
        """A reset must not look like the end."""
        script = unframed(event(1), is_reset=True)
        async with running(script, routes=STREAM) as fleet:
            reply = await fleet.call("/streaming/")
        assert reply.body == event(1)
        assert not reply.is_complete

    async def test_stream_that_ends_inside_an_event_continues(self, running):
        """The rest follows from another target, without gaps or duplicates."""
        count = 0

        async def breaks_first(request, writer):
            nonlocal count
            count += 1
            first = int(request.headers.get("last-event-id", 0)) + 1
            numbers = range(first, 6 if count == 1 else 11)
            rest = [b"id: 6\nda"] if count == 1 else []
            await unframed(*map(event, numbers), *rest)(request, writer)

        async with running(
            breaks_first, breaks_first, routes=STREAM, prepare=resumable
        ) as fleet:
            reply = await fleet.call("/streaming/")
        assert reply.is_complete
        assert reply.body == b"".join(map(event, range(1, 11)))

    async def test_buffered_response_is_complete(self, running):
        """The caller gets the whole body."""
        script = unframed(b"a", b"b", kind="application/json")
        async with running(script) as fleet:
            reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, b"ab")

    @pytest.mark.parametrize(
        ("route", "kind"),
        [("streaming", EVENTS), ("non_idempotent", "application/json")],
    )
    async def test_target_that_ends_after_the_head(self, running, route, kind):
        """A crash before the first byte must not look like an empty response."""
        async with running(unframed(kind=kind), routes=(route,)) as fleet:
            reply = await fleet.call(f"/{route}/")
            quarantine = fleet.router._context.quarantine
            assert reply.status == 502
            assert len(quarantine) == 1

    async def test_truncated_stream_to_an_old_caller_is_reset(self, running):
        """Without chunks, the caller can tell a truncated stream by a reset only."""
        script = streams(1, 20, until=5)
        async with running(script, routes=STREAM) as fleet:
            reader, writer = await fleet.connect()
            request = fleet.encoded("/streaming/").replace(b"HTTP/1.1", b"HTTP/1.0")
            writer.write(request)
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()


class TestDisconnectedCallers:
    """Callers that disconnect early."""

    async def test_request_of_disconnected_caller_is_cancelled(self, running):
        """The connection to the target is closed and its slot is released."""

        async def waits(request, writer):
            while not request.sender_left():
                await sleep(0.01)

        async with running(waits) as fleet:
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: fleet.targets[0].received)
            writer.close()
            target = fleet.router._context.targets.by_id["i-0"]
            await fleet.until(lambda: target.in_flight == 0)
            await fleet.until(lambda: fleet.targets[0].open_requests == 0)

    async def test_target_connection_is_closed_with_the_cancellation(self, running):
        """It does not wait for the task, whose turn is late on a busy VM."""

        async def waits(request, writer):
            while not request.sender_left():
                await sleep(0.01)

        async with running(waits) as fleet:
            pool, opened = fleet.router._context.pool, []
            open_connection = pool.open

            async def record(address):
                opened.append(await open_connection(address))
                return opened[-1]

            pool.open = record
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: fleet.targets[0].received)
            (exchange,) = fleet.router._exchanges_by_connection.values()
            assert opened[0].is_open
            exchange.cancel()
            assert not opened[0].is_open
            await fleet.until(lambda: fleet.targets[0].open_requests == 0)
            writer.close()

    async def test_queued_request_of_disconnected_caller_is_not_sent(self, running):
        """The request is removed from the queue."""
        async with running(answers("ok")) as fleet:
            target = fleet.router._context.targets.by_id["i-0"]
            target.in_flight += 100
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            dispatcher = fleet.router._context.dispatcher
            await fleet.until(lambda: dispatcher.queue_length("s") == 1)
            writer.close()
            await fleet.until(lambda: dispatcher.queue_length("s") == 0)
            target.in_flight -= 100
        assert total_received(fleet) == 0


class TestRestartedTarget:
    """Another process responds at the address of a target that is still listed.

    Guards against retries to a restarted target, whose immediate refusals make it
    look idle until the entry of its previous incarnation lapses.
    """

    async def test_gets_one_request_only(self, running):
        """All further requests go to the other target, however idle this one looks."""
        async with running(misdirects, answers_after(0.06, "ok")) as fleet:
            statuses = []
            for _ in range(20):
                statuses.append((await fleet.call("/idempotent/")).status)
                await sleep(0.03)
        assert statuses == [200] * 20
        assert len(fleet.targets[0].received) <= 1


def answers_after(seconds, text):
    """Return a script with a delay, which makes the other target look faster."""

    async def script(request, writer):
        await sleep(seconds)
        writer.write(head(request, length=len(text)) + text.encode())

    return script


async def misdirects(request, writer):
    """Respond as a process other than the addressed one."""
    writer.write(head(request, status="421 Misdirected Request", length=0))


class TestOtherAnswerInsideAStream:
    """A target that takes a stream over answers with something else."""

    @pytest.mark.parametrize("status", ["404 Not Found", "200 OK"])
    async def test_stream_is_truncated_without_it(self, running, status):
        """The answer must not be written into the body of the stream."""
        async with running(
            streams(1, 20, until=5),
            answers("{}", status=status),
            routes=STREAM,
            prepare=resumable,
        ) as fleet:
            prefer_first(fleet)
            reply = await fleet.call("/streaming/")
        assert not reply.is_complete
        assert reply.body == b"".join(map(event, range(1, 6)))
