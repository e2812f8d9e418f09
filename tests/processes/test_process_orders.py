"""Orders to targets through the admin API of running processes."""

import json
import time

import httpcore
import msgspec
import pytest

from berylwalk.localfleet import (
    EngineSpec,
    FleetSpec,
    LocalFleet,
    RouterSpec,
    admin_request,
    post_json,
)
from berylwalk.localfleet.demo import TOKENS_BY_ACCOUNT, demo_tree

ORDER = {
    "target": "engine-1",
    "kind": "load-adapter",
    "name": "deeds-v2",
    "source": "weights/deeds-v2",
}
MAX_ATTEMPTS = 400
RETRY_INTERVAL_S = 0.05


@pytest.fixture(scope="module")
def fleet():
    spec = FleetSpec(
        routers=(RouterSpec("entry-1", "ist-tuzla"),),
        targets=(EngineSpec("engine-1", "ist-tuzla"),),
        settings_tree=demo_tree(),
    )
    started = LocalFleet.from_spec(spec, subnet_offset=31)
    try:
        started.start()
        yield started
    finally:
        started.close()


def send_order(fleet, order):
    url = f"http://{fleet.subnet.router(0)}:8081/admin/v1/orders"
    return post_json(url, order)


def orders_received(fleet):
    seen = admin_request("GET", fleet.target_url("engine-1") + "/control/seen")
    return json.loads(seen.content)["orders"]


class TestOrders:
    def test_loaded_adapter_is_served(self, fleet):
        """Requests for an adapter that an order loaded reach its target."""
        assert send_order(fleet, ORDER).status == 200
        body = {"model": "deeds-v2", "prompt": "x", "max_tokens": 2}
        headers = {
            "Authorization": f"Bearer {TOKENS_BY_ACCOUNT['arsivsan']}",
            "Content-Type": "application/json",
        }
        url = fleet.caller_urls()[0] + "/v1/completions"
        statuses = []
        for _ in range(MAX_ATTEMPTS):  # until the agent has polled the target's models
            content = msgspec.json.encode(body)
            reply = httpcore.request("POST", url, headers=headers, content=content)
            statuses.append(reply.status)
            if reply.status == 200:
                break
            time.sleep(RETRY_INTERVAL_S)
        assert statuses[-1] == 200

    def test_outage_refuses_orders(self, fleet):
        """An order refused in a key-value outage does not reach the target."""
        before = orders_received(fleet)
        faults = fleet.platform_url() + "/control/faults"
        post_json(faults, {"down": True})
        try:
            reply = send_order(fleet, ORDER | {"name": "other"})
        finally:
            post_json(faults, {"down": False})
        assert reply.status == 409
        assert orders_received(fleet) == before
