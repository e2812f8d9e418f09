"""The requests of a scenario, drawn at random."""

from numpy.random import Generator

from berylwalk.dispatch import Work
from berylwalk.replay._outcome import Outcome
from berylwalk.replay._scenario import RequestKind, Scenario


def drawn_requests(scenario: Scenario, random: Generator) -> list[Outcome]:
    """Draw all requests: Poisson arrivals, log-normal sizes."""
    outcomes = []
    for kind in scenario.load.kinds:
        now = 0.0
        while True:
            now += random.exponential(1 / (kind.per_s * _factor(scenario, kind, now)))
            if now >= scenario.load.length_s:
                break
            work = Work(
                _size(kind.prompt_tokens, kind.spread, random),
                _size(kind.output_tokens, kind.spread, random),
            )
            outcomes.append(Outcome(kind, now, work))
    return sorted(outcomes, key=lambda outcome: outcome.sent_at)


def _factor(scenario: Scenario, kind: RequestKind, now: float) -> float:
    factor = 1.0
    for surge in scenario.load.surges:
        if surge.kind in ("", kind.name) and 0 <= now - surge.at_s < surge.for_s:
            factor *= surge.factor
    return factor


def _size(mean: float, spread: float, random: Generator) -> int:
    # The mean of a log-normal distribution lies above its median.
    return max(1, int(mean * random.lognormal(-spread * spread / 2, spread)))
