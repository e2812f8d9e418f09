"""Repeated writes of idempotency records that the store may have lost."""

from dataclasses import dataclass

from absl import logging

from berylwalk.model import RequestId
from berylwalk.platform import (
    KeyValue,
    KeyValueStore,
    Swapped,
    SwapResult,
    Unavailable,
    UnavailableReason,
)
from berylwalk.router._known_records import KnownRecord, KnownRecords
from berylwalk.router._record_leases import RecordLeases
from berylwalk.router._records import decode_record

MAX_CONFLICTS = 5
"""Attempts while the key has the record of another request, whose router may still
delete it."""


@dataclass(frozen=True, slots=True)
class WrittenRecord:
    """Where a record was written again.

    Parameters
    ----------
    mod_revision : int
        Revision of the record.
    lease_id : int
        Lease with which it expires.
    """

    mod_revision: int
    lease_id: int


class RecordRewrite:
    """Make the store hold what this router knows of one key.

    Parameters
    ----------
    store : KeyValueStore
        Stores the records.
    leases : RecordLeases
        Leases with which the records expire.
    known : KnownRecords
        The records that this router wrote.
    record : KnownRecord
        The record to write again.

    Attributes
    ----------
    written : WrittenRecord or None
        Where the record was written last.
    """

    def __init__(
        self,
        store: KeyValueStore,
        leases: RecordLeases,
        known: KnownRecords,
        record: KnownRecord,
    ) -> None:
        self._store = store
        self._leases = leases
        self._known = known
        self._key = record.key
        self._request_id = record.request_id
        self._conflicts = 0
        self.written: WrittenRecord | None = None

    @property
    def request_id(self) -> RequestId:
        """The request whose record is written."""
        return self._request_id

    async def attempt(self, now: float) -> bool:
        """Write the record, or delete it; returns whether it needs no retry.

        Parameters
        ----------
        now : float
            Monotonic clock, in seconds.
        """
        record = self._known.get(self._key)
        if record is None or record.request_id != self._request_id:
            return True
        current = await self._store.get(self._key)
        if isinstance(current, Unavailable):
            return False
        if current is not None and not self._is_own(current):
            return self._give_up_after_conflicts(record)
        if record.value is None:
            return await self._delete(current)
        return await self._write(record, current, now)

    async def _delete(self, current: KeyValue | None) -> bool:
        if current is None:
            return True
        result = await self._store.delete_if(self._key, current.mod_revision)
        return isinstance(result, Swapped)

    async def _write(
        self, record: KnownRecord, current: KeyValue | None, now: float
    ) -> bool:
        lease_id = await self._leases.lease_for(max(0.0, record.deadline_at - now))
        if isinstance(lease_id, Unavailable):
            return False
        result = await self._store.compare_and_swap(
            self._key,
            record.value,
            0 if current is None else current.mod_revision,
            lease_id=lease_id,
        )
        if not isinstance(result, Swapped):
            return self._is_rejected(result, lease_id)
        self.written = WrittenRecord(result.mod_revision, lease_id)
        # The request may have ended meanwhile.
        return self._known.get(self._key) is record

    def _is_rejected(self, result: SwapResult, lease_id: int) -> bool:
        if not isinstance(result, Unavailable):
            return False
        if result.reason is UnavailableReason.LEASE_NOT_FOUND:
            self._leases.forget(lease_id)
        if result.reason is not UnavailableReason.REJECTED:
            return False
        logging.warning("idempotency record not written again: %s", result)
        return True

    def _give_up_after_conflicts(self, record: KnownRecord) -> bool:
        self._conflicts += 1
        if self._conflicts < MAX_CONFLICTS:
            return False
        if record.value is not None:
            logging.error(
                "the store lost the idempotency record of request %s, and another "
                "request has claimed the key",
                self._request_id,
            )
        return True

    def _is_own(self, current: KeyValue) -> bool:
        record = decode_record(current.value)
        return record is not None and record.request_id == str(self._request_id)
