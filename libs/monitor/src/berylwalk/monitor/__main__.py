"""Run a target monitor: ``python -m berylwalk.monitor``."""

import os
from argparse import ArgumentParser
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from anyio import open_signal_receiver, run

from berylwalk.monitor._daemon import TargetMonitor
from berylwalk.platform import SETTINGS_PATH_VARIABLE, decode_monitor_settings


async def _serve(path: Path) -> None:
    settings = decode_monitor_settings(path.read_bytes())
    with (
        open_signal_receiver(SIGTERM, SIGINT) as stops,
        # Addresses are fixed for the lifetime of the process; nothing is reloaded.
        open_signal_receiver(SIGHUP),
    ):
        await TargetMonitor(settings).run(stops)


def main() -> None:
    """Run the monitor until it is asked to stop."""
    parser = ArgumentParser(prog="berylwalk.monitor", description=__doc__)
    parser.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(SETTINGS_PATH_VARIABLE),
        help=f"settings file of the VM; default: the path in {SETTINGS_PATH_VARIABLE}",
    )
    args = parser.parse_args()
    if args.settings is None:
        parser.error(f"--settings or {SETTINGS_PATH_VARIABLE} is needed")
    run(_serve, Path(args.settings))


if __name__ == "__main__":
    main()
