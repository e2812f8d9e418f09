"""The calls of the platform's metadata store over a revision store."""

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
MAX_WAIT_MS = 30_000
SHORTEST_LEASE_MS = 1000
WATCH_IDLE_S = 1.0
"""Time between two looks whether the client of a watch is still there."""


class Expected(Struct):
    """Condition on the revision of a key; 0 means that it is absent."""

    key: str
    revision: int


class Write(Struct):
    """Write of one key."""

    key: str
    value: bytes = b""
    lease: int = 0


class Transaction(Struct, rename="kebab"):
    """Writes and deletions under conditions."""

    expected_rev: list[Expected] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)


class MetadataStore:
    """Answers the calls of the store.

    Parameters
    ----------
    store : RevisionStore
        What the calls read and write.
    is_down : callable
        Whether connections are dropped at present.
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
        """Let all watches look for changes, and for faults."""
        self._changed.set()
        self._changed = Event()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        self._store.expire(self._clock())
        try:
            status, body = await self._answer(exchange)
        except (DecodeError, ValidationError, KeyError, ValueError) as error:
            status, body = 400, {"message": repr(error)}
        except LeaseNotFoundError:
            status, body = 404, {"message": "no such lease"}
        except CompactedError:
            status, body = 410, {"message": "history is gone"}
        if status is None:
            await exchange.abort()
        else:
            await exchange.respond_json(status, body)

    async def _answer(self, exchange: Exchange) -> tuple[int | None, Json]:
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
                ttl_ms = max(ttl_ms, SHORTEST_LEASE_MS)
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
        return 404, {"message": "no such call"}

    def _read(self, key: str) -> tuple[int, Json]:
        entry = self._store.get(key.encode())
        if entry is None:
            return 404, {"message": "no such key"}
        return 200, {**item_json(entry), "store-revision": self._store.revision}

    def _range(self, query: dict[str, str]) -> Json:
        after = query.get("after", "").encode()
        found = self._store.range(*prefix_range(query["path-prefix"].encode()))
        found = [entry for entry in found if entry.key > after]
        return {
            "entries": [item_json(entry) for entry in found[:PAGE_ITEMS]],
            "has-more": len(found) > PAGE_ITEMS,
            "store-revision": self._store.revision,
        }

    async def _watch(self, exchange: Exchange) -> tuple[int | None, Json]:
        query = exchange.query()
        ends_at = self._clock() + min(int(query["wait-ms"]), MAX_WAIT_MS) / 1000
        bounds = prefix_range(query["path-prefix"].encode())
        after = int(query["after"])
        while not self._is_down():
            changed = self._changed
            changes = self._store.changes_since(after + 1, *bounds)
            left_s = ends_at - self._clock()
            if changes or left_s <= 0 or exchange.is_disconnected():
                events = [item_json(entry) for entry in changes]
                return 200, {"events": events, "store-revision": self._store.revision}
            with move_on_after(min(left_s, WATCH_IDLE_S)):
                await changed.wait()
        return None, {}

    def _transact(self, transaction: Transaction) -> tuple[int, Json]:
        present = [
            (expected, self._store.get(expected.key.encode()))
            for expected in transaction.expected_rev
        ]
        for expected, entry in present:
            if (entry.mod_revision if entry else 0) != expected.revision:
                return 412, {"entries": _states(present)}
        for write in transaction.writes:
            self._store.check_lease(write.lease)
        for write in transaction.writes:
            self._store.put(write.key.encode(), write.value, write.lease)
        for key in transaction.deletes:
            self._store.delete(key.encode())
        return 200, {"revision": self._store.revision}


def _states(present: list[tuple[Expected, Entry | None]]) -> list[Json]:
    return [
        item_json(entry) if entry else {"key": expected.key, "revision": 0}
        for expected, entry in present
    ]


def item_json(entry: Entry) -> Json:
    """Return an entry, or its deletion, as the store shows it."""
    shown: Json = {"key": entry.key.decode(), "revision": entry.mod_revision}
    if entry.deleted:
        return {**shown, "tombstone": True}
    return {
        **shown,
        "value": b64encode(entry.value).decode(),
        "created": entry.create_revision,
        "lease": entry.lease_id,
    }
