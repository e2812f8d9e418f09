"""When a refused request should come back.

Load pattern: bursts of up to twice what engines can bear, from callers who come back
once. What comes back soon may still be in time; what finds the engines still full is
turned away. What comes back after seconds is late for sure, and takes the places in
which others would be in time long after the burst has passed.
"""

from collections.abc import Callable
from random import uniform

SOONEST_S = 0.1
"""What is full now is seldom free before."""
LATEST_S = 1.2
"""A few latency objectives of interactive requests."""
SHARE_OF_TIME_LEFT = 1 / 3
"""Part of their time left up to which callers wait as told."""


def return_time_s(left_s: float, *, draw: Callable[[float, float], float] = uniform):
    """Return the seconds after which a caller should come back.

    What is refused at the same moment must not come back at the same moment.

    Parameters
    ----------
    left_s : float
        Time that the caller still has, in seconds.
    draw : callable
        Draws a number between two bounds.
    """
    latest_s = min(LATEST_S, left_s * SHARE_OF_TIME_LEFT)
    return draw(min(SOONEST_S, latest_s), latest_s)
