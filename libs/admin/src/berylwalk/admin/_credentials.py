"""Authentication of operators by bearer token."""

from collections.abc import Iterable
from hashlib import sha256
from hmac import compare_digest

_SCHEME = "bearer"
_AUTHOR_DIGEST_LENGTH = 12


def author_from_header(authorization: str, credentials: Iterable[str]) -> str | None:
    """Authenticate the operator that sends a request.

    Takes constant time: it depends neither on how many characters of the token match
    nor on which credential matches.

    Parameters
    ----------
    authorization : str
        Value of the header ``Authorization``; empty when there is none.
    credentials : iterable of str
        SHA-256 hex digests of the accepted tokens.

    Returns
    -------
    str or None
        ``operator-`` and the first digits of the digest; None if no credential matches.
    """
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != _SCHEME or not token:
        return None
    # Headers were decoded as Latin-1; encoding restores the bytes that were sent.
    digest = sha256(token.strip().encode("latin-1")).hexdigest()
    matches = [compare_digest(digest, credential) for credential in credentials]
    return f"operator-{digest[:_AUTHOR_DIGEST_LENGTH]}" if any(matches) else None
