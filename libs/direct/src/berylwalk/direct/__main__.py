"""Run a direct router: ``python -m berylwalk.direct``."""

import os
from argparse import ArgumentParser
from dataclasses import replace
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM

from anyio import create_task_group, open_signal_receiver, run

from berylwalk.direct._daemon import DirectRouter
from berylwalk.direct._measured_loop import MeasuredLoop
from berylwalk.dispatch import RouterSettings
from berylwalk.platform import SETTINGS_PATH_VARIABLE, read_vm_settings


async def _serve(settings: RouterSettings) -> None:
    with (
        open_signal_receiver(SIGTERM, SIGINT) as stops,
        open_signal_receiver(SIGHUP) as reloads,
    ):
        router = DirectRouter.from_settings(settings)
        async with create_task_group() as tasks:

            async def reload() -> None:
                async for _ in reloads:
                    router.log_reload()

            tasks.start_soon(reload)
            await router.run(stops)
            tasks.cancel_scope.cancel()


def main() -> None:
    """Run the router until it is asked to stop."""
    parser = ArgumentParser(prog="berylwalk.direct", description=__doc__)
    parser.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(SETTINGS_PATH_VARIABLE),
        help=f"settings file of the VM; default: the path in {SETTINGS_PATH_VARIABLE}",
    )
    parser.add_argument(
        "--target-monitors",
        action="store_true",
        help="use the reports of the monitors on the VMs of targets",
    )
    parser.add_argument("--uvloop", action="store_true", help="run on uvloop")
    args = parser.parse_args()
    if args.settings is None:
        parser.error(f"--settings or {SETTINGS_PATH_VARIABLE} is needed")
    settings = read_vm_settings(Path(args.settings))
    if not args.target_monitors:
        settings = replace(settings, monitor_port=None)
    options = {"use_uvloop": True} if args.uvloop else {"loop_factory": MeasuredLoop}
    run(_serve, settings, backend_options=options)


if __name__ == "__main__":
    main()
