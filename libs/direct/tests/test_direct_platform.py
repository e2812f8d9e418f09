"""The router during configuration changes, store outages and a graceful stop."""

from asyncio import open_connection
from json import dumps

import pytest
from anyio import sleep

from berylwalk.dispatch import (
    HistoryCoverage,
    QuotaRules,
    deadlines_after_failure,
)
from berylwalk.forwarding import TargetPool
from direct_fleet import answers, read_reply, readiness

pytestmark = pytest.mark.anyio


class TestConfiguration:
    """Versions of the configuration and API keys."""

    async def test_new_version_is_in_force(self, running):
        """Changed routes and revoked keys take effect."""
        async with running(answers("ok")) as fleet:
            fleet.routes[0]["path-prefix"] = "/new/"
            fleet.tenants[0]["api-keys"] = ["k9"]
            fleet.put_configuration()
            await fleet.until_ready()
            old = await fleet.call("/idempotent/", X_Api_Key="k9")
            revoked = await fleet.call("/new/")
            new = await fleet.call("/new/", X_Api_Key="k9")
        assert (old.status, revoked.status, new.status) == (404, 401, 200)

    async def test_change_in_compacted_history_is_applied(self, running):
        """The feed lists again if its watch was compacted away."""
        async with running(answers("ok")) as fleet:
            fleet.routes[0]["path-prefix"] = "/new/"
            fleet.put_configuration()
            fleet.platform.store.compact()
            await fleet.until_ready()
            assert (await fleet.call("/new/")).status == 200

    async def test_last_account_that_is_removed_opens_all_routes(self, running):
        """An empty list holds no key; only without a list no key is needed."""

        def public_too(fleet):
            fleet.route("idempotent", **{"path-prefix": "/public/", "public": True})

        async with running(answers("ok"), prepare=public_too) as fleet:
            fleet.tenants = []
            fleet.put_configuration()
            await fleet.until_ready()
            revoked = await fleet.call("/idempotent/")
            keyless = await fleet.call("/idempotent/", X_Api_Key="")
            public = await fleet.call("/public/")
            fleet.tenants = None
            fleet.put_configuration()
            await fleet.until_ready()
            unchecked = await fleet.call("/idempotent/")
        replies = (revoked, keyless, public, unchecked)
        assert [each.status for each in replies] == [401, 401, 200, 200]

    async def test_keys_fail_closed(self, running):
        """Without the store, API keys are refused in time while public routes work."""

        def public_too(fleet):
            fleet.route("idempotent", **{"path-prefix": "/public/", "public": True})

        async with running(
            answers("ok"), prepare=public_too, key_revocation_s=1.5
        ) as fleet:
            fleet.platform.faults.down = True
            state = fleet.router._context.configuration
            clock = fleet.router._context.clock
            await fleet.until(lambda: not state.trusts_keys(clock()))
            keyed = await fleet.call("/idempotent/")
            public = await fleet.call("/public/")
            fleet.platform.faults.down = False
            await fleet.until(lambda: state.trusts_keys(clock()))
            again = await fleet.call("/idempotent/")
        assert keyed.status == 503
        assert "retry-after" in keyed.headers
        assert (public.status, again.status) == (200, 200)

    async def test_request_over_quota_is_rejected(self, running):
        """Requests over the quota reach no target."""

        def limited_tokens(fleet):
            fleet.tenants[0].update(
                {"unit": "tokens", "rate-per-s": 1, "burst": 1000, "plain-tokens": 400}
            )

        async with running(answers("ok"), prepare=limited_tokens) as fleet:
            await sleep(0.2)
            statuses = []
            for _ in range(6):
                reply = await fleet.call("/idempotent/", Token_Count="300,100")
                statuses.append(reply.status)
        assert statuses.count(200) == len(fleet.targets[0].received)
        assert set(statuses) <= {200, 429}


class TestTargets:
    """Entries of targets."""

    async def test_draining_target_gets_no_new_request(self, running):
        """The other target gets all requests."""
        async with running(answers("a"), answers("b")) as fleet:
            fleet.put_target(fleet.targets[0], state="draining")
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: by_id["i-0"].entry.state == "draining")
            before = len(fleet.targets[0].received)
            for _ in range(5):
                assert (await fleet.call("/idempotent/")).body == b"b"
        assert len(fleet.targets[0].received) == before

    async def test_removed_target_gets_no_request(self, running):
        """A target may be removed without draining first."""
        async with running(answers("a"), answers("b")) as fleet:
            fleet.platform.store.delete(b"servers/i-0")
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: "i-0" not in by_id)
            assert (await fleet.call("/idempotent/")).body == b"b"

    async def test_target_with_lapsed_entry_serves_after_outage(self, running):
        """An outage of the store does not make targets unavailable."""
        async with running(answers("a")) as fleet:
            fleet.platform.faults.down = True
            store_health = fleet.router._target_feed._store_health
            await fleet.until(lambda: store_health.unreachable_since is not None)
            await sleep(1.1)
            fleet.platform.store.delete(b"servers/i-0")
            assert (await fleet.call("/idempotent/")).status == 200
            fleet.platform.faults.down = False
            await fleet.until(lambda: store_health.unreachable_since is None)
            assert (await fleet.call("/idempotent/")).status == 200
            fleet.put_target(fleet.targets[0])
            await sleep(0.7)
            assert (await fleet.call("/idempotent/")).status == 200

    async def test_removal_in_a_short_gap_is_no_lapse(self, running):
        """A removal during a short gap in the watch is not mistaken for a lapse."""
        async with running(answers("a"), answers("b")) as fleet:
            fleet.platform.faults.down = True
            store_health = fleet.router._target_feed._store_health
            await fleet.until(lambda: store_health.unreachable_since is not None)
            fleet.platform.store.delete(b"servers/i-0")
            fleet.platform.faults.down = False
            await fleet.until(lambda: store_health.unreachable_since is None)
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: "i-0" not in by_id)

    async def test_draining_while_a_connection_is_opened(self, running, monkeypatch):
        """The state when sending counts, not the state when placing."""
        opened = TargetPool.open

        async def open_late(self, address):
            connection = await opened(self, address)
            if address.target_id == "i-0":
                await fleet.until(lambda: by_id["i-0"].entry.state == "draining")
            return connection

        async with running(answers("a"), answers("b")) as fleet:
            by_id = fleet.router._context.targets.by_id
            by_id["i-1"].note_refused(fleet.router._context.clock(), 0.3)
            monkeypatch.setattr(TargetPool, "open", open_late)
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: by_id["i-0"].in_flight)
            fleet.put_target(fleet.targets[0], state="draining")
            await fleet.until(lambda: fleet.targets[1].received)
            writer.close()
        assert not fleet.targets[0].received

    async def test_misdirected_request_is_retried(self, running):
        """The request is retried if another target is at the address."""

        async def misdirected(request, writer):
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        async with running(
            misdirected, answers("b"), routes=("non_idempotent",)
        ) as fleet:
            for _ in range(3):
                assert (await fleet.call("/non_idempotent/")).body == b"b"


class TestStopping:
    """A graceful stop."""

    async def test_request_in_progress_is_answered(self, running):
        """The router reports itself as not ready, completes its requests and exits."""

        async def slow(request, writer):
            await sleep(0.5)
            await answers("whole")(request, writer)

        async with running(slow) as fleet:
            assert await readiness(fleet) == 200
            reader, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: fleet.targets[0].received)
            fleet.stop()
            await fleet.until(lambda: fleet.router._context.stop is not None)
            assert await readiness(fleet) == 503
            reply = await read_reply(reader)
            late = await fleet.call("/idempotent/")
            await fleet.until(lambda: fleet.done)
            writer.close()
        assert (reply.status, reply.body) == (200, b"whole")
        assert reply.headers["connection"] == "close"
        assert late.status == 200

    @pytest.mark.parametrize("route", ["idempotent", "non_idempotent"])
    async def test_request_that_takes_too_long_gets_a_status(self, running, route):
        """It may have run at its target."""

        async def hangs(request, writer):
            await sleep(60)

        async with running(hangs, routes=(route,), stop_grace_s=4.0) as fleet:
            reader, writer = await fleet.connect()
            writer.write(fleet.encoded(f"/{route}/"))
            await fleet.until(lambda: fleet.targets[0].received)
            fleet.stop()
            reply = await read_reply(reader)
            await fleet.until(lambda: fleet.done)
            writer.close()
        assert reply.status == 502

    async def test_request_that_was_not_sent_is_refused(self, running, monkeypatch):
        """Its caller is told that it has not run, and may return."""
        async with running(answers("ok"), stop_grace_s=4.0) as fleet:
            dispatcher = fleet.router._context.dispatcher
            monkeypatch.setattr(dispatcher, "_choose", lambda pending, now: None)
            monkeypatch.setattr(
                "berylwalk.direct._request_lifecycle.deadlines_at_arrival",
                lambda *_, **__: deadlines_after_failure(1e9, 2e9),
            )
            reader, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: dispatcher.queue_length("s"))
            fleet.stop()
            reply = await read_reply(reader)
            await fleet.until(lambda: fleet.done)
            writer.close()
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert fleet.targets[0].received == []

    async def test_spending_survives_restart(self, running):
        """A starting router counts the spending before the restart."""

        def put_spending(fleet):
            fleet.tenants[0].update({"rate-per-s": 100, "burst": 100})
            bins = dumps({"t": [5000.0]}).encode()
            fleet.platform.store.put(b"berylwalk/spending", bins)

        rules = QuotaRules(window_s=8.0)
        async with running(
            answers("ok"), prepare=put_spending, allowances=rules
        ) as fleet:
            spent = fleet.router._context.quotas.spent_in_window
            clock = fleet.router._context.clock
            await fleet.until(lambda: spent(clock()).get("t", 0) >= 900)
            reply = await fleet.call("/idempotent/")
        assert reply.status == 429

    async def test_learned_speeds_survive_restart(self, running, monkeypatch):
        """After a restart, routers know which targets are slow."""
        monkeypatch.setattr("berylwalk.direct._speed_store.WRITE_INTERVAL_S", 0.05)
        async with running(answers("ok")) as fleet:
            await fleet.call("/idempotent/")
            learned = fleet.router._context.targets.by_id["i-0"].speed()
            store, key = fleet.platform.store, b"berylwalk/speeds"
            await fleet.until(lambda: store.get(key) is not None)
            snapshot = store.get(key).value
        assert learned.slot_s is not None

        def put_snapshot(fleet):
            fleet.platform.store.put(b"berylwalk/speeds", snapshot)

        async with running(answers("ok"), prepare=put_snapshot) as fleet:
            target = fleet.router._context.targets.by_id["i-0"]
            await fleet.until(lambda: target.slot_s is not None)
            assert target.slot_s == pytest.approx(learned.slot_s, abs=1e-5)

    async def test_high_spending_is_stored(self, running):
        """The snapshot is written while the spending is high."""

        def limited(fleet):
            fleet.tenants[0].update(
                {"unit": "tokens", "rate-per-s": 100, "burst": 100, "plain-tokens": 1}
            )

        rules = QuotaRules(window_s=8.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            store = fleet.platform.store
            quotas = fleet.router._context.quotas
            # As if it had run long enough to know the whole window.
            quotas.restore({}, HistoryCoverage.COMPLETE, fleet.router._context.clock())
            reply = await fleet.call("/idempotent/", Token_Count="700,0")
            key = b"berylwalk/spending"
            await fleet.until(lambda: store.get(key) is not None)
            first = store.get(key).mod_revision
            # It is written again although the sum does not change.
            await fleet.until(lambda: store.get(key).mod_revision > first)
        assert reply.status == 200

    async def test_router_leaves_the_list(self, running):
        """The entry is deleted before its lease expires."""
        async with running(answers("ok")) as fleet:
            key = b"berylwalk/routers/edge-1"
            store = fleet.platform.store
            await fleet.until(lambda: store.get(key) is not None)
            fleet.stop()
            await fleet.until(lambda: fleet.done)
            assert store.get(key) is None


class TestQuotas:
    """Quotas from the configuration."""

    async def test_log_line_contains_the_cost(self, running):
        """The counted spending includes the request itself."""

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 1000, "burst": 1000})

        rules = QuotaRules(window_s=30.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            context = fleet.router._context
            context.quotas.restore({}, HistoryCoverage.COMPLETE, context.clock())
            logged = []
            context.log.request = lambda event, request_id, **each: logged.append(each)
            await fleet.call("/idempotent/")
            await fleet.call("/idempotent/")
        ended = [each for each in logged if each.get("reason") == "answered"]
        assert [(each["cost"], each["counted"]) for each in ended] == [(1, 1), (1, 2)]
        assert {(each["limit"], each["share"]) for each in ended} == {(32550, 1.0)}

    async def test_log_line_of_a_429_tells_what_was_kept(self, running):
        """Without a more urgent request, nothing is."""

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 0.1, "burst": 2})

        async with running(answers("ok"), prepare=limited) as fleet:
            context = fleet.router._context
            context.quotas.restore({}, HistoryCoverage.COMPLETE, context.clock())
            logged = []
            context.log.request = lambda event, request_id, **each: logged.append(each)
            for _ in range(9):
                await fleet.call("/idempotent/")
        refused = [each for each in logged if each.get("reason") == "allowance-spent"]
        assert refused
        for each in refused:
            assert (each["kept"], each["kept_at_most"]) == (0, 0)
            assert each["urgent_per_s"] == 0
            assert each["counted"] + each["cost"] > each["limit"]

    async def test_refusals_for_what_was_kept_are_counted(self, running):
        """They can be told from an account that has spent its quota."""

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 1, "burst": 100})

        async with running(answers("ok"), prepare=limited) as fleet:
            context = fleet.router._context
            name = fleet.tenants[0]["name"]
            context.quotas.restore({}, HistoryCoverage.COMPLETE, context.clock())
            urgent = context.quotas.urgent_demand
            logged = []
            context.log.request = lambda event, request_id, **each: logged.append(each)
            for _ in range(200):
                urgent.record(name, -1, 10.0, context.clock())
                if (await fleet.call("/idempotent/")).status == 429:
                    break
            counted = context.metrics.refused_for_reserve.labels(name)._value.get()
        refused = [each for each in logged if each.get("reason") == "allowance-spent"]
        assert [each["kept"] > 0 for each in refused] == [True]
        assert counted == 1

    async def test_lowered_limit_applies_from_its_activation(self, running):
        """Spending under the previous limit is not charged to the new one."""

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 1, "burst": 30})

        rules = QuotaRules(window_s=30.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            context = fleet.router._context
            context.quotas.restore({}, HistoryCoverage.COMPLETE, context.clock())
            for _ in range(20):
                assert (await fleet.call("/idempotent/")).status == 200
            fleet.tenants[0].update({"rate-per-s": 0.1, "burst": 5})
            fleet.put_configuration()
            await fleet.until_ready()
            statuses = [(await fleet.call("/idempotent/")).status for _ in range(9)]
        assert statuses == [200] * 8 + [429]


class TestMetrics:
    """Output of the metrics address."""

    async def test_counters_and_gauges(self, running):
        """Counters of ended requests and gauges of targets."""
        async with running(answers("ok")) as fleet:
            await fleet.call("/idempotent/")
            await fleet.call("/nowhere/")
            host = fleet.settings.caller_address.host
            reader, writer = await open_connection(host, fleet.settings.metrics_port)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
            text = (await read_reply(reader)).body.decode()
            writer.close()
        ended = "berylwalk_requests_total{"
        assert (
            ended + 'kind="idempotent",priority="0",reason="answered",status="200"} 1.0'
            in text
        )
        assert 'reason="no-route",status="404"} 1.0' in text
        assert 'berylwalk_target_in_flight{target="i-0"} 0.0' in text
        assert "berylwalk_configuration_version 1.0" in text
        assert "request_id" not in text
