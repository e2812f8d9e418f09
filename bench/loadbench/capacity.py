"""Analytical capacity of the engines.

An engine with a full batch emits one token for each request in each step, and
a prefill blocks the whole batch. One request therefore uses
``output / batch * step(batch) + uncached prompt / prefill rate`` of the engine's
time. Shared prefixes count as cached, so this is an upper bound of the capacity.
"""

from berylwalk.localfleet import EngineSpec
from loadbench.shapes import ModelCallKind, Shape


def engine_time_s(engine: EngineSpec, kind: ModelCallKind) -> float:
    """Return the time of an engine with a full batch that a call uses, in seconds."""
    batch = engine.max_batch
    step_s = engine.step_ms / 1000 * (1 + engine.batch_slope * batch)
    shared = kind.shared_tokens if kind.documents > 1 else 0
    prefill_s = (kind.prompt_tokens - shared) / engine.prefill_tokens_per_s
    return kind.output_tokens / batch * step_s + prefill_s


def saturating_rates(shape: Shape, engines: tuple[EngineSpec, ...]) -> dict[str, float]:
    """Return calls per second by service that saturate all engines."""
    reference = engines[0]
    count_by_service = {
        kind.service: kind.work_share / engine_time_s(reference, kind)
        for kind in shape.model_kinds
    }
    mixes = [
        sum(
            count_by_service[kind.service] * engine_time_s(engine, kind)
            for kind in shape.model_kinds
        )
        for engine in engines
    ]
    # An engine serves 1 / mix mixes of calls per second.
    total = sum(1.0 / mix for mix in mixes)
    return {service: count * total for service, count in count_by_service.items()}
