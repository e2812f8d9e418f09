"""What routers tell each other.

Routers near each other tell loads and spending directly and often. In a fleet of
several failure domains that is too large for this, one router of each domain, its
relay, tells those of the others what is new of all in its domain, and passes on what
it is told by them.
"""

from asyncio import DatagramTransport, get_running_loop
from collections import deque
from collections.abc import Iterable
from random import choice
from uuid import uuid4

from anyio import Event, create_task_group, move_on_after, sleep
from msgspec import DecodeError, ValidationError, msgpack
from msgspec.structs import replace

from berylwalk.direct._context import RouterContext
from berylwalk.direct._membership import Membership
from berylwalk.direct._peer_messages import (
    DomainMessage,
    LoadMessage,
    Loads,
    PeerMessage,
    PeerSocket,
    RouterNews,
)
from berylwalk.direct._shared_reading import SharedReading
from berylwalk.direct._statements import (
    hear_statements,
    own_statements,
    share_limits,
)
from berylwalk.direct._statements_to_relay import StatementsToRelay
from berylwalk.direct._store_reach import StoreReach
from berylwalk.dispatch import (
    MAX_FULL_MESH_PEERS,
    HistoryCoverage,
    Peer,
    PrefixPlacement,
    Target,
)
from berylwalk.platform import KeyValueClient
from berylwalk.quarantine import QuarantineNews
from berylwalk.reading import ReadingAsk, ReadingTell

TELL_S = 0.05
"""Time between two messages: half of a typical time to a first event."""
LONGEST_TELL_S = 0.3
"""Bound of the time between messages; two may be lost before a peer is taken for
silent."""
TELL_UNCHANGED_S = 0.25
"""The same while nothing has changed; a third of the time after which a peer is
taken for silent."""
RELAY_S = 0.1
"""Time between two messages of a relay to those of the other failure domains, where few
routers are near it: with older loads fewer of the most urgent requests are in time."""
TOLD_AT_ONCE = 12
"""Peers nearby up to which each send is told to them at once: by the next regular
message all of them would have sent to the same free place."""
GATHER_S = 0.002
"""Time for which sends gather before they are told."""
MOST_READS_RELAYED = 512
"""Bound of the sent prefixes that a relay has not told yet; the oldest are dropped."""
DOMAIN_SOURCE = "failure-domain "
"""Start of the name under which the loads of a whole failure domain are counted."""


class Peering:
    """Exchanges messages with the other routers.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    reach : StoreReach
        Paces calls of it that failed.

    Attributes
    ----------
    reading : SharedReading
        What the routers ask each other about the store.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, reach: StoreReach
    ) -> None:
        self._context = context
        self._reach = reach
        self.reading = SharedReading(context, reach, self._send)
        self._life = uuid4().hex[:8]
        self._membership = Membership(
            context, store, reach, life=self._life, on_ended=self._forget
        )
        self._started_at = context.clock()
        self._sequence = 0
        self._transport: DatagramTransport | None = None
        self._told: tuple[object, ...] | None = None
        self._told_at = float("-inf")
        self._news_by_name: dict[str, RouterNews] = {}
        self._reads_to_relay: deque[PrefixPlacement] = deque(maxlen=MOST_READS_RELAYED)
        self._statements_to_relay = StatementsToRelay()
        self._placed: Loads = {}
        self._urgent = Event()
        self._decoder = msgpack.Decoder(
            PeerMessage | DomainMessage | ReadingAsk | ReadingTell | LoadMessage
        )

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        settings = self._context.settings
        self._transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: PeerSocket(self._hear),
            local_addr=(settings.caller_address.host, settings.peer_port),
        )

    async def leave(self) -> None:
        """Leave the list of routers."""
        await self._membership.leave()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Register, list and tell for ever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._membership.run)
            tasks.start_soon(self._tell)
            tasks.start_soon(self._relay)
            tasks.start_soon(self.reading.run)

    # Telling.

    def tell_soon(self) -> None:
        """Tell the peers nearby at once, and not when it is due."""
        self._urgent.set()

    def tell_placed(self, target: Target) -> None:
        """Tell the peers nearby soon that a request is sent to a target.

        Load pattern: many routers and few places. Each sees a place that falls free,
        and until it hears of the others' sends it takes it for its own.
        """
        if not 0 < len(self._context.peers.direct_peers()) <= TOLD_AT_ONCE:
            return
        if not self._placed:
            get_running_loop().call_later(GATHER_S, self._tell_placed)
        load = (target.in_flight, target.waiting_tokens)
        self._placed[target.entry.incarnation_id] = load

    def _tell_placed(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sequence += 1
        name = self._context.settings.name
        message = LoadMessage(name, self._life, self._sequence, self._placed)
        self._placed = {}
        self._send(msgpack.encode(message), self._context.peers.direct_peers())

    async def _tell(self) -> None:
        while True:
            with move_on_after(
                tell_interval_s(len(self._context.peers.direct_peers()))
            ):
                await self._urgent.wait()
            self._urgent = Event()
            self._leave_to_silent_peers()
            self._send_if_due()

    async def _relay(self) -> None:
        while True:
            await sleep(relay_interval_s(len(self._context.peers.direct_peers())))
            peers, now = self._context.peers, self._context.clock()
            relayed_domains = peers.relayed_domains()
            if relayed_domains and peers.is_relay(now):
                self._tell_domains(relayed_domains, now)
            else:
                self._reads_to_relay.clear()
                self._context.quarantine.far.clear()

    def _tell_domains(self, relayed_domains: set[str], now: float) -> None:
        data = msgpack.encode(self._domain_message(now))
        for failure_domain in sorted(relayed_domains):
            receiver = self._context.peers.relay_of(failure_domain, now)
            if receiver is not None:
                self._send(data, [receiver])

    def _leave_to_silent_peers(self) -> None:
        """Leave silent peers their part of the allowances, and forget their loads."""
        context = self._context
        peers, now = context.peers, context.clock()
        context.quotas.set_share(peers.alive_count(now), peers.known_count())
        context.dispatcher.set_relayed(bool(peers.relayed_domains()))
        share_limits(context)
        counted = self._counted_sources(now)
        for source in context.targets.peers_with_loads():
            if source not in counted:
                # What it had in flight is answered by now or unknown.
                context.targets.replace_peer_loads(source, {})

    def _counted_sources(self, now: float) -> set[str]:
        """Return under which names loads count: near peers and far domains heard."""
        peers = self._context.peers
        heard = [peer for peer in peers.by_name.values() if peers.is_alive(peer, now)]
        near = {peer.name for peer in heard if peers.is_direct(peer)}
        far = {
            DOMAIN_SOURCE + peer.failure_domain
            for peer in heard
            if not peers.is_direct(peer)
        }
        return near | far

    def _send_if_due(self) -> None:
        context = self._context
        loads = context.targets.own_loads()
        spent = context.quotas.spent_by_account()
        now = context.clock()
        asks = self._peer_to_ask(now)
        reads = context.dispatcher.prefix_cache_index.take_updates()
        self._reads_to_relay.extend(reads)
        quarantine = context.quarantine.news(context.quarantine.near, context.clock())
        rollouts = [replace(each, age_s=0.0) for each in context.rollouts.news(now)]
        statements = own_statements(context)
        said = [each.belief for each in statements]
        beliefs = (loads, spent, rollouts, said)
        is_unchanged = self._told == beliefs and asks is None and not reads
        if is_unchanged and not quarantine and now - self._told_at < TELL_UNCHANGED_S:
            return
        self._told = beliefs
        self._told_at = now
        message = PeerMessage(
            self._own_news(now),
            loads,
            asks,
            reads=reads,
            quarantine=quarantine,
            statements=statements,
        )
        self._send(msgpack.encode(message), context.peers.direct_peers())

    def _own_news(self, now: float) -> RouterNews:
        context = self._context
        settings = context.settings
        self._sequence += 1
        spent = context.quotas.spent_by_account()
        asked = context.quotas.urgent_demand.totals()
        return RouterNews(
            settings.name,
            settings.caller_address.host,
            settings.peer_port,
            self._life,
            settings.failure_domain,
            now - self._started_at,
            self._sequence,
            {name: round(units) for name, units in spent.items()},
            {name: (rank, round(units)) for name, (rank, units) in asked.items()},
            round(self._reach.well_s(now), 1),
            context.rollouts.news(now),
        )

    def _domain_message(self, now: float) -> DomainMessage:
        context = self._context
        peers = context.peers
        heard = [
            peer.name for peer in peers.direct_peers() if peers.is_alive(peer, now)
        ]
        news = [
            self._news_by_name[name] for name in heard if name in self._news_by_name
        ]
        return DomainMessage(
            context.settings.failure_domain,
            [self._own_news(now), *news],
            context.targets.total_loads(heard),
            reads=self._take_reads_to_relay(),
            quarantine=context.quarantine.news(context.quarantine.far, context.clock()),
            statements=self._statements_to_relay.merged(own_statements(context), now),
        )

    def _take_reads_to_relay(self) -> list[PrefixPlacement]:
        reads = list(self._reads_to_relay)
        self._reads_to_relay.clear()
        return reads

    def _send(self, data: bytes, peers: Iterable[Peer]) -> None:
        for peer in peers:
            self._transport.sendto(data, (peer.host, peer.port))

    # What newcomers need to know.

    def _peer_to_ask(self, now: float) -> str | None:
        """Return the peer that is asked what was spent before the start.

        Another one each time, since one may not know or its answer be lost.
        """
        context = self._context
        if context.quotas.has_full_window(now):
            return None
        peers = context.peers
        heard = [
            peer.name for peer in peers.direct_peers() if peers.is_alive(peer, now)
        ]
        return choice(heard) if heard else None

    def _tell_newcomer(self, newcomer: Peer, now: float) -> None:
        """Tell a router that asks what was spent, if it is known here.

        Only that one: what all routers spent takes kilobytes, which would fill
        the links of small VMs if each told it to all.
        """
        context = self._context
        if not context.quotas.has_full_window(now):
            return
        message = PeerMessage(
            self._own_news(now),
            context.targets.own_loads(),
            recent=context.quotas.spent_by_bin(now),
        )
        self._send(msgpack.encode(message), [newcomer])

    # Hearing.

    def _hear(self, data: bytes) -> None:
        try:
            message = self._decoder.decode(data)
        except (DecodeError, ValidationError) as error:
            self._context.log.process("peer-message-invalid", detail=repr(error))
            return
        self._context.note_suspension()
        now = self._context.clock()
        match message:
            case ReadingAsk():
                self.reading.hear_ask(message)
                return
            case ReadingTell():
                self.reading.hear_tell(message)
                return
            case LoadMessage():
                self._hear_loads(message, now)
                return
            case PeerMessage():
                self._hear_peer(message, now)
            case DomainMessage():
                self._hear_domain(message, now)
        self._context.dispatcher.dispatch_all_queued(now)

    def _hear_peer(self, message: PeerMessage, now: float) -> None:
        context = self._context
        sender = message.news.to_peer()
        if not self._hear_news(message.news, now):
            return
        if context.peers.is_direct(sender):
            context.targets.replace_peer_loads(sender.name, message.loads)
            context.dispatcher.prefix_cache_index.merge(message.reads)
            self._reads_to_relay.extend(message.reads)
            self._hear_of_suspects(message.quarantine, is_near=True)
            hear_statements(context, message.statements, sender.name)
            self._statements_to_relay.note(sender.name, message.statements, now)
        if message.asks == context.settings.name:
            self._tell_newcomer(sender, now)
        if message.recent is not None:
            context.quotas.restore(message.recent, HistoryCoverage.COMPLETE, now)

    def _hear_loads(self, message: LoadMessage, now: float) -> None:
        context, name = self._context, message.name
        if not context.peers.record_heartbeat(
            name, message.life, message.sequence, now
        ):
            return
        if context.peers.is_direct(context.peers.by_name[name]):
            context.targets.update_peer_loads(name, message.loads)

    def _hear_domain(self, message: DomainMessage, now: float) -> None:
        context = self._context
        if message.failure_domain == context.settings.failure_domain:
            return
        for news in message.routers:
            if news.name != context.settings.name:
                self._hear_news(news, now)
        if message.failure_domain in context.peers.relayed_domains():
            source = DOMAIN_SOURCE + message.failure_domain
            context.targets.replace_peer_loads(source, message.loads)
        context.dispatcher.prefix_cache_index.merge(message.reads)
        self._hear_of_suspects(message.quarantine, is_near=False)
        hear_statements(context, message.statements, message.failure_domain)
        if not message.is_passed_on:
            data = msgpack.encode(replace(message, is_passed_on=True))
            self._send(data, context.peers.direct_peers())

    def _hear_news(self, news: RouterNews, now: float) -> bool:
        """Take what is new of a router; False if it is old."""
        peer = news.to_peer()
        if not self._context.peers.record_message(peer, now):
            return False
        self._news_by_name[news.name] = news
        self._reach.hear_elsewhere(news.store_well_s)
        self._context.quotas.record_peer_totals(
            life_of(peer),
            news.spent,
            is_new=news.age_s < now - self._started_at,
            now=now,
        )
        self._context.quotas.urgent_demand.record_peer_totals(
            life_of(peer), news.asked, now
        )
        self._context.rollouts.hear(life_of(peer), news.rollouts, now)
        return True

    def _hear_of_suspects(self, news: QuarantineNews, *, is_near: bool) -> None:
        context = self._context
        context.quarantine.hear(news, context.clock(), is_near=is_near)

    def _forget(self, peer: Peer) -> None:
        """Forget a peer whose life has ended."""
        self._context.targets.replace_peer_loads(peer.name, {})
        self._context.quotas.forget_peer(life_of(peer))
        self._news_by_name.pop(peer.name, None)


def tell_interval_s(peers: int) -> float:
    """Return the time between two messages, which grows with the peers told.

    Each router tells every other near one, so that the messages that one router
    receives would otherwise grow with their number, and the sum with its square.
    """
    return _grown_s(TELL_S, peers)


def relay_interval_s(peers: int) -> float:
    """Return the time between two messages of a relay.

    Each of them is passed on to all routers near the one that gets it.
    """
    return _grown_s(RELAY_S, peers)


def _grown_s(shortest_s: float, peers: int) -> float:
    return min(shortest_s * max(1.0, peers / MAX_FULL_MESH_PEERS), LONGEST_TELL_S)


def life_of(peer: Peer) -> str:
    """Return what identifies one life of a router."""
    return f"{peer.name}/{peer.incarnation}"
