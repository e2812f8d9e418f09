"""How requests are treated, and changes of that."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from berylwalk.quarantine._identity import Identity


class QuarantineStatus(StrEnum):
    """How a request is treated."""

    FREE = "free"
    SUSPECTED = "suspected"
    """It is isolated: sent where a crash would affect the fewest other requests."""
    BLAMED = "blamed"
    """It is not sent."""
    TRIAL = "trial"
    """It is sent only with a permit for one trial."""

    @property
    def is_blocked(self) -> bool:
        """Whether it must not be sent like other requests."""
        return self in (QuarantineStatus.BLAMED, QuarantineStatus.TRIAL)


class ChangeKind(StrEnum):
    """Kind of a change of a request's status."""

    BLAMED = "blamed"
    NO_LONGER_BLAMED = "no-longer-blamed"


@dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A request or prompt part that was blamed, or is no longer.

    Parameters
    ----------
    kind : ChangeKind
        Which of the two.
    identity : bytes
        Which request or part.
    ended : collection of str
        Incarnations of targets whose crashes led to the blame.
    """

    kind: ChangeKind
    identity: Identity
    ended: Collection[str]


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a request is treated, by its own identity and by the parts of its prompt.

    Parameters
    ----------
    status : QuarantineStatus
        The status.
    blocked_by : tuple of bytes
        Identities that are blamed.
    trial_of : tuple of bytes
        Identities of which a trial permit is needed, if it is a trial.
    """

    status: QuarantineStatus
    blocked_by: tuple[Identity, ...] = ()
    trial_of: tuple[Identity, ...] = ()


FREE = Verdict(QuarantineStatus.FREE)
"""Verdict on a request that nothing is known against."""
SUSPECTED = Verdict(QuarantineStatus.SUSPECTED)
"""Verdict on a request that may have caused some crashes."""
