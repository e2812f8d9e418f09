"""Interfaces that the caller API requires of the router."""

from collections.abc import Callable
from typing import Protocol

from berylwalk.model import ServicePolicy

PrefixHashes = Callable[[bytes], tuple[int, ...]]
"""Hashes of the leading blocks of a prompt, longest prefix last."""

KnownResources = Callable[[], frozenset[str]]
"""Resources known at present, as ``model:NAME`` and ``service:NAME``."""

Clock = Callable[[], float]
"""Monotonic time in seconds; the clock of the router's core."""


class ServicePolicySource(Protocol):
    """Access of the caller API to the accepted settings."""

    def by_token(self, sha256_hex: str) -> str | None:
        """Return the client account whose bearer token has this SHA-256."""

    def service_policy(self, account: str, service: str) -> ServicePolicy | None:
        """Return the effective settings of a service node of an account.

        An empty `service` means the account itself. None means that there is
        no such node.
        """
