"""Combinations of admission rules."""

from dataclasses import dataclass

from berylwalk.admission._limit_rules import LimitRule, aimd, fixed
from berylwalk.admission._queue_entries import (
    SchedulingKeyFunction,
    fifo_scheduling_key,
    tiered_scheduling_key,
)


@dataclass(frozen=True, slots=True)
class Policy:
    """Rules by which an agent admits requests.

    Parameters
    ----------
    scheduling_key : callable
        Computes the scheduling key of a queue entry.
    limit_rule : LimitRule
        Adapts the concurrency limit.
    headroom : bool
        Whether slots are reserved for higher tiers.
    deadlines : bool
        Whether requests that would miss their deadline are refused.
    limit_stragglers : bool
        Whether the limit of a target slower than its own baseline is lowered.
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
    """Return the benchmark baseline: first in, first out, with a fixed limit."""
    return Policy(
        fifo_scheduling_key,
        fixed(),
        headroom=False,
        deadlines=False,
        limit_stragglers=False,
    )
