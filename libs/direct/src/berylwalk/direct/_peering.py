"""Membership of routers and what they tell each other."""

from asyncio import DatagramTransport, get_running_loop
from random import choice
from uuid import uuid4

from anyio import create_task_group, sleep
from msgspec import DecodeError, ValidationError, json, msgpack

from berylwalk.direct._context import RouterContext
from berylwalk.direct._peer_messages import MemberEntry, PeerMessage, PeerSocket
from berylwalk.dispatch import Knowledge, Peer
from berylwalk.platform import KeyValueClient, Listing, Lost, Unavailable

MEMBERS_PREFIX = b"berylwalk/routers/"
LEASE_S = 6.0
"""Time after which a router that is gone is no longer counted."""
RENEW_S = 2.0
LIST_S = 4.0
RETRY_S = 0.3
TELL_S = 0.05
"""Time between two messages: half of a typical time to a first event."""
PEERS_AT_FULL_RATE = 5
"""Peers up to which messages go at the full rate."""
LONGEST_TELL_S = 0.3
"""Bound of the time between messages; two may be lost before a peer is taken for
silent."""
TELL_UNCHANGED_S = 0.25
"""The same while nothing has changed; a third of the time after which a peer is
taken for silent."""


class Peering:
    """Registers this router and exchanges messages with the others.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    """

    def __init__(self, context: RouterContext, store: KeyValueClient) -> None:
        self._context = context
        self._store = store
        self._life = uuid4().hex[:8]
        self._started_at = context.clock()
        self._sequence = 0
        self._lease_id: int | None = None
        self._transport: DatagramTransport | None = None
        self._told: tuple[object, object] | None = None
        self._told_at = float("-inf")
        self._decoder = msgpack.Decoder(PeerMessage)

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
        if self._lease_id is not None:
            await self._store.revoke(self._lease_id)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Register, list and tell for ever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._register)
            tasks.start_soon(self._list)
            tasks.start_soon(self._tell)

    async def _register(self) -> None:
        while True:
            is_registered = await self._renew_or_enter()
            await sleep(RENEW_S if is_registered else RETRY_S)

    async def _renew_or_enter(self) -> bool:
        if self._lease_id is not None:
            left_s = await self._store.keep_alive(self._lease_id)
            if isinstance(left_s, Unavailable):
                return False
            if left_s > 0:
                return True
            self._context.log.process("membership-lapsed", lease=self._lease_id)
        self._lease_id = None
        lease = await self._store.grant_lease(
            max(LEASE_S, self._context.settings.shortest_lease_s)
        )
        if isinstance(lease, Unavailable):
            return False
        settings = self._context.settings
        entry = MemberEntry(
            settings.caller_address.host, settings.peer_port, self._life
        )
        key = MEMBERS_PREFIX + settings.name.encode()
        written = await self._store.put(
            key, json.encode(entry), lease_id=lease.lease_id
        )
        if isinstance(written, Unavailable | Lost):
            return False
        self._lease_id = lease.lease_id
        self._context.log.process("membership-entered", lease=lease.lease_id)
        return True

    async def _list(self) -> None:
        is_first = True
        while True:
            listing = await self._store.list_prefix(
                MEMBERS_PREFIX, stale_ok=not is_first
            )
            if isinstance(listing, Listing):
                self._take(listing)
                is_first = self._context.peers.known() == 1
            await sleep(LIST_S if isinstance(listing, Listing) else RETRY_S)

    def _take(self, listing: Listing) -> None:
        listed = []
        for item in listing.entries:
            name = item.key[len(MEMBERS_PREFIX) :].decode()
            try:
                entry = json.decode(item.value, type=MemberEntry)
            except (DecodeError, ValidationError) as error:
                self._context.log.process("member-invalid", name=name, detail=error)
                continue
            listed.append(Peer(name, entry.host, entry.port, entry.life))
        before = set(self._context.peers.by_name)
        for peer in self._context.peers.replace(listed, self._context.clock()):
            self._context.targets.hear_loads(peer.name, {})
            self._context.allowances.forget(_life_of(peer))
        after = set(self._context.peers.by_name)
        if before != after:
            self._context.log.process("members", routers=sorted(after))
        self._context.retries.set_routers(self._context.peers.known())

    async def _tell(self) -> None:
        while True:
            await sleep(tell_interval_s(len(self._context.peers.by_name)))
            self._share_with_silent_peers()
            self._send_if_due()

    def _share_with_silent_peers(self) -> None:
        context = self._context
        now = context.clock()
        heard = context.peers.heard(now)
        context.allowances.set_share(heard, context.peers.known())
        if heard == context.peers.known():
            return
        for peer in context.peers.by_name.values():
            if not peer.is_heard(now):
                # What it had in flight is answered by now or unknown.
                context.targets.hear_loads(peer.name, {})

    def _send_if_due(self) -> None:
        context = self._context
        loads = context.targets.own_loads()
        spent = context.allowances.spent_by_account()
        now = context.clock()
        asks = self._peer_to_ask(now)
        is_unchanged = self._told == (loads, spent) and asks is None
        if is_unchanged and now - self._told_at < TELL_UNCHANGED_S:
            return
        self._told = (loads, spent)
        self._told_at = now
        data = self._encoded(now, asks=asks)
        for peer in context.peers.by_name.values():
            self._transport.sendto(data, (peer.host, peer.port))

    def _encoded(
        self,
        now: float,
        *,
        asks: str | None = None,
        recent: dict[str, list[float]] | None = None,
    ) -> bytes:
        context = self._context
        self._sequence += 1
        message = PeerMessage(
            context.settings.name,
            context.settings.caller_address.host,
            context.settings.peer_port,
            self._life,
            now - self._started_at,
            self._sequence,
            context.targets.own_loads(),
            context.allowances.spent_by_account(),
            asks,
            recent,
        )
        return msgpack.encode(message)

    def _peer_to_ask(self, now: float) -> str | None:
        """Return the peer that is asked what was spent before the start.

        Another one each time, since one may not know or its answer be lost.
        """
        context = self._context
        if context.allowances.knows_window(now):
            return None
        peers = context.peers.by_name.values()
        heard = [peer.name for peer in peers if peer.is_heard(now)]
        return choice(heard) if heard else None

    def _tell_newcomer(self, newcomer: Peer, now: float) -> None:
        """Tell a router that asks what was spent, if it is known here.

        Only that one: what all routers spent takes kilobytes, which would fill
        the links of small VMs if each told it to all.
        """
        allowances = self._context.allowances
        if allowances.knows_window(now):
            data = self._encoded(now, recent=allowances.spent_by_bin(now))
            self._transport.sendto(data, (newcomer.host, newcomer.port))

    def _hear(self, data: bytes) -> None:
        try:
            message = self._decoder.decode(data)
        except (DecodeError, ValidationError) as error:
            self._context.log.process("peer-message-invalid", detail=repr(error))
            return
        context = self._context
        now = context.clock()
        sender = Peer(
            message.name,
            message.host,
            message.port,
            message.life,
            sequence=message.sequence,
        )
        if not context.peers.hear(sender, now):
            return
        context.targets.hear_loads(message.name, message.loads)
        if message.asks == context.settings.name:
            self._tell_newcomer(sender, now)
        if message.recent is not None:
            context.allowances.learn(message.recent, Knowledge.ALL, now)
        context.allowances.hear(
            _life_of(sender),
            message.spent,
            is_new=message.age_s < now - self._started_at,
            now=now,
        )
        context.dispatcher.pump_all(now)


def tell_interval_s(peers: int) -> float:
    """Return the time between two messages, which grows with the fleet.

    Each router tells every other, so that the messages that one router receives
    would otherwise grow with their number, and the sum with its square.
    """
    return min(TELL_S * max(1.0, peers / PEERS_AT_FULL_RATE), LONGEST_TELL_S)


def _life_of(peer: Peer) -> str:
    return f"{peer.name}/{peer.life}"
