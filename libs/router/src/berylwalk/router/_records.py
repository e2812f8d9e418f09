"""Format of stored idempotency records."""

from enum import StrEnum
from hashlib import blake2b, sha256

import msgspec

from berylwalk.model import Request
from berylwalk.router._stored_responses import StoredResponse

RECORDS_PREFIX = "/berylwalk/idempotency"


class RecordState(StrEnum):
    """State of the request that holds an idempotency key."""

    CLAIMED = "claimed"
    """The request is waiting or running, or ended with an unknown outcome."""

    COMPLETE = "complete"
    """The whole response was delivered."""


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of an idempotency record.

    Parameters
    ----------
    request_id : str
        The request that holds the key; only it writes the record.
    fingerprint : str
        Digest of the call, which distinguishes a repeat from a reused key.
    state : RecordState
        State of the request.
    status : int
        HTTP status of the target's response, or 0 before it is known.
    answer : StoredResponse or None
        The response, if it was small enough to store.
    """

    request_id: str
    fingerprint: str
    state: RecordState = RecordState.CLAIMED
    status: int = 0
    answer: StoredResponse | None = None


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
    """Return a digest of the method, path and body of the call."""
    call = request.call
    digest = blake2b(digest_size=16)
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def encode_record(record: Record) -> bytes:
    return _encode(record)


def decode_record(value: bytes) -> Record | None:
    """Decode a record, or return None if it is malformed."""
    try:
        return _decode(value)
    except (msgspec.MsgspecError, RecursionError):
        return None
