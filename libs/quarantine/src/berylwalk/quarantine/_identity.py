"""Hashes that identify a request across its retries, and parts of prompts."""

from functools import lru_cache
from hashlib import blake2b

ACCOUNT_BYTES = 4
"""Leading bytes of an identity, which identify the client account. They bound the
evidence that one account can fill."""
CONTENT_BYTES = 12
"""Remaining bytes of an identity, which identify the request."""
PERSON = b"berylwalk-runs"
"""Personalization of the hash function: separates these hashes from others."""
PART_PREFIX = b"part"
"""Leading bytes of the identity of a prompt part, in place of an account's hash: parts
are shared by requests of several accounts."""
CACHED_PARTS = 4096

Identity = bytes
"""Hash of a request's account and content, or of a service and a prompt part."""


class BodyHash:
    """Incremental hash of a request body."""

    def __init__(self) -> None:
        self._hash = blake2b(digest_size=CONTENT_BYTES, person=PERSON)

    def add(self, data: bytes) -> None:
        """Add the next chunk of the body."""
        self._hash.update(data)

    def digest(self) -> bytes:
        """Return the hash of the chunks added so far."""
        return self._hash.digest()


def request_identity(
    account: str | None, method: bytes, target: bytes, body_digest: bytes
) -> Identity:
    """Return the identity that a request shares with its retries, and no other has.

    Headers are left out: the attempt id, the timeout and headers that clients add
    change between retries. So is the host, since a service may have several.

    Parameters
    ----------
    account : str or None
        Name of the caller's account; None where no key is needed.
    method, target : bytes
        As the caller sent them; the target holds the path and the query.
    body_digest : bytes
        From `BodyHash`.
    """
    caller = blake2b(digest_size=ACCOUNT_BYTES, person=PERSON)
    caller.update((account or "").encode())
    content = blake2b(digest_size=CONTENT_BYTES, person=PERSON)
    # Neither a method nor a target contains a space, so the encoding is unambiguous.
    content.update(b"%s %s " % (method, target))
    content.update(body_digest)
    return caller.digest() + content.digest()


@lru_cache(maxsize=CACHED_PARTS)
def part_identity(service: str, part_id: bytes) -> Identity:
    """Return the identity of a prompt part at a service.

    Parameters
    ----------
    service : str
        Name of the service: targets of another one may process the same part.
    part_id : bytes
        Id of the part, as the caller names it.
    """
    content = blake2b(digest_size=CONTENT_BYTES, person=PERSON)
    content.update(b"%s %s" % (service.encode(), part_id))
    return PART_PREFIX + content.digest()


def is_part(identity: Identity) -> bool:
    """Return whether an identity is that of a prompt part."""
    return identity.startswith(PART_PREFIX)


def account_prefix(identity: Identity) -> bytes:
    """Return the leading bytes that all requests of an account share."""
    return identity[:ACCOUNT_BYTES]
