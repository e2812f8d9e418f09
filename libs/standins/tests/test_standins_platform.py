"""Tests of the platform and service stand-ins over HTTP."""

from base64 import b64encode
from contextlib import asynccontextmanager

import pytest
from httpcore import AsyncConnectionPool, RemoteProtocolError
from msgspec.json import decode, encode

from berylwalk.standins import loopback_host, serving
from berylwalk.standins._delayed_value import DelayedValue
from berylwalk.standins._target_signals import TargetSignals, with_signals
from berylwalk.standins.platform import PlatformStandin
from berylwalk.standins.service import ServiceStandin, build_parser

HOST = loopback_host(83)
PORT = 2379
BASE = f"http://{HOST}:{PORT}"


@asynccontextmanager
async def running(standin):
    """Serve a stand-in; yield an HTTP client."""
    async with (
        serving(standin.handle, HOST, PORT),
        AsyncConnectionPool() as client,
    ):
        yield client


async def call(client, method, path, body=None, **headers):
    """Send a request; return the response and its decoded body."""
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    response = await client.request(
        method, BASE + path, headers=fields, content=encode(body or {})
    )
    return response, decode(response.content)


def base64(text):
    """Return a text in Base64."""
    return b64encode(text.encode()).decode()


def transaction(revision, text):
    """Return a transaction that writes ``k`` if it has the given revision."""
    return {
        "expected-rev": [{"key": "k", "revision": revision}],
        "writes": [{"key": "k", "value": base64(text)}],
        "deletes": [],
    }


async def get(client, path):
    """Send a GET request."""
    return await call(client, "GET", path)


@pytest.mark.anyio
class TestMetadataStore:
    """API of the metadata store."""

    async def test_failed_condition_returns_current_entry(self):
        """Nothing is written, and the response has the current entry."""
        standin = PlatformStandin()
        standin.store.put(b"k", b"a")
        async with running(standin) as client:
            failed, failure_body = await call(
                client, "POST", "/kv-txn", transaction(0, "b")
            )
            succeeded, response = await call(
                client, "POST", "/kv-txn", transaction(2, "b")
            )
            _, item = await get(client, "/kv-key?key=k")
        assert failed.status == 412
        assert [
            (entry["value"], entry["revision"]) for entry in failure_body["entries"]
        ] == [(base64("a"), 2)]
        assert (succeeded.status, response) == (200, {"revision": 3})
        assert (item["value"], item["revision"], item["created"]) == (base64("b"), 3, 2)
        assert item["store-revision"] == 3

    async def test_transaction_is_atomic(self):
        """If one of several conditions fails, nothing is written."""
        standin = PlatformStandin()
        body = transaction(0, "b")
        body["expected-rev"].append({"key": "other", "revision": 7})
        async with running(standin) as client:
            failed, failure_body = await call(client, "POST", "/kv-txn", body)
            missing, _ = await get(client, "/kv-key?key=k")
        assert failed.status == 412
        assert {entry["revision"] for entry in failure_body["entries"]} == {0}
        assert missing.status == 404

    async def test_range_is_paginated(self):
        """A range is returned in pages of 500 entries, sorted by key."""
        standin = PlatformStandin()
        for number in range(501):
            standin.store.put(b"p/%04d" % number, b"x")
        async with running(standin) as client:
            _, first = await get(client, "/kv-range?path-prefix=p/")
            last_key = first["entries"][-1]["key"]
            _, second = await get(client, f"/kv-range?path-prefix=p/&after={last_key}")
        assert (len(first["entries"]), first["has-more"]) == (500, True)
        assert [item["key"] for item in second["entries"]] == ["p/0500"]
        assert second["has-more"] is False

    async def test_watch_returns_writes_and_deletions(self):
        """Events since a revision are returned; compacted revisions are an error."""
        standin = PlatformStandin()
        standin.store.put(b"k", b"a")
        standin.store.delete(b"k")
        path = "/kv-watch?path-prefix=k&wait-ms=0&after="
        async with running(standin) as client:
            _, response = await get(client, path + "1")
            _, no_changes = await get(client, path + "3")
            standin.store.compact()
            compacted, _ = await get(client, path + "1")
        removal = {"key": "k", "revision": 3, "tombstone": True}
        assert response["events"][0]["value"] == base64("a")
        assert response["events"][1] == removal
        assert no_changes == {"events": [], "store-revision": 3}
        assert compacted.status == 410

    async def test_end_of_lease_deletes_its_keys(self):
        """A revoked lease cannot be renewed, and its keys are deleted."""
        async with running(PlatformStandin()) as client:
            _, lease = await call(client, "POST", "/kv-lease", {"ttl-ms": 1})
            body = transaction(0, "a")
            body["writes"][0]["lease"] = lease["lease"]
            await call(client, "POST", "/kv-txn", body)
            kept, _ = await call(client, "POST", f"/kv-keep/{lease['lease']}")
            await call(client, "DELETE", f"/kv-lease-end/{lease['lease']}")
            ended, _ = await call(client, "POST", f"/kv-keep/{lease['lease']}")
            missing, _ = await get(client, "/kv-key?key=k")
        assert lease["ttl-ms"] == 1000
        assert (kept.status, ended.status, missing.status) == (200, 404, 404)

    async def test_write_with_lost_response_is_applied(self):
        """The connection is dropped without a response after the write."""
        standin = PlatformStandin()
        async with running(standin) as client:
            await call(client, "POST", "/control/faults", {"lose_answers": 1})
            with pytest.raises(RemoteProtocolError):
                await call(client, "POST", "/kv-txn", transaction(0, "a"))
            response, _ = await call(client, "POST", "/kv-txn", transaction(2, "b"))
            _, counts = await call(client, "GET", "/control/counts")
        assert response.status == 200
        assert standin.store.get(b"k").version == 2
        assert counts == {"/kv-txn": 2}


@pytest.mark.anyio
class TestOtherParts:
    """VM list, weight store and plain service."""

    async def test_weight_store_enforces_rate_limit(self):
        """A call above the rate limit is rejected with ``Retry-After``."""
        async with running(PlatformStandin(weight_rate=0.01)) as client:
            first = await client.request("GET", BASE + "/weights/m")
            second = await client.request("GET", BASE + "/weights/m")
        assert (first.status, second.status) == (200, 429)
        assert int(dict(second.headers)[b"retry-after"]) in range(1, 101)

    async def test_vm_list_is_replaced(self):
        """The control API replaces the VM list."""
        vm = {
            "vm_id": "vm-1",
            "address": "127.77.1.9",
            "failure_domain": "fd-a",
            "role": "entry",
            "state": "leaving",
        }
        async with running(PlatformStandin()) as client:
            await call(client, "POST", "/control/vms", {"vms": [vm]})
            _, listed = await call(client, "GET", "/v1/vms")
        assert listed == {"vms": [vm]}

    def test_value_changes_after_delay(self):
        """A recorded value is not read before the delay has passed."""
        value = DelayedValue("old", lag_s=2.0)
        value.record(10.0, "new")
        assert value.read(11.9) == "old"
        assert value.read(12.0) == "new"

    async def test_service_counts_repeated_calls(self):
        """Calls are counted by request id and by idempotency key."""
        headers = {"berylwalk_request_id": "r.1.1", "idempotency_key": "k-1"}
        async with running(ServiceStandin()) as client:
            for _ in range(2):
                _, response = await call(client, "PUT", "/signs/4", {}, **headers)
            _, seen = await call(client, "GET", "/control/seen")
        assert (response["method"], response["path"]) == ("PUT", "/signs/4")
        assert (response["request_id"], response["count"]) == ("r.1.1", 2)
        assert seen["requests"] == {"r.1.1": 2}
        assert seen["idempotency_keys"] == {"k-1": 2}


@pytest.mark.anyio
class TestTargetSignals:
    """Flow control headers of a target."""

    async def test_limit_and_leaving_are_in_each_response(self):
        """A change of the signals applies to the next response."""
        signals = TargetSignals(limit_per_s=2.5, is_leaving=True)
        handle = with_signals(ServiceStandin().handle, signals)
        async with serving(handle, HOST, PORT), AsyncConnectionPool() as client:
            first, _ = await call(client, "PUT", "/signs/4")
            signals.limit_per_s = None
            second, _ = await call(client, "PUT", "/signs/4")
        assert dict(first.headers)[b"server-limit"] == b"2.5"
        assert dict(first.headers)[b"server-leaving"] == b"1"
        assert b"server-limit" not in dict(second.headers)

    async def test_backoff_rejects_requests(self):
        """Requests are rejected as not executed, and do not reach the service."""
        service = ServiceStandin()
        handle = with_signals(service.handle, TargetSignals(backoff_s=3.0))
        async with serving(handle, HOST, PORT), AsyncConnectionPool() as client:
            response, _ = await call(client, "PUT", "/signs/4")
        headers = dict(response.headers)
        assert (response.status, headers[b"retry-after"]) == (503, b"3")
        assert headers[b"not-executed"] == b"1"
        assert service.count == 0

    def test_options(self):
        """Signals are set by options; by default there are none."""
        plain = TargetSignals.from_args(build_parser().parse_args([]))
        options = ["--limit-per-s", "1.3", "--leaving", "--rest-s", "3"]
        stated = TargetSignals.from_args(build_parser().parse_args(options))
        assert plain == TargetSignals()
        assert stated == TargetSignals(1.3, True, 3.0)
