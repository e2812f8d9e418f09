"""Execution of the state machine's claims of idempotency keys."""

from collections.abc import Callable

from absl import logging

from berylwalk.model import (
    FinalResponse,
    Outcome,
    Refusal,
    RefusalReason,
    Request,
    RequestId,
)
from berylwalk.router._active_requests import ActiveRequest
from berylwalk.router._claim_results import Claimed, ClaimRefused
from berylwalk.router._config import DEFAULT_RETRY_AFTER_MS
from berylwalk.router._events import KeyClaimed, KeyRefused, RouterEvent
from berylwalk.router._idempotency import IdempotencyRecords


class KeyClaims:
    """Claims keys, reports the results, and completes or releases the records.

    Parameters
    ----------
    records : IdempotencyRecords
        Creates and updates the records.
    find_active : callable
        Returns the active request with an identifier, or None.
    handle : callable
        Receives `KeyClaimed` and `KeyRefused`.
    """

    def __init__(
        self,
        records: IdempotencyRecords,
        *,
        find_active: Callable[[RequestId], ActiveRequest | None],
        handle: Callable[[RouterEvent], None],
    ) -> None:
        self._records = records
        self._find_active = find_active
        self._handle = handle

    async def claim(self, request: Request) -> None:
        """Claim the key of a request and report the result."""
        result = await self._result_of(request)
        if isinstance(result, Claimed):
            self._handle(KeyClaimed(request.request_id))
            return
        active = self._find_active(request.request_id)
        if active is not None:
            active.replay = result.replay
        self._handle(KeyRefused(request.request_id, result.refusal))
        if result.is_outcome_unknown:
            await self._records.delete_late_record(request)

    def release(self, request: Request) -> None:
        """Release the key of a request that did not run."""
        self._records.release(request)

    def close(self, active: ActiveRequest, final: FinalResponse | None) -> None:
        """Complete the record of a request that ended, or leave it to expire."""
        is_complete = final is not None and final.outcome is Outcome.COMPLETE
        if not is_complete or active.response_copy is None:
            self._records.forget(active.request.request_id)
            return
        response = active.response_copy.stored(active.agent)
        self._records.complete(active.request, active.status, response)

    async def _result_of(self, request: Request) -> Claimed | ClaimRefused:
        try:
            return await self._records.claim(request)
        except Exception:
            logging.exception("claiming the key of %s failed", request.request_id)
            refusal = Refusal(RefusalReason.PLATFORM_DOWN, DEFAULT_RETRY_AFTER_MS)
            return ClaimRefused(refusal, is_outcome_unknown=True)
