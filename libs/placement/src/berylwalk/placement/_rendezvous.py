"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh3_64_intdigest


@lru_cache(maxsize=65_536)
def _hash(key: str) -> int:
    return xxh3_64_intdigest(key.encode())


def rendezvous_weight(key: int, agent: str) -> int:
    """Return the 64-bit weight of an agent for a key."""
    return xxh3_64_intdigest(_hash(agent).to_bytes(8, "little"), key)


def rendezvous_order(key: int, agents: Iterable[str]) -> list[str]:
    """Return the agents by descending weight for a key."""
    return sorted(agents, key=lambda agent: rendezvous_weight(key, agent), reverse=True)


def router_order(router_id: str, agents: Iterable[str]) -> list[str]:
    """Return the agents in the order of preference of a router."""
    return rendezvous_order(_hash(router_id), agents)


def subset(router_id: str, agents: Iterable[str], size: int) -> tuple[str, ...]:
    """Return the subset of agents that a router uses.

    The choice is deterministic. Adding or removing one agent changes at most one
    member.

    Parameters
    ----------
    router_id : str
        Node identifier of the router.
    agents : iterable of str
        Node identifiers of all agents.
    size : int
        Largest number of agents.

    Returns
    -------
    tuple of str
        Sorted by name.
    """
    return tuple(sorted(router_order(router_id, agents)[:size]))
