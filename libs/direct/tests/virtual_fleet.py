"""Several routers that share one reading of the store, in virtual time."""

import random
from asyncio import get_running_loop
from dataclasses import dataclass, field
from types import SimpleNamespace

from anyio import CancelScope, create_task_group, sleep
from msgspec import msgpack

from berylwalk.direct._configuration_feed import ConfigurationFeed
from berylwalk.direct._mirrored_prefix import ReadRole
from berylwalk.direct._shared_reads import SharedReads
from berylwalk.direct._store_health import CALL_TIMEOUT_S, StoreHealth
from berylwalk.direct._target_feed import TargetFeed
from berylwalk.dispatch import Peer, PeerTable
from berylwalk.platform import KeyValueClient
from berylwalk.reading import StoreSyncReply, StoreSyncRequest
from virtual_feeds import Feeds, in_virtual_time
from virtual_store import VirtualStore

DOMAINS_BY_NAME = {"a-1": "fd-a", "a-2": "fd-a", "b-1": "fd-b", "b-2": "fd-b"}
BEAT_S = 0.25
"""Time between two messages by which routers hear each other."""


@dataclass
class Network:
    """Carries messages between routers; a test says what becomes of each.

    Parameters
    ----------
    fate : callable
        Gets sender, receiver and whether it is a beat; returns the delays after which
        the message arrives, none if it is lost and two if it is doubled.
    """

    fate: object = lambda sender, receiver, is_beat: (0.001,)
    routers_by_name: dict = field(default_factory=dict)

    def send(self, sender, receiver, deliver, *, is_beat=False):
        """Carry a message; ``deliver`` gets the router that is there on arrival."""
        for delay_s in self.fate(sender, receiver, is_beat):
            get_running_loop().call_later(delay_s, self._arrive, receiver, deliver)

    def _arrive(self, receiver, deliver):
        router = self.routers_by_name.get(receiver)
        if router is not None:
            deliver(router)


class VirtualRouter(Feeds):
    """The feeds of one router of a fleet, and what it asks and tells the others.

    Parameters
    ----------
    store : VirtualStore
        The store.
    network : Network
        To the others.
    name : str
        One of `DOMAINS_BY_NAME`.
    """

    lives = 0

    def __init__(self, store, network, name, *, drain_s):
        super().__init__(store, drain_s=drain_s)
        self.name = name
        self.network = network
        VirtualRouter.lives += 1
        self.life = str(VirtualRouter.lives)
        self.began_at = self.clock()
        self.sequence = 0
        self.peers = PeerTable(name, DOMAINS_BY_NAME[name])
        self.context.peers = self.peers
        settings = self.context.settings
        settings.name = name
        settings.caller_address = SimpleNamespace(host=name)
        settings.peer_port = 1
        self.decoder = msgpack.Decoder(StoreSyncRequest | StoreSyncReply)

    async def run(self):
        """Run the feeds, the asking and the messages between routers for ever."""
        host = f"10.0.0.{list(DOMAINS_BY_NAME).index(self.name)}"
        client = KeyValueClient.from_config(
            [f"http://{host}:80"], timeout_s=CALL_TIMEOUT_S
        )
        await client.start()
        self.store_health = store_health = StoreHealth(self.context)
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
            for each in (feeds[0].run, feeds[1].run, shared_reads.run, self._beat):
                tasks.start_soon(each)
            tasks.start_soon(self._renew, client)

    async def _renew(self, client):
        """Keep a lease as membership does: it shows whether the store is there."""
        while True:
            await sleep(2.0)
            await self.store_health.track("renew", client.keep_alive(1))

    async def _beat(self):
        while True:
            self.sequence += 1
            now = self.clock()
            healthy_s = round(self.store_health.healthy_s(now), 1)
            for name in DOMAINS_BY_NAME:
                if name != self.name:
                    beat = self._beat_of(healthy_s)
                    self.network.send(self.name, name, beat, is_beat=True)
            await sleep(BEAT_S)

    def _beat_of(self, healthy_s):
        name, life, sequence = self.name, self.life, self.sequence

        def deliver(router):
            peer = Peer(name, name, 1, life, DOMAINS_BY_NAME[name], sequence=sequence)
            if router.peers.record_message(peer, router.clock()):
                router.store_health.update_peer_health(healthy_s)

        return deliver

    def _send(self, data, peers):
        for peer in peers:
            self.network.send(self.name, peer.name, lambda router: router.hear(data))

    def hear(self, data):
        """Take a message of another router."""
        message = self.decoder.decode(data)
        if isinstance(message, StoreSyncRequest):
            self.shared_reads.handle_query(message)
        else:
            self.shared_reads.handle_reply(message)


class VirtualFleet:
    """Routers that are killed and started again.

    Parameters
    ----------
    store : VirtualStore
        The store.
    network : Network
        Between the routers.
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
        """Return those that run."""
        return list(self.network.routers_by_name.values())

    async def run(self, scenario):
        """Run all routers while a scenario plays; return its result."""
        async with create_task_group() as self.tasks:
            for name in DOMAINS_BY_NAME:
                self.begin(name)
            result = await scenario(self)
            self.tasks.cancel_scope.cancel()
        return result

    def begin(self, name):
        """Start a router."""
        self.tasks.start_soon(self._run, name)

    def kill(self, name):
        """End a router at once."""
        scope = self.scopes_by_name.pop(name, None)
        if scope is not None:
            self.network.routers_by_name.pop(name, None)
            scope.cancel()

    async def _run(self, name):
        router = VirtualRouter(self.store, self.network, name, drain_s=self.drain_s)
        with CancelScope() as scope:
            self.scopes_by_name[name] = scope
            await router.run()


def play_fleet(scenario, *, network, drain_s, seed=1, **options):
    """Play a scenario against a fleet; return its result.

    Parameters
    ----------
    scenario : callable
        Coroutine function of the fleet.
    network : Network
        Between the routers.
    drain_s : float
        Setting of the routers.
    seed : int
        For the pauses between calls.
    options : dict
        Of the store.
    """
    store = VirtualStore(**options)

    async def main():
        random.seed(seed)
        return await VirtualFleet(store, network, drain_s=drain_s).run(scenario)

    return in_virtual_time(store, main)
