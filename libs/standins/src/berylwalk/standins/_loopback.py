"""Loopback addresses of a process, so that runs side by side don't collide."""

from os import getpid

HOSTS_OF_A_BYTE = 250


def loopback_host(block: int) -> str:
    """Return an address that no other process uses for the same purpose.

    Parameters
    ----------
    block : int
        Second number of the address, one for each purpose.
    """
    high, low = divmod(getpid(), HOSTS_OF_A_BYTE)
    return f"127.{block}.{1 + high % HOSTS_OF_A_BYTE}.{1 + low}"
