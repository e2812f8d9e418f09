"""Which requests are the same, whatever their ids and headers are."""

from hashlib import blake2b

ACCOUNT_BYTES = 4
"""Leading bytes of an identity that are its account's, in bytes: what one account fills
is bounded by them. Two of 690 accounts share them once in 18,000 fleets, and then a
bound."""
CONTENT_BYTES = 12
"""Bytes of an identity that are the request's, in bytes: nobody finds a second request
with those of another one."""
PERSON = b"berylwalk-runs"
"""Makes these hashes differ from all others of the same content."""

Identity = bytes
"""Account and content of a request, hashed."""


class BodyHash:
    """Hashes a body as it comes, in parts."""

    def __init__(self) -> None:
        self._hash = blake2b(digest_size=CONTENT_BYTES, person=PERSON)

    def add(self, data: bytes) -> None:
        """Take the next part."""
        self._hash.update(data)

    def digest(self) -> bytes:
        """Return the hash of all that was taken."""
        return self._hash.digest()


def request_identity(
    account: str | None, method: bytes, target: bytes, body_digest: bytes
) -> Identity:
    """Return what a request has in common with its returns, and with no other.

    Headers are left out: the id of the attempt, the time limit and what clients add
    change from one return to the next. So is the host, since the same service may have
    several.

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
    # Neither a method nor a target holds a space.
    content.update(b"%s %s " % (method, target))
    content.update(body_digest)
    return caller.digest() + content.digest()


def account_prefix(identity: Identity) -> bytes:
    """Return the part of an identity that all requests of an account share."""
    return identity[:ACCOUNT_BYTES]
