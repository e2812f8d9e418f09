"""Idempotency records, as they are stored."""

from enum import StrEnum
from hashlib import blake2b, sha256

import msgspec

from berylwalk.model import Request
from berylwalk.router._stored_answers import StoredAnswer

RECORDS_PREFIX = "/berylwalk/idempotency"


class RecordState(StrEnum):
    """What is known of the request that holds an idempotency key."""

    CLAIMED = "claimed"
    """It waits, runs, or ended with an unknown outcome."""

    COMPLETE = "complete"
    """Its whole answer was delivered."""


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of an idempotency record.

    Parameters
    ----------
    request_id : str
        The request that holds the key; no other one writes the record.
    fingerprint : str
        Digest of the call, which tells a repeat from a reused key.
    state : RecordState
        What is known of the request.
    status : int
        HTTP status of the target's answer, or 0 before it is known.
    answer : StoredAnswer or None
        The answer, when it was small enough to be kept.
    """

    request_id: str
    fingerprint: str
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    answer: StoredAnswer | None = None


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Record).decode


def record_key(request: Request) -> bytes:
    """Return the key under which a request's record is stored."""
    account = request.service_policy.client_account.strip("/")
    digest = sha256(request.idempotency_key.encode()).hexdigest()
    return f"{RECORDS_PREFIX}/{account}/{digest}".encode()


def new_record(request: Request) -> Record:
    """Return the record that claims the key for a request."""
    return Record(str(request.request_id), fingerprint(request))


def fingerprint(request: Request) -> str:
    """Return a digest of what makes two calls the same."""
    call = request.call
    digest = blake2b(digest_size=16)
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def encode_record(record: Record) -> bytes:
    """Encode a record as JSON."""
    return _encode(record)


def decode_record(value: bytes) -> Record | None:
    """Decode a record, or return None when it is malformed."""
    try:
        return _decode(value)
    except msgspec.MsgspecError:
        return None
