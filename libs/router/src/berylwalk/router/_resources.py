"""Known models and services, for the caller API."""

from collections.abc import Callable
from time import monotonic

from berylwalk.router._machine import RouterMachine
from berylwalk.router._membership import MemberTable

CACHE_TTL_S = 0.25


class ResourceCache:
    """Resources of all agents, cached for a short time.

    Parameters
    ----------
    machine : RouterMachine
        Source of the resources that agents reported.
    members : MemberTable
        Source of the number of listed agents.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        machine: RouterMachine,
        members: MemberTable,
        *,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._machine = machine
        self._members = members
        self._clock = clock
        self._resources: frozenset[str] = frozenset()
        self._fresh_until = float("-inf")
        self._seen = (-1, -1)

    def __call__(self) -> frozenset[str]:
        """Return the resources; empty until all listed agents have reported."""
        now = self._clock()
        if now >= self._fresh_until:
            self._fresh_until = now + CACHE_TTL_S
            self._update()
        return self._resources

    def _update(self) -> None:
        # An agent that has not reported may serve any name, so no name can be
        # rejected as unknown until all have.
        listed = self._members.agent_count
        seen = (self._machine.agent_changes, listed)
        if seen != self._seen:
            self._seen = seen
            self._resources = self._machine.resources_when_complete(listed)
