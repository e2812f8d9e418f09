"""Hashes that identify a request across its retries."""

from hashlib import blake2b

ACCOUNT_BYTES = 4
"""Leading bytes of an identity, which identify the client account. They bound the
evidence that one account can fill."""
CONTENT_BYTES = 12
"""Remaining bytes of an identity, which identify the request."""
PERSON = b"berylwalk-runs"
"""Personalization of the hash function: separates these hashes from others."""

Identity = bytes
"""Hash of a request's account and content."""


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


def account_prefix(identity: Identity) -> bytes:
    """Return the leading bytes that all requests of an account share."""
    return identity[:ACCOUNT_BYTES]
