"""Exclusion of stragglers from selection."""

from collections.abc import Sequence

from berylwalk.placement._candidates import Candidate

MAX_EXCLUDED_SHARE = 0.34
"""Largest share of the candidates that is excluded."""


def exclude_stragglers(
    candidates: Sequence[Candidate], *, share: float = MAX_EXCLUDED_SHARE
) -> list[Candidate]:
    """Return the candidates without the slowest of the stragglers.

    Parameters
    ----------
    candidates : sequence of Candidate
        All eligible agents.
    share : float
        Largest share of the candidates to exclude, from 0 to 1.

    Returns
    -------
    list of Candidate
        Not empty for a share below 1, unless the input is empty.
    """
    max_excluded = int(share * len(candidates))
    slow = [candidate for candidate in candidates if candidate.slow]
    slowest_first = sorted(slow, key=lambda candidate: -candidate.token_gap_s)
    excluded = {candidate.agent for candidate in slowest_first[:max_excluded]}
    return [candidate for candidate in candidates if candidate.agent not in excluded]
