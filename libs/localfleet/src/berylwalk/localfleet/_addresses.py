"""Loopback addresses of a local fleet; each VM has its own, with the default ports."""

import os
from dataclasses import dataclass

CALLER_PORT = 8080
ADMIN_PORT = 8081
OPS_PORT = 8082
TARGET_PORT = 9000
PLATFORM_PORT = 2379


@dataclass(frozen=True, slots=True)
class Subnet:
    """A /24 network of loopback addresses for one fleet.

    Parameters
    ----------
    second, third : int
        Second and third octet of the addresses.
    """

    second: int
    third: int

    @classmethod
    def for_process(cls, offset: int = 0) -> "Subnet":
        """Return a network derived from the process id, to avoid collisions."""
        number = os.getpid() + offset * 7919
        return cls(second=100 + number // 250 % 100, third=1 + number % 250)

    def address(self, host: int) -> str:
        """Return the address with the given last octet."""
        return f"127.{self.second}.{self.third}.{host}"

    @property
    def platform(self) -> str:
        """Address of the platform stand-in."""
        return self.address(1)

    def router(self, index: int) -> str:
        """Return the address of a router."""
        return self.address(10 + index)

    def target(self, index: int) -> str:
        """Return the address of a target and its agent."""
        return self.address(100 + index)
