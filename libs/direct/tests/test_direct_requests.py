"""What becomes of a request when targets misbehave."""

import pytest
from anyio import sleep

from direct_fleet import CHUNKED, EVENTS, answers, event, head, read_reply, streams

pytestmark = pytest.mark.anyio
STREAM = ("streaming",)


def resumable(fleet):
    """Allow the stream to go on at another target."""
    fleet.routes[0]["resumable"] = True


async def refuses(request, writer):
    """Answer that the request did not run."""
    writer.write(head(request, status="503 Full", length=0, more="Not-Executed: 1\r\n"))


async def breaks(request, writer):
    """Close the connection without an answer."""
    raise ConnectionResetError


async def truncates(request, writer):
    """Close the connection in the middle of the answer."""
    writer.write(head(request, length=10) + b"half")
    await writer.drain()
    raise ConnectionResetError


async def garbles(request, writer):
    """Send bytes that are no answer."""
    writer.write(b"\x00nonsense\r\n\r\n")


async def hangs(request, writer):
    """Never answer."""
    await sleep(60)


def total_received(fleet):
    """Return the number of requests that targets got."""
    return sum(len(target.received) for target in fleet.targets)


class TestForwarding:
    """What passes through."""

    async def test_request_and_answer_are_unchanged(self, running):
        """Method, path, body, id, status, seal and body are the same."""
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

    async def test_time_that_is_left(self, running):
        """A target gets no more than the caller's time and the route's."""
        async with running(answers("ok")) as fleet:
            await fleet.call("/idempotent/", Deadline_Ms="500")
            await fleet.call("/idempotent/", Deadline_Ms="60000")
        limits = [
            int(request.headers["deadline-ms"]) for request in fleet.targets[0].received
        ]
        assert 0 < limits[0] <= 500
        assert 500 < limits[1] <= 10_000

    async def test_connection_to_target_is_used_again(self, running):
        """Requests one after the other need one connection."""
        async with running(answers("ok")) as fleet:
            for _ in range(5):
                await fleet.call("/idempotent/")
            opened = fleet.router._context.metrics.connections._value.get()
        assert opened == 1

    async def test_requests_on_one_connection(self, running):
        """A caller keeps its connection."""
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
    async def test_bad_requests_reach_no_target(self, running, path, headers, status):
        """They are answered at once."""
        async with running(answers("ok")) as fleet:
            reply = await fleet.call(path, **headers)
        assert reply.status == status
        assert total_received(fleet) == 0


class TestOnce:
    """Requests that may run at most once."""

    @pytest.mark.parametrize("script", [breaks, truncates, garbles])
    async def test_unknown_outcome_is_not_repeated(self, running, script):
        """One target gets it, and the answer promises nothing."""
        async with running(script, script, routes=("non_idempotent",)) as fleet:
            reply = await fleet.call("/non_idempotent/")
        assert reply.status == 502
        assert total_received(fleet) == 1

    async def test_refused_requests_go_elsewhere(self, running):
        """A target that says that it did not run it can be passed over."""
        async with running(refuses, answers("ok"), routes=("non_idempotent",)) as fleet:
            replies = [await fleet.call("/non_idempotent/") for _ in range(4)]
        assert {reply.status for reply in replies} == {200}

    async def test_promise_of_not_run_is_true(self, running):
        """Refused everywhere: 503 and when to come back."""
        async with running(refuses, refuses, routes=("non_idempotent",)) as fleet:
            reply = await fleet.call("/non_idempotent/", Deadline_Ms="3000")
        assert reply.status == 503
        assert 0 < float(reply.headers["retry-after"]) <= 1.0

    async def test_own_failure_of_a_target_is_passed_on(self, running):
        """A target's 500 is its answer, seal and all."""
        script = answers("broken", status="500 Error")
        async with running(script, routes=("non_idempotent",)) as fleet:
            reply = await fleet.call("/non_idempotent/")
        assert (reply.status, reply.body) == (500, b"broken")
        assert reply.headers["server-seal"] == "sealed"

    async def test_unreachable_target_is_passed_over(self, running):
        """Nothing was sent, so another target may run it."""
        async with running(
            answers("ok"), answers("ok"), routes=("non_idempotent",)
        ) as fleet:
            await fleet.targets[0].close()
            replies = [await fleet.call("/non_idempotent/") for _ in range(4)]
        assert {reply.status for reply in replies} == {200}


class TestFault:
    """A fault of the router's own in the handling of a request."""

    async def test_other_requests_go_on(self, running, monkeypatch):
        """That one is cut; the process stays, and tells."""
        async with running(answers("ok")) as fleet:
            dispatcher = fleet.router._context.dispatcher

            def fail(pending, now):
                raise ZeroDivisionError("no slots")

            monkeypatch.setattr(dispatcher, "submit", fail)
            with pytest.raises((AssertionError, OSError, EOFError)):
                await fleet.call("/idempotent/")
            monkeypatch.undo()
            reply = await fleet.call("/idempotent/")
            text = fleet.router._context.metrics.text().decode()
        assert reply.status == 200
        assert "berylwalk_exchanges_failed_total 1.0" in text


class TestInTime:
    """Answers that would begin too late."""

    def slow_down(self, fleet, target_id):
        """Make a target known to be slow, and busy."""
        target = fleet.router._context.targets.by_id[target_id]
        target.fixed_s = 1000.0
        fleet.router._context.targets.replace_peer_loads("edge-2", {target_id: (3, 0)})

    async def test_request_is_refused_soon_and_told_when_to_return(self, running):
        """The only target is busy and slow; it gets nothing that would be late."""
        async with running(answers("ok")) as fleet:
            self.slow_down(fleet, "i-0")
            reply = await fleet.call("/idempotent/", Deadline_Ms="3000")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert total_received(fleet) == 0

    async def test_repeated_request_goes_where_it_is_late(self, running):
        """A target has failed it: late is better than not at all."""
        async with running(breaks, answers("ok")) as fleet:
            fleet.router._context.targets.by_id["i-0"].fixed_s = 0.001
            self.slow_down(fleet, "i-1")
            reply = await fleet.call("/idempotent/")
        assert (reply.status, reply.body) == (200, b"ok")
        assert [len(target.received) for target in fleet.targets] == [1, 1]


class TestRepeated:
    """Requests that may run more than once."""

    @pytest.mark.parametrize("script", [breaks, truncates, garbles])
    async def test_other_target_answers(self, running, script):
        """The caller gets one whole answer."""
        async with running(script, answers("ok")) as fleet:
            for _ in range(4):
                reply = await fleet.call("/idempotent/")
                assert (reply.status, reply.body) == (200, b"ok")

    async def test_attempts_are_bounded(self, running):
        """No more targets run it than the route allows."""
        async with running(breaks, breaks, breaks, breaks) as fleet:
            reply = await fleet.call("/idempotent/")
        assert reply.status == 502
        assert total_received(fleet) == 2

    async def test_budget_ends_repeats(self, running):
        """Without a budget the first failure is the last."""
        async with running(breaks, breaks, retry_slack=0, retry_ratio=0) as fleet:
            assert (await fleet.call("/idempotent/")).status == 502
        assert total_received(fleet) == 1

    async def test_late_second_answer_belongs_to_nobody(self, running):
        """A doubled answer never reaches the next caller."""

        async def doubles(request, writer):
            whole = head(request, length=3) + request.path[-3:].encode()
            writer.write(whole)
            await writer.drain()
            await sleep(0.01)
            writer.write(whole)

        async with running(doubles) as fleet:
            for name in ("aaa", "bbb", "ccc"):
                reply = await fleet.call(f"/idempotent/{name}")
                assert reply.body == name.encode()
                await sleep(0.02)


class TestStreams:
    """Streams, whole and broken."""

    async def test_stream_is_whole_and_in_order(self, running):
        """All events, once, and a proper end."""
        async with running(streams(1, 20), routes=STREAM) as fleet:
            reply = await fleet.call("/streaming/")
        assert reply.whole
        assert reply.body == b"".join(map(event, range(1, 21)))
        assert reply.headers["server-seal"] == "sealed"

    async def test_broken_stream_shows_to_be_incomplete(self, running):
        """Only whole events are passed on, and no proper end."""
        script = streams(1, 20, until=5, rest=b"id: 6\nda")
        async with running(script, routes=STREAM) as fleet:
            reply = await fleet.call("/streaming/")
        assert not reply.whole
        assert reply.body == b"".join(map(event, range(1, 6)))

    async def test_resumable_stream_goes_on_at_another_target(self, running):
        """The caller sees one stream without a gap or a doubled event."""
        first = streams(1, 20, until=5, rest=b"id: 6\nda")
        async with running(first, first, routes=STREAM, prepare=resumable) as fleet:
            fleet.targets[1].script = streams(1, 20)
            # The target that breaks off looks faster, so it is asked first.
            by_id = fleet.router._context.targets.by_id
            by_id["i-0"].fixed_s = 0.01
            by_id["i-1"].fixed_s = 9.0
            reply = await fleet.call("/streaming/")
            assert len(fleet.targets[0].received) == 1
        assert reply.whole
        assert reply.body == b"".join(map(event, range(1, 21)))

    async def test_resumed_request_names_the_last_event(self, running):
        """Whichever target breaks, the next goes on after its last event."""
        count = 0

        async def breaks_first(request, writer):
            nonlocal count
            count += 1
            script = streams(1, 20, until=5) if count == 1 else streams(1, 20)
            await script(request, writer)

        async with running(
            breaks_first, breaks_first, routes=STREAM, prepare=resumable
        ) as fleet:
            reply = await fleet.call("/streaming/")
        received = [each for target in fleet.targets for each in target.received]
        last_events = [each.headers.get("last-event-id") for each in received]
        assert sorted(last_events, key=str) == ["5", None]
        assert reply.whole
        assert reply.body == b"".join(map(event, range(1, 21)))

    async def test_stream_ends_at_its_time_limit(self, running):
        """A caller is not held longer than the route allows."""

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
        assert not reply.whole

    async def test_hanging_request_gets_its_final_answer(self, running):
        """It may have run, so nothing is promised."""

        def short(fleet):
            fleet.routes[0]["timeout-ms"] = 300

        async with running(hangs, routes=("non_idempotent",), prepare=short) as fleet:
            reply = await fleet.call("/non_idempotent/")
        assert reply.status == 504


class TestCallersLeave:
    """Callers that do not wait."""

    async def test_work_of_a_caller_that_left_is_stopped(self, running):
        """The connection to the target is closed, and the place is free."""

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

    async def test_waiting_request_of_a_caller_that_left_is_never_sent(self, running):
        """It leaves the waiting line."""
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


class TestReplacedTarget:
    """A target's address answers for another life, while its entry is still listed.

    Engines crash and are back at their addresses after two seconds; the entries of
    their former lives lapse seconds later. Routers went on to send there each tenth of
    a second, for what refuses at once seems free: 677 sends in the first two seconds of
    a burst, each of which took from the budget of repeats.
    """

    async def test_gets_one_request_only(self, running):
        """From then on all go elsewhere, however free it seems."""
        async with running(misdirects, answers_after(0.06, "ok")) as fleet:
            statuses = []
            for _ in range(20):
                statuses.append((await fleet.call("/idempotent/")).status)
                await sleep(0.03)
        assert statuses == [200] * 20
        assert len(fleet.targets[0].received) <= 1


def answers_after(seconds, text):
    """Return a script that takes some time: the other one seems faster."""

    async def script(request, writer):
        await sleep(seconds)
        writer.write(head(request, length=len(text)) + text.encode())

    return script


async def misdirects(request, writer):
    """Answer that another life is here."""
    writer.write(head(request, status="421 Misdirected Request", length=0))
