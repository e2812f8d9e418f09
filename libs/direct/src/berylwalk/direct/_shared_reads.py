"""Shares reads of the store between routers.

In a fleet of several failure domains, the first live router of each domain reads the
store for all. The others poll it for the age and the changes of its data and make no
store calls while that is fresh enough. If it does not answer or its data is too old,
they poll the reader of another domain, and as a last resort read the store themselves.

There is no election: the reader follows from the set of live peers, and several readers
do no harm. The age of data is counted from the query that it answers, so a router that
was paused, partitioned or restarted can't pass off outdated data as fresh.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from itertools import count

from anyio import sleep
from msgspec import msgpack

from berylwalk.direct._context import RouterContext
from berylwalk.direct._mirrored_prefix import MirroredPrefix
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import Peer
from berylwalk.reading import PendingSyncs, StoreSyncReply, StoreSyncRequest

MAX_AGE_S = 1e6
"""Logged for data that was never received."""
QUERY_INTERVAL_S = 0.4
"""Interval between two queries."""


class ReadMode(StrEnum):
    """Source of a router's data about the store."""

    READER = "reads-for-others"
    """Reads the store and answers the queries of other routers."""

    STANDALONE = "reads-alone"
    """Reads the store for itself: the fleet is small or peer data is too old."""

    FOLLOWER = "goes-by-the-word-of-others"


GAUGE_VALUE_BY_MODE = {ReadMode.FOLLOWER: 0, ReadMode.STANDALONE: 1, ReadMode.READER: 2}
"""Value of the metric for each mode."""

Send = Callable[[bytes, Iterable[Peer]], None]


class SharedReads:
    """Queries other routers for data of the store and answers their queries.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store_health : StoreHealth
        Tracks whether the store answers this router.
    send : callable
        Sends a message to peers.
    """

    def __init__(
        self, context: RouterContext, store_health: StoreHealth, send: Send
    ) -> None:
        self._context = context
        self._store_health = store_health
        self._send = send
        self._pending = PendingSyncs()
        self._mirrors_by_name: dict[str, MirroredPrefix] = {}
        self._remote_domain_index = count()
        self._mode: ReadMode | None = None
        self._last_source = ""

    def add(self, mirror: MirroredPrefix) -> None:
        """Start sharing a mirror."""
        self._mirrors_by_name[mirror.name] = mirror

    def remove(self, mirror: MirroredPrefix) -> None:
        """Stop sharing a mirror."""
        self._mirrors_by_name.pop(mirror.name, None)

    def serves_peers(self) -> bool:
        """Return whether other routers rely on the data of this one."""
        peers = self._context.peers
        is_shared = bool(peers.relayed_domains())
        return is_shared and peers.is_relay(self._context.clock())

    def follows_peers(self) -> bool:
        """Return whether this router uses the data of peers instead of store calls."""
        if not self._context.peers.relayed_domains():
            return False
        return not self.serves_peers() and self._store_health.accepts_peer_data()

    async def run(self) -> None:
        """Send queries forever."""
        while True:
            await sleep(QUERY_INTERVAL_S)
            self._update_mode()
            for peer in self._peers_to_query():
                self._send_query(peer)

    @property
    def mode(self) -> ReadMode:
        """Source of this router's data at present."""
        if self.serves_peers():
            return ReadMode.READER
        return (
            ReadMode.FOLLOWER
            if self.follows_peers() and self._is_fresh()
            else ReadMode.STANDALONE
        )

    def _update_mode(self) -> None:
        mode = self.mode
        if mode is self._mode:
            return
        self._mode = mode
        self._context.metrics.reads_store.set(GAUGE_VALUE_BY_MODE[mode])
        self._context.log.process(
            "store-reading",
            way=mode,
            last_told_by=self._last_source,
            unanswered=sum(self._pending.unanswered_by_name.values()),
            ages_ms={
                name: round(min(mirror.age_s(), MAX_AGE_S) * 1000)
                for name, mirror in self._mirrors_by_name.items()
            },
        )

    def _peers_to_query(self) -> list[Peer]:
        peers, now = self._context.peers, self._context.clock()
        relayed_domains = sorted(peers.relayed_domains())
        if not relayed_domains or not self._store_health.accepts_peer_data():
            return []
        self._pending.retain(set(peers.by_name))
        reader = None if peers.is_relay(now) else peers.first_direct_peer(now)
        queried = [] if reader is None else [reader]
        reader_responds = reader is not None and not self._pending.has_unanswered(
            reader.name
        )
        if not reader_responds and not self._is_fresh():
            queried += self._remote_reader(relayed_domains, now)
        return queried

    def _is_fresh(self) -> bool:
        return all(mirror.is_fresh for mirror in self._mirrors_by_name.values())

    def _remote_reader(self, relayed_domains: list[str], now: float) -> list[Peer]:
        """Return the reader of another failure domain; a different domain each time."""
        index = next(self._remote_domain_index) % len(relayed_domains)
        reader = self._context.peers.relay_of(relayed_domains[index], now)
        return [] if reader is None else [reader]

    def _send_query(self, peer: Peer) -> None:
        settings = self._context.settings
        request = StoreSyncRequest(
            settings.name,
            settings.caller_address.host,
            settings.peer_port,
            self._pending.start(peer.name, self._context.clock()),
            {name: each.revision for name, each in self._mirrors_by_name.items()},
        )
        self._send(msgpack.encode(request), [peer])

    def handle_query(self, request: StoreSyncRequest) -> None:
        """Answer a query with the data of the own mirrors."""
        deltas = [
            self._mirrors_by_name[name].delta(since)
            for name, since in request.revisions.items()
            if name in self._mirrors_by_name
        ]
        reply = StoreSyncReply(
            self._context.settings.name,
            request.number,
            [delta for delta in deltas if delta is not None],
        )
        requester = Peer(request.sender, request.host, request.port, "")
        self._send(msgpack.encode(reply), [requester])

    def handle_reply(self, reply: StoreSyncReply) -> None:
        """Apply the data of another router."""
        requested_at = self._pending.resolve(reply.number, reply.sender)
        if requested_at is None or not self._store_health.accepts_peer_data():
            return
        self._last_source = reply.sender
        for delta in reply.deltas:
            mirror = self._mirrors_by_name.get(delta.name)
            if mirror is None:
                continue
            is_complete = mirror.apply_delta(delta, requested_at)
            self._store_health.record_peer_answer(requested_at - delta.age_s)
            outcome = "taken" if is_complete else "changes-not-told"
            self._context.metrics.store_deltas.labels(delta.name, outcome).inc()
