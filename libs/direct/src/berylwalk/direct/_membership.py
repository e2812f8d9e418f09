"""Registers the router in the store and lists the other routers."""

from collections.abc import Callable

from anyio import Event, create_task_group, move_on_after, sleep
from msgspec import DecodeError, json

from berylwalk.direct._context import RouterContext
from berylwalk.direct._ended_members import EndedMembers
from berylwalk.direct._invalid_items import InvalidItemLog
from berylwalk.direct._peer_messages import MemberEntry
from berylwalk.direct._store_health import StoreHealth
from berylwalk.dispatch import Peer
from berylwalk.platform import (
    KeyValue,
    KeyValueClient,
    OutcomeUnknown,
    Unavailable,
    is_host_address,
)
from berylwalk.reading import PrefixState

MEMBERS_PREFIX = b"berylwalk/routers/"
LEASE_S = 6.0
"""Time after which a terminated router is removed from the list."""
RENEW_INTERVAL_S = 2.0
LIST_INTERVAL_S = 4.0
REENTRY_S = 6.0
"""Time after a restore of the store in which all routers have heard of it, have entered
again and are listed."""
FIRST_LIST_INTERVAL_S = 1.0
"""Delay of the second list if the first one found no other router: routers that start
simultaneously have registered by then."""


class Membership:
    """Keeps the own entry alive and updates the peer table.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    incarnation : str
        Incarnation of this router, one per process.
    on_ended : callable
        Called with each peer whose process has ended.
    """

    def __init__(
        self,
        context: RouterContext,
        store: KeyValueClient,
        store_health: StoreHealth,
        *,
        incarnation: str,
        on_ended: Callable[[Peer], None],
    ) -> None:
        self._context = context
        self._store = store
        self._store_health = store_health
        self._incarnation = incarnation
        self._on_ended = on_ended
        self._lease_id: int | None = None
        self._lease_era = 0
        self._restored = Event()
        self._restored_at = float("-inf")
        self._state = PrefixState()
        self._ended_members = EndedMembers()
        self._invalid_items = InvalidItemLog(context, "member-invalid")

    async def leave(self) -> None:
        """Remove this router from the list of routers."""
        if self._lease_id is None:
            return
        # The lease is not revoked: if the store was restored, it may be of another.
        written = await self._store.get(self._key)
        if isinstance(written, KeyValue) and written.value == self._encoded_entry():
            await self._store.delete_if(self._key, written.mod_revision)

    async def run(self) -> None:
        """Register and list forever."""
        self._store.on_restored.add(self._on_restored)
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._register)
                tasks.start_soon(self._list)
        finally:
            self._store.on_restored.discard(self._on_restored)

    def _on_restored(self) -> None:
        """Enter again: the lease is gone, or may be of another."""
        self._restored_at = self._context.clock()
        self._restored.set()

    async def _register(self) -> None:
        failures = 0
        while True:
            self._restored = Event()
            if await self._renew_or_register():
                failures = 0
                with move_on_after(RENEW_INTERVAL_S):
                    await self._restored.wait()
            else:
                failures += 1
                await self._store_health.back_off(failures)

    async def _renew_or_register(self) -> bool:
        if self._holds_lease:
            remaining_s = await self._store_health.track(
                "renew-membership", self._store.keep_alive(self._lease_id)
            )
            if isinstance(remaining_s, Unavailable):
                return False
            if remaining_s > 0 and self._holds_lease:
                return True
        if self._lease_id is not None:
            self._context.log.process("membership-lapsed", lease=self._lease_id)
        self._lease_id = None
        return await self._enter()

    @property
    def _holds_lease(self) -> bool:
        """Whether there is a lease that was granted since the last restore."""
        return self._lease_id is not None and self._lease_era == self._store.era

    async def _enter(self) -> bool:
        """Write the own entry with a new lease."""
        lease_s = max(LEASE_S, self._context.settings.shortest_lease_s)
        lease = await self._store_health.track(
            "lease-membership", self._store.grant_lease(lease_s)
        )
        if isinstance(lease, Unavailable):
            return False
        era = self._store.era
        written = await self._store_health.track(
            "enter-membership",
            self._store.put(self._key, self._encoded_entry(), lease_id=lease.lease_id),
        )
        if isinstance(written, Unavailable | OutcomeUnknown):
            return False
        if self._store.era != era:
            # The store was restored meanwhile, and the lease may be of another.
            return False
        self._lease_id, self._lease_era = lease.lease_id, era
        self._context.log.process("membership-entered", lease=lease.lease_id)
        return True

    @property
    def _key(self) -> bytes:
        return MEMBERS_PREFIX + self._context.settings.name.encode()

    def _encoded_entry(self) -> bytes:
        settings = self._context.settings
        entry = MemberEntry(
            settings.caller_address.host,
            settings.peer_port,
            self._incarnation,
            settings.failure_domain,
        )
        return json.encode(entry)

    async def _list(self) -> None:
        is_first_list = True
        failures = 0
        while True:
            listing = await self._store_health.track(
                "list-members",
                self._store.list_prefix(MEMBERS_PREFIX, stale_ok=not is_first_list),
            )
            if isinstance(listing, Unavailable):
                failures += 1
                await self._store_health.back_off(failures)
                continue
            failures = 0
            # A stale list may be older than the previous one.
            if self._state.apply_listing(listing):
                self._apply(self._state.items)
            is_alone = self._context.peers.known_count() == 1
            interval_s = (
                FIRST_LIST_INTERVAL_S if is_first_list and is_alone else LIST_INTERVAL_S
            )
            is_first_list = is_alone
            await sleep(interval_s)

    def _apply(self, items: list[KeyValue]) -> None:
        listed = []
        now = self._context.clock()
        items = [each for each in items if not self._ended_members.has_ended(each, now)]
        for item in items:
            name = item.key[len(MEMBERS_PREFIX) :].decode()
            try:
                entry = json.decode(item.value, type=MemberEntry)
            except (DecodeError, ValueError, RecursionError) as error:
                self._invalid_items.report(name, "not-readable", repr(error))
                continue
            if not is_host_address(entry.host):
                self._invalid_items.report(name, "out-of-range", "host")
                continue
            self._invalid_items.clear(name)
            listed.append(
                Peer(name, entry.host, entry.port, entry.life, entry.failure_domain)
            )
        before = set(self._context.peers.by_name)
        may_lack = now - self._restored_at < REENTRY_S
        for peer in self._context.peers.replace(listed, now, may_lack=may_lack):
            self._ended_members.note_ended(MEMBERS_PREFIX + peer.name.encode(), now)
            self._on_ended(peer)
        self._ended_members.note_listed(items)
        after = set(self._context.peers.by_name)
        if before != after:
            self._context.log.process("members", routers=sorted(after))
        self._context.retries.note_listed(
            self._context.peers.known_count(), self._context.clock()
        )
