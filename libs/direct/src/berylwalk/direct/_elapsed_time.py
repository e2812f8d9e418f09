"""Time that goes on while the VM is suspended."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def elapsed_clock(*, fallback: Clock = time.monotonic) -> tuple[Clock, bool]:
    """Return a clock for ages that others go by, and whether it counts suspension.

    The steady clock of the loop stands still while a VM is suspended: by it, what is
    told right after waking up looks younger than it is by all that time.

    Parameters
    ----------
    fallback : callable
        Used where the platform has no such clock, in seconds.
    """
    boot_clock = getattr(time, "CLOCK_BOOTTIME", None)
    if boot_clock is None:
        return fallback, False
    try:
        time.clock_gettime(boot_clock)
    except OSError:
        return fallback, False
    return lambda: time.clock_gettime(boot_clock), True
