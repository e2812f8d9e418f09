"""Stores at which versions streams began, so that a stream outlives all routers.

Load that it answers: a service with targets of several versions, whose routers all end
while streams run. Their callers come back to routers that have seen none of them begin.
"""

from asyncio import get_running_loop
from collections.abc import Callable, Sequence

from anyio import Event, move_on_after, sleep

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_health import StoreHealth
from berylwalk.direct._stream_lookup import LookupFailure
from berylwalk.dispatch import OwnStream
from berylwalk.platform import KeyValue, KeyValueClient, Swapped, Unavailable

STREAMS_PREFIX = b"berylwalk/streams/"
MAX_RECORDS_PER_WRITE = 32
"""Records of one call; what comes meanwhile goes with the next one."""
WRITES_SHARE = 0.5
"""Part of the store's writes that all routers together use for records at most."""
RECORD_WAIT_S = 0.08
"""How long a first event waits for its record, in seconds: longer than a healthy store
takes, shorter than the pauses that callers notice."""
LEASE_MARGIN_S = 2.0
"""Time for which records outlive the last moment at which a caller may come back."""
LEASE_USE_S = 8.0
"""Time for which records are bound to one lease, in seconds."""
LOOKUP_TIMEOUT_S = 0.3
"""How long a caller waits for the record of its stream, in seconds."""


class StreamStore:
    """Writes the streams of services with several versions, and finds those of others.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, store_health: StoreHealth
    ) -> None:
        self._context = context
        self._store = store
        self._store_health = store_health
        self._lease_id: int | None = None
        self._leased_at = float("-inf")
        self._wake_event = Event()
        self._waiting_by_key: dict[int, list[Callable[[], None]]] = {}
        self._writing_since: float | None = None
        self._is_slow = False
        self._paused_until = float("-inf")
        context.streams.on_recorded = self.wake
        store.on_restored.add(self._on_restored)

    def wake(self) -> None:
        """Look for records to write."""
        self._wake_event.set()

    async def run(self) -> None:
        """Write forever."""
        failures = 0
        while True:
            await self._wake_event.wait()
            self._wake_event = Event()
            while streams := self._unstored():
                begun_at = self._context.clock()
                if await self._write(streams[:MAX_RECORDS_PER_WRITE]):
                    failures = 0
                    self._paused_until = begun_at + self._write_interval_s()
                    await sleep(max(0.0, self._paused_until - self._context.clock()))
                else:
                    failures += 1
                    await self._store_health.back_off(failures)

    def when_stored(self, key: int, callback: Callable[[], None]) -> None:
        """Call back once a record is stored, or can't be for now.

        Parameters
        ----------
        key : int
            Key of the stream, which has been recorded.
        callback : callable
            Called once; at once while the store fails or is slow.
        """
        if not self._is_prompt():
            self._context.metrics.stream_records.labels("not-awaited").inc()
            callback()
            return
        self._waiting_by_key.setdefault(key, []).append(callback)
        get_running_loop().call_later(RECORD_WAIT_S, self._give_up, key, callback)

    async def find(self, key: int) -> str | LookupFailure:
        """Return the stored version of a stream, or why it is not known."""
        item: KeyValue | Unavailable | None = None
        with move_on_after(LOOKUP_TIMEOUT_S) as scope:
            item = await self._store_health.track(
                "find-stream", self._store.get(_store_key(key))
            )
        if scope.cancelled_caught:
            return LookupFailure.LATE
        if isinstance(item, Unavailable):
            return LookupFailure.UNAVAILABLE
        if item is None:
            return LookupFailure.ABSENT
        return item.value.decode(errors="replace")

    def _unstored(self) -> list[OwnStream]:
        context = self._context
        return context.streams.unstored(
            context.clock(), is_mixed=context.targets.versions.is_mixed
        )

    def _is_prompt(self) -> bool:
        """Return whether the store is expected to acknowledge a record in time."""
        now, since = self._context.clock(), self._writing_since
        is_late = since is not None and now - since > RECORD_WAIT_S
        is_due = self._paused_until - now < RECORD_WAIT_S
        return is_due and not self._is_slow and not is_late

    def _give_up(self, key: int, callback: Callable[[], None]) -> None:
        waiting = self._waiting_by_key.get(key, [])
        if callback not in waiting:
            return
        waiting.remove(callback)
        if not waiting:
            del self._waiting_by_key[key]
        self._context.metrics.stream_records.labels("awaited-too-long").inc()
        callback()

    def _release(self, key: int) -> None:
        for callback in self._waiting_by_key.pop(key, []):
            callback()

    def _write_interval_s(self) -> float:
        """Return the least time between two writes of this router, in seconds."""
        routers = max(1, self._context.peers.known_count())
        return routers / (WRITES_SHARE * self._context.settings.store_writes_per_s)

    async def _write(self, streams: Sequence[OwnStream]) -> bool:
        """Write records; returns whether the store has acknowledged them."""
        context = self._context
        begun_at = self._writing_since = context.clock()
        era = self._store.era
        try:
            is_written = await self._put(streams)
        finally:
            self._writing_since = None
        is_written = is_written and self._store.era == era
        self._is_slow = not is_written or context.clock() - begun_at > RECORD_WAIT_S
        outcome = "stored" if is_written else "failed"
        context.metrics.stream_records.labels(outcome).inc(len(streams))
        if is_written:
            context.streams.note_stored(streams)
        for stream in streams:
            self._release(stream.key)
        return is_written

    async def _put(self, streams: Sequence[OwnStream]) -> bool:
        lease_id = await self._lease()
        if lease_id is None:
            return False
        items = [(_store_key(each.key), each.version.encode()) for each in streams]
        written = await self._store_health.track(
            "note-streams", self._store.put_all(items, lease_id=lease_id)
        )
        if not isinstance(written, Swapped):
            self._forget_lease()
        return isinstance(written, Swapped)

    async def _lease(self) -> int | None:
        context = self._context
        now = context.clock()
        if self._lease_id is None or now - self._leased_at > LEASE_USE_S:
            ttl_s = context.streams.keep_s + LEASE_USE_S + LEASE_MARGIN_S
            lease = await self._store_health.track(
                "lease-streams", self._store.grant_lease(ttl_s)
            )
            if isinstance(lease, Unavailable):
                return None
            self._lease_id, self._leased_at = lease.lease_id, now
        return self._lease_id

    def _forget_lease(self) -> None:
        self._lease_id = None

    def _on_restored(self) -> None:
        self._forget_lease()
        self._context.streams.note_store_restored()


def _store_key(key: int) -> bytes:
    return STREAMS_PREFIX + b"%016x" % key
