"""Generation of the requests of a scenario."""

from numpy.random import Generator

from berylwalk.dispatch import Work
from berylwalk.replay._outcome import Outcome
from berylwalk.replay._scenario import RequestKind, Scenario


def generate_requests(scenario: Scenario, random: Generator) -> list[Outcome]:
    """Generate all requests with Poisson arrivals and log-normal sizes."""
    outcomes = []
    for kind in scenario.load.kinds:
        now = 0.0
        while True:
            now += random.exponential(
                1 / (kind.per_s * _rate_factor(scenario, kind, now))
            )
            if now >= scenario.load.length_s:
                break
            work = Work(
                _draw_tokens(kind.prompt_tokens, kind.spread, random),
                _draw_tokens(kind.output_tokens, kind.spread, random),
            )
            outcomes.append(Outcome(kind, now, work))
    return sorted(outcomes, key=lambda outcome: outcome.sent_at)


def _rate_factor(scenario: Scenario, kind: RequestKind, now: float) -> float:
    factor = 1.0
    for surge in scenario.load.surges:
        if surge.kind in ("", kind.name) and 0 <= now - surge.at_s < surge.for_s:
            factor *= surge.factor
    return factor


def _draw_tokens(mean: float, spread: float, random: Generator) -> int:
    # The mean of a log-normal distribution is exp(mu + sigma**2 / 2).
    return max(1, int(mean * random.lognormal(-spread * spread / 2, spread)))
