"""What routers tell each other of suspects."""

from typing import Annotated

from msgspec import Meta, Struct, field

from berylwalk.quarantine._identity import ACCOUNT_BYTES, CONTENT_BYTES
from berylwalk.quarantine._records import LifeField

IDENTITY_BYTES = ACCOUNT_BYTES + CONTENT_BYTES
MOST_TOLD = 12
"""Requests in one message at most: with their ends they fit in a datagram."""
MOST_LIVES_TOLD = 8

IdentityField = Annotated[
    bytes, Meta(min_length=IDENTITY_BYTES, max_length=IDENTITY_BYTES)
]
AgeField = Annotated[float, Meta(ge=0, le=1e6)]


class SuspectUpdate(Struct, array_like=True):
    """What is known of one request.

    Parameters
    ----------
    identity : bytes
        Which request.
    ages_s : dict
        For how long each target that ended under it has been gone, in seconds, by the
        life of the target.
    cleared : list of str
        Ends of which it was cleared.
    noted : int
        Number of ends that the store has.
    """

    identity: IdentityField
    ages_s: dict[LifeField, AgeField] = field(default_factory=dict)
    cleared: list[LifeField] = field(default_factory=list)
    stored_crashes: Annotated[int, Meta(ge=0, le=1000)] = 0


class QuarantineUpdate(Struct, array_like=True):
    """What is new of suspects.

    Parameters
    ----------
    suspects : list of SuspectUpdate
        Requests under which targets ended.
    alive_ages_s : dict
        For lives of targets that were taken to have ended: how long ago they surely
        had not, in seconds.
    """

    suspects: list[SuspectUpdate] = field(default_factory=list)
    alive_ages_s: dict[LifeField, AgeField] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.suspects or self.alive_ages_s)
