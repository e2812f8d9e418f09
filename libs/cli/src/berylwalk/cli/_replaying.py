"""Loads replayed in virtual time on the decisions of the direct router."""

from argparse import ArgumentTypeError, Namespace
from dataclasses import asdict, fields
from pathlib import Path
from typing import TYPE_CHECKING

from berylwalk.cli._exit_codes import CommandError, ExitCode

if TYPE_CHECKING:
    from berylwalk.replay import Measures


def setting_change(text: str) -> tuple[str, float]:
    """Return the name and the new value of ``NAME=VALUE``."""
    name, equals, value = text.partition("=")
    try:
        return name, float(value)
    except ValueError:
        problem = "" if equals else "a setting is given as NAME=VALUE"
        raise ArgumentTypeError(problem or f"{value!r} is no number") from None


def replay(arguments: Namespace) -> ExitCode:
    """Print the measures of a scenario, and those without a mechanism beside them.

    Parameters
    ----------
    arguments : Namespace
        With ``scenario``, ``seeds``, ``without`` and ``changes``.

    Raises
    ------
    CommandError
        When the scenario or a setting is not there or not as it should be.
    """
    # Loaded only here: it needs numpy, which no daemon started by this command uses.
    from berylwalk.replay import MECHANISMS, ScenarioError, standard_scenarios

    path = standard_scenarios().get(arguments.scenario, Path(arguments.scenario))
    unknown = sorted(set(arguments.without) - set(MECHANISMS))
    if unknown:
        known = ", ".join(sorted(MECHANISMS))
        raise CommandError(
            ExitCode.FAILED, [f"no mechanism {unknown[0]!r}; there are: {known}"]
        )
    versions = {"as it is": dict(arguments.changes)}
    for name in arguments.without:
        versions[f"without {name}"] = {**versions["as it is"], **MECHANISMS[name]}
    try:
        for name, changes in versions.items():
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
        of_kind = [asdict(measures[kind]) for measures in runs if kind in measures]
        means = [sum(each[key] for each in of_kind) / len(of_kind) for key in names]
        print(f"{kind:10}" + "".join(f"{mean:15.3f}" for mean in means))
