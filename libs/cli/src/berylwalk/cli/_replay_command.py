"""Command that simulates a load in virtual time."""

from argparse import ArgumentTypeError, Namespace
from dataclasses import asdict, fields
from pathlib import Path
from typing import TYPE_CHECKING

from berylwalk.cli._exit_codes import CommandError, ExitCode

if TYPE_CHECKING:
    from berylwalk.replay import Measures


def parse_override(text: str) -> tuple[str, float]:
    """Parse ``NAME=VALUE`` into the name of a constant and its new value."""
    name, equals, value = text.partition("=")
    try:
        return name, float(value)
    except ValueError:
        problem = "" if equals else "expected NAME=VALUE"
        raise ArgumentTypeError(problem or f"{value!r} is not a number") from None


def replay(arguments: Namespace) -> ExitCode:
    """Print the results of a scenario, and those without each given mechanism.

    Parameters
    ----------
    arguments : Namespace
        With ``scenario``, ``seeds``, ``without`` and ``changes``.

    Raises
    ------
    CommandError
        If the scenario, a mechanism or a constant is unknown or invalid.
    """
    # Imported here so that the daemons do not load numpy.
    from berylwalk.replay import MECHANISMS, ScenarioError, standard_scenarios

    path = standard_scenarios().get(arguments.scenario, Path(arguments.scenario))
    unknown = sorted(set(arguments.without) - set(MECHANISMS))
    if unknown:
        known = ", ".join(sorted(MECHANISMS))
        raise CommandError(
            ExitCode.FAILED, [f"no mechanism {unknown[0]!r}; there are: {known}"]
        )
    variants = {"as it is": dict(arguments.changes)}
    for name in arguments.without:
        variants[f"without {name}"] = {**variants["as it is"], **MECHANISMS[name]}
    try:
        for name, changes in variants.items():
            _print_table(name, _runs(path, changes, arguments.seeds))
    except (ScenarioError, OSError, AttributeError, ModuleNotFoundError) as error:
        raise CommandError(ExitCode.FAILED, [str(error)]) from error
    return ExitCode.OK


def _runs(
    path: Path, changes: dict[str, float], seeds: int
) -> list[dict[str, "Measures"]]:
    from berylwalk.replay import measure, override_settings, read_scenario, run

    scenario = read_scenario(path)
    with override_settings(changes):
        return [measure(run(scenario, seed=seed)) for seed in range(1, seeds + 1)]


def _print_table(name: str, runs: list[dict[str, "Measures"]]) -> None:
    names = [field.name for field in fields(runs[0]["all"])]
    print(f"{name}, mean of {len(runs)} seeds")
    print(f"{'':10}" + "".join(f"{each:>15}" for each in names))
    for kind in runs[0]:
        kind_measures = [
            asdict(measures[kind]) for measures in runs if kind in measures
        ]
        means = [
            sum(each[key] for each in kind_measures) / len(kind_measures)
            for key in names
        ]
        print(f"{kind:10}" + "".join(f"{mean:15.3f}" for mean in means))
