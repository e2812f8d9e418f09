"""Messages by which routers share crashes and suspected requests."""

from typing import Annotated

from msgspec import Meta, Struct, field

from berylwalk.quarantine._identity import ACCOUNT_BYTES, CONTENT_BYTES
from berylwalk.quarantine._records import IncarnationField

IDENTITY_BYTES = ACCOUNT_BYTES + CONTENT_BYTES
MAX_SUSPECTS_PER_UPDATE = 12
"""An update with as many requests and their crashes fits into a datagram."""
MAX_CRASHES_PER_UPDATE = 8
"""Crashes, and cleared crashes, of one request in an update."""

IdentityField = Annotated[
    bytes, Meta(min_length=IDENTITY_BYTES, max_length=IDENTITY_BYTES)
]
AgeField = Annotated[float, Meta(ge=0, le=1e6)]


class SuspectUpdate(Struct, array_like=True):
    """Crashes under one request.

    Parameters
    ----------
    identity : bytes
        Which request.
    ages_s : dict
        Time since the crash of each target under the request, in seconds, by the
        incarnation of the target.
    cleared : list of str
        Incarnations whose crashes the request was cleared of.
    stored_crashes : int
        Number of crashes that the store has.
    stored_era : int
        Era of the store in which it had them.
    """

    identity: IdentityField
    ages_s: dict[IncarnationField, AgeField] = field(default_factory=dict)
    cleared: list[IncarnationField] = field(default_factory=list)
    stored_crashes: Annotated[int, Meta(ge=0, le=1000)] = 0
    stored_era: Annotated[int, Meta(ge=0)] = 0


class QuarantineUpdate(Struct, array_like=True):
    """Changes of crashes and suspected requests.

    Parameters
    ----------
    suspects : list of SuspectUpdate
        Requests under which targets crashed.
    alive_ages_s : dict
        Time since targets that were taken to have crashed were known to be running,
        in seconds, by incarnation.
    """

    suspects: list[SuspectUpdate] = field(default_factory=list)
    alive_ages_s: dict[IncarnationField, AgeField] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.suspects or self.alive_ages_s)
