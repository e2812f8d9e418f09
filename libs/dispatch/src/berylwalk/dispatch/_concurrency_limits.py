"""Concurrency limits of targets, and why a target is not eligible."""

from collections.abc import Collection

from berylwalk.dispatch._target import Target
from berylwalk.dispatch._target_entries import IneligibilityReason, Work
from berylwalk.dispatch._urgency import MOST_URGENT, Urgency

MAX_SLOT_WAIT_S = 0.15
"""Longest expected wait for a slot in a target's own queue, in seconds: less than half
of the latency objectives of interactive requests."""
MAX_OVER_SHARE_WAIT_S = 0.03
"""The same for accounts that have had more than their share, in seconds: requests of
others that come later wait behind them."""
MAX_QUEUED_AT_TARGET = 4
"""Maximum number of requests queued at a target beyond its slots."""
MAX_QUEUED_AT_UNKNOWN_TARGET = 2
"""Same, for a target of unknown speed."""
RESERVED_REQUESTS = 2
"""Capacity per target that is reserved for the highest rank of its service. Routers
know only their own queues, so without it freed capacity would go to lower ranks of
other routers."""
RESERVED_SHARE = 0.25
"""Upper bound of the reserved capacity as a share of the slots."""
LATE_SLOT_SHARE = 0.75
"""Share of the slots that requests may fill which can't be answered in time any more:
the others stay free for those that can."""


def concurrency_limit(target: Target, urgency: Urgency = MOST_URGENT) -> int:
    """Return the maximum number of requests at a target, over all routers.

    The limit exceeds the slots by as many requests as get a slot within a short time,
    so that slots don't idle between requests. Requests queued at a target can't be
    reordered by rank.
    """
    slots = target.entry.slots
    if urgency.is_late:
        return max(1, int(LATE_SLOT_SHARE * slots))
    limit = slots + _max_queued(target, MAX_SLOT_WAIT_S)
    if not urgency.is_most_urgent:
        limit -= min(RESERVED_REQUESTS, int(RESERVED_SHARE * slots))
    if urgency.is_over_share:
        # The next slots go to accounts that have had less; none idles for that.
        limit = min(limit, slots + _max_queued(target, MAX_OVER_SHARE_WAIT_S))
    return limit


def _max_queued(target: Target, max_wait_s: float) -> int:
    """Return how many requests get a slot at a target within some seconds."""
    if target.slot_s is None:
        return int(MAX_QUEUED_AT_UNKNOWN_TARGET * max_wait_s / MAX_SLOT_WAIT_S)
    extra = int(max_wait_s * target.entry.slots / target.slot_s)
    return min(extra, MAX_QUEUED_AT_TARGET)


def ineligibility_reason_for(
    target: Target,
    excluded: Collection[str],
    now: float,
    urgency: Urgency = MOST_URGENT,
    work: Work | None = None,
) -> IneligibilityReason | None:
    """Return why a target can't be chosen, or None.

    Without the size of a request, its memory is not considered.
    """
    if target.entry.incarnation_id in excluded:
        return IneligibilityReason.EXCLUDED
    ineligibility_reason = target.ineligibility_reason(now)
    if ineligibility_reason is not None:
        return ineligibility_reason
    if target.total_in_flight >= concurrency_limit(target, urgency):
        return IneligibilityReason.FULL
    if work is not None and target.may_crash_of(work, now):
        return IneligibilityReason.CACHE_FULL
    return None
