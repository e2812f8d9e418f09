"""Several routers with shared store reads in virtual time."""

import random
from asyncio import get_running_loop
from dataclasses import dataclass, field

from anyio import CancelScope, create_task_group, sleep
from msgspec import msgpack

from berylwalk.direct._configuration_feed import ConfigurationFeed
from berylwalk.direct._mirrored_prefix import ReadRole
from berylwalk.direct._shared_reads import SharedReads
from berylwalk.direct._store_health import CALL_TIMEOUT_S, StoreHealth
from berylwalk.direct._target_feed import TargetFeed
from berylwalk.dispatch import Peer, PeerTable, SocketAddress
from berylwalk.platform import KeyValueClient
from berylwalk.reading import StoreSyncReply, StoreSyncRequest
from virtual_feeds import Feeds, in_virtual_time
from virtual_store import VirtualStore

DOMAINS_BY_NAME = {"a-1": "fd-a", "a-2": "fd-a", "b-1": "fd-b", "b-2": "fd-b"}
HEARTBEAT_INTERVAL_S = 0.25
"""Interval between heartbeats of routers."""


@dataclass
class Network:
    """Carries messages between routers, with latencies set by a test.

    Parameters
    ----------
    fate : callable
        Gets sender, receiver and whether the message is a heartbeat; returns the
        latencies of its copies, none if it is lost.
    """

    fate: object = lambda sender, receiver, is_heartbeat: (0.001,)
    routers_by_name: dict = field(default_factory=dict)

    def send(self, sender, receiver, deliver, *, is_heartbeat=False):
        """Send a message; ``deliver`` gets the router that runs on arrival."""
        for delay_s in self.fate(sender, receiver, is_heartbeat):
            get_running_loop().call_later(delay_s, self._arrive, receiver, deliver)

    def _arrive(self, receiver, deliver):
        router = self.routers_by_name.get(receiver)
        if router is not None:
            deliver(router)


class VirtualRouter(Feeds):
    """The feeds and shared reads of one router of a fleet.

    Parameters
    ----------
    store : VirtualStore
        The store.
    network : Network
        Network to the other routers.
    name : str
        One of `DOMAINS_BY_NAME`.
    """

    incarnations = 0

    def __init__(self, store, network, name, *, drain_s):
        super().__init__(store, drain_s=drain_s)
        self.name = name
        self.network = network
        VirtualRouter.incarnations += 1
        self.incarnation = str(VirtualRouter.incarnations)
        self.started_at = self.clock()
        self.sequence = 0
        self.peers = PeerTable(name, DOMAINS_BY_NAME[name])
        self.context.peers = self.peers
        settings = self.context.settings
        settings.name = name
        settings.caller_address = SocketAddress(name, 80)
        settings.peer_port = 1
        self.decoder = msgpack.Decoder(StoreSyncRequest | StoreSyncReply)

    async def run(self):
        """Run the feeds, the shared reads and the heartbeats forever."""
        host = f"10.0.0.{list(DOMAINS_BY_NAME).index(self.name)}"
        client = KeyValueClient.from_config(
            [f"http://{host}:80"], timeout_s=CALL_TIMEOUT_S
        )
        await client.start()
        self.store_health = store_health = StoreHealth(self.context)
        client.on_restored.add(store_health.note_restored)
        self.shared_reads = shared_reads = SharedReads(
            self.context, store_health, self._send
        )
        role = ReadRole(
            follows_peers=shared_reads.follows_peers,
            serves_peers=shared_reads.serves_peers,
        )
        feeds = [
            ConfigurationFeed(self.context, client, store_health, role),
            TargetFeed(self.context, client, store_health, role),
        ]
        for feed in feeds:
            shared_reads.add(feed.mirror)
        self.mirrors_by_name = {feed.mirror.name: feed.mirror for feed in feeds}
        self.network.routers_by_name[self.name] = self
        async with create_task_group() as tasks:
            for each in (
                feeds[0].run,
                feeds[1].run,
                shared_reads.run,
                self._send_heartbeats,
            ):
                tasks.start_soon(each)
            tasks.start_soon(self._renew, client)

    async def _renew(self, client):
        """Renew a lease like the membership, which tracks the store's health."""
        while True:
            await sleep(2.0)
            await self.store_health.track("renew", client.keep_alive(1))

    async def _send_heartbeats(self):
        while True:
            self.sequence += 1
            now = self.clock()
            healthy_s = round(self.store_health.healthy_s(now), 1)
            for name in DOMAINS_BY_NAME:
                if name != self.name:
                    heartbeat = self._heartbeat(healthy_s)
                    self.network.send(self.name, name, heartbeat, is_heartbeat=True)
            await sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat(self, healthy_s):
        name, incarnation, sequence = self.name, self.incarnation, self.sequence

        def deliver(router):
            peer = Peer(
                name, name, 1, incarnation, DOMAINS_BY_NAME[name], sequence=sequence
            )
            if router.peers.record_message(peer, router.clock()):
                router.store_health.update_peer_health(healthy_s)

        return deliver

    def _send(self, data, peers):
        for peer in peers:
            self.network.send(self.name, peer.name, lambda router: router.receive(data))

    def receive(self, data):
        """Receive a message of another router."""
        message = self.decoder.decode(data)
        if isinstance(message, StoreSyncRequest):
            self.shared_reads.handle_query(message)
        else:
            self.shared_reads.handle_reply(message)


class VirtualFleet:
    """Routers that are killed and restarted.

    Parameters
    ----------
    store : VirtualStore
        The store.
    network : Network
        Network between the routers.
    """

    def __init__(self, store, network, *, drain_s):
        self.store = store
        self.network = network
        self.drain_s = drain_s
        self.clock = get_running_loop().time
        self.scopes_by_name = {}
        self.tasks = None

    @property
    def routers(self):
        """Return the running routers."""
        return list(self.network.routers_by_name.values())

    async def run(self, scenario):
        """Run all routers with a scenario and return its result."""
        async with create_task_group() as self.tasks:
            for name in DOMAINS_BY_NAME:
                self.start_router(name)
            result = await scenario(self)
            self.tasks.cancel_scope.cancel()
        return result

    def start_router(self, name):
        """Start a router."""
        self.tasks.start_soon(self._run, name)

    def kill(self, name):
        """Kill a router."""
        scope = self.scopes_by_name.pop(name, None)
        if scope is not None:
            self.network.routers_by_name.pop(name, None)
            scope.cancel()

    async def _run(self, name):
        router = VirtualRouter(self.store, self.network, name, drain_s=self.drain_s)
        with CancelScope() as scope:
            self.scopes_by_name[name] = scope
            await router.run()


def simulate_fleet(scenario, *, network, drain_s, seed=1, **options):
    """Run a scenario against a fleet and return its result.

    Parameters
    ----------
    scenario : callable
        Coroutine function of the fleet.
    network : Network
        Network between the routers.
    drain_s : float
        Setting of the routers.
    seed : int
        Seed of the retry delays.
    options : dict
        Options of the store.
    """
    store = VirtualStore(**options)

    async def main():
        random.seed(seed)
        return await VirtualFleet(store, network, drain_s=drain_s).run(scenario)

    return in_virtual_time(store, main)
