"""What routers tell each other: loads, spending, prefixes, and their messages."""

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
from berylwalk.dispatch import HistoryCoverage, QuotaRules
from berylwalk.dispatch._peer_table import PEER_TIMEOUT_S
from direct_fleet import KEY, answers

pytestmark = pytest.mark.anyio


class TestPeers:
    """Two routers."""

    def test_messages_grow_gently_with_the_fleet(self):
        """A router of a large fleet is told less often by each, not never."""
        for interval_s in (send_interval_s, relay_interval_s):
            intervals = [interval_s(peers) for peers in (1, 5, 30, 319)]
            assert intervals == sorted(intervals)
            assert intervals[1] == intervals[0]
            assert 2 * intervals[-1] < PEER_TIMEOUT_S

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

    async def test_sends_are_told_at_once(self, running, beside):
        """Not when the next regular message is due: it may go to the same place."""

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
            # Its regular messages are held back from here on.
            fleet.router._peering._send_if_due = lambda: None
            _, writer = await fleet.connect()
            writer.write(fleet.encoded("/idempotent/"))
            await fleet.until(lambda: target.peer_in_flight == 1)
            writer.close()

    async def test_old_news_of_sends_change_nothing(self, running, beside):
        """Messages may be overtaken, and lives end."""
        async with (
            running(answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            context = second._context
            await fleet.until(lambda: context.peers.alive_count(context.clock()) == 2)
            await fleet.until(lambda: "i-0" in context.targets.by_id)
            peer = context.peers.by_name["edge-1"]
            for life, sequence in ((peer.incarnation, peer.sequence), ("gone", 10_000)):
                message = LoadMessage("edge-1", life, sequence, {"i-0": (7, 70)})
                second._peering._receive(msgpack.encode(message))
            assert context.targets.by_id["i-0"].peer_in_flight == 0

    async def test_state_of_the_store_is_told(self, running, beside):
        """A router that is cut off from it can tell that from an outage."""
        async with (
            running(answers("ok")) as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            store_health = fleet.router._peering._store_health
            told = second._peering._store_health
            clock = fleet.router._context.clock
            # The second one started later, and says so.
            await fleet.until(lambda: store_health._peer_health_at > 0)
            assert store_health._peer_healthy_since >= told.healthy_since - 0.1
            await fleet.until(lambda: store_health._peer_healthy_since < clock() - 0.5)

    async def test_only_a_router_that_asks_is_told_the_window(self, running, beside):
        """Kilobytes to all peers, from all, would fill the links of small VMs."""
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
                told = len(sent)
                await fleet.until(lambda: len(sent) > told + 3)
        answers_sent = [
            message for message in sent if message.spending_history is not None
        ]
        assert answers_sent
        assert all(message.spending_history is None for message in sent[told + 1 :])

    async def test_relays_tell_the_other_failure_domains(
        self, running, beside, monkeypatch
    ):
        """Loads and spending cross, though only relays speak across."""
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


class TestPrefixes:
    """Prompts that share parts, at several routers."""

    PARTS = "a:60,b:6000,own:90"
    SIZES = "6150,10"

    @staticmethod
    async def until_told(fleet, router):
        """Wait until a router knows where the one prompt was read."""
        history = router._context.dispatcher.prefix_cache_index._history
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
            await fleet.until(lambda: peers.alive_count(second._context.clock()) == 2)
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
            await self.read_by(fleet, others)

    async def test_router_that_is_no_relay_keeps_nothing_to_relay(
        self, running, beside, monkeypatch
    ):
        """What it is told would grow old until it is one."""
        monkeypatch.setattr("berylwalk.dispatch._peer_table.MAX_FULL_MESH_PEERS", 0)
        async with (
            running(answers("ok"), name="edge-0") as fleet,
            beside({"name": "edge-2"}) as (second,),
        ):
            context = second._context
            await fleet.until(lambda: context.peers.alive_count(context.clock()) == 2)
            await self.read_by(fleet, [second])
            await fleet.until(lambda: not second._peering._prefixes_to_relay)

    async def test_parts_that_make_no_sense_are_told(self, running):
        """The request is served, and its line in the log says so."""
        async with running(answers("ok")) as fleet:
            told = []
            log = fleet.router._context.log
            log.request = lambda event, request_id, **fields: told.append(fields)
            reply = await fleet.call("/idempotent/", Prompt_Prefix="a,b")
        assert reply.status == 200
        assert "malformed part of a prompt" in told[-1]["prefix_problem"]


class TestVersionsSideBySide:
    """Messages of routers of an earlier or a later version of the program."""

    NEWS = RouterUpdate("r", "127.0.0.1", 1, "life", "fd-a", 1.0, 1, {})

    def test_message_without_later_fields_is_understood(self):
        """A fleet is replaced router by router."""
        message = msgpack.decode(msgpack.encode(PeerMessage(self.NEWS, {})))
        former = msgpack.encode(message[:5])
        assert msgpack.decode(former, type=PeerMessage).placements == []

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
            message = PeerMessage(self.NEWS, {"i-0": (5, 5)}, placements=[(1, "i-0")])
            peering._receive(msgpack.encode(message)[:cut])
            peering._receive(msgpack.encode([9, "of another version"]))
            assert told.count("peer-message-invalid") == 2
            assert fleet.router._context.peers.by_name == {}
            assert (await fleet.call("/idempotent/")).status == 200
