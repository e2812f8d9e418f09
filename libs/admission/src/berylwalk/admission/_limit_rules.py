"""Interchangeable rules that adapt a concurrency limit to observed latency."""

from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

FAST_GROWTH_MAX_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of the target, as observed in one window.

    Parameters
    ----------
    latency_ratio : float
        Observed latency divided by the desired one; the larger of the ratios for
        the token gap and the first token. Above 1 the target is overloaded.
    saturated : bool
        Whether all slots were in use.
    """

    latency_ratio: float
    saturated: bool


LimitRule = Callable[[float, LoadSample], float]
"""Maps the limit and a sample to the next limit, before bounds apply."""


def fixed() -> LimitRule:
    """Return a rule that never changes the limit."""

    def next_limit(limit: float, sample: LoadSample) -> float:
        return limit

    return next_limit


def aimd(
    *, increase: float = 1.0, decrease: float = 0.9, growth: float = 0.1
) -> LimitRule:
    """Return a rule of additive increase and multiplicative decrease.

    Parameters
    ----------
    increase : float
        Slots added in a saturated window without overload.
    decrease : float
        Factor applied in an overloaded window.
    growth : float
        Share of the limit added instead, if it is more, while the latency ratio
        is below `FAST_GROWTH_MAX_RATIO`.
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
    """Return a rule that follows the ratio of desired to observed latency.

    Parameters
    ----------
    smoothing : float
        Weight of the new value, from 0 to 1.
    floor : float
        Least ratio; bounds how far one window lowers the limit.
    """

    def next_limit(limit: float, sample: LoadSample) -> float:
        ratio = 1.0 / max(sample.latency_ratio, 1.0)
        proposed = limit * max(ratio, floor)
        if sample.saturated and sample.latency_ratio <= 1.0:
            proposed += sqrt(limit)
        return limit + smoothing * (proposed - limit)

    return next_limit
