"""Deadlines for queueing a request and for the start of its response.

Answers overload: more requests than places. A request that can still be answered in
time waits for a place. One that can't any more gets a place that no other one needs.
"""

from dataclasses import dataclass

START_SHARE = 0.7
"""Share of the latency objective within which the response should start. Leaves a
margin because start estimates tend to be too low."""
QUEUE_SHARE = 0.7
"""Share of the latency objective within which a request that leaves the queue is
expected to start at a target without other requests."""
MIN_WAIT_SHARE = 0.2
"""Share of the latency objective for which a request waits among those that can be
answered in time, even if its prompt is too long for that at any target."""
MIN_WAIT_S = 0.02
"""Minimum queueing time in seconds; long enough for the next message of a peer."""
MAX_WAIT_SHARE = 0.4
"""Share of the time until the deadline for which a request waits at most: a caller that
is refused has time left for another try."""
RETURN_WAIT_SHARE = 0.25
"""Share of the remaining time for which a request waits whose caller was refused before
and came back: a second refusal is likely to be the last."""
MAX_RETURN_WAIT_S = 1.5
"""Upper bound of that time in seconds: callers give up streams without any event after
two seconds."""
RETRY_WAIT_S = 1.0
"""Maximum queueing time after a failed attempt, in seconds; of a stream that has begun
at least."""
CALLER_GAP_S = 2.0
"""Shortest time without an event, in seconds, after which callers leave a stream that
has begun."""
CALLER_GAP_OBJECTIVES = 4.0
"""The same time as a multiple of the latency objective. The longest of the three is in
force."""
CALLER_GAP_PAUSES = 8.0
"""The same time as a multiple of the longest allowed pause."""
STREAM_WAIT_SHARE = 0.75
"""Share of that time within which the next event should arrive. A caller whose stream
is cut after it has time left to take the stream up at another router."""


@dataclass(frozen=True, slots=True)
class RequestDeadlines:
    """Queueing and start deadlines of one request.

    Parameters
    ----------
    wait_until : float
        Time at which the request is refused if it is still queued, in seconds.
    start_by : float
        Time by which the response should start, in seconds.
    send_by : float
        Time after which the response is not expected to start in time, in seconds.
    unserved_until : float
        Time at which the request is refused if the service has no target, or none that
        accepts requests by then, in seconds.
    """

    wait_until: float
    start_by: float
    send_by: float = float("inf")
    unserved_until: float = float("inf")


def deadlines_at_arrival(
    arrived_at: float,
    objective_s: float,
    deadline: float,
    *,
    first_arrived_at: float | None = None,
    idle_start_s: float = 0.0,
) -> RequestDeadlines:
    """Return the deadlines of a request that has not been attempted.

    Parameters
    ----------
    arrived_at, deadline : float
        Arrival time, and time by which the response must be complete, in seconds.
    objective_s : float
        Latency objective in seconds; 0 if the route has none: then no response is late.
    first_arrived_at : float or None
        When the caller first sent the request, if it was refused before, in seconds.
    idle_start_s : float
        Expected time to the first event at a target without other requests, in seconds.
    """
    asked_at = arrived_at if first_arrived_at is None else first_arrived_at
    left_s = deadline - arrived_at
    min_wait_s = max(MIN_WAIT_S, MIN_WAIT_SHARE * objective_s)
    latest_s = max(QUEUE_SHARE * objective_s - idle_start_s, min_wait_s)
    wait_until = asked_at + latest_s
    if first_arrived_at is not None:
        return_wait_s = min(RETURN_WAIT_SHARE * left_s, MAX_RETURN_WAIT_S)
        wait_until = max(wait_until, arrived_at + return_wait_s)
    return RequestDeadlines(
        wait_until=min(wait_until, arrived_at + MAX_WAIT_SHARE * left_s),
        start_by=asked_at + START_SHARE * objective_s,
        send_by=asked_at + latest_s if objective_s > 0 else float("inf"),
        unserved_until=arrived_at + min_wait_s,
    )


def short_deadlines(
    arrived_at: float, objective_s: float, deadline: float
) -> RequestDeadlines:
    """Return the deadlines in a fleet of few routers, where no request counts as late.

    Parameters are those of `deadlines_at_arrival`.
    """
    wait_s = max(MIN_WAIT_S, MIN_WAIT_SHARE * objective_s)
    return RequestDeadlines(
        wait_until=min(arrived_at + wait_s, deadline),
        start_by=arrived_at + START_SHARE * objective_s,
    )


def deadlines_after_failure(now: float, deadline: float) -> RequestDeadlines:
    """Return the deadlines of a request after a failed attempt.

    There is no start deadline: a late response is better than none.
    """
    return RequestDeadlines(min(now + RETRY_WAIT_S, deadline), float("inf"))


def deadlines_of_begun_stream(
    now: float,
    deadline: float,
    *,
    last_event_at: float,
    objective_s: float,
    longest_pause_s: float,
    idle_start_s: float = 0.0,
) -> RequestDeadlines:
    """Return the deadlines of a stream whose target failed after its first event.

    Answers targets that end while all others are full. It waits as long as its caller
    is likely to stay: a cut stream has to be placed again all the same.

    Parameters
    ----------
    now, deadline : float
        Current time, and time by which the response must be complete, in seconds.
    last_event_at : float
        When its last event arrived, in seconds.
    objective_s, longest_pause_s : float
        Latency objective and longest allowed pause in seconds; 0 for none.
    idle_start_s : float
        Expected time to its next event at a target without other requests, in seconds.
    """
    gap_s = max(
        CALLER_GAP_S,
        CALLER_GAP_OBJECTIVES * objective_s,
        CALLER_GAP_PAUSES * longest_pause_s,
    )
    next_event_by = last_event_at + STREAM_WAIT_SHARE * gap_s
    wait_until = max(next_event_by - idle_start_s, now + RETRY_WAIT_S)
    return RequestDeadlines(min(wait_until, deadline), float("inf"))
