"""Setting slow agents aside."""

from collections.abc import Sequence

from berylwalk.placement._candidates import Candidate

MAX_EXCLUDED_SHARE = 0.34
"""Largest share of the candidates that is set aside at once."""


def exclude_stragglers(
    candidates: Sequence[Candidate], *, share: float = MAX_EXCLUDED_SHARE
) -> list[Candidate]:
    """Return the candidates without the worst of the slow ones.

    Parameters
    ----------
    candidates : sequence of Candidate
        All eligible agents.
    share : float
        Largest share, from 0 to 1, that may be left out.

    Returns
    -------
    list of Candidate
        Never empty unless the input is, for any share below 1.
    """
    room = int(share * len(candidates))
    slow = [candidate for candidate in candidates if candidate.slow]
    worst_first = sorted(slow, key=lambda candidate: -candidate.token_gap_s)
    left_out = {candidate.agent for candidate in worst_first[:room]}
    return [candidate for candidate in candidates if candidate.agent not in left_out]
