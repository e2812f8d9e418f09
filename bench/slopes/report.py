"""Output of slopes as JSON lines and as a table."""

from collections.abc import Iterable
from dataclasses import asdict
from os import cpu_count, getloadavg
from time import gmtime, strftime

import msgspec

from slopes.fitting import Slope

HEADER = ("what", "slope", "unit", "at 0", "R2", "spread")
ROW = "{:<66} {:>10} {:<26} {:>10} {:>6} {:>6}"


def json_line(slope: Slope) -> str:
    """Return a slope as one line of JSON."""
    return msgspec.json.encode(asdict(slope)).decode()


def environment_json() -> str:
    """Return the date, CPU count and load average as JSON."""
    return msgspec.json.encode(
        {
            "date": strftime("%Y-%m-%dT%H:%M:%SZ", gmtime()),
            "processors": cpu_count(),
            "load_average": getloadavg(),
        }
    ).decode()


def table(slopes: Iterable[Slope]) -> str:
    """Return the slopes as a text table."""
    rows = [ROW.format(*HEADER)]
    rows += [ROW.format(*_cells(slope)) for slope in slopes]
    return "\n".join(rows)


def _cells(slope: Slope) -> tuple[str, ...]:
    return (
        slope.name,
        f"{slope.slope:.4g}",
        f"{slope.unit} per {slope.per}",
        f"{slope.intercept:.4g}",
        f"{slope.r2:.3f}",
        f"{slope.spread:.2f}",
    )
