"""Table and plots of the figures."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from loadbench.measures import ScenarioFigures
from loadbench.shapes import TIERS

HEADER = (
    f"{'scenario':<24} {'treatment':<10} {'offered':>7} {'good':>6} "
    + " ".join(f"{tier.name[:6]:>6}" for tier in TIERS)
    + f" {'tok/s':>7} {'waste':>8} {'idle':>5} {'jain':>5} "
    f"{'1st p50/p95/p99 ms':>20} {'not-run p99':>11} {'unkn':>5} "
    f"{'lag':>5} {'cores':>5} {'load':>5}"
)


def table_line(figures: ScenarioFigures) -> str:
    """Return one row of the table, with first-token times of the top tier."""
    top = figures.tiers[TIERS[0].name]
    tiers = " ".join(f"{figures.tiers[tier.name].goodput:6.3f}" for tier in TIERS)
    first = "/".join(f"{each:.0f}" for each in top.first_token_ms)
    not_run = max((tier.not_run_ms[-1] for tier in figures.tiers.values()), default=0.0)
    unknown = sum(tier.unknown for tier in figures.tiers.values())
    return (
        f"{figures.scenario:<24} {figures.treatment:<10} {figures.offered:>7} "
        f"{figures.good:>6} {tiers} {figures.good_tokens / figures.seconds:>7.0f} "
        f"{figures.wasted_tokens:>8} {figures.idle_share:5.2f} {figures.jain:5.2f} "
        f"{first:>20} {not_run:>11.0f} {unknown:>5} "
        f"{figures.lag_ms_p99:5.0f} {figures.cpu_cores:5.1f} "
        f"{figures.load_average:5.1f}"
    )


def plot(all_figures: list[ScenarioFigures], path: Path) -> None:
    """Plot the goodput by tier and the wasted prefill of each scenario."""
    names = list(dict.fromkeys((each.shape, each.scenario) for each in all_figures))
    treatments = list(dict.fromkeys(each.treatment for each in all_figures))
    figure, axes = pyplot.subplots(
        len(TIERS) + 1, 1, figsize=(max(8, len(names)), 14), sharex=True
    )
    for position, tier in enumerate(TIERS):
        _draw_bars(
            axes[position],
            names,
            treatments,
            {_key(each): each.tiers[tier.name].goodput for each in all_figures},
        )
        axes[position].set_ylabel(f"goodput\n{tier.name}")
        axes[position].set_ylim(0, 1.05)
    wasted = {_key(each): each.wasted_tokens for each in all_figures}
    _draw_bars(axes[-1], names, treatments, wasted)
    axes[-1].set_ylabel("wasted prefill\n(tokens)")
    axes[0].legend()
    axes[-1].set_xticks(
        range(len(names)),
        [f"{shape}\n{scenario}" for shape, scenario in names],
        rotation=60,
        ha="right",
        fontsize=7,
    )
    figure.tight_layout()
    figure.savefig(path)


def _key(figures: ScenarioFigures) -> tuple[str, str, str]:
    return figures.shape, figures.scenario, figures.treatment


def _draw_bars(axis, names, treatments, value_by_key) -> None:
    width = 0.8 / len(treatments)
    for number, treatment in enumerate(treatments):
        positions = [index + number * width - 0.4 for index in range(len(names))]
        heights = [value_by_key.get((*name, treatment), 0.0) for name in names]
        axis.bar(positions, heights, width, align="edge", label=treatment)
