"""Key-value store with a global revision, leases and a change history.

Does no I/O and reads no clock: times are arguments, in seconds.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

DEFAULT_HISTORY = 10_000
NO_UPPER_BOUND = b"\0"
FIRST_LEASE_ID = 7_000_001


class LeaseNotFoundError(LookupError):
    """The lease has expired or was revoked."""


class CompactedError(LookupError):
    """The requested revisions were compacted.

    Parameters
    ----------
    compact_revision : int
        Newest compacted revision.
    """

    def __init__(self, compact_revision: int) -> None:
        self.compact_revision = compact_revision
        super().__init__(f"compacted up to revision {compact_revision}")


@dataclass(frozen=True, slots=True)
class Entry:
    """State of a key; a deletion has version 0."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0

    @property
    def deleted(self) -> bool:
        """Whether the entry is a deletion."""
        return self.version == 0


@dataclass(slots=True)
class LeaseState:
    """A lease.

    Parameters
    ----------
    lease_id : int
        Identifier.
    ttl_s : float
        Time to live, in seconds.
    expires_at : float
        Time of expiry, in seconds.
    keys : set of bytes
        Keys that are deleted when the lease ends.
    """

    lease_id: int
    ttl_s: float
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of a store from which it can be restored.

    Parameters
    ----------
    revision : int
        Revision of the store when it was copied.
    entries_by_key : dict
        Its entries.
    leases : list of LeaseState
        Its leases, with the times at which they expired by then.
    next_lease_id : int
        Identifier of the next lease: it is given out again after a restore.
    """

    revision: int
    entries_by_key: dict[bytes, Entry]
    leases: list[LeaseState]
    next_lease_id: int


class RevisionStore:
    """Keys, leases and recent changes.

    Parameters
    ----------
    history : int
        Number of changes that are retained for watches.
    on_change : callable
        Called after each new revision.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    era : int
        Rises by one each time the store is restored from a copy.
    """

    def __init__(
        self,
        *,
        history: int = DEFAULT_HISTORY,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.revision = 1
        self.era = 0
        self.on_change = on_change
        self.leases_by_id: dict[int, LeaseState] = {}
        self._entries_by_key: dict[bytes, Entry] = {}
        self._changes: deque[Entry] = deque()
        self._history = history
        self._compact_revision = 0
        self._next_lease_id = FIRST_LEASE_ID

    def get(self, key: bytes) -> Entry | None:
        """Return the entry of a key."""
        return self._entries_by_key.get(key)

    def range(self, key: bytes, range_end: bytes = b"") -> list[Entry]:
        """Return the entries from ``key`` up to ``range_end``, sorted by key."""
        if not range_end:
            entry = self.get(key)
            return [entry] if entry else []
        matches = [
            entry
            for each, entry in self._entries_by_key.items()
            if in_range(each, key, range_end)
        ]
        return sorted(matches, key=lambda entry: entry.key)

    def put(self, key: bytes, value: bytes, lease_id: int = 0) -> Entry:
        """Write a key at a new revision."""
        self.check_lease(lease_id)
        previous = self.get(key)
        if previous is not None and previous.lease_id:
            self.leases_by_id[previous.lease_id].keys.discard(key)
        if lease_id:
            self.leases_by_id[lease_id].keys.add(key)
        self.revision += 1
        entry = Entry(
            key=key,
            value=value,
            create_revision=previous.create_revision if previous else self.revision,
            mod_revision=self.revision,
            version=previous.version + 1 if previous else 1,
            lease_id=lease_id,
        )
        self._entries_by_key[key] = entry
        self._record([entry])
        return entry

    def delete(self, key: bytes, range_end: bytes = b"") -> list[Entry]:
        """Delete keys at one new revision; return the deleted entries."""
        return self._delete_entries(self.range(key, range_end))

    def check_lease(self, lease_id: int) -> None:
        """Raise `LeaseNotFoundError` if a lease does not exist; 0 means no lease."""
        if lease_id and lease_id not in self.leases_by_id:
            raise LeaseNotFoundError(lease_id)

    def grant(self, now: float, ttl_s: float, lease_id: int = 0) -> LeaseState:
        """Create a lease."""
        if not lease_id:
            lease_id = self._next_lease_id
            self._next_lease_id += 1
        lease = LeaseState(lease_id, ttl_s, now + ttl_s)
        self.leases_by_id[lease_id] = lease
        return lease

    def keep_alive(self, now: float, lease_id: int) -> float:
        """Renew a lease; return its time to live in seconds, 0 if it does not exist."""
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_at = now + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self.check_lease(lease_id)
        lease = self.leases_by_id.pop(lease_id)
        self._delete_entries([self._entries_by_key[key] for key in sorted(lease.keys)])

    def expire(self, now: float) -> None:
        """Revoke the expired leases."""
        expired = [
            lease.lease_id
            for lease in self.leases_by_id.values()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.revoke(lease_id)

    def changes_since(
        self, revision: int, key: bytes, range_end: bytes = b""
    ) -> list[Entry]:
        """Return the changes of a range since a revision, oldest first."""
        if revision <= self._compact_revision:
            raise CompactedError(self._compact_revision)
        matches = []
        for entry in reversed(self._changes):
            if entry.mod_revision < revision:
                break
            if in_range(entry.key, key, range_end):
                matches.append(entry)
        matches.reverse()
        return matches

    def compact(self) -> None:
        """Discard the change history."""
        self._changes.clear()
        self._compact_revision = self.revision

    def take_copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(
            self.revision,
            dict(self._entries_by_key),
            [replace(each, keys=set(each.keys)) for each in self.leases_by_id.values()],
            self._next_lease_id,
        )

    def restore(self, copy: StoreCopy, now: float) -> None:
        """Go back to a copy: what was written since is gone, and a new era begins.

        Parameters
        ----------
        copy : StoreCopy
            The copy. Its leases run anew.
        now : float
            Current time in seconds.
        """
        self.revision = copy.revision
        self.era += 1
        self._entries_by_key = dict(copy.entries_by_key)
        self.leases_by_id = {
            each.lease_id: replace(
                each, keys=set(each.keys), expires_at=now + each.ttl_s
            )
            for each in copy.leases
        }
        self._next_lease_id = copy.next_lease_id
        self._changes.clear()
        self._compact_revision = copy.revision
        self.on_change()

    def _delete_entries(self, entries: list[Entry]) -> list[Entry]:
        if not entries:
            return []
        self.revision += 1
        deletions = []
        for entry in entries:
            del self._entries_by_key[entry.key]
            if entry.lease_id in self.leases_by_id:
                self.leases_by_id[entry.lease_id].keys.discard(entry.key)
            deletions.append(
                replace(
                    entry,
                    value=b"",
                    create_revision=0,
                    mod_revision=self.revision,
                    version=0,
                    lease_id=0,
                )
            )
        self._record(deletions)
        return entries

    def _record(self, changes: list[Entry]) -> None:
        self._changes.extend(changes)
        while len(self._changes) > self._history:
            self._compact_revision = self._changes.popleft().mod_revision
        self.on_change()


def in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Return whether a key is in a range; without an end, whether it is ``start``."""
    if not range_end:
        return key == start
    return key >= start and (range_end == NO_UPPER_BOUND or key < range_end)


def prefix_range(prefix: bytes) -> tuple[bytes, bytes]:
    """Return the range of all keys with a prefix, as start and exclusive end."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return prefix, NO_UPPER_BOUND
    return prefix, trimmed[:-1] + bytes([trimmed[-1] + 1])
