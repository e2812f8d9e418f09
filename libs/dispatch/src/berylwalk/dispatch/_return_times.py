"""When a refused request should come back."""

from collections.abc import Callable
from random import uniform

SOONEST_S = 0.4
"""Bursts at engines don't pass in less."""
LATEST_S = 4.0
"""Most bursts have passed by then, and a caller that walks away waits no longer."""
SHARE_OF_TIME_LEFT = 1 / 3
"""Part of their time left up to which callers wait as told."""


def return_time_s(left_s: float, *, draw: Callable[[float, float], float] = uniform):
    """Return the seconds after which a caller should come back.

    What is refused at the same moment must not come back at the same moment,
    and not while the burst lasts that it was refused in: a second refusal
    costs the caller its request.

    Parameters
    ----------
    left_s : float
        Time that the caller still has, in seconds.
    draw : callable
        Draws a number between two bounds.
    """
    latest_s = min(LATEST_S, left_s * SHARE_OF_TIME_LEFT)
    soonest_s = min(SOONEST_S, latest_s)
    return draw((soonest_s + latest_s) / 2, latest_s)
