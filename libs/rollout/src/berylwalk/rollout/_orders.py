"""Orders of operators to roll out a version of a service."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Order to roll out a version of a service within a period.

    Parameters
    ----------
    service, version : str
        The service, and its new version.
    period_s : float
        Time from the order until the roll-out has to be completed, in seconds.
    revision : int
        Store revision of the order; a later one is another order, unless the order was
        written again after a restore of the store.
    """

    service: str
    version: str
    period_s: float
    revision: int

    def has_content(self, version: str, period_s: float) -> bool:
        """Return whether the order is for a version and period; 0 if unknown."""
        return version == self.version and period_s in (0.0, self.period_s)


class OrderProblem(StrEnum):
    """Why an order is invalid."""

    NOT_READABLE = "not-readable"
    WRONG_FIELD = "wrong-field"
    OUT_OF_RANGE = "out-of-range"


@dataclass(frozen=True, slots=True)
class UnusableOrder:
    """Invalid order in the store.

    Parameters
    ----------
    problem : OrderProblem
        Why it is invalid.
    detail : str
        The place in the order, and what was found there.
    """

    problem: OrderProblem
    detail: str
