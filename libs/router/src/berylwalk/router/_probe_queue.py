"""Order in which agents outside the router's subset are probed."""

from collections import deque
from collections.abc import Collection, Iterable

PROBE_INTERVAL_S = 0.1
"""Time between two probe steps."""

NEW_AGENTS_PER_STEP = 8
"""Agents without an earlier probe that are probed in one step."""

KNOWN_AGENTS_PER_STEP = 1
"""Agents probed in one step when none is new."""


class ProbeQueue:
    """Round-robin queue of agents to probe, new agents first.

    A probe is a `Hello` whose answer shows what an agent serves. New agents are
    probed at a higher rate, so that a starting router soon knows the resources;
    afterwards the cost does not grow with the number of agents.
    """

    def __init__(self) -> None:
        self._unprobed: deque[str] = deque()
        self._rotation: deque[str] = deque()

    def add(self, agents: Iterable[str]) -> None:
        """Add agents that were not listed before."""
        added = tuple(agents)
        self._unprobed.extend(added)
        self._rotation.extend(added)

    def remove(self, agent: str) -> None:
        """Remove an agent from the queue."""
        self._rotation.remove(agent)
        if agent in self._unprobed:
            self._unprobed.remove(agent)

    def step(self, monitored: Collection[str]) -> list[str]:
        """Return the agents to probe now.

        Parameters
        ----------
        monitored : collection of str
            Agents with regular heartbeats, which need no probes.
        """
        chosen: list[str] = []
        while self._unprobed and len(chosen) < NEW_AGENTS_PER_STEP:
            agent = self._unprobed.popleft()
            if agent not in monitored:
                chosen.append(agent)
        return chosen or self._next_known(monitored)

    def _next_known(self, monitored: Collection[str]) -> list[str]:
        chosen: list[str] = []
        for _ in range(len(self._rotation)):
            if len(chosen) == KNOWN_AGENTS_PER_STEP:
                break
            agent = self._rotation[0]
            self._rotation.rotate(-1)
            if agent not in monitored:
                chosen.append(agent)
        return chosen
