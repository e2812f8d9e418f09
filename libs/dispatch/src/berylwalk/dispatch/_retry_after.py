"""When a refused request should come back.

Load pattern: bursts of up to twice what engines can bear, from callers who come back
once. What comes back soon may still be in time; what finds the engines still full is
turned away. What comes back after seconds is late for sure, and takes the places in
which others would be in time long after the burst has passed.
"""

from collections.abc import Callable
from math import isinf
from random import uniform

SOONEST_S = 0.1
"""What is full now is seldom free before."""
LATEST_S = 1.2
"""A few latency objectives of interactive requests."""
SHARE_OF_TIME_LEFT = 1 / 3
"""Part of their time left up to which callers wait as told."""


def retry_after_s(
    left_s: float,
    *,
    available_in_s: float = 0.0,
    draw: Callable[[float, float], float] = uniform,
) -> float:
    """Return the seconds after which a caller should come back.

    What is refused at the same moment must not come back at the same moment.

    Parameters
    ----------
    left_s : float
        Time that the caller still has, in seconds.
    opens_in_s : float
        Time until the first target takes requests again, in seconds, where all have
        said so. Infinite where other routers send to them: any may be asked.
    draw : callable
        Draws a number between two bounds.
    """
    latest_s = min(LATEST_S, left_s * SHARE_OF_TIME_LEFT)
    after_s = draw(min(SOONEST_S, latest_s), latest_s)
    # Another router may have a place sooner than this one, but none at once.
    return after_s if isinf(available_in_s) else max(available_in_s, 0.0) + after_s
