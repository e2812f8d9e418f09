"""Propagation of the settings, with and without the key-value service."""

import anyio
import pytest

from berylwalk.router._admin_views import RouterSettingsService
from berylwalk.router._settings_store import PlatformSettingsStore
from berylwalk.router._settings_sync import SettingsSync
from berylwalk.settings import (
    Accepted,
    Edit,
    Patch,
    SettingsDocument,
    SettingsReplica,
    read_document,
    submit_patch,
)
from berylwalk.standins.memory import InMemoryKeyValue
from berylwalk.wire import SettingsQuery, SettingsReply

pytestmark = pytest.mark.anyio


class Node:
    """The settings synchronization of one node, with the peers it can reach."""

    def __init__(self, store: InMemoryKeyValue, *, watches: bool = False) -> None:
        self.replica = SettingsReplica(0.0)
        self.now = 0.0
        self.announced: list[int] = []
        self.peers_by_id: dict[str, Node] = {}
        self.watches = watches
        self.pulled_peers: list[str] = []
        self.sync = SettingsSync(
            self.replica,
            store,
            pull=self.pull,
            announce=lambda: self.announced.append(self.replica.version),
            is_watcher=lambda: self.watches,
            poll_s=0.01,
            clock=lambda: self.now,
        )

    async def pull(self, peer: str, known_version: int) -> SettingsReply | None:
        """Query a peer, as over the sync channel."""
        self.pulled_peers.append(peer)
        node = self.peers_by_id.get(peer)
        if node is None:
            return None
        return node.sync.reply(SettingsQuery(known_version))


async def submit(store: InMemoryKeyValue, change_id: str) -> SettingsDocument:
    """Accept one more change and return the document."""
    patch = Patch(change_id, 0, (Edit.create(f"/{change_id}"),))
    result = await submit_patch(PlatformSettingsStore(store), patch, "tester")
    assert isinstance(result, Accepted)
    return result.document


class TestStart:
    async def test_outage_takes_the_highest_of_the_peers(self):
        """A router that starts during an outage waits for the highest known version."""
        store = InMemoryKeyValue()
        old, new = Node(store), Node(store)
        old.sync.accept(await submit(store, "one"))
        new.sync.accept(await submit(store, "two"))
        store.down = True
        node = Node(store)
        node.peers_by_id = {"old": old, "new": new}
        assert not await node.sync.read_store()
        node.sync.record_agent_version("agent", "agent-address", 2)
        await node.sync.pull_from("old")
        node.now = 10.0
        assert not node.sync.is_ready
        await node.sync.pull_from("new")
        assert node.sync.version == 2
        assert node.sync.is_ready

    async def test_store_alone_makes_ready(self):
        """Without peers, a read of the store is sufficient."""
        store = InMemoryKeyValue()
        await submit(store, "one")
        node = Node(store)
        assert not node.sync.is_ready
        assert await node.sync.read_store()
        assert node.sync.is_ready


class TestPropagation:
    async def test_accepted_document_is_announced_and_pulled_in_an_outage(self):
        """An outage right after acceptance does not stop the propagation."""
        store = InMemoryKeyValue()
        accepting, other = Node(store), Node(store)
        accepting.sync.accept(await submit(store, "one"))
        store.down = True
        assert accepting.announced == [1]
        other.peers_by_id = {"accepting": accepting}
        other.sync.record_router_version("accepting", 1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(other.sync.run_pulls)
            with anyio.fail_after(10):
                while other.sync.version != 1:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert other.announced == []

    async def test_lower_document_never_replaces_a_higher(self):
        """An older version read from the store is ignored."""
        store, older_store = InMemoryKeyValue(), InMemoryKeyValue()
        node = Node(older_store)
        await submit(store, "one")
        node.sync.accept(await submit(store, "two"))
        await submit(older_store, "other")
        await node.sync.read_store()
        assert node.sync.version == 2

    async def test_watch_misses_no_change_when_it_starts(self):
        """A change between the initial read and the watch is not missed."""
        store = InMemoryKeyValue()
        node = Node(store, watches=True)
        await submit(store, "one")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.sync.run_watch)
            for change_id, version in (("two", 2), ("three", 3)):
                await submit(store, change_id)
                with anyio.fail_after(10):
                    while node.sync.version != version:
                        await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()
        assert node.announced[-1] == 3

    async def test_agent_that_is_ahead_causes_a_read(self):
        """A version that only agents have is read from the store."""
        store = InMemoryKeyValue()
        node = Node(store)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.sync.run_polls)
            await anyio.sleep(0.05)
            await submit(store, "one")
            node.sync.record_agent_version("agent", "agent-address", 1)
            with anyio.fail_after(10):
                while node.sync.version != 1:
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()


class TestRestoredStore:
    """The store comes back from a copy that lacks accepted changes."""

    async def test_lost_change_is_written_again(self):
        """A router that starts later must not read the older settings."""
        store = InMemoryKeyValue()
        node = Node(store)
        await submit(store, "one")
        copy = store.take_copy()
        node.sync.accept(await submit(store, "two"))
        store.restore(copy)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.sync.run_write_backs)
            await node.sync.read_store()
            with anyio.fail_after(5):
                while (await stored_document(store)).version != 2:
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()
        assert node.sync.version == 2
        later = Node(store)
        await later.sync.read_store()
        assert later.sync.version == 2

    async def test_router_that_accepted_a_change_notices_its_loss(self):
        """Other routers may not know the change, and the next slow poll is far off."""
        store = InMemoryKeyValue()
        node = Node(store)
        copy = store.take_copy()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.sync.run_write_backs)
            tasks.start_soon(node.sync.run_polls)
            await anyio.sleep(0.05)
            node.sync.accept(await submit(store, "one"))
            store.restore(copy)
            with anyio.fail_after(5):
                while (await stored_document(store)).version != 1:
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()

    async def test_watcher_notices_that_the_copy_has_no_settings(self):
        store = InMemoryKeyValue()
        copy = store.take_copy()
        node = Node(store, watches=True)
        node.sync.accept(await submit(store, "one"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.sync.run_write_backs)
            tasks.start_soon(node.sync.run_watch)
            await anyio.sleep(0.05)
            store.restore(copy)
            with anyio.fail_after(5):
                while store.revision % 10**12 == copy.revision:
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()
        assert (await stored_document(store)).version == 1

    async def test_two_newest_documents_converge(self):
        """A change of after the restore got the version of one that was lost."""
        store = InMemoryKeyValue()
        first, second = Node(store), Node(store)
        await submit(store, "one")
        copy = store.take_copy()
        first.sync.accept(await submit(store, "lost"))
        store.restore(copy)
        second.sync.accept(await submit(store, "later"))
        assert first.sync.version == second.sync.version == 2
        for node in (first, second, first):
            await node.sync.read_store()
            await node.sync.write_back_changes()
        stored = await stored_document(store)
        assert {"/one", "/lost", "/later"} <= set(stored.tree.sections)
        for node in (first, second):
            assert node.replica.document == stored
            assert node.announced[-1] == stored.version

    async def test_document_of_a_peer_does_not_revert_an_accepted_change(self):
        """The peer's version is higher, and lacks a change that the store lost."""
        store = InMemoryKeyValue()
        node, peer = Node(store), Node(store)
        copy = store.take_copy()
        node.sync.accept(await submit(store, "lost"))
        store.restore(copy)
        await submit(store, "second")
        peer.sync.accept(await submit(store, "third"))
        node.peers_by_id = {"peer": peer}
        node.sync.record_router_version("peer", 2)
        await node.sync.pull_from("peer")
        assert "/lost" in node.replica.document.tree.sections
        await node.sync.write_back_changes()
        sections = node.replica.document.tree.sections
        assert {"/lost", "/second", "/third"} <= set(sections)

    async def test_change_of_an_operator_does_not_revert_a_lost_one(self):
        """The store's version has caught up when the router writes to it."""
        store = InMemoryKeyValue()
        node = Node(store)
        copy = store.take_copy()
        node.sync.accept(await submit(store, "lost"))
        store.restore(copy)
        await submit(store, "second")
        node.sync.accept(await submit(store, "third"))
        assert "/lost" in node.replica.document.tree.sections
        await node.sync.write_back_changes()
        sections = node.replica.document.tree.sections
        assert {"/lost", "/second", "/third"} <= set(sections)

    async def test_operators_can_submit_again(self):
        """The lost change is written before the new one."""
        store = InMemoryKeyValue()
        node = Node(store)
        copy = store.take_copy()
        node.sync.accept(await submit(store, "one"))
        store.restore(copy)
        service = RouterSettingsService(node.replica, node.sync, store)
        patch = Patch("two", 1, (Edit.create("/two"),))
        assert isinstance(await service.submit(patch, "tester"), Accepted)
        sections = (await stored_document(store)).tree.sections
        assert {"/one", "/two"} <= set(sections)


async def stored_document(store: InMemoryKeyValue) -> SettingsDocument:
    """Return the document in the store."""
    return await read_document(PlatformSettingsStore(store))


class TestAgentsAsSources:
    """Settings from agents, if all routers are replaced during an outage."""

    async def test_new_router_serves_what_the_highest_agent_has(self):
        """A router without peers pulls the highest version that agents have."""
        store = InMemoryKeyValue()
        behind, ahead = Node(store), Node(store)
        behind.sync.accept(await submit(store, "one"))
        ahead.sync.accept(await submit(store, "two"))
        store.down = True
        node = Node(store)
        node.peers_by_id = {"behind-address": behind, "ahead-address": ahead}
        assert not await node.sync.read_store()
        node.now = 10.0
        node.sync.record_agent_version("behind", "behind-address", 1)
        assert await node.sync.pull_once()
        assert node.sync.version == 1
        assert not node.sync.is_ready
        node.sync.record_agent_version("ahead", "ahead-address", 2)
        node.now = 20.0
        assert not node.sync.is_ready
        node.sync.record_agent_version("ahead", "ahead-address", 2)
        assert await node.sync.pull_once()
        assert node.sync.version == 2
        assert node.sync.is_ready

    async def test_no_agent_is_asked_while_the_store_is_available(self):
        """Without an outage, a new router does not pull from the agents ahead of it."""
        store = InMemoryKeyValue()
        agent = Node(store)
        agent.sync.accept(await submit(store, "one"))
        node = Node(store)
        node.peers_by_id = {"address": agent}
        node.sync.record_agent_version("agent", "address", 1)
        assert not await node.sync.pull_once()
        await node.sync.read_store()
        agent.sync.accept(await submit(store, "two"))
        node.sync.record_agent_version("agent", "address", 2)
        assert not await node.sync.pull_once()
        assert node.pulled_peers == []

    async def test_change_that_the_store_lost_while_no_router_ran(self):
        """Routers that start read the copy; only agents have the newest version."""
        store = InMemoryKeyValue()
        agent = Node(store)
        await submit(store, "one")
        copy = store.take_copy()
        agent.sync.accept(await submit(store, "lost"))
        store.restore(copy)
        node = Node(store)
        node.peers_by_id = {"address": agent}
        node.sync.record_agent_version("agent", "address", 2)
        await node.sync.read_store()
        assert not node.sync.is_ready
        assert await node.sync.pull_once()
        assert node.sync.is_ready
        assert node.announced == [1, 2]
        assert "/lost" in node.replica.document.tree.sections
        assert await stored_document(store) == node.replica.document
        assert not await node.sync.pull_once()

    async def test_later_change_is_kept_beside_the_one_that_the_store_lost(self):
        """The router was in service before it heard of the agent."""
        store = InMemoryKeyValue()
        agent, node = Node(store), Node(store)
        copy = store.take_copy()
        await submit(store, "lost")
        agent.sync.accept(await submit(store, "lost-too"))
        store.restore(copy)
        node.sync.accept(await submit(store, "later"))
        node.peers_by_id = {"address": agent}
        node.sync.record_agent_version("agent", "address", 2)
        await node.sync.read_store()
        assert await node.sync.pull_once()
        sections = node.replica.document.tree.sections
        assert {"/lost", "/lost-too", "/later"} <= set(sections)
        assert await stored_document(store) == node.replica.document

    async def test_outage_while_a_lost_change_is_written_again(self):
        """The agent is asked again when the store is back."""
        store = InMemoryKeyValue()
        agent, node = Node(store), Node(store)
        copy = store.take_copy()
        agent.sync.accept(await submit(store, "lost"))
        store.restore(copy)
        node.peers_by_id = {"address": agent}
        node.sync.record_agent_version("agent", "address", 1)
        await node.sync.read_store()
        store.down = True
        assert await node.sync.pull_once()
        assert node.sync.version == 0
        store.down = False
        node.now = 1.0
        assert await node.sync.pull_once()
        assert node.sync.version == (await stored_document(store)).version == 1

    async def test_a_router_that_is_ahead_is_asked_first(self):
        """Agents are a fallback for versions that no router has."""
        store = InMemoryKeyValue()
        agent, router = Node(store), Node(store)
        router.sync.accept(await submit(store, "one"))
        agent.sync.accept(await submit(store, "two"))
        store.down = True
        node = Node(store)
        node.peers_by_id = {"address": agent, "router": router}
        await node.sync.read_store()
        node.sync.record_agent_version("agent", "address", 2)
        node.sync.record_router_version("router", 1)
        assert await node.sync.pull_once()
        assert await node.sync.pull_once()
        assert node.pulled_peers == ["router", "address"]
        assert node.sync.version == 2

    async def test_unresponsive_agents_do_not_block_readiness(self):
        """A router stays ready if agents ahead of it have no sync port."""
        store = InMemoryKeyValue()
        node = Node(store)
        await submit(store, "one")
        await node.sync.read_store()
        assert node.sync.is_ready
        store.down = True
        await node.sync.read_store()
        for _ in range(20):
            node.now += 1.0
            node.sync.record_agent_version("agent", "address", 2)
            await node.sync.pull_once()
            assert node.sync.is_ready
        assert "address" in node.pulled_peers

    async def test_unresponsive_agents_do_not_starve_responsive_ones(self):
        """Each agent that is ahead is tried before a failed one is retried."""
        store = InMemoryKeyValue()
        agent = Node(store)
        agent.sync.accept(await submit(store, "one"))
        store.down = True
        node = Node(store)
        node.peers_by_id = {"address-4": agent}
        await node.sync.read_store()
        for _ in range(9):
            node.now += 1.0
            for number in range(9):
                node.sync.record_agent_version(
                    f"agent-{number}", f"address-{number}", 1
                )
            await node.sync.pull_once()
        assert node.sync.version == 1
