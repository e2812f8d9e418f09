"""How long a request may wait for a place, and by when its answer should begin."""

from dataclasses import dataclass

WAIT_SHARE = 0.2
"""Part of its latency objective that a request may wait for a place. One that is
refused early can still be served in time when it comes back; the rest is for the way
from and to the caller."""
START_SHARE = 0.7
"""Part of its latency objective within which an answer should begin at the target that
is chosen: expectations are often too low."""
LEAST_WAIT_S = 0.02
"""Bound from below of the time for a place: the next message of a peer comes within."""
REPEAT_WAIT_S = 1.0
"""Time that a request waits for another target after a failed attempt."""


@dataclass(frozen=True, slots=True)
class RequestDeadlines:
    """Until when a request waits, and by when it should begin.

    Parameters
    ----------
    wait_until : float
        When it is refused if it has no place, in seconds.
    start_by : float
        When its answer should begin, in seconds.
    """

    wait_until: float
    start_by: float


def deadlines_at_arrival(
    arrived_at: float, objective_s: float, deadline: float
) -> RequestDeadlines:
    """Return the patience of a request that no target has seen.

    Parameters
    ----------
    arrived_at, ends_at : float
        When it came, and when it has to be answered, in seconds.
    objective_s : float
        Its latency objective, in seconds.
    """
    wait_s = max(LEAST_WAIT_S, WAIT_SHARE * objective_s)
    return RequestDeadlines(
        wait_until=min(arrived_at + wait_s, deadline),
        start_by=arrived_at + START_SHARE * objective_s,
    )


def deadlines_after_failure(now: float, deadline: float) -> RequestDeadlines:
    """Return the patience of a request that a target has held up.

    Late is better than not at all.
    """
    return RequestDeadlines(min(now + REPEAT_WAIT_S, deadline), float("inf"))
