"""Deadlines for queueing a request and for the start of its response."""

from dataclasses import dataclass

WAIT_SHARE = 0.2
"""Share of the latency objective that a request may spend in the queue. A request that
is refused early can still be served in time when the caller retries."""
START_SHARE = 0.7
"""Share of the latency objective within which the response should start. Leaves a
margin because start estimates tend to be too low."""
MIN_WAIT_S = 0.02
"""Minimum queueing time in seconds; long enough for the next message of a peer."""
RETRY_WAIT_S = 1.0
"""Maximum queueing time after a failed attempt, in seconds."""


@dataclass(frozen=True, slots=True)
class RequestDeadlines:
    """Queueing and start deadlines of one request.

    Parameters
    ----------
    wait_until : float
        Time at which the request is refused if it is still queued, in seconds.
    start_by : float
        Time by which the response should start, in seconds.
    """

    wait_until: float
    start_by: float


def deadlines_at_arrival(
    arrived_at: float, objective_s: float, deadline: float
) -> RequestDeadlines:
    """Return the deadlines of a request that has not been attempted.

    Parameters
    ----------
    arrived_at, deadline : float
        Arrival time, and time by which the response must be complete, in seconds.
    objective_s : float
        Latency objective in seconds.
    """
    wait_s = max(MIN_WAIT_S, WAIT_SHARE * objective_s)
    return RequestDeadlines(
        wait_until=min(arrived_at + wait_s, deadline),
        start_by=arrived_at + START_SHARE * objective_s,
    )


def deadlines_after_failure(now: float, deadline: float) -> RequestDeadlines:
    """Return the deadlines of a request after a failed attempt.

    There is no start deadline: a late response is better than none.
    """
    return RequestDeadlines(min(now + RETRY_WAIT_S, deadline), float("inf"))
