"""Encoding and authentication of messages.

A sealed message consists of the keyed BLAKE2b digest of the payload and the payload.
Only holders of the fleet key can create one.
"""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import blake2b

import msgspec

from berylwalk.wire._grant import Grant
from berylwalk.wire._messages import Datagram
from berylwalk.wire._sync import SyncQuery, SyncReply

DIGEST_BYTES = 16
"""Length of the keyed digest that precedes the payload."""

_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_grant_decoder = msgspec.msgpack.Decoder(Grant)
_query_decoder = msgspec.msgpack.Decoder(SyncQuery)
_reply_decoder = msgspec.msgpack.Decoder(SyncReply)


class FleetKey:
    """Authentication key shared by all nodes of the fleet.

    Parameters
    ----------
    secret : bytes
        Shared secret of at least 16 bytes; the length is not checked here.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = blake2b(secret, digest_size=32).digest()

    def digest(self, payload: bytes) -> bytes:
        """Return the keyed digest of a payload (16 bytes)."""
        return blake2b(payload, digest_size=DIGEST_BYTES, key=self._key).digest()

    def seal(self, payload: bytes) -> bytes:
        """Return the keyed digest followed by the payload."""
        return self.digest(payload) + payload

    def open(self, sealed: bytes) -> bytes | None:
        """Return the payload, or None if the digest does not match."""
        payload = sealed[DIGEST_BYTES:]
        if not hmac.compare_digest(sealed[:DIGEST_BYTES], self.digest(payload)):
            return None
        return payload


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram without sealing it."""
    return _encoder.encode(datagram)


def decode_datagram(payload: bytes) -> Datagram | None:
    """Decode a datagram; returns None if it is malformed."""
    try:
        return _datagram_decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def grant_to_header(grant: Grant, key: FleetKey) -> str:
    """Return the sealed grant as an HTTP header value."""
    return urlsafe_b64encode(key.seal(_encoder.encode(grant))).decode("ascii")


def grant_from_header(value: str, key: FleetKey) -> Grant | None:
    """Return the grant, or None if it is malformed or not sealed with the key."""
    try:
        payload = key.open(urlsafe_b64decode(value))
        return None if payload is None else _grant_decoder.decode(payload)
    except (ValueError, msgspec.MsgspecError):
        return None


def encode_sync(message: SyncQuery | SyncReply) -> bytes:
    """Encode a peer sync message."""
    return _encoder.encode(message)


def decode_query(payload: bytes) -> SyncQuery | None:
    """Decode a peer sync query; returns None if it is malformed."""
    try:
        return _query_decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def decode_reply(payload: bytes) -> SyncReply | None:
    """Decode a peer sync reply; returns None if it is malformed."""
    try:
        return _reply_decoder.decode(payload)
    except msgspec.MsgspecError:
        return None
