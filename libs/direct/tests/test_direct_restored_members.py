"""Members when the store comes back from an older copy."""

from asyncio import get_running_loop
from types import SimpleNamespace

import pytest
from anyio import create_task_group, sleep
from msgspec import json

from berylwalk.direct._membership import MEMBERS_PREFIX, Membership
from berylwalk.direct._metrics import RouterMetrics
from berylwalk.direct._peer_messages import MemberEntry
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import Peer, PeerTable, TargetTable
from berylwalk.platform import KeyValueClient
from virtual_feeds import in_virtual_time
from virtual_store import VirtualStore, until

OWN_KEY = MEMBERS_PREFIX + b"a-1"
PEER_KEY = MEMBERS_PREFIX + b"a-2"
COPIED_AT_S = 9.0
RESTORED_AT_S = 11.0
AWAY_S = 0.3
REENTERED_S = 2.3
"""Time after the restore within which every router has heard of it."""
LISTED_WITHIN_S = 1.1
"""Time within which a router that knows no other one lists those that enter."""
ENDED_WITHIN_S = 12.0
"""Time after the restore within which a member that does not enter again has ended."""


class Member:
    """The membership of router ``a-1`` with a store in virtual time."""

    def __init__(self, store):
        self.store = store
        self.clock = get_running_loop().time
        self.peers = PeerTable("a-1", "fd-a")
        self.ended = []
        self.lines = []
        self.client = KeyValueClient.from_config(["http://10.0.0.9:80"])
        self.context = SimpleNamespace(
            settings=SimpleNamespace(
                name="a-1",
                failure_domain="fd-a",
                caller_address=SimpleNamespace(host="10.0.0.1"),
                peer_port=1,
                heartbeat_s=1.2,
                shortest_lease_s=0.0,
            ),
            clock=self.clock,
            peers=self.peers,
            targets=TargetTable(),
            retries=SimpleNamespace(note_listed=lambda known, now: None),
            metrics=RouterMetrics(),
            log=SimpleNamespace(
                process=lambda event, **fields: self.lines.append((event, fields))
            ),
        )
        health = StoreHealth(self.context)
        self.client.on_restored.add(health.note_restored)
        self.membership = Membership(
            self.context,
            self.client,
            health,
            incarnation="life-1",
            on_ended=self.ended.append,
        )

    def put_peer(self, incarnation="life-2"):
        """Write the entry of router ``a-2``."""
        entry = MemberEntry("10.0.0.2", 1, incarnation, "fd-a")
        self.store.store.put(PEER_KEY, json.encode(entry))

    async def hear_peer(self, *, until_s, incarnation="life-2"):
        """Receive messages of router ``a-2`` until a time."""
        while self.clock() < until_s:
            number = int(self.clock() * 1000) + 1
            peer = Peer("a-2", "10.0.0.2", 1, incarnation, "fd-a", sequence=number)
            self.peers.record_message(peer, self.clock())
            await sleep(0.25)

    def known_incarnation(self):
        """Return the incarnation of router ``a-2`` that takes a share, or None."""
        peer = self.peers.by_name.get("a-2")
        return None if peer is None else peer.incarnation


def simulate(scenario):
    """Run a scenario beside a membership and return its result."""
    store = VirtualStore()

    async def main():
        member = Member(store)
        await member.client.start()
        async with create_task_group() as tasks:
            tasks.start_soon(member.membership.run)
            tasks.start_soon(expire_leases, member)
            result = await scenario(member)
            tasks.cancel_scope.cancel()
        return result

    return in_virtual_time(store, main)


async def expire_leases(member):
    """Let the store expire leases."""
    while True:
        await sleep(0.1)
        if not member.store.is_down:
            member.store.store.expire(member.clock())


async def restore(member, copy):
    """Let the store come back from a copy."""
    await until(RESTORED_AT_S)
    await member.store.go_down_and_back(copy, AWAY_S)


def own_lease(member):
    """Return the lease that the own entry is bound to."""
    entry = member.store.store.get(OWN_KEY)
    return None if entry is None else entry.lease_id


class TestOwnEntry:
    """The entry of the router and its lease."""

    @pytest.mark.parametrize("heard_after_s", [0.0, 0.5, 1.5])
    def test_entered_again_at_once(self, heard_after_s):
        """The lease is gone; any answer of the store tells it."""

        async def scenario(member):
            copy = member.store.store.take_copy()
            await restore(member, copy)
            await sleep(heard_after_s)
            await member.client.get(b"berylwalk/any")
            await sleep(0.1)
            return own_lease(member) in member.store.store.leases_by_id

        assert simulate(scenario)

    def test_lease_that_is_now_of_another_is_not_kept(self):
        """Its identifier was given out again."""

        async def scenario(member):
            store = member.store.store
            copy = store.take_copy()
            await until(RESTORED_AT_S)
            lost = own_lease(member)
            await member.store.go_down_and_back(copy, AWAY_S)
            other = store.grant(member.clock(), 60.0)
            assert other.lease_id == lost
            store.put(b"op/of-another", b"x", other.lease_id)
            await sleep(REENTERED_S)
            assert own_lease(member) not in (None, lost)
            await member.membership.leave()
            return store.get(b"op/of-another"), store.get(OWN_KEY)

        others, own = simulate(scenario)
        assert others is not None
        assert own is None

    def test_leaving_does_not_end_the_lease_of_another(self):
        """The router leaves before it has heard of the restore."""

        async def scenario(member):
            store = member.store.store
            copy = store.take_copy()
            await until(RESTORED_AT_S)
            store.restore(copy, member.clock())
            other = store.grant(member.clock(), 60.0)
            store.put(b"op/of-another", b"x", other.lease_id)
            await member.membership.leave()
            return store.get(b"op/of-another")

        assert simulate(scenario) is not None


class TestMemberThatTheCopyLacks:
    """A router that entered after the copy was made."""

    def test_does_not_end_while_it_is_not_heard(self):
        """It enters again, and has the same share as before."""

        async def scenario(member):
            store = member.store.store
            copy = store.take_copy()
            await until(COPIED_AT_S - 5.0)
            member.put_peer()
            await member.hear_peer(until_s=RESTORED_AT_S - 1.0)
            assert member.known_incarnation() == "life-2"
            await restore(member, copy)
            for _ in range(20):
                await sleep(0.2)
                assert member.peers.known_count() == 2
            member.put_peer()
            await sleep(ENDED_WITHIN_S)
            return member.ended, member.known_incarnation()

        assert simulate(scenario) == ([], "life-2")

    def test_ends_if_it_does_not_enter_again(self):
        async def scenario(member):
            copy = member.store.store.take_copy()
            await until(COPIED_AT_S - 5.0)
            member.put_peer()
            await member.hear_peer(until_s=RESTORED_AT_S)
            await restore(member, copy)
            await sleep(ENDED_WITHIN_S)
            return [each.name for each in member.ended], member.known_incarnation()

        assert simulate(scenario) == (["a-2"], None)

    def test_later_incarnation_does_not_end(self):
        """The copy holds the entry of the incarnation before."""

        async def scenario(member):
            store = member.store.store
            member.put_peer("life-2")
            await until(COPIED_AT_S - 3.0)
            copy = store.take_copy()
            member.put_peer("life-3")
            await member.hear_peer(until_s=RESTORED_AT_S - 1.0, incarnation="life-3")
            await restore(member, copy)
            for _ in range(20):
                await sleep(0.2)
                assert member.known_incarnation() == "life-3"
            member.put_peer("life-3")
            await sleep(ENDED_WITHIN_S)
            return member.ended, member.known_incarnation()

        assert simulate(scenario) == ([], "life-3")


class TestRouterThatStartsAfterwards:
    """The list lacks the others, which enter again one by one."""

    def test_router_that_enters_again_is_known_soon(self):
        """Until then this one takes the whole rate of each target."""

        async def scenario(member):
            store = member.store.store
            copy = store.take_copy()
            member.put_peer()
            store.restore(copy, member.clock())
            await until(REENTERED_S)
            assert member.peers.known_count() == 1
            member.put_peer()
            await sleep(LISTED_WITHIN_S)
            return member.known_incarnation()

        assert simulate(scenario) == "life-2"


class TestMemberThatTheCopyBringsBack:
    """A router that had ended."""

    def test_takes_no_share(self):
        """It is known to have ended, and its entry is the same old one."""

        async def scenario(member):
            store = member.store.store
            member.put_peer()
            await member.hear_peer(until_s=2.0)
            copy = store.take_copy()
            store.delete(PEER_KEY)
            await until(RESTORED_AT_S - 0.5)
            assert member.known_incarnation() is None
            await restore(member, copy)
            counts = set()
            for _ in range(50):
                await sleep(0.2)
                counts.add(member.peers.known_count())
            return counts

        assert simulate(scenario) == {1}

    def test_has_its_share_once_it_enters_again(self):
        async def scenario(member):
            store = member.store.store
            member.put_peer()
            await member.hear_peer(until_s=2.0)
            copy = store.take_copy()
            store.delete(PEER_KEY)
            await until(RESTORED_AT_S - 0.5)
            await restore(member, copy)
            await sleep(1.0)
            member.put_peer()
            await sleep(5.0)
            return member.known_incarnation()

        assert simulate(scenario) == "life-2"

    def test_restarted_member_has_not_ended(self):
        """Only its incarnation before the restart has."""

        async def scenario(member):
            store = member.store.store
            member.put_peer("life-2")
            await until(5.0)
            member.put_peer("life-3")
            await until(RESTORED_AT_S - 0.5)
            assert [each.incarnation for each in member.ended] == ["life-2"]
            copy = store.take_copy()
            await restore(member, copy)
            known = set()
            for _ in range(50):
                await sleep(0.2)
                known.add(member.known_incarnation())
            return known

        assert simulate(scenario) == {"life-3"}
