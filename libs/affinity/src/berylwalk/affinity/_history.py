"""History of the prompt prefixes that this router sent to agents."""

from collections import OrderedDict

HISTORY_SIZE = 65_536
"""Default number of prefixes."""

AGENTS_PER_PREFIX = 3
"""Agents that are kept for each prefix, the most recent ones."""


class PlacementHistory:
    """Bounded LRU history of prefixes and the agents that processed them last.

    Parameters
    ----------
    size : int
        Number of prefixes; the least recently used are evicted first.
    """

    def __init__(self, size: int = HISTORY_SIZE) -> None:
        self._size = size
        self._agents_by_prefix: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._agents_by_prefix)

    def record(self, prefix: tuple[int, ...], agent: str) -> None:
        """Record that an agent processes a prompt with this prefix.

        Longer prefixes are recorded first, so that they are evicted first.
        """
        for prefix_hash in reversed(prefix):
            known = self._agents_by_prefix.pop(prefix_hash, ())
            others = tuple(other for other in known if other != agent)
            kept = (agent, *others)[:AGENTS_PER_PREFIX]
            self._agents_by_prefix[prefix_hash] = kept
        while len(self._agents_by_prefix) > self._size:
            self._agents_by_prefix.popitem(last=False)

    def forget(self, agent: str) -> None:
        """Remove an agent whose cache has been lost."""
        for prefix_hash, known in list(self._agents_by_prefix.items()):
            if agent not in known:
                continue
            others = tuple(other for other in known if other != agent)
            if others:
                self._agents_by_prefix[prefix_hash] = others
            else:
                del self._agents_by_prefix[prefix_hash]

    def covered_blocks(self, prefix: tuple[int, ...]) -> dict[str, int]:
        """Return the number of leading blocks that each agent has processed.

        Parameters
        ----------
        prefix : tuple of int
            Hashes of the leading prompt blocks, longest prefix last.

        Returns
        -------
        dict of str to int
            Only agents with at least one block.
        """
        blocks_by_agent: dict[str, int] = {}
        for count in range(len(prefix), 0, -1):
            for agent in self._agents_by_prefix.get(prefix[count - 1], ()):
                blocks_by_agent.setdefault(agent, count)
        return blocks_by_agent
