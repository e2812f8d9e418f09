"""Checks how routers respect the flow control signals of targets."""

from collections import defaultdict
from itertools import pairwise

GRACE_S = 3.0
"""Grace period after a fault of a router, and after a target first advertises a
limit."""
SIGNAL_GRACE_S = 0.5
"""Grace period after a response until its router must respect the signals in it."""
WINDOW_S = 4.0
DRAIN_S = 2.0


class FaultLog:
    """Times at which routers were killed or cut off."""

    def __init__(self):
        self._spans_by_router = defaultdict(list)

    def record(self, router, since, until):
        """Record a fault of a router."""
        self._spans_by_router[router].append((since, until))

    def is_exempt(self, router, at):
        """Return whether a router is exempt from the checks at a time."""
        return any(
            since <= at < until + GRACE_S
            for since, until in self._spans_by_router[router]
        )


def max_excess_over_limit(target, faults):
    """Return the largest excess over a target's limit in a window.

    Only requests of routers that have forwarded a response with a limit at least half a
    second before are counted. The limit is respected if the excess is at most 0.
    """
    counted = [
        arrival.at
        for arrival in target.arrivals
        if arrival.at >= target.limit_forwarded_at(arrival.router) + SIGNAL_GRACE_S
        and not faults.is_exempt(arrival.router, arrival.at)
    ]
    worst = float("-inf")
    first = 0
    for last, at in enumerate(counted):
        while counted[first] <= at - WINDOW_S:
            first += 1
        limit = max_limit(target, at - WINDOW_S, at)
        if limit is not None and at >= target.limits[0][0] + GRACE_S:
            allowed = 1.5 * limit * WINDOW_S + 5
            worst = max(worst, last - first + 1 - allowed)
    return worst


def max_limit(target, since, until):
    """Return the highest limit in a period; None if a part of it had none.

    A router may learn of a change half a second late.
    """
    highest = None
    changes = [*target.limits, (float("inf"), None)]
    for (begins_at, limit), (ends_at, _) in pairwise(changes):
        if begins_at < until and ends_at > since - SIGNAL_GRACE_S:
            if limit is None:
                return None
            highest = limit if highest is None else max(highest, limit)
    return highest


def max_sent_in_backoff(target, faults):
    """Return the most requests that a router sent during a requested backoff."""
    most = 0
    sent_by_router = defaultdict(list)
    for arrival in target.arrivals:
        if not faults.is_exempt(arrival.router, arrival.at):
            sent_by_router[arrival.router].append(arrival.at)
    for signalled_at, router, backoff_s in target.backoffs:
        within = [
            at
            for at in sent_by_router[router]
            if signalled_at + SIGNAL_GRACE_S < at < signalled_at + backoff_s
        ]
        most = max(most, len(within))
    return most


def sent_while_leaving(target, faults):
    """Return the requests from routers that knew that the target is leaving."""
    return sum(
        arrival.at > target.leaving_forwarded_at(arrival.router) + DRAIN_S
        and not faults.is_exempt(arrival.router, arrival.at)
        for arrival in target.arrivals
    )
