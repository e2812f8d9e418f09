"""HTTP API of the metadata store of the platform."""

from base64 import b64encode
from collections.abc import Callable
from time import monotonic
from typing import Any

from anyio import Event, move_on_after
from msgspec import DecodeError, Struct, ValidationError, convert, field

from berylwalk.standins._revisions import (
    CompactedError,
    Entry,
    LeaseNotFoundError,
    RevisionStore,
    prefix_range,
)
from berylwalk.standins._serving import Exchange

Json = dict[str, Any]

PATH_PREFIX = "/kv-"
WATCH_PATH = "/kv-watch"
TRANSACTION_PATH = "/kv-txn"
PAGE_ITEMS = 500
MAX_WATCH_TIMEOUT_MS = 30_000
MIN_LEASE_TTL_MS = 1000
ERA_HEADER = "Store-Era"
"""Header with the era of the store, in all responses."""
WATCH_POLL_INTERVAL_S = 1.0
"""Interval at which a watch checks whether its client is connected."""


class Expected(Struct):
    """Condition on the revision of a key; 0 if the key must not exist."""

    key: str
    revision: int


class Write(Struct):
    """Write of one key."""

    key: str
    value: bytes = b""
    lease: int = 0


class Transaction(Struct, rename="kebab"):
    """Writes and deletions that are applied only if all conditions hold."""

    expected_rev: list[Expected] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)


class MetadataStore:
    """Handler of the calls to the metadata store.

    Parameters
    ----------
    store : RevisionStore
        Data of the store.
    is_down : callable
        Returns whether connections are currently dropped.
    clock : callable
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        store: RevisionStore,
        *,
        is_down: Callable[[], bool],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._store = store
        self._is_down = is_down
        self._clock = clock
        self._changed = Event()

    def wake(self) -> None:
        """Wake all watches to check for changes and faults."""
        self._changed.set()
        self._changed = Event()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one call."""
        self._store.expire(self._clock())
        try:
            status, body = await self._dispatch(exchange)
        except (DecodeError, ValidationError, KeyError, ValueError) as error:
            status, body = 400, {"message": repr(error)}
        except LeaseNotFoundError:
            status, body = 404, {"message": "no such lease"}
        except CompactedError:
            status, body = 410, {"message": "requested revisions are compacted"}
        if status is None:
            await exchange.abort()
        else:
            era = {ERA_HEADER: str(self._store.era)}
            await exchange.respond_json(status, body, era)

    async def _dispatch(self, exchange: Exchange) -> tuple[int | None, Json]:
        call, _, number = exchange.path[1:].partition("/")
        match exchange.method, call:
            case "GET", "kv-key":
                return self._read(exchange.query()["key"])
            case "GET", "kv-range":
                return 200, self._range(exchange.query())
            case "GET", "kv-watch":
                return await self._watch(exchange)
            case "POST", "kv-txn":
                return self._transact(convert(await exchange.json(), Transaction))
            case "POST", "kv-lease":
                ttl_ms = int((await exchange.json())["ttl-ms"])
                ttl_ms = max(ttl_ms, MIN_LEASE_TTL_MS)
                lease = self._store.grant(self._clock(), ttl_ms / 1000)
                return 200, {"lease": lease.lease_id, "ttl-ms": ttl_ms}
            case "POST", "kv-keep":
                ttl_s = self._store.keep_alive(self._clock(), int(number))
                if not ttl_s:
                    raise LeaseNotFoundError(int(number))
                return 200, {"ttl-ms": int(ttl_s * 1000)}
            case "DELETE", "kv-lease-end":
                self._store.revoke(int(number))
                return 200, {}
        return 404, {"message": "unknown method or path"}

    def _read(self, key: str) -> tuple[int, Json]:
        entry = self._store.get(key.encode())
        if entry is None:
            return 404, {"message": "no such key"}
        return 200, {**item_json(entry), "store-revision": self._store.revision}

    def _range(self, query: dict[str, str]) -> Json:
        after = query.get("after", "").encode()
        matches = self._store.range(*prefix_range(query["path-prefix"].encode()))
        matches = [entry for entry in matches if entry.key > after]
        return {
            "entries": [item_json(entry) for entry in matches[:PAGE_ITEMS]],
            "has-more": len(matches) > PAGE_ITEMS,
            "store-revision": self._store.revision,
        }

    async def _watch(self, exchange: Exchange) -> tuple[int | None, Json]:
        query = exchange.query()
        deadline = (
            self._clock() + min(int(query["wait-ms"]), MAX_WATCH_TIMEOUT_MS) / 1000
        )
        bounds = prefix_range(query["path-prefix"].encode())
        after = int(query["after"])
        while not self._is_down():
            if after > self._store.revision:
                # Given out before the store was restored from an older copy.
                raise CompactedError(self._store.revision)
            changed = self._changed
            changes = self._store.changes_since(after + 1, *bounds)
            remaining_s = deadline - self._clock()
            if changes or remaining_s <= 0 or exchange.is_disconnected():
                events = [item_json(entry) for entry in changes]
                return 200, {"events": events, "store-revision": self._store.revision}
            with move_on_after(min(remaining_s, WATCH_POLL_INTERVAL_S)):
                await changed.wait()
        return None, {}

    def _transact(self, transaction: Transaction) -> tuple[int, Json]:
        current_entries = [
            (expected, self._store.get(expected.key.encode()))
            for expected in transaction.expected_rev
        ]
        for expected, entry in current_entries:
            if (entry.mod_revision if entry else 0) != expected.revision:
                return 412, {"entries": _current_items(current_entries)}
        for write in transaction.writes:
            self._store.check_lease(write.lease)
        for write in transaction.writes:
            self._store.put(write.key.encode(), write.value, write.lease)
        for key in transaction.deletes:
            self._store.delete(key.encode())
        return 200, {"revision": self._store.revision}


def _current_items(current_entries: list[tuple[Expected, Entry | None]]) -> list[Json]:
    return [
        item_json(entry) if entry else {"key": expected.key, "revision": 0}
        for expected, entry in current_entries
    ]


def item_json(entry: Entry) -> Json:
    """Return an entry, or its deletion, in the format of the API."""
    shown: Json = {"key": entry.key.decode(), "revision": entry.mod_revision}
    if entry.deleted:
        return {**shown, "tombstone": True}
    return {
        **shown,
        "value": b64encode(entry.value).decode(),
        "created": entry.create_revision,
        "lease": entry.lease_id,
    }
