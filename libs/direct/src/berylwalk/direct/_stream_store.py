"""Stores at which versions streams began, so that a stream outlives all routers.

Load that it answers: a service with targets of several versions, whose routers all end
while streams run. Their callers come back to routers that have seen none of them begin.
"""

from anyio import Event, move_on_after, sleep

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_health import StoreHealth
from berylwalk.direct._stream_lookup import LookupFailure
from berylwalk.dispatch import StreamRecords
from berylwalk.platform import KeyValue, KeyValueClient, OutcomeUnknown, Unavailable

STREAMS_PREFIX = b"berylwalk/streams/"
WRITE_INTERVAL_S = 0.5
"""Least time between two writes. The first stream after a pause is written at once."""
LEASE_S = 40.0
"""Time to live of records: longer than callers come back, and than a lease is used."""
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
        context.streams.on_recorded = lambda: self._wake_event.set()
        store.on_restored.add(self._forget_lease)

    async def run(self) -> None:
        """Write forever."""
        while True:
            await self._wake_event.wait()
            self._wake_event = Event()
            records = self._context.streams.take_to_store(
                self._context.clock(), is_mixed=self._context.targets.is_mixed
            )
            if records:
                await self._write(records)
            await sleep(WRITE_INTERVAL_S)

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

    async def _write(self, records: StreamRecords) -> None:
        metrics = self._context.metrics
        lease_id = await self._lease()
        if lease_id is None:
            metrics.stream_records.labels("lost").inc(len(records))
            return
        items = [(_store_key(key), version.encode()) for key, version in records]
        written = await self._store_health.track(
            "note-streams", self._store.put_all(items, lease_id=lease_id)
        )
        is_failed = isinstance(written, Unavailable | OutcomeUnknown)
        metrics.stream_records.labels("lost" if is_failed else "stored").inc(
            len(records)
        )
        if is_failed:
            self._forget_lease()

    async def _lease(self) -> int | None:
        now = self._context.clock()
        if self._lease_id is None or now - self._leased_at > LEASE_USE_S:
            lease = await self._store_health.track(
                "lease-streams", self._store.grant_lease(LEASE_S)
            )
            if isinstance(lease, Unavailable):
                return None
            self._lease_id, self._leased_at = lease.lease_id, now
        return self._lease_id

    def _forget_lease(self) -> None:
        self._lease_id = None


def _store_key(key: int) -> bytes:
    return STREAMS_PREFIX + b"%016x" % key
