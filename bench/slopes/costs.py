"""Measurement of CPU time and memory in this process."""

import gc
import tracemalloc
from collections.abc import Callable
from time import process_time

US_PER_S = 1e6
BYTES_PER_KIB = 1024


def cpu_time_us(work: Callable[[], object]) -> float:
    """Return the CPU time of a function call, in microseconds."""
    gc.collect()
    start = process_time()
    work()
    return (process_time() - start) * US_PER_S


def memory_kib(build: Callable[[], object]) -> float:
    """Return the memory that a built object retains, in KiB."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        retained = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del retained
    return (after - before) / BYTES_PER_KIB
