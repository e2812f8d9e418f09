"""Records of roll-outs in the store."""

from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated, Self

from msgspec import Meta, Struct, field
from msgspec.structs import replace

from berylwalk.rollout._orders import Order

RECORDS_PREFIX = b"berylwalk/rollouts/"
MAX_BARRED_VERSIONS = 16
"""Barred versions of a service that are kept; the newest."""
VersionField = Annotated[str, Meta(max_length=200)]
"""Version as a message to other routers holds it."""
NumberField = Annotated[int, Meta(ge=0, le=2**53)]
"""Number of a record; those that follow fit into a message too."""
ReasonField = Annotated[str, Meta(max_length=2_000)]


class Phase(StrEnum):
    """Phase of a roll-out."""

    CANARY = "canary"
    """A bounded share of the requests goes to the new version."""
    RAMP = "ramp"
    """As many requests as the exposure bound allows go to some of its targets."""
    SHIFTING = "shifting"
    """All new requests go to the new version; the old version drains."""
    COMPLETED = "completed"
    """Only the new version is in service."""
    REVERTED = "reverted"
    """The new version gets no requests."""

    @property
    def is_final(self) -> bool:
        """Whether no phase follows this one."""
        return self in (Phase.COMPLETED, Phase.REVERTED)

    @property
    def rank(self) -> int:
        """Position in the order of phases; a completion can't be taken back."""
        return _PHASES_BY_RANK.index(self)


_PHASES_BY_RANK = (
    Phase.CANARY,
    Phase.RAMP,
    Phase.SHIFTING,
    Phase.REVERTED,
    Phase.COMPLETED,
)


class Record(Struct, frozen=True):
    """State of the last roll-out of a service.

    Parameters
    ----------
    version : str
        The new version.
    order_revision : int
        Store revision of its order.
    phase : Phase
        The phase.
    number : int
        Increases with each change of the phase.
    began_s : float
        Time of day at which the roll-out started, in seconds since the epoch; 0 if
        unknown, since another router told the phase.
    barred : list of str
        Versions that get no requests, as they were replaced or reverted.
    reason : str
        Why the phase was entered.
    period_s : float
        Period of the order, in seconds; 0 if unknown.
    """

    version: VersionField
    order_revision: Annotated[int, Meta(ge=0)]
    phase: Phase
    number: NumberField
    began_s: float
    barred: Annotated[list[VersionField], Meta(max_length=64)] = field(
        default_factory=list
    )
    reason: ReasonField = ""
    period_s: Annotated[float, Meta(ge=0)] = 0.0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two records of a service the one with the larger value is in force."""
        return self.number, self.phase.rank, self.order_revision

    @classmethod
    def start(cls, order: Order, former: "Record | None", now_s: float) -> Self:
        """Return the first record of an order; an active former roll-out is reverted.

        Parameters
        ----------
        order : Order
            The order.
        former : Record or None
            Record of the last order for the same service.
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
            period_s=order.period_s,
        )

    def for_order(self, order: Order) -> "Record":
        """Return the record for an order that was written again."""
        return replace(self, order_revision=order.revision, period_s=order.period_s)

    def with_phase(
        self, phase: Phase, reason: str, old_versions: Iterable[str]
    ) -> "Record":
        """Return the record after a change to another phase.

        Parameters
        ----------
        phase : Phase
            The new phase.
        reason : str
            Why it is entered.
        old_versions : iterable of str
            Known versions; all but the new one are barred once it is completed.
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
    """Return the service in the key of a record."""
    return key[len(RECORDS_PREFIX) :].decode(errors="replace")


def _newest(versions: Iterable[str], without: str = "") -> list[str]:
    kept = list(dict.fromkeys(each for each in versions if each != without))
    return kept[-MAX_BARRED_VERSIONS:]
