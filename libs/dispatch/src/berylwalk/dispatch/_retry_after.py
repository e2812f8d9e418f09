"""Retry delay that is sent to refused callers.

Callers retry a few times at most. A retry that can still be answered in time comes at
once, through another router. One that can't is of use when the overload has passed:
until then it would take places from requests that can be answered in time. If all
targets have announced when they accept requests again, there is room then. Delays are
randomized so that simultaneous refusals don't come back at once.
"""

from collections.abc import Callable
from math import isinf
from random import uniform

MIN_DELAY_S = 0.1
"""Minimum delay: capacity is rarely freed sooner."""
MIN_LATE_DELAY_S = 1.0
"""Minimum delay of a retry that will be late: overload rarely ends sooner."""
MAX_DELAY_S = 3.3
"""Maximum delay: the returns of a burst are spread over a few seconds."""
MAX_DELAY_AFTER_BACKOFF_S = 1.2
"""Maximum delay after targets have announced when they accept requests again: there is
room then, and the returns are only spread."""
ELSEWHERE_DELAY_S = 0.1
"""Delay of a retry that another router can serve at once, in seconds."""
SHORT_RETURN_S = 1.2
"""Time within which refused callers return in a fleet of few routers, in seconds."""
MAX_REMAINING_SHARE = 1 / 3
"""Maximum delay as a share of the caller's remaining time."""


def retry_after_s(
    remaining_s: float,
    *,
    in_time_s: float = 0.0,
    available_in_s: float = 0.0,
    draw: Callable[[float, float], float] = uniform,
) -> float:
    """Return the randomized retry delay in seconds.

    Parameters
    ----------
    remaining_s : float
        Time left until the caller's deadline, in seconds; negative once it has passed.
    in_time_s : float
        Time left in which a target has to be found for a response in time, in seconds.
    available_in_s : float
        Time until the first target accepts requests, in seconds, if all targets have
        announced one. Infinite if only other routers may send to them.
    draw : callable
        Returns a random number between two bounds.
    """
    latest_s = min(MAX_DELAY_S, max(0.0, remaining_s) * MAX_REMAINING_SHARE)
    # If only other routers may send, the caller may reach one of them sooner.
    wait_s = 0.0 if isinf(available_in_s) else max(available_in_s, 0.0)
    left_s = min(in_time_s - wait_s, latest_s)
    if left_s > MIN_DELAY_S:
        return wait_s + draw(MIN_DELAY_S, left_s)
    if wait_s > 0:
        latest_s = min(MAX_DELAY_AFTER_BACKOFF_S, latest_s)
        return wait_s + draw(min(MIN_DELAY_S, latest_s), latest_s)
    return draw(min(MIN_LATE_DELAY_S, latest_s), latest_s)
