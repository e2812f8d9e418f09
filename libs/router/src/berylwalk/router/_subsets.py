"""Choice of the subset of agents that a router sends work to."""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence

from berylwalk.router._agents import AgentState

MAX_SELECTED_AGENTS = 56
"""Maximum number of selected agents, which bounds the cost of heartbeats."""

MIN_AGENTS_PER_RESOURCE = 2
"""Minimum number of agents per resource, if available; a request may wait at two."""


def choose_subset(
    order: Iterable[AgentState],
    resources: Sequence[str],
    *,
    subset_size: int,
    now: float,
) -> dict[str, AgentState]:
    """Choose the agents that the router sends work to.

    Each router has its own rendezvous order, so routers spread over the agents, and
    the subset changes little when an agent joins or leaves.

    Parameters
    ----------
    order : iterable of AgentState
        All agents in the router's own rendezvous order.
    resources : sequence of str
        Known resources, most recently used first; those beyond the capacity are
        omitted.
    subset_size : int
        Maximum number of agents per resource.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    dict of str to AgentState
        By node identifier.
    """
    served = resources[: MAX_SELECTED_AGENTS // MIN_AGENTS_PER_RESOURCE]
    share = _agents_per_resource(len(served), subset_size)
    missing = dict.fromkeys(served, share)
    selected: dict[str, AgentState] = {}
    for agent in order:
        if not missing:
            break
        if agent.is_selectable(now) and _reduce_missing(missing, agent.offered):
            selected[agent.agent] = agent
    return selected


def order_resources(
    used: Iterable[str], agents: Iterable[AgentState]
) -> tuple[str, ...]:
    """Return the resources that agents offer, those in use first.

    Parameters
    ----------
    used : iterable of str
        Resources that requests needed, most recent first.
    agents : iterable of AgentState
        All agents.
    """
    known = Counter(resource for agent in agents for resource in agent.offered)
    first = [resource for resource in used if resource in known]
    return tuple(dict.fromkeys([*first, *sorted(known)]))


def _agents_per_resource(resources: int, subset_size: int) -> int:
    capacity = MAX_SELECTED_AGENTS // max(resources, 1)
    return min(subset_size, max(MIN_AGENTS_PER_RESOURCE, capacity))


def _reduce_missing(missing: dict[str, int], resources: Collection[str]) -> bool:
    wanted = [resource for resource in resources if resource in missing]
    for resource in wanted:
        missing[resource] -= 1
        if not missing[resource]:
            del missing[resource]
    return bool(wanted)
