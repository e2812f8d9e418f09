"""Seeded schedules of calls."""

from dataclasses import dataclass, field

import msgspec
import numpy as np

from loadbench.shapes import CallKind, ModelCallKind, Shape

ZIPF_EXPONENT = 1.0


class ScheduledCall(msgspec.Struct, array_like=True):
    """Call with its time of arrival.

    Parameters
    ----------
    at : float
        Time since the start of the scenario, in seconds.
    kind : int
        Index into the kinds of the shape.
    account : str
        Client account that sends the call.
    document : int
        Number of the document whose prefix the call shares.
    number : int
        Number of the call, unique in the scenario.
    router : int
        Index of the router that the load balancer selects.
    """

    at: float
    kind: int
    account: str
    document: int
    number: int
    router: int


@dataclass(frozen=True, slots=True)
class Phase:
    """Part of a scenario with constant arrival rates.

    Parameters
    ----------
    start, end : float
        Bounds as shares of the scenario's length, from 0 to 1.
    load : float
        Multiple of the engines' capacity.
    load_by_account : dict of str to float
        Multiples for single accounts, which override their share of `load`.
    """

    start: float
    end: float
    load: float
    load_by_account: dict[str, float] = field(default_factory=dict)


def build_calls(
    shape: Shape,
    phases: tuple[Phase, ...],
    rate_by_service: dict[str, float],
    *,
    seconds: float,
    routers: int,
    rng: np.random.Generator,
) -> list[ScheduledCall]:
    """Return the calls of a scenario, in order of time."""
    calls = []
    for phase in phases:
        for index, kind in enumerate(shape.kinds):
            for account in shape.share_by_account:
                rate = _rate(shape, phase, kind, account, rate_by_service)
                for at in _arrivals(rate, phase, seconds, rng):
                    calls.append(_call(at, index, kind, account, routers, rng))
    calls.sort(key=lambda call: call.at)
    for number, call in enumerate(calls):
        call.number = number
    return calls


def _rate(
    shape: Shape,
    phase: Phase,
    kind: CallKind,
    account: str,
    rate_by_service: dict[str, float],
) -> float:
    full_rate = (
        rate_by_service[kind.service] if isinstance(kind, ModelCallKind) else kind.rate
    )
    account_load = phase.load_by_account.get(account)
    if account_load is None:
        account_load = phase.load * shape.share_by_account[account]
    return full_rate * account_load


def _arrivals(
    rate: float, phase: Phase, seconds: float, rng: np.random.Generator
) -> np.ndarray:
    start, end = phase.start * seconds, phase.end * seconds
    count = rng.poisson(rate * (end - start))
    return rng.uniform(start, end, count)


def _call(
    at: float,
    index: int,
    kind: CallKind,
    account: str,
    routers: int,
    rng: np.random.Generator,
) -> ScheduledCall:
    document = 0
    if isinstance(kind, ModelCallKind) and kind.documents > 1:
        document = _zipf(kind.documents, rng)
    return ScheduledCall(
        float(at), index, account, document, 0, int(rng.integers(routers))
    )


def _zipf(count: int, rng: np.random.Generator) -> int:
    weights = 1.0 / np.arange(1, count + 1) ** ZIPF_EXPONENT
    return int(rng.choice(count, p=weights / weights.sum()))
