"""How many requests may be at a target, and why it may get none.

Load pattern: bursts of two to three times the usual, with some engines gone. All
places are taken then, and what decides is who gets those that fall free.
"""

from collections.abc import Collection

from berylwalk.dispatch._target import Target
from berylwalk.dispatch._target_entries import IneligibilityReason

TURN_WAIT_S = 0.15
"""Longest wait for a slot inside a target, in seconds: less than half of the
objectives of interactive requests."""
MAX_QUEUED_AT_TARGET = 4
"""Bound of the requests at a target beyond those that it works on."""
MORE_PLACES_UNKNOWN = 2
"""The same while nothing is known of a target's speed."""
RESERVED_REQUESTS = 2
"""Places at each target that are left to the most urgent requests of its service.
Routers know only their own lines: without it, a place that falls free goes to whatever
waits where that is seen first."""
RESERVED_SHARE = 0.25
"""Bound of the same as a part of the slots, for targets with few."""


def concurrency_limit(target: Target, *, is_most_urgent: bool = True) -> int:
    """Return how many requests may be at a target, of all routers.

    As many more than it works on as get their turn within a short time, so
    that it has no pause between two. What waits in a target can't be put in
    order any more, and at a slow one it waits for long.
    """
    slots = target.entry.slots
    reserved = (
        0 if is_most_urgent else min(RESERVED_REQUESTS, int(RESERVED_SHARE * slots))
    )
    if target.slot_s is None:
        return slots + MORE_PLACES_UNKNOWN - reserved
    more = int(TURN_WAIT_S * slots / target.slot_s)
    return slots + min(more, MAX_QUEUED_AT_TARGET) - reserved


def ineligibility_reason_for(
    target: Target,
    excluded: Collection[str],
    now: float,
    *,
    is_most_urgent: bool = True,
) -> IneligibilityReason | None:
    """Return why a target can't be chosen, or None."""
    if target.entry.incarnation_id in excluded:
        return IneligibilityReason.EXCLUDED
    ineligibility_reason = target.ineligibility_reason(now)
    limit = concurrency_limit(target, is_most_urgent=is_most_urgent)
    if ineligibility_reason is None and target.total_in_flight >= limit:
        return IneligibilityReason.FULL
    return ineligibility_reason
