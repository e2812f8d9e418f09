"""Routers that get SIGTERM while callers go on using their open connections."""

from asyncio import gather, run, to_thread
from itertools import count

from berylwalk.localfleet import ChatCall
from open_connections import OpenConnection

VICTIM = "entry-1"
CALLERS = 100
NUMBERS = count()


def chat(fleet, token, tokens=20):
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
                connection.send(chat(fleet, tokens["parkovisko"]))
                reply = await connection.reply()
                if is_first:  # With each of its replies, as platforms repeat it.
                    process.terminate()

        def callers(process):
            return [send_on(process, number == 0) for number in range(CALLERS)]

        assert stopped(fleet, callers) == 0
