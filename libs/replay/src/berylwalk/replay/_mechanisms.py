"""Scheduling mechanisms that a replay can disable, for ablation studies."""

from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module

MECHANISMS: dict[str, dict[str, float]] = {
    "reserved-places": {"_concurrency_limits.RESERVED_REQUESTS": 0},
    "pauses": {"_placement.PAUSE_FACTOR": 0.0},
    "slot-time": {"_placement.SLOT_TIME_WEIGHT": 0.0},
    "load-among-equals": {"_placement.LOAD_WEIGHT": 0.0},
    "start-in-time": {"_request_deadlines.START_SHARE": 1e6},
    "places-beyond-slots": {"_concurrency_limits.MAX_QUEUED_AT_TARGET": 0},
    "waiting": {
        "_request_deadlines.QUEUE_SHARE": 0.0,
        "_request_deadlines.MIN_WAIT_SHARE": 0.0,
    },
    "known-returns": {"_refused_requests.RETURN_TTL_S": 0.0},
    "places-for-in-time": {"_concurrency_limits.LATE_SLOT_SHARE": 1.0},
    "cache-memory": {"_cache_memory.USABLE_SHARE": 1e6},
    "account-shares": {"_account_usage.AVERAGING_S": 1e9},
    "size-order": {"_request_queue.SIZE_WEIGHT": 0.0},
    "long-answers-to-fast-targets": {"_placement.TOO_SLOW_FACTOR": 1.0},
    "target-reports": {"_target_load.MAX_AGE_ON_ARRIVAL_S": -1.0},
    "learned-starts": {"_first_event_model.SOLVE_INTERVAL": 1e9},
}
"""Constants of `berylwalk.dispatch`, as ``module.NAME``, and the values that disable
each mechanism. Only replays change them."""


@contextmanager
def override_settings(changes: dict[str, float]) -> Iterator[None]:
    """Override constants of `berylwalk.dispatch` within a ``with`` block.

    Parameters
    ----------
    changes : dict
        New values by ``module.NAME``, such as
        ``_concurrency_limits.RESERVED_REQUESTS``.

    Raises
    ------
    AttributeError, ModuleNotFoundError
        If a constant or its module does not exist.
    """
    previous = []
    try:
        for name, value in changes.items():
            module_name, _, attribute = name.partition(".")
            module = import_module(f"berylwalk.dispatch.{module_name}")
            previous.append((module, attribute, getattr(module, attribute)))
            setattr(module, attribute, type(previous[-1][2])(value))
        yield
    finally:
        for module, attribute, value in reversed(previous):
            setattr(module, attribute, value)
