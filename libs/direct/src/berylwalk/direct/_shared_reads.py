"""One reading of the store for many routers.

In a fleet that tells news by failure domain, the first router of each domain that is
heard reads the store, a little more often than it would for itself. The others ask it
how fresh its knowledge is and what changed, and make no calls while that is enough. If
it does not answer, or what it knows grows old, they ask the reader of another domain,
and if that is old as well, they read the store themselves, as a router alone does.

Nothing is agreed: who reads follows from who is heard, several readers do no harm, and
every word is dated by the question that it answers, so that a router that was paused,
cut off or restarted can't make another one believe for longer than its bounds allow.
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
"""Logged for what was never known."""
QUERY_INTERVAL_S = 0.4
"""Time between two questions: a fifth of the age up to which their answers are enough
in fleets whose bounds are four seconds."""


class ReadMode(StrEnum):
    """How a router comes to know the store."""

    READER = "reads-for-others"
    """It reads, and others go by its word."""

    STANDALONE = "reads-alone"
    """It reads for itself: the fleet is small, or the word of others is too old."""

    FOLLOWER = "goes-by-the-word-of-others"


GAUGE_VALUE_BY_MODE = {ReadMode.FOLLOWER: 0, ReadMode.STANDALONE: 1, ReadMode.READER: 2}
"""How metrics show the way."""

Send = Callable[[bytes, Iterable[Peer]], None]


class SharedReads:
    """Asks and tells what is known of the store.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store_health : StoreReach
        Whether the store answers this router.
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
        self._remote_turns = count()
        self._mode: ReadMode | None = None
        self._last_source = ""

    def add(self, mirror: MirroredPrefix) -> None:
        """Ask and tell of some items from now on."""
        self._mirrors_by_name[mirror.name] = mirror

    def remove(self, mirror: MirroredPrefix) -> None:
        """Ask and tell of some items no more."""
        self._mirrors_by_name.pop(mirror.name, None)

    def serves_peers(self) -> bool:
        """Return whether other routers take this one's word."""
        peers = self._context.peers
        is_shared = bool(peers.relayed_domains())
        return is_shared and peers.is_relay(self._context.clock())

    def follows_peers(self) -> bool:
        """Return whether this router takes the word of others in place of calls."""
        if not self._context.peers.relayed_domains():
            return False
        return not self.serves_peers() and self._store_health.accepts_peer_data()

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            await sleep(QUERY_INTERVAL_S)
            self._update_mode()
            for peer in self._peers_to_query():
                self._send_query(peer)

    @property
    def mode(self) -> ReadMode:
        """How this router comes to know the store now."""
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
        asked = [] if reader is None else [reader]
        answers = reader is not None and not self._pending.has_unanswered(reader.name)
        if not answers and not self._is_fresh():
            asked += self._remote_reader(relayed_domains, now)
        return asked

    def _is_fresh(self) -> bool:
        return all(mirror.is_fresh for mirror in self._mirrors_by_name.values())

    def _remote_reader(self, relayed_domains: list[str], now: float) -> list[Peer]:
        """Return the reader of another failure domain, another one each time."""
        turn = next(self._remote_turns) % len(relayed_domains)
        reader = self._context.peers.relay_of(relayed_domains[turn], now)
        return [] if reader is None else [reader]

    def _send_query(self, peer: Peer) -> None:
        settings = self._context.settings
        ask = StoreSyncRequest(
            settings.name,
            settings.caller_address.host,
            settings.peer_port,
            self._pending.start(peer.name, self._context.clock()),
            {name: each.revision for name, each in self._mirrors_by_name.items()},
        )
        self._send(msgpack.encode(ask), [peer])

    def handle_query(self, ask: StoreSyncRequest) -> None:
        """Answer with what is known here."""
        words = [
            self._mirrors_by_name[name].word(since)
            for name, since in ask.revisions.items()
            if name in self._mirrors_by_name
        ]
        tell = StoreSyncReply(
            self._context.settings.name,
            ask.number,
            [word for word in words if word is not None],
        )
        asker = Peer(ask.sender, ask.host, ask.port, "")
        self._send(msgpack.encode(tell), [asker])

    def handle_reply(self, tell: StoreSyncReply) -> None:
        """Take what another router knows."""
        asked_at = self._pending.resolve(tell.number, tell.sender)
        if asked_at is None or not self._store_health.accepts_peer_data():
            return
        self._last_source = tell.sender
        for word in tell.deltas:
            mirror = self._mirrors_by_name.get(word.name)
            if mirror is None:
                continue
            is_all = mirror.take_word(word, asked_at)
            self._store_health.record_peer_answer(asked_at - word.age_s)
            outcome = "taken" if is_all else "changes-not-told"
            self._context.metrics.words.labels(word.name, outcome).inc()
