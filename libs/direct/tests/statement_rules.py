"""What the rules count at targets that state limits, ask for rest and leave."""

from collections import defaultdict
from itertools import pairwise

CONTACT_S = 3.0
"""Time after a fault of a router until the rules bind it, and after a target first
names a limit until it binds at all."""
TOLD_S = 0.5
"""Time after an answer from which its router is held to what it stated."""
WINDOW_S = 4.0
DRAIN_S = 2.0


class Disturbances:
    """When routers were killed or cut off."""

    def __init__(self):
        self._spans_by_router = defaultdict(list)

    def note(self, router, since, until):
        """Note a fault of a router."""
        self._spans_by_router[router].append((since, until))

    def excuse(self, router, at):
        """Return whether the rules don't bind a router at a time."""
        return any(
            since <= at < until + CONTACT_S
            for since, until in self._spans_by_router[router]
        )


def most_over_limit(target, disturbances):
    """Return the largest excess over what a target's limit allows in a window.

    Counted are requests of routers that had passed on an answer with a limit half a
    second before; up to 0 the rule holds.
    """
    counted = [
        arrival.at
        for arrival in target.arrivals
        if arrival.at >= target.told_limit_at(arrival.router) + TOLD_S
        and not disturbances.excuse(arrival.router, arrival.at)
    ]
    worst = float("-inf")
    first = 0
    for last, at in enumerate(counted):
        while counted[first] <= at - WINDOW_S:
            first += 1
        limit = highest_limit(target, at - WINDOW_S, at)
        if limit is not None and at >= target.limits[0][0] + CONTACT_S:
            allowed = 1.5 * limit * WINDOW_S + 5
            worst = max(worst, last - first + 1 - allowed)
    return worst


def highest_limit(target, since, until):
    """Return the highest limit that was named in a time; None if none was for a part.

    A router may hear of a change half a second late.
    """
    highest = None
    changes = [*target.limits, (float("inf"), None)]
    for (begins_at, limit), (ends_at, _) in pairwise(changes):
        if begins_at < until and ends_at > since - TOLD_S:
            if limit is None:
                return None
            highest = limit if highest is None else max(highest, limit)
    return highest


def most_in_rest(target, disturbances):
    """Return the most requests that a router sent a target within a rest."""
    most = 0
    sent_by_router = defaultdict(list)
    for arrival in target.arrivals:
        if not disturbances.excuse(arrival.router, arrival.at):
            sent_by_router[arrival.router].append(arrival.at)
    for told_at, router, rest_s in target.rests:
        within = [
            at
            for at in sent_by_router[router]
            if told_at + TOLD_S < at < told_at + rest_s
        ]
        most = max(most, len(within))
    return most


def sent_while_leaving(target, disturbances):
    """Return the requests of routers that had passed on that a target leaves."""
    return sum(
        arrival.at > target.told_leaving_at(arrival.router) + DRAIN_S
        and not disturbances.excuse(arrival.router, arrival.at)
        for arrival in target.arrivals
    )
