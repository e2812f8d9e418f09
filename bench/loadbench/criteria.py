"""Acceptance criteria of the policy, as ratios of figures of one run."""

from dataclasses import dataclass

from loadbench import scenarios
from loadbench.fleets import BASELINE, POLICY
from loadbench.measures import ScenarioFigures
from loadbench.shapes import TIERS, Shape

FiguresByKey = dict[tuple[str, str], ScenarioFigures]
"""Figures by treatment and scenario."""

TOP_TIER = TIERS[0].name
MIN_TOP_TIER_GOODPUT = 0.99
MIN_GOODPUT_RATIO = 1.5
MAX_WASTE_RATIO = 0.3
MIN_FAULT_RATIO = 0.98
MIN_OUTAGE_RATIO = 0.98
MIN_QUIET_ACCOUNT_RATIO = 0.9


@dataclass(frozen=True, slots=True)
class CriterionResult:
    """Measured value of one acceptance criterion.

    Parameters
    ----------
    criterion : str
        Description with the threshold.
    value : float
        Measured value.
    is_met : bool
        Whether the value satisfies the threshold.
    """

    criterion: str
    value: float
    is_met: bool

    def line(self) -> str:
        """Return the result as a line for the terminal."""
        return (
            f"{'met   ' if self.is_met else 'MISSED'}  "
            f"{self.criterion}: {self.value:.3f}"
        )


def evaluate_criteria(
    shape: Shape, figures_by_key: FiguresByKey
) -> list[CriterionResult]:
    """Evaluate the criteria whose scenarios were run."""
    results = []
    twice = figures_by_key.get((POLICY, scenarios.TWICE_CAPACITY))
    baseline = figures_by_key.get((BASELINE, scenarios.TWICE_CAPACITY))
    if twice is not None:
        results.append(
            _check_minimum(
                "top tier's goodput at twice capacity >= 0.99",
                twice.tiers[TOP_TIER].goodput,
                MIN_TOP_TIER_GOODPUT,
            )
        )
    if twice is not None and baseline is not None:
        results += _compare_with_baseline(twice, baseline)
    half = figures_by_key.get((POLICY, scenarios.HALF_LOAD))
    if half is not None:
        results += _compare_with_half_load(shape, half, figures_by_key)
    return results


def _compare_with_baseline(
    twice: ScenarioFigures, baseline: ScenarioFigures
) -> list[CriterionResult]:
    waste = twice.wasted_tokens / max(baseline.wasted_tokens, 1)
    return [
        _check_minimum(
            "answers at twice capacity / baseline's >= 1.5",
            twice.good / max(baseline.good, 1),
            MIN_GOODPUT_RATIO,
        ),
        _check_minimum(
            "tokens of good answers at twice capacity / baseline's >= 1.5",
            twice.good_tokens / max(baseline.good_tokens, 1),
            MIN_GOODPUT_RATIO,
        ),
        CriterionResult(
            "wasted prefill at twice capacity / baseline's <= 0.3",
            waste,
            waste <= MAX_WASTE_RATIO,
        ),
    ]


def _compare_with_half_load(
    shape: Shape, half: ScenarioFigures, figures_by_key: FiguresByKey
) -> list[CriterionResult]:
    results = []
    for name in (scenarios.STRAGGLER, scenarios.ENGINE_KILLED):
        faulted = figures_by_key.get((POLICY, name))
        if faulted is None:
            continue
        ratio = faulted.tiers[TOP_TIER].goodput / max(
            half.tiers[TOP_TIER].goodput, 1e-9
        )
        criterion = f"top tier's goodput with {name} / unfaulted >= 0.98"
        results.append(_check_minimum(criterion, ratio, MIN_FAULT_RATIO))
    outage = figures_by_key.get((POLICY, scenarios.PLATFORM_OUTAGE))
    if outage is not None:
        ratio = _goodput(outage) / max(_goodput(half), 1e-9)
        criterion = "goodput with the platform out / unfaulted >= 0.98"
        results.append(_check_minimum(criterion, ratio, MIN_OUTAGE_RATIO))
    flood = figures_by_key.get((POLICY, scenarios.ACCOUNT_FLOOD))
    if flood is not None:
        _, *quiet_accounts = shape.share_by_account
        worst = min(
            flood.goodput_by_account[account]
            / max(half.goodput_by_account[account], 1e-9)
            for account in quiet_accounts
        )
        criterion = "goodput of the worst quiet account / unfaulted >= 0.9"
        results.append(_check_minimum(criterion, worst, MIN_QUIET_ACCOUNT_RATIO))
    return results


def _goodput(figures: ScenarioFigures) -> float:
    return figures.good / max(figures.offered, 1)


def _check_minimum(criterion: str, value: float, threshold: float) -> CriterionResult:
    return CriterionResult(criterion, value, value >= threshold)
