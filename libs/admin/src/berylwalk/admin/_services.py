"""Interfaces that the administration API requires of the router."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from berylwalk.settings import (
    Patch,
    ReadFailed,
    SettingsDocument,
    SubmitResult,
)


class SettingsService(Protocol):
    """Access of a router to the operators' settings."""

    @property
    def document(self) -> SettingsDocument | None:
        """Settings in effect at this router; None before the first were received."""

    async def latest(self) -> SettingsDocument | ReadFailed:
        """Read the latest document from the key-value service."""

    async def submit(self, patch: Patch, author: str) -> SubmitResult:
        """Write a patch and send the accepted document to peers.

        Submitting the same patch again has no further effect. When the call is
        cancelled, the patch may or may not be accepted.
        """


class NodeRole(StrEnum):
    """Kind of a process."""

    ROUTER = "router"
    AGENT = "agent"


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """A router or agent, and its settings version.

    Parameters
    ----------
    node_id : str
        Name of the process.
    role : NodeRole
        Kind of the process.
    address : str
        IP address of the process.
    failure_domain : str
        Failure domain of the process.
    settings_version : int
        Last reported settings version; 0 for none.
    silent_s : float or None
        Time since its last message, in seconds; 0 for this router itself, None if
        there was no message.
    """

    node_id: str
    role: NodeRole
    address: str
    failure_domain: str
    settings_version: int
    silent_s: float | None = 0.0


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """A target, as last reported by its agent.

    Parameters
    ----------
    agent : str
        Name of the target's agent.
    address, failure_domain : str
        IP address and failure domain of the target.
    resources : tuple of str
        Resources that it serves: ``model:NAME`` and ``service:NAME``.
    reachable, leaving, slow : bool
        Whether the agent is reachable, drains, and is slower than its baseline.
    running, limit, waiting : int
        Running requests, concurrency limit, and queued requests.
    target_reachable : bool
        Whether the agent reaches the target.
    """

    agent: str
    address: str
    failure_domain: str
    resources: tuple[str, ...]
    reachable: bool
    leaving: bool
    slow: bool
    running: int
    limit: int
    waiting: int
    target_reachable: bool = True


@dataclass(frozen=True, slots=True)
class TierStatus:
    """Numbers of requests of one tier at this router.

    Parameters
    ----------
    name : str
        Name of the tier.
    rank : int
        Priority of the tier; 0 is the highest.
    waiting, running : int
        Numbers of requests that wait for a grant and that have one.
    """

    name: str
    rank: int
    waiting: int
    running: int


class FleetView(Protocol):
    """State of the fleet as known to one router."""

    def nodes(self) -> Sequence[NodeStatus]:
        """Return all known routers and agents, this router included."""

    def targets(self) -> Sequence[TargetStatus]:
        """Return all known targets."""

    def tiers(self) -> Sequence[TierStatus]:
        """Return all tiers with their numbers of requests."""
