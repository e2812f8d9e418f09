"""Claims of idempotency keys in the key-value service."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from time import monotonic

import msgspec
from absl import logging
from anyio import sleep

from berylwalk.model import Request, RequestId
from berylwalk.platform import (
    Conflict,
    KeyValue,
    KeyValueStore,
    OutcomeUnknown,
    Swapped,
    SwapResult,
    Unavailable,
    UnavailableReason,
    resolve_swap,
)
from berylwalk.router._claim_results import (
    Claimed,
    ClaimRefused,
    platform_down_refusal,
    refusal_for_record,
    restored_refusal,
)
from berylwalk.router._known_records import KnownRecords
from berylwalk.router._pending_writes import Pause, PendingWrites
from berylwalk.router._record_leases import RecordLeases
from berylwalk.router._record_rewrite import RecordRewrite
from berylwalk.router._records import (
    RECORDS_PREFIX,
    Record,
    RecordState,
    decode_record,
    encode_record,
    new_record,
    record_key,
)
from berylwalk.router._restore_grace import RestoreGrace
from berylwalk.router._stored_responses import StoredResponse

CLAIM_ATTEMPTS = 3
RESOLVE_ATTEMPTS = 3
LATE_RECORD_READS = 3
LATE_RECORD_READ_INTERVAL_S = 2.0

CLAIM_COOLDOWN_S = 1.0
"""Time for which claims are refused at once after a claim found the service down."""

RESTORE_CHECK_S = 1.0
"""Time between reads of the store while records are known that it might lose."""

PERMANENT_FAILURES = frozenset(
    {UnavailableReason.REJECTED, UnavailableReason.LEASE_NOT_FOUND}
)
"""Failures after which a write is not retried."""


@dataclass(frozen=True, slots=True)
class _Claim:
    key: bytes
    mod_revision: int
    lease_id: int
    record: Record


class IdempotencyRecords:
    """Creates, completes and releases idempotency records.

    A record is created before the grant of its request, with a write that
    succeeds only while the key is absent. A router that did not create the record
    does not run the request. The record is kept once the request may have run.

    If the store is restored from an older copy, the records that this router wrote
    lately are written again, and deleted ones deleted again.

    Parameters
    ----------
    store : KeyValueStore
        Stores the records.
    leases : RecordLeases
        Leases with which the records expire.
    clock : callable
        Monotonic clock, in seconds.
    pause : callable
        Sleeps for a number of seconds.
    """

    def __init__(
        self,
        store: KeyValueStore,
        leases: RecordLeases,
        *,
        clock: Callable[[], float] = monotonic,
        pause: Pause = sleep,
    ) -> None:
        self._store = store
        self._leases = leases
        self._clock = clock
        self._pause = pause
        self._claims_by_id: dict[RequestId, _Claim] = {}
        self._pending = PendingWrites(pause=pause)
        self._refuse_until = float("-inf")
        self._grace = RestoreGrace(store, clock=clock)
        self._known = KnownRecords(clock=clock)
        store.on_restored.add(self._write_all_again)

    async def claim(self, request: Request) -> Claimed | ClaimRefused:
        """Create the record of a request's key.

        Parameters
        ----------
        request : Request
            A request with an idempotency key.

        Returns
        -------
        Claimed or ClaimRefused
            `ClaimRefused` also if the key-value service does not respond.
        """
        if self._grace.is_active:
            return ClaimRefused(restored_refusal())
        if self._clock() < self._refuse_until:
            return ClaimRefused(platform_down_refusal())
        if not await self._grace.check_start():
            self._refuse_until = self._clock() + CLAIM_COOLDOWN_S
            return ClaimRefused(platform_down_refusal())
        if self._grace.is_active:
            return ClaimRefused(restored_refusal())
        for _ in range(CLAIM_ATTEMPTS):
            result, claim = await self._create(request)
            if isinstance(result, Swapped) and self._grace.is_active:
                # The store was restored during the claim, and another router may know
                # a record of this key that the store has lost.
                self._pending.add(partial(self._delete, claim))
                return ClaimRefused(restored_refusal())
            if isinstance(result, Swapped):
                self._note_claim(request, claim)
                return Claimed()
            if isinstance(result, Conflict) and result.current is not None:
                return refusal_for_record(result.current, request)
            if not _is_retryable(result):
                break
        self._refuse_until = self._clock() + CLAIM_COOLDOWN_S
        return ClaimRefused(
            platform_down_refusal(),
            is_outcome_unknown=isinstance(result, OutcomeUnknown),
        )

    def complete(
        self, request: Request, status: int, response: StoredResponse | None
    ) -> None:
        """Mark the record as complete, in the background."""
        claim = self._claims_by_id.pop(request.request_id, None)
        if claim is None:
            return
        record = msgspec.structs.replace(
            claim.record, state=RecordState.COMPLETE, status=status, answer=response
        )
        value = encode_record(record)
        self._known.end(claim.key, request.request_id, value)
        self._pending.add(partial(self._write, claim, value))

    def release(self, request: Request) -> None:
        """Delete the record of a request that did not run, in the background."""
        claim = self._claims_by_id.pop(request.request_id, None)
        if claim is not None:
            self._known.end(claim.key, request.request_id, None)
            self._pending.add(partial(self._delete, claim))

    def forget(self, request_id: RequestId) -> None:
        """Leave the record unchanged until it expires."""
        claim = self._claims_by_id.pop(request_id, None)
        if claim is not None:
            self._known.end(claim.key, request_id, encode_record(claim.record))

    async def delete_late_record(self, request: Request) -> None:
        """Delete the record of a claim with unknown outcome if it appears late."""
        key = record_key(request)
        for _ in range(LATE_RECORD_READS):
            await self._pause(LATE_RECORD_READ_INTERVAL_S)
            current = await self._store.get(key)
            if isinstance(current, KeyValue) and _is_record_of(request, current):
                claim = _Claim(key, current.mod_revision, 0, new_record(request))
                self._pending.add(partial(self._delete, claim))
                return

    async def run_writer(self) -> None:
        """Make the pending writes, with retries while the service is down."""
        await self._pending.run()

    async def run_restore_checks(self) -> None:
        """Read the store while records are known, so that a restore is noticed.

        The time of refusal after a restore starts again while the store is down, since
        no router can write its records then.
        """
        while True:
            await self._pause(RESTORE_CHECK_S)
            self._known.drop_old()
            await self._grace.check_start()
            await self._grace.settle()
            was_active = self._grace.is_active
            if not len(self._known) and not was_active:
                continue
            # Any response tells the era; no record has this key.
            response = await self._store.get(RECORDS_PREFIX.encode())
            if was_active and isinstance(response, Unavailable):
                self._grace.begin()

    async def flush(self) -> None:
        """Wait until no write is pending."""
        await self._pending.flush()

    async def _create(self, request: Request) -> tuple[SwapResult, _Claim | None]:
        wait_s = request.deadline_at - self._clock()
        lease_id = await self._leases.lease_for(wait_s)
        if isinstance(lease_id, Unavailable):
            return lease_id, None
        key = record_key(request)
        record = new_record(request)
        value = encode_record(record)
        result = await self._store.compare_and_swap(key, value, 0, lease_id=lease_id)
        if isinstance(result, OutcomeUnknown):
            result = await resolve_swap(
                self._store,
                key,
                value,
                0,
                is_own_write=partial(_is_record_of, request),
                lease_id=lease_id,
                attempts=RESOLVE_ATTEMPTS,
                pause=self._pause,
            )
        if isinstance(result, Unavailable):
            self._leases.forget(lease_id)
        if not isinstance(result, Swapped):
            return result, None
        return result, _Claim(key, result.mod_revision, lease_id, record)

    def _note_claim(self, request: Request, claim: _Claim) -> None:
        self._claims_by_id[request.request_id] = claim
        value = encode_record(claim.record)
        self._known.add(claim.key, request.request_id, value, request.deadline_at)

    def _write_all_again(self) -> None:
        """Schedule the writes of all known records, after the store was restored."""
        self._grace.begin()
        self._known.drop_old()
        records = self._known.all()
        if records:
            logging.info("store restored: %d records are written again", len(records))
        for record in records:
            rewrite = RecordRewrite(self._store, self._leases, self._known, record)
            self._pending.add(partial(self._write_again, rewrite))

    async def _write_again(self, rewrite: RecordRewrite) -> bool:
        is_settled = await rewrite.attempt(self._clock())
        claim = self._claims_by_id.get(rewrite.request_id)
        if rewrite.written is not None and claim is not None:
            self._claims_by_id[rewrite.request_id] = replace(
                claim,
                mod_revision=rewrite.written.mod_revision,
                lease_id=rewrite.written.lease_id,
            )
        return is_settled

    async def _write(self, claim: _Claim, value: bytes) -> bool:
        result = await self._store.compare_and_swap(
            claim.key, value, claim.mod_revision, lease_id=claim.lease_id
        )
        return _is_settled(result)

    async def _delete(self, claim: _Claim) -> bool:
        return _is_settled(await self._store.delete_if(claim.key, claim.mod_revision))


def _is_record_of(request: Request, current: KeyValue) -> bool:
    record = decode_record(current.value)
    return record is not None and record.request_id == str(request.request_id)


def _is_retryable(result: SwapResult) -> bool:
    if isinstance(result, Unavailable):
        return result.reason is UnavailableReason.LEASE_NOT_FOUND
    # A conflict without a current value: the holder released the key meanwhile.
    return isinstance(result, Conflict)


def _is_settled(result: SwapResult) -> bool:
    # On a conflict, an earlier write of this router took effect but its response was
    # lost, or the record has expired. Both need no further write.
    if isinstance(result, Swapped | Conflict):
        return True
    if isinstance(result, Unavailable) and result.reason in PERMANENT_FAILURES:
        logging.warning("idempotency record not updated: %s", result)
        return True
    return False
