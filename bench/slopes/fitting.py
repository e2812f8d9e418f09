"""Linear fits of measured costs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import correlation, linear_regression, median

Measure = Callable[[int], float]
"""Function that measures the cost at one size."""

NO_SPREAD = 0.0
PERFECT_FIT = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Linear fit of a cost over a size.

    Parameters
    ----------
    name : str
        Name of the measured cost.
    per : str
        Item that the size counts.
    unit : str
        Unit of the cost; the slope is in this unit per item.
    slope, intercept : float
        Coefficients of the least-squares line through the medians.
    r2 : float
        Coefficient of determination for the medians.
    spread : float
        Largest range of the repeats of one size, divided by their median.
    sizes : tuple of int
        Measured sizes.
    medians : tuple of float
        Median cost at each size.
    """

    name: str
    per: str
    unit: str
    slope: float
    intercept: float
    r2: float
    spread: float
    sizes: tuple[int, ...]
    medians: tuple[float, ...]


def measure_slope(
    measure: Measure,
    *,
    name: str,
    per: str,
    unit: str,
    sizes: Sequence[int],
    repeats: int,
) -> Slope:
    """Measure a cost at each size and fit a line.

    Each repeat covers all sizes, so that a change of the machine's speed affects
    all sizes equally.

    Parameters
    ----------
    measure : callable
        Function that returns the cost at a size.
    name, per, unit : str
        As in `Slope`.
    sizes : sequence of int
        At least four distinct sizes.
    repeats : int
        Number of measurements of each size.
    """
    costs_by_size: dict[int, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size in sizes:
            costs_by_size[size].append(measure(size))
    return fit(costs_by_size, name=name, per=per, unit=unit)


def fit(
    costs_by_size: dict[int, list[float]], *, name: str, per: str, unit: str
) -> Slope:
    """Fit a line through the medians of the costs."""
    sizes = tuple(costs_by_size)
    medians = tuple(median(costs) for costs in costs_by_size.values())
    line = linear_regression(sizes, medians)
    return Slope(
        name=name,
        per=per,
        unit=unit,
        slope=line.slope,
        intercept=line.intercept,
        r2=_r2(sizes, medians),
        spread=max(map(_spread, costs_by_size.values())),
        sizes=sizes,
        medians=medians,
    )


def _r2(sizes: Sequence[int], medians: Sequence[float]) -> float:
    if len(set(medians)) == 1:
        return PERFECT_FIT
    return correlation(sizes, medians) ** 2


def _spread(costs: Sequence[float]) -> float:
    middle = median(costs)
    return (max(costs) - min(costs)) / middle if middle else NO_SPREAD
