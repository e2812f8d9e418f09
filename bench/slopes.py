"""Measure how costs grow with requests, messages, peers and settings.

Prints one JSON line for each slope and a table at the end. The
measurements use CPU time and repeat each size, which limits the influence of
other processes on the machine.
"""

from argparse import ArgumentParser
from types import ModuleType

from absl import logging

from slopes import (
    fleet_costs,
    message_costs,
    peer_costs,
    record_costs,
    request_costs,
    settings_costs,
)
from slopes.report import environment_json, json_line, table
from slopes.scale import FULL, QUICK

GROUPS_BY_NAME: dict[str, ModuleType] = {
    "requests": request_costs,
    "messages": message_costs,
    "peers": peer_costs,
    "settings": settings_costs,
    "records": record_costs,
    "fleets": fleet_costs,
}


def build_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(prog="bench/slopes.py", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="at most 40 s, rougher")
    parser.add_argument(
        "--group", action="append", choices=tuple(GROUPS_BY_NAME), help="all"
    )
    return parser


def main() -> None:
    """Measure and print the slopes."""
    options = build_parser().parse_args()
    logging.set_verbosity(logging.ERROR)
    scale = QUICK if options.quick else FULL
    slopes = []
    print(environment_json(), flush=True)
    for name in options.group or GROUPS_BY_NAME:
        for slope in GROUPS_BY_NAME[name].measure(scale):
            slopes.append(slope)
            print(json_line(slope), flush=True)
    print(environment_json())
    print(table(slopes))


if __name__ == "__main__":
    main()
