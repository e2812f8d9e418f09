"""Strategies that choose one of the eligible agents."""

from collections.abc import Callable, Sequence
from random import Random

from berylwalk.affinity import PlacementHistory
from berylwalk.placement._affinity import (
    cached_tokens_by_agent,
    has_known_prefix,
    most_cached_within_bound,
)
from berylwalk.placement._candidates import (
    Candidate,
    Work,
    decode_s,
    prefill_s,
)

Chooser = Callable[[Work, Sequence[Candidate]], Candidate]
"""Chooses one of the candidates; there is at least one."""

CROSS_DOMAIN_PENALTY_S = 0.002
"""Added to the expected finish in another failure domain, in seconds."""


def expected_finish_s(
    candidate: Candidate, work: Work, *, cached_tokens: int, failure_domain: str
) -> float:
    """Return the expected time to the complete response, in seconds.

    Parameters
    ----------
    candidate : Candidate
        The agent.
    work : Work
        The request.
    cached_tokens : int
        Prompt tokens that the agent probably has cached.
    failure_domain : str
        Failure domain of the router; others incur a small penalty.
    """
    score = candidate.wait_s
    score += prefill_s(candidate, work.prompt_tokens - cached_tokens)
    score += decode_s(candidate, work.output_tokens)
    if candidate.failure_domain != failure_domain:
        score += CROSS_DOMAIN_PENALTY_S
    return score


def earliest_finish(
    history: PlacementHistory, *, failure_domain: str, rng: Random
) -> Chooser:
    """Return a strategy that chooses the agent with the earliest expected finish.

    A prompt with a known prefix goes to an agent that has it cached if that agent
    finishes within a bound, because prefill also delays the other requests of the
    batch, which the expected finish does not include.

    Ties are broken by load and then at random, so that routers do not all choose
    the same idle agent.
    """

    def choose(work: Work, candidates: Sequence[Candidate]) -> Candidate:
        tokens_by_agent = cached_tokens_by_agent(work, candidates, history)

        score_by_agent = {
            candidate.agent: expected_finish_s(
                candidate,
                work,
                cached_tokens=tokens_by_agent.get(candidate.agent, 0),
                failure_domain=failure_domain,
            )
            for candidate in candidates
        }
        if has_known_prefix(work, history):
            return most_cached_within_bound(work, candidates, history, score_by_agent)

        def rank(candidate: Candidate) -> tuple[float, float, float]:
            return score_by_agent[candidate.agent], candidate.load, rng.random()

        return min(candidates, key=rank)

    return choose


def least_wait(rng: Random) -> Chooser:
    """Return a strategy that chooses the agent with the least estimated wait."""

    def choose(_work: Work, candidates: Sequence[Candidate]) -> Candidate:
        return min(
            candidates,
            key=lambda candidate: (candidate.wait_s, candidate.load, rng.random()),
        )

    return choose


def power_of_two(rng: Random) -> Chooser:
    """Return a strategy that chooses the less loaded of two random agents."""

    def choose(_work: Work, candidates: Sequence[Candidate]) -> Candidate:
        sample = rng.sample(candidates, min(2, len(candidates)))
        return min(sample, key=lambda candidate: (candidate.wait_s, candidate.load))

    return choose


def round_robin() -> Chooser:
    """Return a strategy that chooses the agents in turn, ordered by name."""
    last = ""

    def choose(_work: Work, candidates: Sequence[Candidate]) -> Candidate:
        nonlocal last
        chosen = min(
            candidates, key=lambda candidate: (candidate.agent <= last, candidate.agent)
        )
        last = chosen.agent
        return chosen

    return choose
