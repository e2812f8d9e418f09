"""Command lines of the target stand-ins."""

from berylwalk.localfleet._addresses import TARGET_PORT
from berylwalk.localfleet._spec import EngineSpec, TargetSpec


def target_arguments(target: TargetSpec, address: str) -> tuple[str, ...]:
    """Return the arguments of the Python interpreter for a target stand-in."""
    address_arguments = ("--host", address, "--port", str(TARGET_PORT))
    if not isinstance(target, EngineSpec):
        delay = ("--delay-ms", str(target.delay_ms))
        return ("-m", "berylwalk.standins.service", *address_arguments, *delay)
    arguments = ["-m", "berylwalk.standins.engine", *address_arguments]
    for model in target.models:
        arguments += ["--model", model]
    arguments += ["--step-ms", str(target.step_ms)]
    arguments += ["--batch-slope", str(target.batch_slope)]
    arguments += ["--prefill-tokens-per-s", str(target.prefill_tokens_per_s)]
    arguments += ["--max-batch", str(target.max_batch)]
    arguments += ["--cache-blocks", str(target.cache_blocks)]
    return tuple(arguments)
