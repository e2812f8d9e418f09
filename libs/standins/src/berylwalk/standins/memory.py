"""In-memory key-value store with fault injection, for tests."""

from collections.abc import AsyncIterator, Callable
from time import monotonic

from anyio import Event, sleep

from berylwalk.platform import (
    ABSENT_REVISION,
    NO_LEASE,
    Callbacks,
    Conflict,
    EventKind,
    KeyValue,
    Lease,
    OutcomeUnknown,
    Swapped,
    SwapResult,
    Unavailable,
    UnavailableReason,
    WatchEvent,
    era_of,
    era_of_lease,
    to_lease_id,
    to_revision,
    to_store_lease_id,
    to_store_revision,
)
from berylwalk.standins._revisions import (
    CompactedError,
    Entry,
    LeaseNotFoundError,
    RevisionStore,
    StoreCopy,
)

WATCH_RETRY_S = 0.005
LEASE_GONE_S = 0.0
DOWN = Unavailable(UnavailableReason.NOT_SENT, "down")


class InMemoryKeyValue:
    """In-memory implementation of `berylwalk.platform.KeyValueStore`.

    It stands for the store and for its client: that the store was restored from a copy
    is known after the next call that gets a response.

    Parameters
    ----------
    clock : callable
        Monotonic clock for leases, in seconds.

    Attributes
    ----------
    down : bool
        Fault: calls fail without being sent, and watches yield nothing.
    delay_s : float
        Fault: latency of each call, in seconds.
    lose_answers : int
        Fault: number of next writes that take effect, but whose response is lost.
    lose_writes : int
        Fault: number of next writes that are lost before they take effect.
    calls : int
        Number of received calls; a watch counts as one.
    era : int
        Era of the store in the last response.
    on_restored : Callbacks
        Called when a response tells a later era than one before it.
    """

    def __init__(self, *, clock: Callable[[], float] = monotonic) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_writes = 0
        self.calls = 0
        self.era = 0
        self.on_restored = Callbacks()
        self._clock = clock
        self._changed = Event()
        self._store = RevisionStore(on_change=self._wake_watches)

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return to_revision(self._store.era, self._store.revision)

    def take_copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return self._store.take_copy()

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, as the platform does: a new era of the store begins."""
        self._store.restore(copy, self._clock())

    async def get(self, key: bytes) -> KeyValue | Unavailable | None:
        """Read a key; return None if it does not exist."""
        if not await self._begin_call():
            return DOWN
        self._note_era()
        return self._to_key_value(self._store.get(key))

    async def get_prefix(self, prefix: bytes) -> tuple[KeyValue, ...] | Unavailable:
        """Read all keys with a prefix, sorted by key."""
        if not await self._begin_call():
            return DOWN
        self._note_era()
        return self._range(prefix, prefix=True)

    async def compare_and_swap(
        self,
        key: bytes,
        value: bytes,
        expected_mod_revision: int,
        *,
        lease_id: int | None = None,
    ) -> SwapResult:
        """Write a key if it is at the expected revision; 0 if it must not exist."""
        if lease_id is None:
            lease_id = NO_LEASE
        store_lease_id = to_store_lease_id(lease_id)

        def write() -> int:
            return self._store.put(key, value, store_lease_id).mod_revision

        if self._is_lease_of_earlier_era(lease_id):
            return Unavailable(UnavailableReason.LEASE_NOT_FOUND)
        result = await self._swap(key, expected_mod_revision, write)
        if isinstance(result, Swapped) and self._is_lease_of_earlier_era(lease_id):
            return OutcomeUnknown("the key may be bound to another's lease")
        return result

    async def delete_if(self, key: bytes, mod_revision: int) -> SwapResult:
        """Delete a key if it is at the given revision."""

        def delete() -> int:
            self._store.delete(key)
            return self._store.revision

        return await self._swap(key, mod_revision, delete)

    async def watch(
        self, key: bytes, start_revision: int = 0, *, prefix: bool = False
    ) -> AsyncIterator[WatchEvent]:
        """Yield changes since a revision; 0 means from now on."""
        self.calls += 1
        after = start_revision - 1 if start_revision else self.revision
        while True:
            changed = self._changed
            if self.down:
                await sleep(WATCH_RETRY_S)
                continue
            events = self._events_after(after, key, prefix=prefix)
            after = self.revision
            self._note_era()
            for event in events:
                yield event
            if changed is self._changed:
                await changed.wait()

    async def grant_lease(self, ttl_s: float) -> Lease | Unavailable:
        """Create a lease."""
        if not await self._begin_call():
            return DOWN
        self._note_era()
        lease = self._store.grant(self._clock(), ttl_s)
        return Lease(to_lease_id(self.era, lease.lease_id), lease.ttl_s)

    async def keep_alive(self, lease_id: int) -> float | Unavailable:
        """Renew a lease; return its time to live in seconds, 0 if it does not exist."""
        if not await self._begin_call():
            return DOWN
        self._note_era()
        if self._is_lease_of_earlier_era(lease_id):
            return LEASE_GONE_S
        return self._store.keep_alive(self._clock(), to_store_lease_id(lease_id))

    async def revoke(self, lease_id: int) -> bool | Unavailable:
        """Revoke a lease and delete its keys; return False if it did not exist."""
        if self._is_lease_of_earlier_era(lease_id):
            return False
        if not await self._begin_call():
            return DOWN
        self._note_era()
        try:
            self._store.revoke(to_store_lease_id(lease_id))
        except LeaseNotFoundError:
            return False
        return True

    async def _begin_call(self) -> bool:
        self.calls += 1
        await sleep(self.delay_s)
        self._store.expire(self._clock())
        return not self.down

    def _note_era(self) -> None:
        """Note the era of the store, as a client does with each response."""
        if self.era == self._store.era:
            return
        self.era = self._store.era
        for callback in self.on_restored:
            callback()

    def _is_earlier(self, revision: int) -> bool:
        return revision != ABSENT_REVISION and era_of(revision) < self.era

    def _is_lease_of_earlier_era(self, lease_id: int) -> bool:
        return lease_id != NO_LEASE and era_of_lease(lease_id) < self.era

    async def _swap(
        self, key: bytes, expected_mod_revision: int, apply: Callable[[], int]
    ) -> SwapResult:
        if self._is_earlier(expected_mod_revision):
            current = await self.get(key)
            return current if isinstance(current, Unavailable) else Conflict(current)
        if not await self._begin_call():
            return DOWN
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return OutcomeUnknown("the write was lost")
        result = self._apply_if(key, to_store_revision(expected_mod_revision), apply)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return OutcomeUnknown("the response was lost")
        self._note_era()
        if isinstance(result, Swapped) and self._is_earlier(expected_mod_revision):
            return OutcomeUnknown("the store was restored during the call")
        return result

    def _apply_if(
        self, key: bytes, expected_revision: int, apply: Callable[[], int]
    ) -> SwapResult:
        entry = self._store.get(key)
        if (entry.mod_revision if entry else 0) != expected_revision:
            return Conflict(self._to_key_value(entry))
        try:
            return Swapped(to_revision(self._store.era, apply()))
        except LeaseNotFoundError:
            return Unavailable(UnavailableReason.LEASE_NOT_FOUND)

    def _events_after(
        self, revision: int, key: bytes, *, prefix: bool
    ) -> list[WatchEvent]:
        """Return the changes after a revision, or the state if they are not known."""
        if revision != ABSENT_REVISION and era_of(revision) < self._store.era:
            return self._state_events(key, prefix=prefix)
        start = to_store_revision(revision) + 1
        try:
            changes = self._store.changes_since(start, b"", b"\0")
        except CompactedError:
            return self._state_events(key, prefix=prefix)
        return [
            WatchEvent(
                EventKind.DELETE if entry.deleted else EventKind.PUT,
                self._to_key_value(entry),
            )
            for entry in changes
            if _matches(entry, key, prefix=prefix)
        ]

    def _state_events(self, key: bytes, *, prefix: bool) -> list[WatchEvent]:
        entries = self._range(key, prefix=prefix)
        if not entries and not prefix:
            return [WatchEvent(EventKind.DELETE, KeyValue(key, b"", self.revision))]
        return [WatchEvent(EventKind.PUT, entry) for entry in entries]

    def _range(self, key: bytes, *, prefix: bool) -> tuple[KeyValue, ...]:
        return tuple(
            self._to_key_value(entry)
            for entry in self._store.range(b"", b"\0")
            if _matches(entry, key, prefix=prefix)
        )

    def _to_key_value(self, entry: Entry | None) -> KeyValue | None:
        if entry is None:
            return None
        era = self._store.era
        return KeyValue(
            key=entry.key,
            value=entry.value,
            mod_revision=to_revision(era, entry.mod_revision),
            create_revision=to_revision(era, entry.create_revision),
            lease_id=to_lease_id(era, entry.lease_id),
        )

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = Event()


def _matches(entry: Entry, key: bytes, *, prefix: bool) -> bool:
    return entry.key == key or (prefix and entry.key.startswith(key))
