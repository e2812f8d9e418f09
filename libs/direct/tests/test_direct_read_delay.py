"""Requests that a busy router reads late.

Guards against targets that work on for callers whose time limit has passed.
"""

import socket
import time
from selectors import EVENT_READ
from signal import SIGUSR1, raise_signal

import pytest
from anyio import create_task_group, open_signal_receiver, sleep

from berylwalk.direct import _measured_loop
from berylwalk.direct._measured_loop import MeasuredLoop
from direct_fleet import answers

pytestmark = pytest.mark.anyio

LIMIT_MS = 5000
BUSY_S = 0.3


@pytest.fixture
def anyio_backend():
    """Run on the event loop of the daemon."""
    return "asyncio", {"loop_factory": MeasuredLoop}


class TestTimeLimit:
    """The time limit that a target gets for a request that was read late."""

    async def test_request_that_waits_for_a_busy_loop(self, running):
        """The time since the connection was made counts."""
        async with running(answers("ok")) as fleet:
            request = fleet.encoded("/idempotent/", Deadline_Ms=str(LIMIT_MS))
            address = fleet.settings.caller_address
            with socket.create_connection((address.host, address.port)) as caller:
                caller.sendall(request)
                time.sleep(BUSY_S)
                await fleet.until(lambda: fleet.targets[0].received)
                caller.sendall(request)
                time.sleep(BUSY_S)
                await fleet.until(lambda: len(fleet.targets[0].received) == 2)
        for received in fleet.targets[0].received:
            assert int(received.headers["deadline-ms"]) <= LIMIT_MS - BUSY_S * 1000

    async def test_body_that_is_sent_late(self, running):
        """The time since the first byte counts."""
        async with running(answers("ok")) as fleet:
            request = fleet.encoded(
                "/idempotent/", body=b"abc", Deadline_Ms=str(LIMIT_MS)
            )
            _, writer = await fleet.connect()
            writer.write(request[:-1])
            await fleet.until(lambda: fleet.router._callers.connections)
            (connection,) = fleet.router._callers.connections
            await fleet.until(lambda: connection.is_busy)
            await sleep(BUSY_S)
            writer.write(request[-1:])
            await fleet.until(lambda: fleet.targets[0].received)
            writer.close()
        (received,) = fleet.targets[0].received
        assert int(received.headers["deadline-ms"]) <= LIMIT_MS - BUSY_S * 1000


class TestLog:
    """Log and metrics of requests whose input was read late."""

    async def test_delays_and_the_time_limit_are_told(self, running):
        """They tell whether a target worked on for a caller that had left."""

        async def waits(request, writer):
            while not request.sender_left():
                await sleep(0.01)

        async with running(waits) as fleet:
            context, lines = fleet.router._context, []
            context.log.request = lambda name, _, **fields: lines.append((name, fields))
            request = fleet.encoded("/idempotent/", Deadline_Ms=str(LIMIT_MS))
            address = fleet.settings.caller_address
            with socket.create_connection((address.host, address.port)) as caller:
                caller.sendall(request)
                time.sleep(BUSY_S)
                await fleet.until(lambda: fleet.targets[0].received)
            time.sleep(BUSY_S)
            await fleet.until(lambda: lines[-1][0] == "request-ended")
            exported = context.metrics.text().decode()
        fields = lines[-1][1]
        (attempt,) = fields["attempts"]
        limit_ms = int(fleet.targets[0].received[0].headers["deadline-ms"])
        assert int(attempt["time_limit_ms"]) == limit_ms
        assert fields["reason"] == "caller-left"
        assert fields["read_delay_ms"] >= BUSY_S * 1000
        assert fields["disconnect_delay_ms"] >= BUSY_S * 1000
        for read in ("request", "disconnect"):
            assert f'input_delay_seconds_count{{input="{read}"}} 1.0' in exported


class TestStopRequest:
    """The time from which a stop counts."""

    async def test_signal_that_waits_for_a_busy_loop(self, running):
        """The platform counts the grace from the signal."""
        async with running() as fleet:
            clock = fleet.router._context.clock
            signalled_at = None

            async def be_busy():
                nonlocal signalled_at
                signalled_at = clock()
                raise_signal(SIGUSR1)
                time.sleep(BUSY_S)

            with open_signal_receiver(SIGUSR1) as signals:
                async with create_task_group() as tasks:
                    tasks.start_soon(be_busy)
                    await anext(signals)
                    requested_at = fleet.router._stop_requested_at()
        assert requested_at <= signalled_at


class TestMeasuredDelay:
    """The delay that the event loop measures."""

    @pytest.mark.parametrize(
        ("busy_s", "waited_s", "ready_since"),
        [(0.3, 0.0, 0.0), (0.3, 2.0, 2.3), (0.0, 2.0, 2.0)],
    )
    def test_input_is_as_old_as_the_pass_before(
        self, monkeypatch, busy_s, waited_s, ready_since
    ):
        """Unless the loop waited for it."""
        now = 0.0

        def select(self, timeout=None):
            nonlocal now
            now += waited_s
            return [(None, EVENT_READ)]

        monkeypatch.setattr(_measured_loop, "monotonic", lambda: now)
        selector = _measured_loop._WaitingSelector()
        monkeypatch.setattr(_measured_loop.DefaultSelector, "select", select)
        now += busy_s
        selector.select(5.0)
        assert list(selector.ready_since) == [ready_since, 0.0, 0.0]
        selector.close()
