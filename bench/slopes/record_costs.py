"""Costs of idempotency records: calls of the key-value service and CPU time."""

from functools import partial

import anyio

from berylwalk.model import Request
from berylwalk.router._idempotency import Claimed, IdempotencyRecords
from berylwalk.router._record_leases import RecordLeases
from berylwalk.standins.memory import InMemoryKeyValue
from slopes.costs import cpu_time_us
from slopes.fitting import Slope, measure_slope
from slopes.routers import SimulatedRouter
from slopes.scale import Scale

RECORD_COUNTS = (50, 100, 200, 400)
LIFETIME_S = 3600.0


def measure(scale: Scale) -> list[Slope]:
    """Measure calls, writes and CPU time of claimed and completed records."""
    measure_records = partial(measure_slope, per="record", sizes=RECORD_COUNTS)
    return [
        measure_records(
            _store_calls,
            name="idempotency: calls of the key-value service",
            unit="calls",
            repeats=1,
        ),
        measure_records(
            _store_writes,
            name="idempotency: writes of the key-value service",
            unit="writes",
            repeats=1,
        ),
        measure_records(
            _cpu_time,
            name="idempotency: claim and completion, store in memory",
            unit="us",
            repeats=scale.repeats,
        ),
    ]


def _store_calls(count: int) -> float:
    store = InMemoryKeyValue()
    anyio.run(_claim_all, store, _requests(count))
    return float(store.calls)


def _store_writes(count: int) -> float:
    store = InMemoryKeyValue()
    anyio.run(_claim_all, store, _requests(count))
    return float(store.revision)


def _cpu_time(count: int) -> float:
    requests = _requests(count)
    store = InMemoryKeyValue()
    return cpu_time_us(partial(anyio.run, _claim_all, store, requests))


def _requests(count: int) -> list[Request]:
    router = SimulatedRouter(1)
    requests = [router.request(0) for _ in range(count)]
    for request in requests:
        key = f"key-{request.request_id.serial}"
        object.__setattr__(request, "idempotency_key", key)
    return requests


async def _claim_all(store: InMemoryKeyValue, requests: list[Request]) -> None:
    leases = RecordLeases(store, lifetime_s=LIFETIME_S)
    records = IdempotencyRecords(store, leases, clock=lambda: 1000.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(records.run_writer)
        for request in requests:
            if not isinstance(await records.claim(request), Claimed):
                raise RuntimeError(
                    "idempotency record was not claimed; the measurement is invalid"
                )
            records.complete(request, 200, None)
        await records.flush()
        tasks.cancel_scope.cancel()
