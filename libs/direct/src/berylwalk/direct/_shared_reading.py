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
from berylwalk.direct._store_reach import StoreReach
from berylwalk.dispatch import Peer
from berylwalk.reading import PendingAsks, ReadingAsk, ReadingTell

LONGEST_AGE_S = 1e6
"""Logged for what was never known."""
ASK_S = 0.4
"""Time between two questions: a fifth of the age up to which their answers are enough
in fleets whose bounds are four seconds."""


class Way(StrEnum):
    """How a router comes to know the store."""

    FOR_OTHERS = "reads-for-others"
    """It reads, and others go by its word."""

    ALONE = "reads-alone"
    """It reads for itself: the fleet is small, or the word of others is too old."""

    TOLD = "goes-by-the-word-of-others"


NUMBER_BY_WAY = {Way.TOLD: 0, Way.ALONE: 1, Way.FOR_OTHERS: 2}
"""How metrics show the way."""

Send = Callable[[bytes, Iterable[Peer]], None]


class SharedReading:
    """Asks and tells what is known of the store.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    reach : StoreReach
        Whether the store answers this router.
    send : callable
        Sends a message to peers.
    """

    def __init__(self, context: RouterContext, reach: StoreReach, send: Send) -> None:
        self._context = context
        self._reach = reach
        self._send = send
        self._pending = PendingAsks()
        self._mirrors_by_name: dict[str, MirroredPrefix] = {}
        self._far_turns = count()
        self._way: Way | None = None
        self._told_by = ""

    def add(self, mirror: MirroredPrefix) -> None:
        """Ask and tell of some items from now on."""
        self._mirrors_by_name[mirror.name] = mirror

    def remove(self, mirror: MirroredPrefix) -> None:
        """Ask and tell of some items no more."""
        self._mirrors_by_name.pop(mirror.name, None)

    def reads_for_others(self) -> bool:
        """Return whether other routers take this one's word."""
        peers = self._context.peers
        is_shared = bool(peers.relayed_domains())
        return is_shared and peers.is_relay(self._context.clock())

    def leans(self) -> bool:
        """Return whether this router takes the word of others in place of calls."""
        if not self._context.peers.relayed_domains():
            return False
        return not self.reads_for_others() and self._reach.trusts_others()

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            await sleep(ASK_S)
            self._note_way()
            for peer in self._peers_to_ask():
                self._ask(peer)

    @property
    def way(self) -> Way:
        """How this router comes to know the store now."""
        if self.reads_for_others():
            return Way.FOR_OTHERS
        return Way.TOLD if self.leans() and self._is_fresh() else Way.ALONE

    def _note_way(self) -> None:
        way = self.way
        if way is self._way:
            return
        self._way = way
        self._context.metrics.reads_store.set(NUMBER_BY_WAY[way])
        self._context.log.process(
            "store-reading",
            way=way,
            last_told_by=self._told_by,
            unanswered=sum(self._pending.unanswered_by_name.values()),
            ages_ms={
                name: round(min(mirror.age_s(), LONGEST_AGE_S) * 1000)
                for name, mirror in self._mirrors_by_name.items()
            },
        )

    def _peers_to_ask(self) -> list[Peer]:
        peers, now = self._context.peers, self._context.clock()
        relayed_domains = sorted(peers.relayed_domains())
        if not relayed_domains or not self._reach.trusts_others():
            return []
        self._pending.keep_only(set(peers.by_name))
        reader = None if peers.is_relay(now) else peers.first_direct_peer(now)
        asked = [] if reader is None else [reader]
        answers = reader is not None and not self._pending.is_owing(reader.name)
        if not answers and not self._is_fresh():
            asked += self._far_reader(relayed_domains, now)
        return asked

    def _is_fresh(self) -> bool:
        return all(mirror.is_fresh for mirror in self._mirrors_by_name.values())

    def _far_reader(self, relayed_domains: list[str], now: float) -> list[Peer]:
        """Return the reader of another failure domain, another one each time."""
        turn = next(self._far_turns) % len(relayed_domains)
        reader = self._context.peers.relay_of(relayed_domains[turn], now)
        return [] if reader is None else [reader]

    def _ask(self, peer: Peer) -> None:
        settings = self._context.settings
        ask = ReadingAsk(
            settings.name,
            settings.caller_address.host,
            settings.peer_port,
            self._pending.ask(peer.name, self._context.clock()),
            {name: each.revision for name, each in self._mirrors_by_name.items()},
        )
        self._send(msgpack.encode(ask), [peer])

    def hear_ask(self, ask: ReadingAsk) -> None:
        """Answer with what is known here."""
        words = [
            self._mirrors_by_name[name].word(since)
            for name, since in ask.revisions.items()
            if name in self._mirrors_by_name
        ]
        tell = ReadingTell(
            self._context.settings.name,
            ask.number,
            [word for word in words if word is not None],
        )
        asker = Peer(ask.sender, ask.host, ask.port, "")
        self._send(msgpack.encode(tell), [asker])

    def hear_tell(self, tell: ReadingTell) -> None:
        """Take what another router knows."""
        asked_at = self._pending.answer(tell.number, tell.sender)
        if asked_at is None or not self._reach.trusts_others():
            return
        self._told_by = tell.sender
        for word in tell.words:
            mirror = self._mirrors_by_name.get(word.name)
            if mirror is None:
                continue
            is_all = mirror.take_word(word, asked_at)
            self._reach.hear_answer(asked_at - word.age_s)
            outcome = "taken" if is_all else "changes-not-told"
            self._context.metrics.words.labels(word.name, outcome).inc()
