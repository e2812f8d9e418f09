"""Results of claims of idempotency keys."""

from dataclasses import dataclass

from berylwalk.model import Refusal, RefusalReason, Request
from berylwalk.platform import KeyValue
from berylwalk.router._config import DEFAULT_RETRY_AFTER_MS
from berylwalk.router._records import RecordState, decode_record, fingerprint
from berylwalk.router._stored_responses import StoredResponse


@dataclass(frozen=True, slots=True)
class Claimed:
    """The record of the key names the request, so it may be granted."""


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The request must not be granted.

    Parameters
    ----------
    refusal : Refusal
        The reason.
    replay : StoredResponse or None
        The response to the same call under the same key.
    is_outcome_unknown : bool
        Whether the record may still appear; see
        `IdempotencyRecords.delete_late_record`.
    """

    refusal: Refusal
    replay: StoredResponse | None = None
    is_outcome_unknown: bool = False


def platform_down_refusal(
    reason: str = "the key-value service is unavailable",
) -> Refusal:
    """Return the refusal of a claim while keys cannot be recorded, with the reason."""
    return Refusal(
        RefusalReason.PLATFORM_DOWN,
        DEFAULT_RETRY_AFTER_MS,
        f"the idempotency key cannot be recorded: {reason}",
    )


def restored_refusal() -> Refusal:
    """Return the refusal of a claim right after the service lost recent writes."""
    return platform_down_refusal(
        "the key-value service was restored, and lost records are written again"
    )


def refusal_for_record(current: KeyValue, request: Request) -> ClaimRefused:
    """Return the result of a claim whose key already has a record.

    Parameters
    ----------
    current : KeyValue
        The record as stored.
    request : Request
        The request that claims the key.
    """
    record = decode_record(current.value)
    if record is None:
        return _in_use("the record of the idempotency key cannot be decoded")
    name = record.request_id
    if record.fingerprint != fingerprint(request):
        detail = f"request {name} with the same key is a different call"
        return ClaimRefused(Refusal(RefusalReason.KEY_REUSED, detail=detail))
    if record.state is RecordState.CLAIMED:
        return _in_use(f"request {name} with the same key is running or may have run")
    detail = f"request {name} is complete with status {record.status}"
    refusal = Refusal(RefusalReason.KEY_SETTLED, detail=detail)
    return ClaimRefused(refusal, record.answer)


def _in_use(detail: str) -> ClaimRefused:
    refusal = Refusal(RefusalReason.KEY_IN_USE, DEFAULT_RETRY_AFTER_MS, detail)
    return ClaimRefused(refusal)
