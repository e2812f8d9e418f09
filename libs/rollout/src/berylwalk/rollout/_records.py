"""What the store keeps of a roll-out, and where."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated, Self

from msgspec import Meta, Struct, field
from msgspec.structs import replace

from berylwalk.rollout._orders import Order

RECORDS_PREFIX = b"berylwalk/rollouts/"
MOST_BARRED = 16
"""Versions of a service that are remembered to get nothing; the newest."""


class Phase(StrEnum):
    """How far a roll-out has come."""

    CANARY = "canary"
    """A few requests go to the new version."""
    RAMP = "ramp"
    """Many requests go to a few of its targets, as far as the bound allows."""
    SHIFTING = "shifting"
    """All new requests go to it."""
    COMPLETED = "completed"
    """It is in service alone."""
    REVERTED = "reverted"
    """It gets nothing."""

    @property
    def is_final(self) -> bool:
        """Whether nothing follows it."""
        return self in (Phase.COMPLETED, Phase.REVERTED)


class Record(Struct, frozen=True):
    """What is kept of the last roll-out of a service.

    Parameters
    ----------
    version : str
        The new version.
    order_revision : int
        The store's revision of its order.
    phase : Phase
        How far it has come.
    number : int
        Grows with each change of the phase.
    began_s : float
        Time of day at which the record was begun, in seconds since the epoch.
    barred : list of str
        Versions that get nothing: left, or reverted.
    reason : str
        Why the phase was entered.
    """

    version: str
    order_revision: int
    phase: Phase
    number: Annotated[int, Meta(ge=0)]
    began_s: float
    barred: Annotated[list[str], Meta(max_length=64)] = field(default_factory=list)
    reason: str = ""

    @classmethod
    def start(cls, order: Order, former: "Record | None", now_s: float) -> Self:
        """Return the first record of an order; an unfinished former one is reverted.

        Parameters
        ----------
        order : Order
            The order.
        former : Record or None
            That of the last order for the same service.
        now_s : float
            Time of day, in seconds since the epoch.
        """
        barred = [] if former is None else list(former.barred)
        if former is not None and not former.phase.is_final:
            barred.append(former.version)
        return cls(
            version=order.version,
            order_revision=order.revision,
            phase=Phase.CANARY,
            number=0 if former is None else former.number + 1,
            began_s=now_s,
            barred=_newest(barred, without=order.version),
            reason="ordered",
        )

    def with_phase(
        self, phase: Phase, reason: str, old_versions: Iterable[str]
    ) -> "Record":
        """Return the record in another phase.

        Parameters
        ----------
        phase : Phase
            The next one.
        reason : str
            Why it is entered.
        old_versions : iterable of str
            All versions but the new one that are known; barred once it is completed.
        """
        barred = list(self.barred)
        if phase is Phase.REVERTED:
            barred.append(self.version)
        elif phase is Phase.COMPLETED:
            barred += sorted(set(old_versions) - {self.version})
        return replace(
            self,
            phase=phase,
            number=self.number + 1,
            barred=_newest(barred),
            reason=reason,
        )


def record_key(service: str) -> bytes:
    """Return the key of a service's record."""
    return RECORDS_PREFIX + service.encode()


def service_from_record_key(key: bytes) -> str:
    """Return the service whose record a key holds."""
    return key[len(RECORDS_PREFIX) :].decode(errors="replace")


def _newest(versions: Iterable[str], without: str = "") -> list[str]:
    kept = list(dict.fromkeys(each for each in versions if each != without))
    return kept[-MOST_BARRED:]
