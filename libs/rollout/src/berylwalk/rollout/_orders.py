"""Orders of operators to move a service to another version."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A service is to be moved to a version within a period.

    Parameters
    ----------
    service, version : str
        Which service, and to which version of it.
    period_s : float
        Time from the order within which it is to be done, in seconds.
    revision : int
        The store's revision of the order; a later one is another order.
    """

    service: str
    version: str
    period_s: float
    revision: int


class OrderProblem(StrEnum):
    """Why an order is not followed."""

    NOT_READABLE = "not-readable"
    WRONG_FIELD = "wrong-field"
    OUT_OF_RANGE = "out-of-range"


@dataclass(frozen=True, slots=True)
class UnusableOrder:
    """Found in place of an order that can be followed.

    Parameters
    ----------
    problem : OrderProblem
        Why it can't.
    detail : str
        The place, and what was found there.
    """

    problem: OrderProblem
    detail: str
