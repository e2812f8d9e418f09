"""Combinations of the admission rules."""

from dataclasses import dataclass

from berylwalk.admission._limit_rules import LimitRule, aimd, fixed
from berylwalk.admission._queue_entries import (
    SchedulingKeyFunction,
    fifo_scheduling_key,
    tiered_scheduling_key,
)


@dataclass(frozen=True, slots=True)
class Policy:
    """How an agent admits work.

    Parameters
    ----------
    place_of : callable
        Place of a waiting entry.
    limit_rule : LimitRule
        How the slot limit adapts.
    headroom : bool
        Whether lower tiers leave slots to higher ones.
    deadlines : bool
        Whether requests that cannot meet their deadline are refused.
    slowness : bool
        Whether a target slower than its own baseline gets a lower limit.
    """

    scheduling_key: SchedulingKeyFunction
    limit_rule: LimitRule
    headroom: bool = True
    deadlines: bool = True
    limit_stragglers: bool = True


def tiered_policy(*, limit_rule: LimitRule | None = None) -> Policy:
    """Return the standard policy.

    Parameters
    ----------
    limit_rule : LimitRule, optional
        `aimd` by default.
    """
    return Policy(tiered_scheduling_key, limit_rule or aimd())


def fifo_policy() -> Policy:
    """Return the baseline for benchmarks: arrival order, fixed limit."""
    return Policy(
        fifo_scheduling_key,
        fixed(),
        headroom=False,
        deadlines=False,
        limit_stragglers=False,
    )
