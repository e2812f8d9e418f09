"""Messages between routers: loads, spending, prefixes and compatibility."""

import pytest
from anyio import sleep
from msgspec import msgpack

from berylwalk.direct._peer_messages import (
    DomainMessage,
    LoadMessage,
    PeerMessage,
    RouterUpdate,
)
from berylwalk.direct._peering import relay_interval_s, send_interval_s
from berylwalk.dispatch import HistoryCoverage, Peer, QuotaRules
from berylwalk.dispatch._peer_table import PEER_TIMEOUT_S
from direct_fleet import HOST, KEY, answers

pytestmark = pytest.mark.anyio


class TestPeers:
    """Two routers."""

    def test_interval_grows_with_the_fleet(self):
        """The interval grows with the fleet but stays below the peer timeout."""
        for interval_s in (send_interval_s, relay_interval_s):
            intervals = [interval_s(peers) for peers in (1, 5, 30, 319)]
            assert intervals == sorted(intervals)
            assert intervals[1] == intervals[0]
            assert 2 * intervals[-1] < PEER_TIMEOUT_S

    async def test_loads_and_spending_are_shared(self, running, beside):
        """Each router sees the requests in flight and the spending of the other."""

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
            await fleet.until(lambda: peers.alive_count(clock()) == 2)
            await fleet.until(lambda: "i-0" in second._context.targets.by_id)
            _, writer = await fleet.connect()
            await sleep(0.1)
            writer.write(fleet.encoded("/idempotent/", X_Api_Key=KEY))
            target = second._context.targets.by_id["i-0"]
            await fleet.until(lambda: target.peer_in_flight == 1)
            spent = second._context.quotas.spent_by_account
            seen = second._context.quotas._spending_by_account
            await fleet.until(lambda: seen["t"].spent_by_peer)
            assert spent() == {}
            await fleet.until(lambda: target.peer_in_flight == 0)
            writer.close()

    async def test_placement_is_announced_immediately(self, running, beside):
        """A placement is announced before the next regular message is due."""

        async def slow(request, writer):
            await sleep(0.5)
            await answers("ok")(request, writer)

        async with (
            running(slow) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers, clock = second._context.peers, second._context.clock
            await fleet.until(lambda: peers.alive_count(clock()) == 2)
            await fleet.until(lambda: "i-0" in second._context.targets.by_id)
            target = second._context.targets.by_id["i-0"]
            # Suppress regular messages from here on.
            fleet.router._peering._send_if_due = lambda: None
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: target.peer_in_flight == 1)
            writer.close()

    async def test_outdated_placements_are_ignored(self, running, beside):
        """Reordered messages and those of ended processes are ignored."""
        async with (
            running(answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            context = second._context
            await fleet.until(lambda: context.peers.alive_count(context.clock()) == 2)
            await fleet.until(lambda: "i-0" in context.targets.by_id)
            peer = context.peers.by_name["edge-1"]
            for incarnation, sequence in (
                (peer.incarnation, peer.sequence),
                ("gone", 10_000),
            ):
                message = LoadMessage("edge-1", incarnation, sequence, {"i-0": (7, 70)})
                second._peering._receive(msgpack.encode(message))
            assert context.targets.by_id["i-0"].peer_in_flight == 0

    async def test_store_health_is_shared(self, running, beside):
        """A router that is cut off from the store can tell that from an outage."""
        async with (
            running(answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            store_health = fleet.router._peering._store_health
            logged = second._peering._store_health
            clock = fleet.router._context.clock
            # The second router started later and reports that.
            await fleet.until(lambda: store_health._peer_health_at > 0)
            assert store_health._peer_healthy_since >= logged.healthy_since - 0.1
            await fleet.until(lambda: store_health._peer_healthy_since < clock() - 0.5)

    async def test_history_is_sent_only_on_request(self, running, beside):
        """The history takes kilobytes, so it is not sent to all peers."""
        rules = QuotaRules(window_s=30.0)
        async with running(answers("ok"), allowances=rules) as fleet:
            elder = fleet.router._context
            elder.quotas.restore({}, HistoryCoverage.COMPLETE, elder.clock())
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
                    lambda: newcomer.quotas.has_full_window(newcomer.clock())
                )
                logged = len(sent)
                await fleet.until(lambda: len(sent) > logged + 3)
        answers_sent = [
            message for message in sent if message.spending_history is not None
        ]
        assert answers_sent
        assert all(message.spending_history is None for message in sent[logged + 1 :])

    async def test_relays_forward_to_other_failure_domains(
        self, running, beside, monkeypatch
    ):
        """Loads and spending reach routers that are not relays."""
        monkeypatch.setattr("berylwalk.dispatch._peer_table.MAX_FULL_MESH_PEERS", 0)

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
                await fleet.until(
                    lambda of=context: of.peers.alive_count(of.clock()) == 3
                )
                await fleet.until(lambda of=context: "i-0" in of.targets.by_id)
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/", X_Api_Key=KEY))
            for other in others:
                context = other._context
                target = context.targets.by_id["i-0"]
                await fleet.until(lambda at=target: at.peer_in_flight == 1)
                await fleet.until(
                    lambda of=context: of.quotas.spent_in_window(of.clock())
                )
            writer.close()
            for other in others:
                target = other._context.targets.by_id["i-0"]
                await fleet.until(lambda at=target: at.peer_in_flight == 0)


class TestRelayedMessages:
    """Messages of other failure domains, which a relay passes on in its own."""

    async def test_messages_of_other_domains_fill_the_link_of_the_last_relay(
        self, running
    ):
        """Peers that are gone stay in the list until their leases lapse."""
        async with running(answers("ok")) as fleet:
            peering, peers = fleet.router._peering, fleet.router._context.peers
            now = fleet.router._context.clock()
            for number in range(2, 8):
                name = f"edge-{number}"
                peers.by_name[name] = Peer(name, HOST, 1, "i", "fd-a", sequence=1)
            peers.by_name["edge-2"].last_heard_at = now
            passed_on = []
            peering._send = lambda data, to: passed_on.extend(peer.name for peer in to)
            update = RouterUpdate("edge-9", HOST, 1, "i", "fd-b", 1.0, 1, {})
            peering._receive_domain_message(DomainMessage("fd-b", [update], {}), now)
        assert passed_on == ["edge-2"]


class TestPrefixes:
    """Prompts with shared prefixes at several routers."""

    PARTS = "a:60,b:6000,own:90"
    SIZES = "6150,10"

    @staticmethod
    async def wait_until_known(fleet, router):
        """Wait until a router knows where the prompt was sent."""
        history = router._context.dispatcher.prefix_cache_index._history
        await fleet.until(lambda: len(history) == 1)

    async def send_prompt(self, fleet, others):
        """Send a prompt, wait until all know it, and return the target's number."""
        await fleet.call(
            "/idempotent/", Prompt_Prefix=self.PARTS, Token_Count=self.SIZES
        )
        for other in others:
            await self.wait_until_known(fleet, other)
        return [len(target.received) for target in fleet.targets].index(1)

    async def test_all_routers_use_the_same_target(self, running, beside):
        """All routers send requests with the prefix to the same target."""
        async with (
            running(answers("ok"), answers("ok"), answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            peers = second._context.peers
            await fleet.until(lambda: peers.alive_count(second._context.clock()) == 2)
            await fleet.until(lambda: len(second._context.targets.by_id) == 3)
            number = await self.send_prompt(fleet, [second])
            fleet.settings = second._context.settings
            for _ in range(5):
                await fleet.call(
                    "/idempotent/", Prompt_Prefix=self.PARTS, Token_Count=self.SIZES
                )
            assert len(fleet.targets[number].received) == 6

    async def test_relays_forward_to_other_failure_domains(
        self, running, beside, monkeypatch
    ):
        """Prefix placements reach routers that are not relays."""
        monkeypatch.setattr("berylwalk.dispatch._peer_table.MAX_FULL_MESH_PEERS", 0)
        async with (
            running(answers("ok"), answers("ok")) as fleet,
            beside(
                {"name": "edge-2", "failure_domain": "fd-b"},
                {"name": "edge-3", "failure_domain": "fd-b"},
            ) as others,
        ):
            for other in others:
                context = other._context
                await fleet.until(
                    lambda of=context: of.peers.alive_count(of.clock()) == 3
                )
            await self.send_prompt(fleet, others)

    async def test_queue_of_other_routers_stays_empty(
        self, running, beside, monkeypatch
    ):
        """A router that is not a relay keeps no outdated placements."""
        monkeypatch.setattr("berylwalk.dispatch._peer_table.MAX_FULL_MESH_PEERS", 0)
        async with (
            running(answers("ok"), name="edge-0") as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            context = second._context
            await fleet.until(lambda: context.peers.alive_count(context.clock()) == 2)
            await self.send_prompt(fleet, [second])
            await fleet.until(lambda: not second._peering._prefixes_to_relay)

    async def test_invalid_prefix_is_logged(self, running):
        """The request is served and the problem is logged."""
        async with running(answers("ok")) as fleet:
            logged = []
            log = fleet.router._context.log
            log.request = lambda event, request_id, **fields: logged.append(fields)
            reply = await fleet.call("/idempotent/", Prompt_Prefix="a,b")
        assert reply.status == 200
        assert "malformed part of a prompt" in logged[-1]["prefix_problem"]


class TestMixedVersions:
    """Messages of routers of an earlier or a later version."""

    UPDATE = RouterUpdate("r", "127.0.0.1", 1, "life", "fd-a", 1.0, 1, {})

    def test_message_without_later_fields_is_accepted(self):
        """Missing fields get their defaults."""
        message = msgpack.decode(msgpack.encode(PeerMessage(self.UPDATE, {})))
        former = msgpack.encode(message[:5])
        assert msgpack.decode(former, type=PeerMessage).placements == []

    @pytest.mark.parametrize(
        "message",
        [PeerMessage(UPDATE, {}), DomainMessage("fd-a", [UPDATE], {})],
    )
    def test_unknown_fields_are_ignored(self, message):
        """Unknown trailing fields are ignored."""
        later = msgpack.encode([*msgpack.decode(msgpack.encode(message)), 1, {"a": 2}])
        decoded = msgpack.decode(later, type=PeerMessage | DomainMessage)
        assert decoded == message

    @pytest.mark.parametrize("cut", [0, 1, 10, 40])
    async def test_truncated_message_is_ignored(self, running, cut):
        """The message is logged as invalid and the router continues."""
        async with running(answers("ok")) as fleet:
            peering = fleet.router._peering
            logged = []
            fleet.router._context.log.process = lambda event, **_: logged.append(event)
            message = PeerMessage(self.UPDATE, {"i-0": (5, 5)}, placements=[(1, "i-0")])
            peering._receive(msgpack.encode(message)[:cut])
            peering._receive(msgpack.encode([9, "of another version"]))
            assert logged.count("peer-message-invalid") == 2
            assert fleet.router._context.peers.by_name == {}
            assert (await fleet.call("/idempotent/")).status == 200
