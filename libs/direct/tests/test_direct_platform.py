"""What the router does as the platform changes, fails and stops it."""

from asyncio import open_connection
from json import dumps

import pytest
from anyio import sleep
from msgspec import msgpack

from berylwalk.direct._peer_messages import DomainMessage, PeerMessage, RouterNews
from berylwalk.direct._peering import relay_interval_s, tell_interval_s
from berylwalk.dispatch import AllowanceRules, Knowledge
from berylwalk.dispatch._peer_view import HEARD_WITHIN_S
from berylwalk.forwarding import TargetPool
from direct_fleet import KEY, answers, read_reply

pytestmark = pytest.mark.anyio


async def readiness(fleet):
    """Return the status of the question whether the router is ready."""
    address = fleet.settings.readiness_address
    reader, writer = await open_connection(address.host, address.port)
    writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
    reply = await read_reply(reader)
    writer.close()
    return reply.status


class TestConfiguration:
    """Versions and keys."""

    async def test_new_version_is_in_force(self, running):
        """Routes come and go, keys are taken away."""
        async with running(answers("ok")) as fleet:
            fleet.routes[0]["path-prefix"] = "/new/"
            fleet.tenants[0]["api-keys"] = ["k9"]
            fleet.put_configuration()
            await fleet.until_ready()
            old = await fleet.call("/idempotent/", X_Api_Key="k9")
            revoked = await fleet.call("/new/")
            new = await fleet.call("/new/", X_Api_Key="k9")
        assert (old.status, revoked.status, new.status) == (404, 401, 200)

    async def test_change_in_discarded_history_is_found(self, running):
        """A watch that can't go on is no reason to stay behind."""
        async with running(answers("ok")) as fleet:
            fleet.routes[0]["path-prefix"] = "/new/"
            fleet.put_configuration()
            fleet.platform.store.compact()
            await fleet.until_ready()
            assert (await fleet.call("/new/")).status == 200

    async def test_keys_fail_closed(self, running):
        """Without the store keys are refused in time, public routes go on."""

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

    async def test_allowance_is_refused_with_a_time(self, running):
        """What is over the allowance reaches no target."""

        def scarce(fleet):
            fleet.tenants[0].update(
                {"unit": "tokens", "rate-per-s": 1, "burst": 1000, "plain-tokens": 400}
            )

        async with running(answers("ok"), prepare=scarce) as fleet:
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
        """The other one gets them all."""
        async with running(answers("a"), answers("b")) as fleet:
            fleet.put_target(fleet.targets[0], state="draining")
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: by_id["i-0"].entry.state == "draining")
            before = len(fleet.targets[0].received)
            for _ in range(5):
                assert (await fleet.call("/idempotent/")).body == b"b"
        assert len(fleet.targets[0].received) == before

    async def test_removed_target_is_forgotten(self, running):
        """Also one that never said that it leaves."""
        async with running(answers("a"), answers("b")) as fleet:
            fleet.platform.store.delete(b"servers/i-0")
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: "i-0" not in by_id)
            assert (await fleet.call("/idempotent/")).body == b"b"

    async def test_entry_that_lapsed_in_an_outage_still_serves(self, running):
        """An outage of the store alone takes no target away."""
        async with running(answers("a")) as fleet:
            fleet.platform.faults.down = True
            reach = fleet.router._target_feed._reach
            await fleet.until(lambda: reach.away_since is not None)
            await sleep(1.1)
            fleet.platform.store.delete(b"servers/i-0")
            assert (await fleet.call("/idempotent/")).status == 200
            fleet.platform.faults.down = False
            await fleet.until(lambda: reach.away_since is None)
            assert (await fleet.call("/idempotent/")).status == 200
            fleet.put_target(fleet.targets[0])
            await sleep(0.7)
            assert (await fleet.call("/idempotent/")).status == 200

    async def test_removal_in_a_short_gap_is_no_lapse(self, running):
        """A watch that is cut for a moment must not hide that a target left."""
        async with running(answers("a"), answers("b")) as fleet:
            fleet.platform.faults.down = True
            reach = fleet.router._target_feed._reach
            await fleet.until(lambda: reach.away_since is not None)
            fleet.platform.store.delete(b"servers/i-0")
            fleet.platform.faults.down = False
            await fleet.until(lambda: reach.away_since is None)
            by_id = fleet.router._context.targets.by_id
            await fleet.until(lambda: "i-0" not in by_id)

    async def test_word_to_leave_while_a_connection_is_opened(
        self, running, monkeypatch
    ):
        """What is known at the sending counts, not at the placing."""
        opened = TargetPool.open

        async def open_late(self, address):
            connection = await opened(self, address)
            if address.target_id == "i-0":
                await fleet.until(lambda: by_id["i-0"].entry.state == "draining")
            return connection

        async with running(answers("a"), answers("b")) as fleet:
            by_id = fleet.router._context.targets.by_id
            by_id["i-1"].note_full(fleet.router._context.clock(), 0.3)
            monkeypatch.setattr(TargetPool, "open", open_late)
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: by_id["i-0"].in_flight)
            fleet.put_target(fleet.targets[0], state="draining")
            await fleet.until(lambda: fleet.targets[1].received)
            writer.close()
        assert not fleet.targets[0].received

    async def test_address_that_another_service_uses_now(self, running):
        """A target that is another one refuses, and the request goes on."""

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
    """A graceful end."""

    async def test_request_in_progress_is_answered(self, running):
        """The router is not ready, answers what it has, and ends."""

        async def slow(request, writer):
            await sleep(0.5)
            await answers("whole")(request, writer)

        async with running(slow) as fleet:
            assert await readiness(fleet) == 200
            reader, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: fleet.targets[0].received)
            fleet.stop()
            await fleet.until(lambda: fleet.router._stopping_since is not None)
            assert await readiness(fleet) == 503
            reply = await read_reply(reader)
            late = await fleet.call("/idempotent/")
            await fleet.until(lambda: fleet.done)
            writer.close()
        assert (reply.status, reply.body) == (200, b"whole")
        assert reply.headers["connection"] == "close"
        assert late.status == 200

    async def test_note_of_much_spending_outlives_all_routers(self, running):
        """A router that starts counts what an earlier life had spent."""

        def noted(fleet):
            fleet.tenants[0].update({"rate-per-s": 100, "burst": 100})
            bins = dumps({"t": [5000.0]}).encode()
            fleet.platform.store.put(b"berylwalk/spending", bins)

        rules = AllowanceRules(window_s=8.0)
        async with running(answers("ok"), prepare=noted, allowances=rules) as fleet:
            spent = fleet.router._context.allowances.spent_in_window
            clock = fleet.router._context.clock
            await fleet.until(lambda: spent(clock()).get("t", 0) >= 900)
            reply = await fleet.call("/idempotent/")
        assert reply.status == 429

    async def test_learned_speeds_outlive_all_routers(self, running, monkeypatch):
        """The first routers after a restart know which targets are slow."""
        monkeypatch.setattr("berylwalk.direct._speed_note.NOTE_GAP_S", 0.05)
        async with running(answers("ok")) as fleet:
            await fleet.call("/idempotent/")
            learned = fleet.router._context.targets.by_id["i-0"].speed()
            store, key = fleet.platform.store, b"berylwalk/speeds"
            await fleet.until(lambda: store.get(key) is not None)
            note = store.get(key).value
        assert learned.slot_s is not None

        def put_note(fleet):
            fleet.platform.store.put(b"berylwalk/speeds", note)

        async with running(answers("ok"), prepare=put_note) as fleet:
            target = fleet.router._context.targets.by_id["i-0"]
            await fleet.until(lambda: target.slot_s is not None)
            assert target.slot_s == pytest.approx(learned.slot_s, abs=1e-5)

    async def test_large_spending_is_noted(self, running):
        """The note is there while the account is far above its usual."""

        def limited(fleet):
            fleet.tenants[0].update(
                {"unit": "tokens", "rate-per-s": 100, "burst": 100, "plain-tokens": 1}
            )

        rules = AllowanceRules(window_s=8.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            store = fleet.platform.store
            allowances = fleet.router._context.allowances
            # As if it had started long ago and knew the whole window.
            allowances.learn({}, Knowledge.ALL, fleet.router._context.clock())
            reply = await fleet.call("/idempotent/", Token_Count="700,0")
            key = b"berylwalk/spending"
            await fleet.until(lambda: store.get(key) is not None)
            first = store.get(key).mod_revision
            # It is renewed while that lasts, though the sum does not change.
            await fleet.until(lambda: store.get(key).mod_revision > first)
        assert reply.status == 200

    async def test_router_leaves_the_list(self, running):
        """Others need not wait for its lease to end."""
        async with running(answers("ok")) as fleet:
            key = b"berylwalk/routers/edge-1"
            store = fleet.platform.store
            await fleet.until(lambda: store.get(key) is not None)
            fleet.stop()
            await fleet.until(lambda: fleet.done)
            assert store.get(key) is None


class TestPeers:
    """Two routers."""

    def test_messages_grow_gently_with_the_fleet(self):
        """A router of a large fleet is told less often by each, not never."""
        for interval_s in (tell_interval_s, relay_interval_s):
            intervals = [interval_s(peers) for peers in (1, 5, 30, 319)]
            assert intervals == sorted(intervals)
            assert intervals[1] == intervals[0]
            assert 2 * intervals[-1] < HEARD_WITHIN_S

    async def test_loads_and_spending_are_shared(self, running, beside):
        """Each sees what the other has in flight and has spent."""

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 1000, "burst": 1000})

        async def slow(request, writer):
            await sleep(0.5)
            await answers("ok")(request, writer)

        async with (
            running(slow, prepare=limited) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.heard(clock()) == 2)
            await fleet.until(lambda: "i-0" in second._context.targets.by_id)
            _, writer = await fleet.connect()
            await sleep(0.1)
            writer.write(fleet.encoded("/idempotent/", X_Api_Key=KEY))
            target = second._context.targets.by_id["i-0"]
            await fleet.until(lambda: target.peer_in_flight == 1)
            spent = second._context.allowances.spent_by_account
            seen = second._context.allowances._spending_by_account
            await fleet.until(lambda: seen["t"].spent_by_peer)
            assert spent() == {}
            await fleet.until(lambda: target.peer_in_flight == 0)
            writer.close()

    async def test_state_of_the_store_is_told(self, running, beside):
        """A router that is cut off from it can tell that from an outage."""
        async with (
            running(answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            reach = fleet.router._peering._reach
            told = second._peering._reach
            clock = fleet.router._context.clock
            # The second one started later, and says so.
            await fleet.until(lambda: reach._heard_elsewhere_at > 0)
            assert reach._elsewhere_well_since >= told.well_since - 0.1
            await fleet.until(lambda: reach._elsewhere_well_since < clock() - 0.5)

    async def test_only_a_router_that_asks_is_told_the_window(self, running, beside):
        """Kilobytes to all peers, from all, would fill the links of small VMs."""
        rules = AllowanceRules(window_s=30.0)
        async with running(answers("ok"), allowances=rules) as fleet:
            elder = fleet.router._context
            elder.allowances.learn({}, Knowledge.ALL, elder.clock())
            sent = []
            transport = fleet.router._peering._transport
            send = transport.sendto

            def noted(data, address):
                sent.append(msgpack.decode(data, type=PeerMessage))
                send(data, address)

            fleet.router._peering._transport.sendto = noted
            async with beside({"name": "edge-2", "allowances": rules}) as (second,):
                newcomer = second._context
                await fleet.until(
                    lambda: newcomer.allowances.knows_window(newcomer.clock())
                )
                told = len(sent)
                await fleet.until(lambda: len(sent) > told + 3)
        answers_sent = [message for message in sent if message.recent is not None]
        assert answers_sent
        assert all(message.recent is None for message in sent[told + 1 :])

    async def test_relays_tell_the_other_failure_domains(
        self, running, beside, monkeypatch
    ):
        """Loads and spending cross, though only relays speak across."""
        monkeypatch.setattr("berylwalk.dispatch._peer_view.PEERS_OF_ONE_MESH", 0)

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 1000, "burst": 1000})

        async def slow(request, writer):
            await sleep(1.0)
            await answers("ok")(request, writer)

        async with (
            running(slow, prepare=limited) as fleet,
            beside(
                {"name": "edge-2", "failure_domain": "fd-b"},
                {"name": "edge-3", "failure_domain": "fd-b"},
            ) as others,
        ):
            for other in others:
                context = other._context
                await fleet.until(lambda of=context: of.peers.heard(of.clock()) == 3)
                await fleet.until(lambda of=context: "i-0" in of.targets.by_id)
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/", X_Api_Key=KEY))
            for other in others:
                context = other._context
                target = context.targets.by_id["i-0"]
                await fleet.until(lambda at=target: at.peer_in_flight == 1)
                await fleet.until(
                    lambda of=context: of.allowances.spent_in_window(of.clock())
                )
            writer.close()
            for other in others:
                target = other._context.targets.by_id["i-0"]
                await fleet.until(lambda at=target: at.peer_in_flight == 0)


class TestAllowances:
    """Limits of accounts as the configuration has them."""

    async def test_line_of_a_taken_request_tells_what_it_cost(self, running):
        """And what was counted of its account, itself included."""

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 1000, "burst": 1000})

        rules = AllowanceRules(window_s=30.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            context = fleet.router._context
            context.allowances.learn({}, Knowledge.ALL, context.clock())
            told = []
            context.log.request = lambda event, request_id, **each: told.append(each)
            await fleet.call("/idempotent/")
            await fleet.call("/idempotent/")
        ended = [each for each in told if each.get("reason") == "answered"]
        assert [(each["cost"], each["counted"]) for each in ended] == [(1, 1), (1, 2)]
        assert {(each["limit"], each["share"]) for each in ended} == {(32550, 1.0)}

    async def test_lowered_limit_counts_from_when_it_is_in_force(self, running):
        """What was spent before, lawfully, is not held against the account."""

        def limited(fleet):
            fleet.tenants[0].update({"rate-per-s": 1, "burst": 30})

        rules = AllowanceRules(window_s=30.0)
        async with running(answers("ok"), prepare=limited, allowances=rules) as fleet:
            context = fleet.router._context
            context.allowances.learn({}, Knowledge.ALL, context.clock())
            for _ in range(20):
                assert (await fleet.call("/idempotent/")).status == 200
            fleet.tenants[0].update({"rate-per-s": 0.1, "burst": 5})
            fleet.put_configuration()
            await fleet.until_ready()
            statuses = [(await fleet.call("/idempotent/")).status for _ in range(9)]
        assert statuses == [200] * 8 + [429]


class TestPrefixes:
    """Prompts that share parts, at several routers."""

    PARTS = "a:60,b:6000,own:90"
    SIZES = "6150,10"

    @staticmethod
    async def until_told(fleet, router):
        """Wait until a router knows where the one prompt was read."""
        history = router._context.dispatcher.prefix_reads._history
        await fleet.until(lambda: len(history) == 1)

    async def read_by(self, fleet, others):
        """Send a prompt, then have all routers told; return the target's number."""
        await fleet.call(
            "/idempotent/", Prompt_Prefix=self.PARTS, Token_Count=self.SIZES
        )
        for other in others:
            await self.until_told(fleet, other)
        return [len(target.received) for target in fleet.targets].index(1)

    async def test_all_routers_send_them_where_they_were_read(self, running, beside):
        """Each router sees a part of the requests."""
        async with (
            running(answers("ok"), answers("ok"), answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers = second._context.peers
            await fleet.until(lambda: peers.heard(second._context.clock()) == 2)
            await fleet.until(lambda: len(second._context.targets.by_id) == 3)
            number = await self.read_by(fleet, [second])
            fleet.settings = second._context.settings
            for _ in range(5):
                await fleet.call(
                    "/idempotent/", Prompt_Prefix=self.PARTS, Token_Count=self.SIZES
                )
            assert len(fleet.targets[number].received) == 6

    async def test_relays_tell_the_other_failure_domains(
        self, running, beside, monkeypatch
    ):
        """Also a router that is no relay is told there."""
        monkeypatch.setattr("berylwalk.dispatch._peer_view.PEERS_OF_ONE_MESH", 0)
        async with (
            running(answers("ok"), answers("ok")) as fleet,
            beside(
                {"name": "edge-2", "failure_domain": "fd-b"},
                {"name": "edge-3", "failure_domain": "fd-b"},
            ) as others,
        ):
            for other in others:
                context = other._context
                await fleet.until(lambda of=context: of.peers.heard(of.clock()) == 3)
            await self.read_by(fleet, others)

    async def test_router_that_is_no_relay_keeps_nothing_to_relay(
        self, running, beside, monkeypatch
    ):
        """What it is told would grow old until it is one."""
        monkeypatch.setattr("berylwalk.dispatch._peer_view.PEERS_OF_ONE_MESH", 0)
        async with (
            running(answers("ok"), name="edge-0") as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            context = second._context
            await fleet.until(lambda: context.peers.heard(context.clock()) == 2)
            await self.read_by(fleet, [second])
            await fleet.until(lambda: not second._peering._reads_to_relay)

    async def test_parts_that_make_no_sense_are_told(self, running):
        """The request is served, and its line in the log says so."""
        async with running(answers("ok")) as fleet:
            told = []
            log = fleet.router._context.log
            log.request = lambda event, request_id, **fields: told.append(fields)
            reply = await fleet.call("/idempotent/", Prompt_Prefix="a,b")
        assert reply.status == 200
        assert "not a part of a prompt" in told[-1]["prefix_problem"]


class TestVersionsSideBySide:
    """Messages of routers of an earlier or a later version of the program."""

    NEWS = RouterNews("r", "127.0.0.1", 1, "life", "fd-a", 1.0, 1, {})

    def test_message_without_later_fields_is_understood(self):
        """A fleet is replaced router by router."""
        message = msgpack.decode(msgpack.encode(PeerMessage(self.NEWS, {})))
        former = msgpack.encode(message[:5])
        assert msgpack.decode(former, type=PeerMessage).reads == []

    @pytest.mark.parametrize(
        "message",
        [PeerMessage(NEWS, {}), DomainMessage("fd-a", [NEWS], {})],
    )
    def test_fields_of_a_later_version_are_passed_over(self, message):
        """What is known is taken."""
        later = msgpack.encode([*msgpack.decode(msgpack.encode(message)), 1, {"a": 2}])
        decoded = msgpack.decode(later, type=PeerMessage | DomainMessage)
        assert decoded == message

    @pytest.mark.parametrize("cut", [0, 1, 10, 40])
    async def test_message_that_is_cut_changes_nothing(self, running, cut):
        """It is told in the log, and the router goes on."""
        async with running(answers("ok")) as fleet:
            peering = fleet.router._peering
            told = []
            fleet.router._context.log.process = lambda event, **_: told.append(event)
            message = PeerMessage(self.NEWS, {"i-0": (5, 5)}, reads=[(1, "i-0")])
            peering._hear(msgpack.encode(message)[:cut])
            peering._hear(msgpack.encode([9, "of another version"]))
            assert told.count("peer-message-invalid") == 2
            assert fleet.router._context.peers.by_name == {}
            assert (await fleet.call("/idempotent/")).status == 200


class TestMetrics:
    """What the metrics address serves."""

    async def test_counters_and_beliefs(self, running):
        """Ends by kind, rank, status and reason; beliefs by target."""
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
