"""In-memory key-value store with fault injection, for tests."""

from collections.abc import AsyncIterator, Callable
from time import monotonic

from anyio import Event, sleep

from berylwalk.platform import (
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
)
from berylwalk.standins._revisions import (
    CompactedError,
    Entry,
    LeaseNotFoundError,
    RevisionStore,
)

WATCH_RETRY_S = 0.005
DOWN = Unavailable(UnavailableReason.NOT_SENT, "down")


class InMemoryKeyValue:
    """In-memory implementation of `berylwalk.platform.KeyValueStore`.

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
    """

    def __init__(self, *, clock: Callable[[], float] = monotonic) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_writes = 0
        self.calls = 0
        self._clock = clock
        self._changed = Event()
        self._store = RevisionStore(on_change=self._wake_watches)

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._store.revision

    async def get(self, key: bytes) -> KeyValue | Unavailable | None:
        """Read a key; return None if it does not exist."""
        if not await self._begin_call():
            return DOWN
        return _to_key_value(self._store.get(key))

    async def get_prefix(self, prefix: bytes) -> tuple[KeyValue, ...] | Unavailable:
        """Read all keys with a prefix, sorted by key."""
        if not await self._begin_call():
            return DOWN
        entries = self._store.range(b"", b"\0")
        return tuple(
            _to_key_value(entry) for entry in entries if entry.key.startswith(prefix)
        )

    async def compare_and_swap(
        self,
        key: bytes,
        value: bytes,
        expected_mod_revision: int,
        *,
        lease_id: int | None = None,
    ) -> SwapResult:
        """Write a key if it is at the expected revision; 0 if it must not exist."""

        def write() -> int:
            return self._store.put(key, value, lease_id or 0).mod_revision

        return await self._swap(key, expected_mod_revision, write)

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
        next_revision = start_revision or self._store.revision + 1
        while True:
            changed = self._changed
            if self.down:
                await sleep(WATCH_RETRY_S)
                continue
            for entry in self._changes_since(next_revision, key, prefix):
                next_revision = entry.mod_revision + 1
                kind = EventKind.DELETE if entry.deleted else EventKind.PUT
                yield WatchEvent(kind, _to_key_value(entry))
            if changed is self._changed:
                await changed.wait()

    async def grant_lease(self, ttl_s: float) -> Lease | Unavailable:
        """Create a lease."""
        if not await self._begin_call():
            return DOWN
        lease = self._store.grant(self._clock(), ttl_s)
        return Lease(lease.lease_id, lease.ttl_s)

    async def keep_alive(self, lease_id: int) -> float | Unavailable:
        """Renew a lease; return its time to live in seconds, 0 if it does not exist."""
        if not await self._begin_call():
            return DOWN
        return self._store.keep_alive(self._clock(), lease_id)

    async def revoke(self, lease_id: int) -> bool | Unavailable:
        """Revoke a lease and delete its keys; return False if it did not exist."""
        if not await self._begin_call():
            return DOWN
        try:
            self._store.revoke(lease_id)
        except LeaseNotFoundError:
            return False
        return True

    async def _begin_call(self) -> bool:
        self.calls += 1
        await sleep(self.delay_s)
        self._store.expire(self._clock())
        return not self.down

    async def _swap(
        self, key: bytes, expected_mod_revision: int, apply: Callable[[], int]
    ) -> SwapResult:
        if not await self._begin_call():
            return DOWN
        if self.lose_writes > 0:
            self.lose_writes -= 1
            return OutcomeUnknown("the write was lost")
        result = self._apply_if(key, expected_mod_revision, apply)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return OutcomeUnknown("the response was lost")
        return result

    def _apply_if(
        self, key: bytes, expected_mod_revision: int, apply: Callable[[], int]
    ) -> SwapResult:
        entry = self._store.get(key)
        if (entry.mod_revision if entry else 0) != expected_mod_revision:
            return Conflict(_to_key_value(entry))
        try:
            return Swapped(apply())
        except LeaseNotFoundError:
            return Unavailable(UnavailableReason.LEASE_NOT_FOUND)

    def _changes_since(self, revision: int, key: bytes, prefix: bool) -> list[Entry]:
        try:
            changes = self._store.changes_since(revision, b"", b"\0")
        except CompactedError:
            changes = self._store.range(b"", b"\0")
        return [
            entry
            for entry in changes
            if entry.key == key or (prefix and entry.key.startswith(key))
        ]

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = Event()


def _to_key_value(entry: Entry | None) -> KeyValue | None:
    if entry is None:
        return None
    return KeyValue(
        key=entry.key,
        value=entry.value,
        mod_revision=entry.mod_revision,
        create_revision=entry.create_revision,
        lease_id=entry.lease_id,
    )
