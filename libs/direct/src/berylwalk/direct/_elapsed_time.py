"""A clock that includes suspensions of the VM."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def elapsed_clock(*, fallback: Clock = time.monotonic) -> tuple[Clock, bool]:
    """Return a clock for ages, and whether it includes suspensions of the VM.

    The monotonic clock stops while a VM is suspended; by it, data received right after
    the resumption would look too young.

    Parameters
    ----------
    fallback : callable
        Clock for platforms without a boot time clock, in seconds.
    """
    boot_clock = getattr(time, "CLOCK_BOOTTIME", None)
    if boot_clock is None:
        return fallback, False
    try:
        time.clock_gettime(boot_clock)
    except OSError:
        return fallback, False
    return lambda: time.clock_gettime(boot_clock), True
