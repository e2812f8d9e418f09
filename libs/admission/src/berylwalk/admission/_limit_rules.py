"""Rules that adapt the slot limit; interchangeable, so that they compare."""

from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

FAST_GROWTH_MAX_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class LoadSample:
    """What was observed in one window.

    Parameters
    ----------
    pressure : float
        Observed time divided by its target; the larger of the token gap's and
        the first token's. Above 1 the target is overloaded.
    saturated : bool
        Whether all slots were in use, so that more could have run.
    """

    latency_ratio: float
    saturated: bool


LimitRule = Callable[[float, LoadSample], float]
"""From the limit and a sample to the next limit, before bounds apply."""


def fixed() -> LimitRule:
    """Return the rule that keeps the limit."""

    def next_limit(limit: float, sample: LoadSample) -> float:
        return limit

    return next_limit


def aimd(
    *, increase: float = 1.0, decrease: float = 0.9, growth: float = 0.1
) -> LimitRule:
    """Return additive increase, multiplicative decrease.

    Parameters
    ----------
    increase : float
        Slots added in a saturated window without overload.
    decrease : float
        Factor applied in an overloaded window.
    growth : float
        Share of the limit added instead, if it is more, while the observed time
        is less than half of its target.
    """

    def next_limit(limit: float, sample: LoadSample) -> float:
        if sample.latency_ratio > 1.0:
            return limit * decrease
        if not sample.saturated:
            return limit
        if sample.latency_ratio < FAST_GROWTH_MAX_RATIO:
            return limit + max(increase, growth * limit)
        return limit + increase

    return next_limit


def gradient(*, smoothing: float = 0.5, floor: float = 0.5) -> LimitRule:
    """Return the rule that follows the ratio of the wanted to the observed time.

    Parameters
    ----------
    smoothing : float
        Share of the new value, from 0 to 1.
    floor : float
        Least ratio, which bounds how far one window lowers the limit.
    """

    def next_limit(limit: float, sample: LoadSample) -> float:
        ratio = 1.0 / max(sample.latency_ratio, 1.0)
        wanted = limit * max(ratio, floor)
        if sample.saturated and sample.latency_ratio <= 1.0:
            wanted += sqrt(limit)
        return limit + smoothing * (wanted - limit)

    return next_limit
