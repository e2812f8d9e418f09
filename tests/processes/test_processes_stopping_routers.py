"""Processes that get SIGTERM, mostly while callers go on using open connections."""

import time
from asyncio import gather, run, to_thread
from itertools import count
from signal import SIGTERM

import pytest

from berylwalk.localfleet import AnswerEnd, ChatCall, admin_request
from open_connections import NO_HEAD, OpenConnection, encoded

VICTIM = "entry-1"
CALLERS = 100
STREAM_TOKENS = 100
LOAD = 6
OPS_PORT = 8082
STARTED_FOR_S = (0.2, 0.6, 0.9, 1.0, 1.1, 1.3)
OUTLASTING = 600
"""Tokens of a stream that is longer than the grace."""
NUMBERS = count()


def chat(token, tokens=20):
    """Return a chat completion request with a unique text."""
    text = f"stopping {next(NUMBERS)}"
    return ChatCall(token=token, service="", text=text, max_tokens=tokens)


def stopped(fleet, callers):
    """Run callers beside a SIGTERM to the router; return its exit code."""

    async def main():
        process = fleet.process(VICTIM)
        code, *_ = await gather(to_thread(process.wait_for_exit), *callers(process))
        return code

    try:
        return run(main())
    finally:
        fleet.restart(VICTIM)


class TestCallersThatSendOn:
    def test_router_ends_while_callers_send_without_a_pause(self, fleet, tokens):
        """It refuses them, and doesn't wait for a moment without requests."""

        async def send_on(process, is_first):
            connection = await OpenConnection.to(fleet.urls[0])
            reply = None
            while reply is None or reply.is_whole:
                connection.send(chat(tokens["parkovisko"]))
                reply = await connection.reply()
                if is_first:  # With each of its replies, as platforms repeat it.
                    process.terminate()

        def callers(process):
            return [send_on(process, number == 0) for number in range(CALLERS)]

        assert stopped(fleet, callers) == 0


class TestOpenConnection:
    def test_next_request_after_a_stream_is_refused_and_told_of_the_close(
        self, fleet, tokens
    ):
        """The head of the stream was sent before SIGTERM and announced no close."""
        replies = []

        async def stream_then_next(process):
            connection = await OpenConnection.to(fleet.urls[0])
            connection.send(chat(tokens["parkovisko"], STREAM_TOKENS))
            head = await connection.head()
            process.terminate()
            replies.append(await connection.rest(head))
            connection.send(chat(tokens["parkovisko"]))
            replies.append(await connection.reply())
            replies.append(await connection.reply())

        assert stopped(fleet, lambda process: [stream_then_next(process)]) == 0
        stream, refused, end = replies
        assert (stream.status, stream.is_whole, stream.ends_connection) == (
            200,
            True,
            False,
        )
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert refused.ends_connection
        assert end.status == NO_HEAD

    @pytest.mark.parametrize("is_ahead_of_signal", [True, False])
    def test_requests_sent_ahead_of_the_end_of_a_stream_are_refused(
        self, fleet, tokens, is_ahead_of_signal
    ):
        """Each that was read is answered; the last answer ends the connection."""
        replies = []

        async def send_ahead(process):
            connection = await OpenConnection.to(fleet.urls[0])
            connection.send(chat(tokens["parkovisko"], STREAM_TOKENS))
            head = await connection.head()
            ahead = chat(tokens["parkovisko"])
            if is_ahead_of_signal:
                connection.send(ahead)
            process.terminate()
            if not is_ahead_of_signal:
                connection.send(ahead)
            replies.append(await connection.rest(head))
            replies.append(await connection.reply())

        assert stopped(fleet, lambda process: [send_ahead(process)]) == 0
        stream, refused = replies
        assert (stream.status, stream.is_whole) == (200, True)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert (refused.is_whole, refused.ends_connection) == (True, True)


class TestStopWithGrace:
    def test_no_waiting_request_is_begun_and_cut(self, fleet_with_grace):
        """It is refused at once; streams that outlast the grace end as unknown."""
        fleet = fleet_with_grace
        calls = fleet.chats(LOAD, (0,), tokens=OUTLASTING, stream=True)

        def run_or_wait():
            target = fleet.targets()["engine-1"]
            return target["running"] and target["running"] + target["waiting"] == LOAD

        fleet.wait(run_or_wait, "all requests to run or to wait")
        process = fleet.process(VICTIM)
        process.terminate()
        responses = fleet.results(calls)
        refused = [each for each in responses if each.end is AnswerEnd.NOT_RUN]
        cut = [each for each in responses if each.end is AnswerEnd.BROKEN]
        assert refused
        assert cut
        assert len(refused) + len(cut) == LOAD
        assert {(each.status, each.code) for each in refused} == {(503, "leaving")}
        assert {each.code for each in cut} == {"unknown-outcome"}
        begun = {each.request_id for each in cut}
        assert set(fleet.seen_at("engine-1")) == begun
        assert process.wait_for_exit() == 0


class TestHalfReadBody:
    def test_request_whose_body_ends_after_sigterm_is_refused(self, fleet, tokens):
        """It has begun to arrive before, but is accepted only when it is complete."""
        replies = []

        async def send_halves(process):
            connection = await OpenConnection.to(fleet.urls[0])
            connection.send(chat(tokens["parkovisko"]))
            await connection.reply()
            request = encoded(chat(tokens["parkovisko"]))
            connection.writer.write(request[:-10])
            await connection.writer.drain()
            process.terminate()
            await to_thread(fleet.wait, is_draining, "the router to drain")
            connection.writer.write(request[-10:])
            replies.append(await connection.reply())

        def is_draining():
            address = fleet.fleet.subnet.router(0)
            ready = admin_request("GET", f"http://{address}:{OPS_PORT}/readyz")
            return b"draining" in ready.content

        assert stopped(fleet, lambda process: [send_halves(process)]) == 0
        [refused] = replies
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert (refused.is_whole, refused.ends_connection) == (True, True)


class TestStart:
    @pytest.mark.parametrize("name", [VICTIM, "engine-1"])
    def test_process_ends_at_sigterm_whenever_it_comes(self, fleet, name):
        """Before it handles signals it ends at once, later it drains."""
        process = fleet.process(name)
        process.close()
        try:
            for started_for_s in STARTED_FOR_S:
                process.start()
                time.sleep(started_for_s)
                assert process.close() in (0, -SIGTERM)
        finally:
            fleet.restart(name)
