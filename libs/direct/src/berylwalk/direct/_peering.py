"""Exchanges state with the other routers.

Routers send loads and spending directly to each other. In a large fleet they do so only
within a failure domain; one router of each domain, the relay, exchanges aggregated
updates with the relays of the other domains and forwards what it receives.
"""

from asyncio import DatagramTransport, get_running_loop
from collections import deque
from collections.abc import Callable, Iterable
from random import choice
from traceback import format_exception
from uuid import uuid4

from anyio import Event, create_task_group, move_on_after, sleep
from msgspec import DecodeError, ValidationError, msgpack
from msgspec.structs import replace

from berylwalk.direct._agreed_versions import AgreedVersions
from berylwalk.direct._context import RouterContext
from berylwalk.direct._flow_control import (
    limited_rates,
    merge_signals,
    own_signals,
    update_limit_shares,
)
from berylwalk.direct._membership import Membership
from berylwalk.direct._peer_messages import (
    DomainMessage,
    LoadMessage,
    Loads,
    PeerMessage,
    PeerSocket,
    RouterUpdate,
    VersionsQuery,
    VersionsReply,
)
from berylwalk.direct._shared_reads import SharedReads
from berylwalk.direct._signals_aggregate import SignalsAggregate
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import (
    MAX_FULL_MESH_PEERS,
    HistoryCoverage,
    Peer,
    PrefixPlacement,
    RatesByService,
    StreamRecords,
    Target,
    ToldUsage,
)
from berylwalk.platform import KeyValueClient, is_host_address
from berylwalk.quarantine import QuarantineUpdate
from berylwalk.reading import StoreSyncReply, StoreSyncRequest

SEND_INTERVAL_S = 0.05
"""Interval between two messages to direct peers."""
MAX_SEND_INTERVAL_S = 0.3
"""Upper bound of that interval: two messages may be lost before a peer counts as
silent."""
UNCHANGED_SEND_INTERVAL_S = 0.25
"""Interval between messages while nothing has changed."""
RELAY_INTERVAL_S = 0.1
"""Interval between two messages of a relay to the relays of other failure domains."""
MAX_IMMEDIATE_PEERS = 12
"""Largest number of direct peers that are notified of each placement immediately: with
the regular message only, all of them would select the same free target."""
PLACEMENT_BATCH_S = 0.002
"""How long placements are batched before they are sent."""
MAX_TOLD_UNITS = 2**62
"""Bound of a sum in a message, which holds integers of 64 bits."""
MAX_LOGGED_CHARS = 200
"""Longest part of a text from outside in a log line."""
MAX_RELAYED_PREFIXES = 512
"""Bound of the queue of prefix placements to be relayed; the oldest are dropped."""
MAX_RELAYED_STREAMS = 4_000
"""Bound of the queue of stream versions to be relayed; the oldest are dropped."""
AnyMessage = (
    PeerMessage
    | DomainMessage
    | StoreSyncRequest
    | StoreSyncReply
    | LoadMessage
    | VersionsQuery
    | VersionsReply
)
"""Whatever a router receives from another one."""
DOMAIN_SOURCE = "failure-domain "
"""Prefix of the source name under which the loads of a whole failure domain are
stored."""


class Peering:
    """Exchanges messages with the other routers.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.

    Attributes
    ----------
    shared_reads : SharedReads
        Shares reads of the store between routers.
    agreed_versions : AgreedVersions
        Asks the other routers at which versions they may have begun streams.
    is_unready : callable
        Returns whether the router tells the load balancer that it is not ready.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, store_health: StoreHealth
    ) -> None:
        self._context = context
        self._store_health = store_health
        self.shared_reads = SharedReads(context, store_health, self._send)
        self.agreed_versions = AgreedVersions(context, store_health, self._send)
        self._incarnation = uuid4().hex[:8]
        self._membership = Membership(
            context,
            store,
            store_health,
            incarnation=self._incarnation,
            on_ended=self._forget,
        )
        self.is_unready: Callable[[], bool] = lambda: False
        self._started_at = context.clock()
        self._sequence = 0
        self._transport: DatagramTransport | None = None
        self._last_sent: tuple[object, ...] | None = None
        self._last_sent_at = float("-inf")
        self._last_usage: ToldUsage | None = None
        self._updates_by_name: dict[str, RouterUpdate] = {}
        self._prefixes_to_relay: deque[PrefixPlacement] = deque(
            maxlen=MAX_RELAYED_PREFIXES
        )
        self._streams_to_relay: deque[tuple[int, str]] = deque(
            maxlen=MAX_RELAYED_STREAMS
        )
        self._signals_aggregate = SignalsAggregate()
        self._pending_placements: Loads = {}
        self._send_requested = Event()
        self._decoder = msgpack.Decoder(AnyMessage)

    async def start(self) -> None:
        """Open the socket.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        settings = self._context.settings
        self._transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: PeerSocket(self._receive),
            local_addr=(settings.caller_address.host, settings.peer_port),
        )

    async def leave(self) -> None:
        """Remove this router from the list of routers."""
        await self._membership.leave()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Register, list peers and send messages forever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._membership.run)
            tasks.start_soon(self._send_loop)
            tasks.start_soon(self._relay_loop)
            tasks.start_soon(self.shared_reads.run)

    # Sending

    def send_soon(self) -> None:
        """Send the next message to direct peers immediately."""
        self._send_requested.set()

    def announce_placement(self, target: Target) -> None:
        """Announce a placement to the direct peers without delay.

        With many routers and few free slots, each router would otherwise claim a freed
        slot before it learns of the placements of the others.
        """
        if not 0 < len(self._context.peers.direct_peers()) <= MAX_IMMEDIATE_PEERS:
            return
        if not self._pending_placements:
            get_running_loop().call_later(PLACEMENT_BATCH_S, self._send_placements)
        load = (target.in_flight, target.waiting_tokens)
        self._pending_placements[target.entry.incarnation_id] = load

    def _send_placements(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sequence += 1
        name = self._context.settings.name
        message = LoadMessage(
            name, self._incarnation, self._sequence, self._pending_placements
        )
        self._pending_placements = {}
        self._send(msgpack.encode(message), self._context.peers.direct_peers())

    async def _send_loop(self) -> None:
        while True:
            with move_on_after(
                send_interval_s(len(self._context.peers.direct_peers()))
            ):
                await self._send_requested.wait()
            self._send_requested = Event()
            await self._reopen_if_closed()
            self._apply_peer_liveness()
            self._send_if_due()

    async def _reopen_if_closed(self) -> None:
        """Open the socket again if an error has closed it."""
        if self._transport is not None and self._transport.is_closing():
            self._context.log.process("peer-socket-closed")
            await self.start()

    async def _relay_loop(self) -> None:
        while True:
            await sleep(relay_interval_s(len(self._context.peers.direct_peers())))
            peers, now = self._context.peers, self._context.clock()
            relayed_domains = peers.relayed_domains()
            if relayed_domains and peers.is_relay(now):
                self._send_to_domains(relayed_domains, now)
            else:
                self._prefixes_to_relay.clear()
                self._streams_to_relay.clear()
                self._context.quarantine.relay_outbox.clear()

    def _send_to_domains(self, relayed_domains: set[str], now: float) -> None:
        data = msgpack.encode(self._domain_message(now))
        for failure_domain in sorted(relayed_domains):
            receiver = self._context.peers.relay_of(failure_domain, now)
            if receiver is not None:
                self._send(data, [receiver])

    def _apply_peer_liveness(self) -> None:
        """Redistribute the quota of silent peers and drop their loads."""
        context = self._context
        peers, now = context.peers, context.clock()
        alive, known = peers.alive_count(now), peers.known_count()
        context.quotas.set_share(alive, known)
        context.retries.set_routers(
            alive, known, now, all_heard_until=peers.all_heard_until(now)
        )
        context.dispatcher.set_relayed(bool(peers.relayed_domains()))
        update_limit_shares(context)
        counted = self._counted_sources(now)
        context.account_usage.forget_all_but(counted)
        for source in context.targets.peers_with_loads():
            if source not in counted:
                # Their requests in flight have finished by now or are unknown.
                context.targets.replace_peer_loads(source, {})

    def _counted_sources(self, now: float) -> set[str]:
        """Return the sources whose loads count: direct peers and remote domains."""
        peers = self._context.peers
        alive_peers = [
            peer for peer in peers.by_name.values() if peers.is_alive(peer, now)
        ]
        direct_peers = {peer.name for peer in alive_peers if peers.is_direct(peer)}
        remote_domains = {
            DOMAIN_SOURCE + peer.failure_domain
            for peer in alive_peers
            if not peers.is_direct(peer)
        }
        return direct_peers | remote_domains

    def _send_if_due(self) -> None:
        context = self._context
        loads = context.targets.own_loads()
        spent = context.quotas.spent_by_account()
        now = context.clock()
        source = self._history_source(now)
        history_from = None if context.quotas.has_full_window(now) else source
        retry_history_from = None if context.retries.is_complete(now) else source
        placements = context.dispatcher.prefix_cache_index.take_updates()
        self._prefixes_to_relay.extend(placements)
        streams = context.streams.take_updates(
            now, is_mixed=context.targets.versions.is_mixed
        )
        self._streams_to_relay.extend(streams)
        quarantine = context.quarantine.next_update(
            context.quarantine.direct_outbox, context.clock()
        )
        rollouts = [replace(each, age_s=0.0) for each in context.rollouts.updates(now)]
        refused = context.refused.take_updates(now)
        signals = own_signals(context)
        signal_contents = [each.content for each in signals]
        retries = context.retries.own_totals(now)
        rates = limited_rates(context)
        capacity = context.vm_capacity
        readiness = (capacity.claim, self.is_unready(), not capacity.has_room)
        awaited = context.quotas.awaited.by_account()
        current = (
            loads,
            spent,
            rollouts,
            signal_contents,
            retries,
            rates,
            readiness,
            awaited,
        )
        is_unchanged = (
            self._last_sent == current
            and history_from is None
            and retry_history_from is None
            and not placements
            and not streams
            and not refused
        )
        if (
            is_unchanged
            and not quarantine
            and now - self._last_sent_at < UNCHANGED_SEND_INTERVAL_S
        ):
            return
        self._last_sent = current
        self._last_sent_at = now
        message = PeerMessage(
            self._own_update(now),
            loads,
            history_from,
            placements=placements,
            quarantine=quarantine,
            signals=signals,
            retry_history_from=retry_history_from,
            streams=streams,
            refused=refused,
            usage=self._usage_to_tell(now),
        )
        self._send(msgpack.encode(message), context.peers.direct_peers())

    def _usage_to_tell(self, now: float) -> ToldUsage | None:
        """Return the usage of accounts if it was renewed since the last message."""
        usage = self._context.account_usage.told(now)
        if usage is self._last_usage:
            return None
        self._last_usage = usage
        return usage

    def _own_update(self, now: float) -> RouterUpdate:
        context = self._context
        settings = context.settings
        self._sequence += 1
        spent = context.quotas.spent_by_account()
        refused = context.quotas.refused_by_account()
        demand = context.quotas.urgent_demand.totals()
        capacity = context.vm_capacity
        return RouterUpdate(
            settings.name,
            settings.caller_address.host,
            settings.peer_port,
            self._incarnation,
            settings.failure_domain,
            now - self._started_at,
            self._sequence,
            {name: _told_units(units) for name, units in spent.items()},
            {
                name: (rank, _told_units(units))
                for name, (rank, units) in demand.items()
            },
            round(self._store_health.healthy_s(now), 1),
            context.rollouts.updates(now),
            context.retries.own_totals(now),
            self._own_rates(),
            capacity.claim,
            self.is_unready(),
            {name: _told_units(units) for name, units in refused.items()},
            not capacity.has_room,
            {
                name: _told_units(units)
                for name, units in context.quotas.awaited.by_account().items()
            },
        )

    def _own_rates(self) -> RatesByService:
        rates = limited_rates(self._context)
        self._context.peers.record_own_rates(rates)
        return rates

    def _domain_message(self, now: float) -> DomainMessage:
        context = self._context
        alive_peers = [peer.name for peer in self._heard_peers(now)]
        updates = [
            self._updates_by_name[name]
            for name in alive_peers
            if name in self._updates_by_name
        ]
        return DomainMessage(
            context.settings.failure_domain,
            [self._own_update(now), *updates],
            context.targets.total_loads(alive_peers),
            placements=self._take_prefixes_to_relay(),
            quarantine=context.quarantine.next_update(
                context.quarantine.relay_outbox, context.clock()
            ),
            signals=self._signals_aggregate.merge(own_signals(context), now),
            streams=self._take_streams_to_relay(),
            usage=context.account_usage.total_told(alive_peers, now),
        )

    def _heard_peers(self, now: float) -> list[Peer]:
        """Return the direct peers that are heard.

        What is large is not sent to the others: they may be gone, and it would fill the
        link of this VM. One that is back is heard by its own messages.
        """
        peers = self._context.peers
        return [peer for peer in peers.direct_peers() if peers.is_alive(peer, now)]

    def _take_streams_to_relay(self) -> StreamRecords:
        streams = list(self._streams_to_relay)
        self._streams_to_relay.clear()
        return streams

    def _take_prefixes_to_relay(self) -> list[PrefixPlacement]:
        placements = list(self._prefixes_to_relay)
        self._prefixes_to_relay.clear()
        return placements

    def _send(self, data: bytes, peers: Iterable[Peer]) -> None:
        for peer in peers:
            self._context.traffic.note_message_sent(len(data))
            self._transport.sendto(data, (peer.host, peer.port))

    # History of the window for routers that have just started

    def _history_source(self, now: float) -> str | None:
        """Return the peer to request the history from; None if it is complete.

        A random one each time, because a peer may not have it or its response may be
        lost.
        """
        context = self._context
        if context.quotas.has_full_window(now) and context.retries.is_complete(now):
            return None
        alive_peers = [peer.name for peer in self._heard_peers(now)]
        return choice(alive_peers) if alive_peers else None

    def _send_history(self, receiver: Peer, now: float) -> None:
        """Send the spending history to a router that asked for it, if complete here.

        It takes kilobytes, so it is sent to that router only.
        """
        context = self._context
        if not context.quotas.has_full_window(now):
            return
        message = PeerMessage(
            self._own_update(now),
            context.targets.own_loads(),
            spending_history=context.quotas.spent_by_bin(now),
        )
        self._send(msgpack.encode(message), [receiver])

    def _send_retry_history(self, receiver: Peer, now: float) -> None:
        """Send the retries of the window to a router that asked for them, if known."""
        retries = self._context.retries
        history = retries.history(now)
        if history is None:
            return
        message = PeerMessage(
            self._own_update(now),
            self._context.targets.own_loads(),
            retry_history=history,
            known_routers=retries.known_routers(),
            streams=self._context.streams.recent(),
        )
        self._send(msgpack.encode(message), [receiver])

    # Receiving

    def _receive(self, data: bytes) -> None:
        self._context.traffic.note_message_received(len(data))
        try:
            message = self._decoder.decode(data)
        except (DecodeError, ValidationError, RecursionError) as error:
            self._context.log.process("peer-message-invalid", detail=repr(error))
            return
        odd_hosts = [host for host in _hosts_in(message) if not is_host_address(host)]
        if odd_hosts:
            detail = f"host {odd_hosts[0][:MAX_LOGGED_CHARS]!r}"
            self._context.log.process("peer-message-invalid", detail=detail)
            return
        self._context.note_suspension()
        try:
            self._apply(message)
        except Exception as error:
            # A message of one router must not affect those of the others.
            self._context.log.process(
                "peer-message-failed",
                detail=repr(error),
                traceback="".join(format_exception(error)),
            )

    def _apply(self, message: AnyMessage) -> None:
        now = self._context.clock()
        match message:
            case StoreSyncRequest():
                self.shared_reads.handle_query(message)
                return
            case StoreSyncReply():
                self.shared_reads.handle_reply(message)
                return
            case VersionsQuery():
                self.agreed_versions.handle_query(message)
                return
            case VersionsReply():
                self.agreed_versions.handle_reply(message)
                return
            case LoadMessage():
                self._receive_loads(message, now)
                return
            case PeerMessage():
                self._receive_peer_message(message, now)
            case DomainMessage():
                self._receive_domain_message(message, now)
        self._context.dispatcher.dispatch_all_queued(now)

    def _receive_peer_message(self, message: PeerMessage, now: float) -> None:
        context = self._context
        sender = message.update.to_peer()
        if not self._receive_update(message.update, now):
            return
        if context.peers.is_direct(sender):
            context.targets.replace_peer_loads(sender.name, message.loads, told_at=now)
            context.dispatcher.prefix_cache_index.merge(message.placements)
            self._prefixes_to_relay.extend(message.placements)
            context.streams.merge(message.streams, now)
            self._streams_to_relay.extend(message.streams)
            context.refused.merge(message.refused, now)
            context.account_usage.record_told(sender.name, message.usage)
            self._merge_quarantine(message.quarantine, is_direct=True)
            merge_signals(context, message.signals, sender.name)
            self._signals_aggregate.record(sender.name, message.signals, now)
        if message.history_from == context.settings.name:
            self._send_history(sender, now)
        if message.retry_history_from == context.settings.name:
            self._send_retry_history(sender, now)
        if message.spending_history is not None:
            context.quotas.restore(
                message.spending_history, HistoryCoverage.COMPLETE, now
            )
        if message.retry_history is not None:
            context.retries.restore(
                message.retry_history, now, known=message.known_routers
            )

    def _receive_loads(self, message: LoadMessage, now: float) -> None:
        context, name = self._context, message.name
        if not context.peers.record_heartbeat(
            name, message.incarnation, message.sequence, now
        ):
            return
        if context.peers.is_direct(context.peers.by_name[name]):
            context.targets.update_peer_loads(name, message.loads, told_at=now)

    def _receive_domain_message(self, message: DomainMessage, now: float) -> None:
        context = self._context
        if message.failure_domain == context.settings.failure_domain:
            return
        for update in message.routers:
            if update.name != context.settings.name:
                self._receive_update(update, now)
        if message.failure_domain in context.peers.relayed_domains():
            source = DOMAIN_SOURCE + message.failure_domain
            context.targets.replace_peer_loads(source, message.loads)
            context.account_usage.record_told(source, message.usage)
        context.dispatcher.prefix_cache_index.merge(message.placements)
        context.streams.merge(message.streams, now)
        self._merge_quarantine(message.quarantine, is_direct=False)
        merge_signals(context, message.signals, message.failure_domain)
        if not message.is_forwarded:
            data = msgpack.encode(replace(message, is_forwarded=True))
            self._send(data, self._heard_peers(now))

    def _receive_update(self, update: RouterUpdate, now: float) -> bool:
        """Apply an update about a router; return False if it is outdated."""
        peer = update.to_peer()
        if not self._context.peers.record_message(peer, now):
            return False
        self._updates_by_name[update.name] = update
        self._context.peers.record_rates(update.name, update.rates)
        self._store_health.update_peer_health(update.store_healthy_s)
        incarnation = incarnation_of(peer)
        is_new = update.age_s < now - self._started_at
        self._context.quotas.record_peer_totals(
            incarnation,
            update.spent,
            refused_by_account=update.refused,
            is_new=is_new,
            now=now,
        )
        self._context.retries.record_peer_totals(
            incarnation, update.retries, is_new=is_new, now=now
        )
        self._context.quotas.urgent_demand.record_peer_totals(
            incarnation, update.demand, now
        )
        self._context.quotas.awaited.record_peer(incarnation, update.awaited, now)
        self._context.rollouts.merge(incarnation, update.rollouts, now)
        return True

    def _merge_quarantine(self, update: QuarantineUpdate, *, is_direct: bool) -> None:
        context = self._context
        context.quarantine.merge(update, context.clock(), is_direct=is_direct)

    def _forget(self, peer: Peer) -> None:
        """Remove the state of a peer process that has ended."""
        self._context.targets.replace_peer_loads(peer.name, {})
        self._context.quotas.forget_peer(incarnation_of(peer))
        self._updates_by_name.pop(peer.name, None)


def _hosts_in(message: AnyMessage) -> list[str]:
    """Return the hosts in a message to which messages are sent in turn."""
    match message:
        case StoreSyncRequest() | VersionsQuery():
            return [message.host]
        case PeerMessage():
            return [message.update.host]
        case DomainMessage():
            return [update.host for update in message.routers]
    return []


def _told_units(units: float) -> int:
    """Return a sum of units as a number that a message can hold."""
    return max(-MAX_TOLD_UNITS, min(MAX_TOLD_UNITS, round(units)))


def send_interval_s(peers: int) -> float:
    """Return the interval between messages for a number of direct peers.

    The interval grows with the number of peers, which bounds the rate of messages that
    each router receives.
    """
    return _scaled_interval_s(SEND_INTERVAL_S, peers)


def relay_interval_s(peers: int) -> float:
    """Return the interval between messages of a relay.

    Each message is forwarded to all direct peers of its receiver.
    """
    return _scaled_interval_s(RELAY_INTERVAL_S, peers)


def _scaled_interval_s(shortest_s: float, peers: int) -> float:
    return min(shortest_s * max(1.0, peers / MAX_FULL_MESH_PEERS), MAX_SEND_INTERVAL_S)


def incarnation_of(peer: Peer) -> str:
    """Return the incarnation id of a router."""
    return f"{peer.name}/{peer.incarnation}"
