"""Membership with a VM list that lags, shrinks or is unavailable."""

from random import Random

import pytest

from berylwalk.platform import Unavailable, UnavailableReason, Vm, VmRole
from berylwalk.router._member_polling import MemberPoller
from berylwalk.router._membership import MemberTable
from berylwalk.router._peers import PeerRouters, router_rank
from berylwalk.wire import Member, MembersReply

pytestmark = pytest.mark.anyio

LIST_UNAVAILABLE = Unavailable(UnavailableReason.NOT_SENT)


def target(vm_id: str, *, leaving: bool = False) -> Member:
    """Build a target VM."""
    return Member(vm_id, f"127.0.1.{vm_id[1:]}", "domain-a", "target", leaving)


class TestMemberTable:
    @pytest.mark.parametrize("listed", [(), (target("t2"),)])
    def test_short_list_keeps_an_agent_that_answers(self, listed):
        """An empty or incomplete list does not remove a live agent."""
        table = MemberTable("r1")
        table.apply_list([target("t1"), target("t2")], now=0.0)
        table.record_datagram("t1", 9.0)
        table.apply_list(listed, now=10.0)
        assert "t1" in table.agent_ids

    def test_silent_agent_is_removed_with_the_list(self):
        """An agent that is neither live nor listed is removed."""
        table = MemberTable("r1")
        table.apply_list([target("t1")], now=0.0)
        table.record_datagram("t1", 1.0)
        table.apply_list([], now=10.0)
        assert table.agent_ids == ()

    def test_leaving_agent_is_removed_although_it_is_live(self):
        """An agent last listed as leaving is removed with its list entry."""
        table = MemberTable("r1")
        table.apply_list([target("t1", leaving=True)], now=0.0)
        assert table.agents_listed().leaving == {"t1"}
        table.record_datagram("t1", 9.9)
        table.apply_list([], now=10.0)
        assert table.agent_ids == ()

    def test_peer_list_neither_removes_members_nor_clears_leaving(self):
        """A peer's list may be outdated, so it only adds or marks as leaving."""
        table = MemberTable("r1")
        table.apply_list([target("t1", leaving=True), target("t2")], now=0.0)
        table.merge_peer_list([target("t1"), target("t3")])
        assert table.agent_ids == ("t1", "t2", "t3")
        assert table.agents_listed().leaving == {"t1"}


class Vms:
    """A VM list with settable content."""

    def __init__(self) -> None:
        self.listed = LIST_UNAVAILABLE

    async def fetch(self):
        """Return the list."""
        return self.listed


class TestMemberPoller:
    async def test_peers_are_queried_while_the_list_is_unavailable(self):
        """A router that starts during an outage learns the members from a peer."""
        table, vms, changes = MemberTable("r1"), Vms(), []

        async def query_peer(address: str) -> MembersReply | None:
            return MembersReply((target("t1"),)) if address == "peer-2" else None

        poller = MemberPoller(
            table,
            vms,
            query_peer=query_peer,
            peer_addresses=lambda: ["peer-1", "peer-2"],
            on_change=lambda: changes.append(table.agent_ids),
            poll_s=1.0,
            rng=Random(1),
        )
        await poller.poll()
        await poller.poll()
        assert changes == [("t1",)]

    async def test_outage_changes_nothing(self):
        """The last list stays in use while neither the list nor a peer responds."""
        table, vms = MemberTable("r1"), Vms()

        async def query_peer(_: str) -> None:
            return None

        poller = MemberPoller(
            table,
            vms,
            query_peer=query_peer,
            peer_addresses=lambda: ["peer-1"],
            on_change=lambda: None,
            poll_s=1.0,
        )
        vms.listed = (Vm("t1", "127.0.1.1", "domain-a", VmRole.TARGET),)
        await poller.poll()
        vms.listed = LIST_UNAVAILABLE
        await poller.poll()
        assert table.agent_ids == ("t1",)


class TestPeerRouters:
    def test_few_lowest_ranked_live_routers_are_chosen(self):
        """All routers agree on the watchers, and failed ones are replaced."""
        routers = sorted((f"r{number}" for number in range(40)), key=router_rank)

        def watchers(live: list[str], now: float) -> list[str]:
            chosen = []
            for router in live:
                peers = PeerRouters(router)
                for other in live:
                    if other != router:
                        peers.record_datagram(other, 0, now)
                if peers.is_among_lowest_ranked(4, now):
                    chosen.append(router)
            return chosen

        assert watchers(routers, 0.0) == routers[:4]
        assert watchers(routers[2:], 0.0) == routers[2:6]

    def test_heartbeats_reach_all_routers_in_turn(self):
        """With many routers, each gets a heartbeat within a few rounds."""
        peers = PeerRouters("r0")
        routers = [f"r{number}" for number in range(1, 320)]
        recipients = [peers.next_heartbeat_recipients(routers) for _ in range(16)]
        assert max(map(len, recipients)) == 20
        assert {router for turn in recipients for router in turn} == set(routers)
