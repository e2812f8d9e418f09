"""Prefix affinity: which agents probably have a prompt in their prefix cache."""

from collections.abc import Sequence

from berylwalk.affinity import PlacementHistory
from berylwalk.placement._candidates import Candidate, Work
from berylwalk.placement._prefixes import TOKENS_PER_BLOCK
from berylwalk.placement._rendezvous import rendezvous_weight

AFFINITY_BLOCKS = 4
"""Number of leading blocks whose hash determines the preferred agent."""

PREFERRED_CACHED_SHARE = 0.5
"""Share of the hashed tokens assumed to be cached at the preferred agent, because
other routers send the same prefix there."""

LOAD_BOUND = 1.25
"""Largest load of a preferred agent, as a multiple of the mean load."""

LOAD_ALLOWANCE = 0.25
"""Load per slot added to the bound, so that it holds when the mean is near 0."""

FINISH_BOUND = 2.0
"""Latest finish of an agent with the prefix, as a multiple of the earliest one."""

FINISH_ALLOWANCE_S = 0.5
"""Time added to that bound, in seconds."""


def preferred_agent(work: Work, candidates: Sequence[Candidate]) -> str | None:
    """Return the agent that all routers prefer for a prefix, or None without one.

    Uses rendezvous hashing with bounded load: agents whose load is well above
    the mean are skipped.
    """
    if not work.prefix or not candidates:
        return None
    mean_load = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = LOAD_BOUND * mean_load + LOAD_ALLOWANCE
    key = work.prefix[min(AFFINITY_BLOCKS, len(work.prefix)) - 1]
    within = [candidate for candidate in candidates if candidate.load <= bound]
    return max(
        (candidate.agent for candidate in within),
        key=lambda agent: rendezvous_weight(key, agent),
        default=None,
    )


def has_known_prefix(work: Work, history: PlacementHistory) -> bool:
    """Return whether earlier requests had the same leading blocks."""
    needed = min(AFFINITY_BLOCKS, len(work.prefix))
    blocks_by_agent = history.covered_blocks(work.prefix)
    return needed > 0 and max(blocks_by_agent.values(), default=0) >= needed


def most_cached_within_bound(
    work: Work,
    candidates: Sequence[Candidate],
    history: PlacementHistory,
    score_by_agent: dict[str, float],
) -> Candidate:
    """Return the agent with most of a prefix cached that finishes within the bound.

    Ties are broken by rendezvous hashing, so that routers agree and a popular
    prefix is cached at few agents.

    Parameters
    ----------
    work : Work
        A request with a prefix.
    candidates : sequence of Candidate
        At least one.
    history : PlacementHistory
        Agents that processed earlier prefixes.
    score_by_agent : dict of str to float
        Expected time to the complete response, in seconds.
    """
    bound = FINISH_BOUND * min(score_by_agent.values()) + FINISH_ALLOWANCE_S
    blocks_by_agent = history.covered_blocks(work.prefix)
    key = work.prefix[min(AFFINITY_BLOCKS, len(work.prefix)) - 1]

    def rank(candidate: Candidate) -> tuple[int, int]:
        blocks = blocks_by_agent.get(candidate.agent, 0)
        return blocks, rendezvous_weight(key, candidate.agent)

    return max(
        (each for each in candidates if score_by_agent[each.agent] <= bound), key=rank
    )


def cached_tokens_by_agent(
    work: Work, candidates: Sequence[Candidate], history: PlacementHistory
) -> dict[str, int]:
    """Return the number of prompt tokens that each agent probably has cached.

    Agents without cached tokens are omitted.
    """
    blocks_by_agent = history.covered_blocks(work.prefix)
    tokens_by_agent = {
        agent: min(blocks * TOKENS_PER_BLOCK, work.prompt_tokens)
        for agent, blocks in blocks_by_agent.items()
    }
    home = preferred_agent(work, candidates)
    if home is not None:
        hashed = min(len(work.prefix) * TOKENS_PER_BLOCK, work.prompt_tokens)
        expected = int(PREFERRED_CACHED_SHARE * hashed)
        tokens_by_agent[home] = max(tokens_by_agent.get(home, 0), expected)
    return tokens_by_agent
