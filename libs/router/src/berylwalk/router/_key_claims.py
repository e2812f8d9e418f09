"""Claims of idempotency keys, as the state machine asks for them."""

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
    """Claims keys, reports what came of it, and closes the records.

    Parameters
    ----------
    records : IdempotencyRecords
        Holds the claims.
    active_of : callable
        Returns the active request of an identifier, or None.
    handle : callable
        Takes `KeyClaimed` and `KeyRefused`.
    """

    def __init__(
        self,
        records: IdempotencyRecords,
        *,
        active_of: Callable[[RequestId], ActiveRequest | None],
        handle: Callable[[RouterEvent], None],
    ) -> None:
        self._records = records
        self._active_of = active_of
        self._handle = handle

    async def claim(self, request: Request) -> None:
        """Claim the key of a request and report the result."""
        result = await self._result_of(request)
        if isinstance(result, Claimed):
            self._handle(KeyClaimed(request.request_id))
            return
        active = self._active_of(request.request_id)
        if active is not None:
            active.replay = result.replay
        self._handle(KeyRefused(request.request_id, result.refusal))
        if result.unsettled:
            await self._records.settle(request)

    def release(self, request: Request) -> None:
        """Give up the key of a request that truly did not run."""
        self._records.release(request)

    def close(self, active: ActiveRequest, final: FinalResponse | None) -> None:
        """Complete the record of a request that ended, or leave it to expire."""
        is_complete = final is not None and final.outcome is Outcome.COMPLETE
        if not is_complete or active.copy is None:
            self._records.forget(active.request.request_id)
            return
        answer = active.copy.stored(active.agent)
        self._records.complete(active.request, active.status, answer)

    async def _result_of(self, request: Request) -> Claimed | ClaimRefused:
        try:
            return await self._records.claim(request)
        except Exception:
            logging.exception("claiming the key of %s failed", request.request_id)
            refusal = Refusal(RefusalReason.PLATFORM_DOWN, DEFAULT_RETRY_AFTER_MS)
            return ClaimRefused(refusal, unsettled=True)
