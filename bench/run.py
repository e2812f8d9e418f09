"""Benchmark of the policy against a baseline; see ``docs/operators/bench.md``."""

import signal
import sys
import time
from argparse import ArgumentParser, Namespace
from pathlib import Path

import msgspec

from loadbench import scenarios
from loadbench.criteria import evaluate_criteria
from loadbench.fleets import OVERRIDES_BY_TREATMENT, Overrides
from loadbench.measures import ScenarioFigures
from loadbench.report import HEADER, plot, table_line
from loadbench.shapes import SHAPES_BY_NAME, Shape
from loadbench.trial import Trial

OUTPUT_DIRECTORY = Path(__file__).resolve().parent / "out"
SCENARIO_S = 7.0
QUICK_SCENARIO_S = 5.0
QUICK_SCENARIOS = (
    scenarios.HALF_LOAD,
    scenarios.TWICE_CAPACITY,
    scenarios.ENGINE_KILLED,
)
QUICK_SHAPES = ("parkovisko",)
EXPECTED_EXIT_CODES = (0, -signal.SIGTERM, -signal.SIGKILL)
"""Stand-ins exit by SIGTERM; the last scenario kills a failure domain."""

ALL_SCENARIOS = tuple(
    scenario.name for scenario in scenarios.scenarios(SHAPES_BY_NAME["parkovisko"])
)


def build_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(prog="bench/run.py", description=__doc__)
    parser.add_argument(
        "--shape", action="append", choices=tuple(SHAPES_BY_NAME), help="user; all"
    )
    parser.add_argument(
        "--scenario", action="append", choices=ALL_SCENARIOS, help="all"
    )
    parser.add_argument(
        "--treatment", action="append", choices=tuple(OVERRIDES_BY_TREATMENT)
    )
    parser.add_argument("--seconds", type=float, help="length of a scenario")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="at most two minutes")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="SECTION.KEY=VALUE",
        help="settings of the policy's nodes, for comparisons",
    )
    parser.add_argument("--name", default="run", help="of the output files")
    return parser


def main() -> int:
    """Run the benchmark; return the exit code, 1 if a criterion was not met."""
    args = build_parser().parse_args()
    _set_defaults(args)
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    stamp = time.strftime("%Y%m%d-%H%M%S")
    lines_path = OUTPUT_DIRECTORY / f"{stamp}-{args.name}.jsonl"
    all_figures: list[ScenarioFigures] = []
    missed = False
    for name in args.shape or SHAPES_BY_NAME:
        shape = SHAPES_BY_NAME[name]
        figures_by_key = _run_shape(shape, args, lines_path)
        all_figures += figures_by_key.values()
        print()
        for result in evaluate_criteria(shape, figures_by_key):
            print(result.line(), flush=True)
            missed = missed or not result.is_met
    plot(all_figures, lines_path.with_suffix(".png"))
    print(f"\nfigures: {lines_path}")
    return 1 if missed else 0


def _set_defaults(args: Namespace) -> None:
    if args.quick:
        args.shape = args.shape or list(QUICK_SHAPES)
        args.scenario = args.scenario or list(QUICK_SCENARIOS)
    default = QUICK_SCENARIO_S if args.quick else SCENARIO_S
    args.seconds = args.seconds or default


def _run_shape(
    shape: Shape, args: Namespace, lines_path: Path
) -> dict[tuple[str, str], ScenarioFigures]:
    figures_by_key = {}
    print(f"\n{shape.name}\n{HEADER}", flush=True)
    for treatment in args.treatment or OVERRIDES_BY_TREATMENT:
        overrides = _overrides(treatment, args.set)
        trial = Trial(shape, treatment, overrides, seconds=args.seconds, seed=args.seed)
        try:
            trial.start()
            for index, scenario in enumerate(scenarios.scenarios(shape)):
                if args.scenario and scenario.name not in args.scenario:
                    continue
                figures = trial.run(scenario, index)
                figures_by_key[treatment, scenario.name] = figures
                with lines_path.open("ab") as file:
                    file.write(msgspec.json.encode(figures) + b"\n")
                print(table_line(figures), flush=True)
        finally:
            codes = trial.close()
        unexpected_codes = {
            name: code
            for name, code in codes.items()
            if code not in EXPECTED_EXIT_CODES
        }
        if unexpected_codes:
            print(f"unexpected exit codes: {unexpected_codes}", flush=True)
    return figures_by_key


def _overrides(treatment: str, assignments: list[str]) -> Overrides:
    overrides = {
        section: dict(keys)
        for section, keys in OVERRIDES_BY_TREATMENT[treatment].items()
    }
    if treatment == "baseline":
        return overrides
    for assignment in assignments:
        name, _, value = assignment.partition("=")
        section, _, key = name.partition(".")
        overrides.setdefault(section, {})[key] = value
    return overrides


if __name__ == "__main__":
    sys.exit(main())
