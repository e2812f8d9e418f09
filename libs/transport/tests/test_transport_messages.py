"""Datagrams and the peer sync channel, with sealed messages."""

from functools import partial

import anyio
import pynng
import pytest

from berylwalk.standins import loopback_host
from berylwalk.transport import (
    DatagramEndpoint,
    SyncClient,
    SyncFailed,
    SyncFailure,
    SyncServer,
)

HOST = loopback_host(85)
SYNC_PORT = 17002
TEST_TIMEOUT_S = 20.0


def run(main):
    """Run a coroutine function with a timeout on the event loop of the daemons."""

    async def with_timeout():
        with anyio.fail_after(TEST_TIMEOUT_S):
            await main()

    anyio.run(with_timeout, backend="asyncio", backend_options={"use_uvloop": True})


def seal(key, message):
    """Seal a message in a fake way: prefix it with the key."""
    return key + message


def open_(key, sealed):
    """Open a message sealed by `seal`; None if the prefix is not the key."""
    return sealed[len(key) :] if sealed.startswith(key) else None


def with_key(key):
    """Return keyword arguments that seal and open with a key."""
    return {"seal": partial(seal, key), "open_": partial(open_, key)}


class TestDatagramEndpoint:
    def test_opened_datagrams_arrive_and_others_are_rejected(self):
        """A datagram sealed with another key is counted but not delivered."""

        async def main():
            receiver = DatagramEndpoint.from_config(HOST, 0, **with_key(b"one"))
            sender = DatagramEndpoint.from_config(HOST, 0, **with_key(b"one"))
            other_key_sender = DatagramEndpoint.from_config(HOST, 0, **with_key(b"two"))
            for endpoint in (receiver, sender, other_key_sender):
                await endpoint.start()
            assert other_key_sender.send(b"forged", receiver.address)
            assert sender.send(b"hello", receiver.address)
            async for payload, address in receiver:
                assert (payload, address) == (b"hello", sender.address)
                break
            assert receiver.counts.rejected == 1
            assert receiver.counts.received == 1
            for endpoint in (receiver, sender, other_key_sender):
                await endpoint.close()

        run(main)

    def test_oversize_send_is_dropped_and_counted(self):
        """A send that the kernel refuses is counted and raises no error."""

        async def main():
            sender = DatagramEndpoint.from_config(HOST, 0)
            await sender.start()
            assert not sender.send(b"x" * 70_000, (HOST, 9))
            assert sender.counts.dropped == 1
            await sender.close()
            assert not sender.send(b"x", (HOST, 9))

        run(main)

    def test_close_ends_the_iteration(self):
        """A task that waits for datagrams finishes when the endpoint is closed."""

        async def main():
            endpoint = DatagramEndpoint.from_config(HOST, 0)
            await endpoint.start()

            async def iterate():
                async for _ in endpoint:
                    pass

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(iterate)
                await anyio.sleep(0.01)
                await endpoint.close()

        run(main)


class TestSync:
    def test_requests_are_handled_concurrently(self):
        """Requests that wait for one another all get their own replies."""

        async def main():
            all_arrived = anyio.Event()
            arrived = []

            async def handler(request):
                arrived.append(request)
                if len(arrived) == 3:
                    all_arrived.set()
                await all_arrived.wait()
                return b"reply to " + request

            server = SyncServer.from_config(HOST, SYNC_PORT, handler, **with_key(b"k"))
            client = SyncClient.from_config(timeout_s=5.0, **with_key(b"k"))
            replies = {}

            async def send_request(request):
                replies[request] = await client.request(HOST, SYNC_PORT, request)

            async with anyio.create_task_group() as tasks:
                await server.start(tasks)
                async with anyio.create_task_group() as request_tasks:
                    for request in (b"a", b"b", b"c"):
                        request_tasks.start_soon(send_request, request)
                await server.close()
            assert replies == {r: b"reply to " + r for r in (b"a", b"b", b"c")}

        run(main)

    def test_wrong_key_and_failing_handler_do_not_stop_the_server(self):
        """The server serves further requests after a wrong key or a handler error."""

        async def handler(request):
            if request == b"fail":
                raise ValueError("bad request")
            return b"x" * 2_000_000

        async def main():
            server = SyncServer(
                HOST, SYNC_PORT, handler, **with_key(b"one"), contexts=1
            )
            right = SyncClient(timeout_s=5.0, **with_key(b"one"))
            wrong = SyncClient(timeout_s=5.0, **with_key(b"two"))
            async with anyio.create_task_group() as tasks:
                await server.start(tasks)
                for client, request in ((wrong, b"q"), (right, b"fail")):
                    failed = await client.request(HOST, SYNC_PORT, request)
                    assert isinstance(failed, SyncFailed)
                    assert failed.failure is SyncFailure.REJECTED
                assert (server.rejected, server.failed) == (1, 1)
                reply = await right.request(HOST, SYNC_PORT, b"q")
                assert len(reply) == 2_000_000
                await server.close()

        run(main)

    def test_unreachable_peer_times_out(self):
        """A request without a listener fails in time, and can be cancelled."""

        async def main():
            client = SyncClient(timeout_s=0.1)
            failed = await client.request(HOST, SYNC_PORT + 1, b"q")
            assert failed.failure in (SyncFailure.TIMED_OUT, SyncFailure.UNREACHABLE)
            long_timeout_client = SyncClient(timeout_s=60.0)
            with anyio.move_on_after(0.05) as scope:
                await long_timeout_client.request(HOST, SYNC_PORT + 1, b"q")
            assert scope.cancelled_caught

        run(main)

    def test_address_in_use_is_an_error(self):
        """Starting a server on an address in use raises an error."""

        async def handler(request):
            return request

        async def main():
            async with anyio.create_task_group() as tasks:
                first = SyncServer(HOST, SYNC_PORT, handler)
                await first.start(tasks)
                with pytest.raises(pynng.NNGException):
                    await SyncServer(HOST, SYNC_PORT, handler).start(tasks)
                await first.close()

        run(main)
