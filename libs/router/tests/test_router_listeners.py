"""The ports of a router while it stops."""

from functools import partial

import anyio
import pytest

from berylwalk.router._listeners import Listeners
from berylwalk.transport import HttpClient, HttpServer, send_json

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
CLOSE_TIMEOUT_S = 20.0


async def is_listening(server):
    """Whether the port of a server accepts connections."""
    try:
        stream = await anyio.connect_tcp(*server.address)
    except OSError:
        return False
    await stream.aclose()
    return True


class TestClose:
    async def test_change_under_way_at_the_admin_port_is_answered(self):
        """Without an answer, the operator would not know whether it was applied."""
        entered, release = anyio.Event(), anyio.Event()
        responses = []

        async def change(scope, receive, send):
            entered.set()
            await release.wait()
            await send_json(send, 200, {"version": 2})

        async def request(client, address):
            url = "http://{}:{}/".format(*address)
            responses.append(await client.request("POST", url, body=b"{}"))

        admin, *others = (HttpServer.from_config(change, HOST, 0) for _ in range(3))
        listeners = Listeners(caller=others[0], admin=admin, ops=others[1])
        client = HttpClient.from_config()
        await listeners.start()
        await client.start()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request, client, admin.address)
            await entered.wait()
            tasks.start_soon(partial(listeners.close, timeout_s=CLOSE_TIMEOUT_S))
            while await is_listening(admin):
                await anyio.sleep(0.01)
            release.set()
        await client.close()
        [response] = responses
        assert response.status == 200
