"""Table of all agents and of the subset that receives the router's work."""

from collections.abc import Iterator
from itertools import chain

from berylwalk.placement import router_order
from berylwalk.router._agents import NEVER, AgentState
from berylwalk.router._probe_queue import ProbeQueue
from berylwalk.router._subsets import choose_subset, order_resources

Resources = tuple[tuple[str, ...], tuple[str, ...]]

MAX_RECENTLY_USED = 256
"""Maximum number of recently used resources to remember."""


class AgentTable:
    """The listed agents, with a subset per resource that receives the router's work.

    Parameters
    ----------
    router : str
        Node identifier of the router; determines its rendezvous order of agents.
    subset_size : int
        Maximum number of agents per resource.

    Attributes
    ----------
    agents_by_id : dict of str to AgentState
        All agents.
    selected_by_id : dict of str to AgentState
        Agents of the subsets, to which new work may be sent.
    monitored_by_id : dict of str to AgentState
        Agents with heartbeats: the selected ones, and those that hold a request.
    is_stale : bool
        Whether the subsets need to be recomputed.
    refreshed_at : float
        Time of the last computation of the subsets.
    changes : int
        Number of changes of the agents and of what they serve.
    """

    def __init__(self, router: str, subset_size: int) -> None:
        self._router = router
        self._subset_size = subset_size
        self.agents_by_id: dict[str, AgentState] = {}
        self.selected_by_id: dict[str, AgentState] = {}
        self.monitored_by_id: dict[str, AgentState] = {}
        self.is_stale = False
        self.refreshed_at = NEVER
        self.changes = 0
        self._order: list[AgentState] = []
        self._selected_resources: frozenset[str] = frozenset()
        self._known_resources: frozenset[str] = frozenset()
        self._recently_used: dict[str, None] = {}
        self._probe_queue = ProbeQueue()

    def __iter__(self) -> Iterator[AgentState]:
        return iter(self.agents_by_id.values())

    def get(self, agent: str) -> AgentState | None:
        """Return the state of an agent, or None when it is unknown."""
        return self.agents_by_id.get(agent)

    def list_agents(self, agents: tuple[str, ...], leaving: frozenset[str]) -> None:
        """Apply a new VM list."""
        listed = frozenset(agents)
        for state in self:
            state.listed = state.agent in listed or state.agent in leaving
            state.listed_leaving = state.agent in leaving
        new = [
            agent
            for agent in agents
            if agent not in leaving and agent not in self.agents_by_id
        ]
        self.agents_by_id.update({agent: AgentState(agent) for agent in new})
        # Agents that are likely to be selected are probed first.
        self._probe_queue.add(router_order(self._router, new))
        order = router_order(self._router, self.agents_by_id)
        self._order = [self.agents_by_id[agent] for agent in order]
        self.is_stale = True
        self.changes += 1

    def remove(self, agent: str) -> None:
        """Remove an agent that is no longer listed."""
        del self.agents_by_id[agent]
        self.selected_by_id.pop(agent, None)
        self.monitored_by_id.pop(agent, None)
        self._order = [state for state in self._order if state.agent != agent]
        self._probe_queue.remove(agent)
        self.changes += 1

    def refresh(self, in_use: set[str], now: float) -> list[AgentState]:
        """Recompute the subsets.

        Parameters
        ----------
        in_use : set of str
            Agents that hold a request of the router.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of AgentState
            Agents that are monitored from now on.
        """
        before = self.monitored_by_id
        self.selected_by_id = self._choose_subset(now)
        held = in_use & self.agents_by_id.keys()
        self.monitored_by_id = self.selected_by_id | {
            agent: self.agents_by_id[agent] for agent in sorted(held)
        }
        self.is_stale = False
        self.refreshed_at = now
        return [
            state
            for agent, state in self.monitored_by_id.items()
            if before.get(agent) is not state
        ]

    def record_resources(self, before: Resources, after: Resources) -> None:
        """Mark the subsets as stale if an agent's resources changed.

        Both tuples hold what the agent serves and what it offers at present.
        """
        if before != after:
            self.is_stale = True
            self.changes += 1

    def record_use(self, resource: str) -> None:
        """Record that a request needs a resource."""
        self._recently_used.pop(resource, None)
        self._recently_used[resource] = None
        if len(self._recently_used) > MAX_RECENTLY_USED:
            del self._recently_used[next(iter(self._recently_used))]
        if resource in self._known_resources and not self.is_served_by_selected(
            resource
        ):
            self.is_stale = True

    def is_served_by_selected(self, resource: str) -> bool:
        """Return whether a selected agent serves a resource."""
        return resource in self._selected_resources

    def next_probes(self) -> list[AgentState]:
        """Return the agents outside the subsets to probe now."""
        chosen = self._probe_queue.step(self.monitored_by_id)
        return [self.agents_by_id[agent] for agent in chosen]

    def eligible(self, resource: str, now: float) -> list[AgentState]:
        """Return the agents that may take new work for the resource."""
        return [
            state
            for state in self.selected_by_id.values()
            if state.serves(resource) and state.takes_work(now)
        ]

    def _choose_subset(self, now: float) -> dict[str, AgentState]:
        if len(self.agents_by_id) <= self._subset_size:
            # All agents fit, and heartbeats to silent ones detect their return early.
            return dict(self.agents_by_id)
        resources = order_resources(reversed(self._recently_used), self._order)
        self._known_resources = frozenset(resources)
        selected = choose_subset(
            self._order, resources, subset_size=self._subset_size, now=now
        )
        served = (state.offered for state in selected.values())
        self._selected_resources = frozenset(chain.from_iterable(served))
        return selected
