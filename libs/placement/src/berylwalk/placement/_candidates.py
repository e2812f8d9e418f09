"""Candidate agents and estimates of their waits and service times."""

from dataclasses import dataclass

MIN_PREFILL_TOKENS_PER_S = 1.0
"""Least prefill speed assumed; prevents division by zero."""


@dataclass(frozen=True, slots=True)
class Work:
    """Expected size of a request to place.

    Parameters
    ----------
    tier_rank : int
        Rank of its tier; 0 is the highest.
    prompt_tokens, output_tokens : int
        Expected size, in tokens.
    prefix : tuple of int
        Hashes of the leading prompt blocks, longest prefix last.
    """

    tier_rank: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 1
    prefix: tuple[int, ...] = ()


@dataclass(slots=True)
class Candidate:
    """Eligible agent, with the load that the router's own recent requests add.

    Treated as immutable; not frozen because frozen instances are slower to create.

    Parameters
    ----------
    agent : str
        Node identifier.
    failure_domain : str
        Failure domain of the target.
    slow : bool
        Whether the target is slower than its own baseline.
    wait_s : float
        Estimated wait for a slot, in seconds.
    free_slots : int
        Estimated free slots; may be negative.
    load : float
        Requests per slot.
    prefill_tokens_per_s, token_gap_s : float
        Observed speed of the target.
    """

    agent: str
    failure_domain: str = ""
    slow: bool = False
    wait_s: float = 0.0
    free_slots: int = 1
    load: float = 0.0
    prefill_tokens_per_s: float = 1000.0
    token_gap_s: float = 0.01


def prefill_s(candidate: Candidate, tokens: int) -> float:
    """Return the time to prefill the tokens, in seconds."""
    speed = max(candidate.prefill_tokens_per_s, MIN_PREFILL_TOKENS_PER_S)
    return max(tokens, 0) / speed


def decode_s(candidate: Candidate, tokens: int) -> float:
    """Return the time to generate the tokens, in seconds."""
    return tokens * candidate.token_gap_s


def service_s(work: Work, *, prefill_tokens_per_s: float, token_gap_s: float) -> float:
    """Return the time for which work holds a slot without cached prefix, in seconds."""
    speed = max(prefill_tokens_per_s, MIN_PREFILL_TOKENS_PER_S)
    return work.prompt_tokens / speed + work.output_tokens * token_gap_s


def corrected_wait_s(
    *,
    reported_wait_s: float,
    reported_free_slots: int,
    limit: int,
    own_requests: int,
    own_service_s: float,
) -> float:
    """Return the wait including the router's own recent requests, in seconds.

    Parameters
    ----------
    reported_wait_s : float
        Wait of a new reservation in the agent's last digest.
    reported_free_slots : int
        Free slots in that digest.
    limit : int
        Concurrency limit of the agent.
    own_requests : int
        Requests that the router sent to the agent since that digest.
    own_service_s : float
        Total expected service time of those, in seconds.
    """
    free_slots = max(reported_free_slots, 0)
    if own_requests == 0 or own_requests < free_slots:
        return reported_wait_s
    mean_s = own_service_s / own_requests
    queued_ahead = own_requests - free_slots
    return reported_wait_s + (queued_ahead + 1) * mean_s / max(limit, 1)
