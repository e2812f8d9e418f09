"""Records in the store of requests and prompt parts under which targets crashed."""

from typing import Annotated

from msgspec import Meta, Struct

from berylwalk.quarantine._identity import ACCOUNT_BYTES, CONTENT_BYTES, Identity

RECORDS_PREFIX = b"berylwalk/quarantine/"
IncarnationField = Annotated[str, Meta(max_length=200)]


class Record(Struct):
    """State of one request or prompt part; its key holds the identity.

    Parameters
    ----------
    ended : list of str
        Incarnations of targets that crashed while they processed it.
    trials : int
        Trials granted to it by all routers.
    noted_s : float
        Time of day at which it was first written, in seconds since the epoch.
    crashes_at_trial : int
        Number of crashes that were known when the last trial was granted.
    """

    ended: Annotated[list[IncarnationField], Meta(max_length=64)]
    trials: Annotated[int, Meta(ge=0, le=1000)] = 0
    noted_s: float = 0.0
    crashes_at_trial: Annotated[int, Meta(ge=0, le=1000)] = 0


def record_key(identity: Identity) -> bytes:
    """Return the key of a request's record."""
    return RECORDS_PREFIX + identity.hex().encode()


def identity_from_key(key: bytes) -> Identity:
    """Return the request identity in the key of a record.

    Raises
    ------
    ValueError
        If the key is not that of a record.
    """
    if not key.startswith(RECORDS_PREFIX):
        raise ValueError(f"not the key of a quarantine record: {key!r}")
    identity = bytes.fromhex(key[len(RECORDS_PREFIX) :].decode("ascii"))
    if len(identity) != ACCOUNT_BYTES + CONTENT_BYTES:
        raise ValueError(f"wrong length of a request identity: {key!r}")
    return identity
