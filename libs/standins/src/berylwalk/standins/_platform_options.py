"""Command line of the platform stand-in."""

from argparse import ArgumentParser
from pathlib import Path

from msgspec import Struct

from berylwalk.standins._weights import DEFAULT_WEIGHT_BYTES, DEFAULT_WEIGHT_RATE

DEFAULT_PORT = 2379


class VmMessage(Struct):
    """An entry of the VM list."""

    vm_id: str
    address: str
    failure_domain: str
    role: str
    state: str = "live"


def parse_vm(text: str) -> VmMessage:
    """Parse ``id,address,failure_domain,role``."""
    vm_id, address, failure_domain, role = text.split(",")
    return VmMessage(vm_id, address, failure_domain, role)


def build_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(prog="python -m berylwalk.standins.platform")
    parser.description = "Stand-in of the platform, for tests and the demo."
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=DEFAULT_PORT)
    parser.add_argument(
        "--vm",
        type=parse_vm,
        action="append",
        default=[],
        metavar="ID,ADDRESS,FAILURE_DOMAIN,ROLE",
        help="an entry of the VM list; may be repeated",
    )
    parser.add_argument("--vm-file", type=Path, help='JSON file, {"vms": [...]}')
    parser.add_argument("--vm-list-lag-s", type=float, default=0.0)
    parser.add_argument(
        "--weight-rate",
        type=float,
        default=DEFAULT_WEIGHT_RATE,
        help="maximum number of downloads from the weight store per second",
    )
    parser.add_argument("--weight-bytes", type=int, default=DEFAULT_WEIGHT_BYTES)
    return parser
