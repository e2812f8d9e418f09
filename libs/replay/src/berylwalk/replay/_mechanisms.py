"""Mechanisms of the policy that a replay can do without, for tables of their worth."""

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
    "waiting": {"_request_deadlines.WAIT_SHARE": 0.0},
    "size-order": {"_request_queue.SIZE_WEIGHT": 0.0},
    "long-answers-to-fast-targets": {"_placement.TOO_SLOW_FACTOR": 1.0},
    "learned-starts": {"_first_event_model.SOLVE_INTERVAL": 1e9},
}
"""By name: settings, as module and name within `berylwalk.dispatch`, that switch a
mechanism off. The programs that are deployed know nothing of them."""


@contextmanager
def override_settings(changes: dict[str, float]) -> Iterator[None]:
    """Change settings of the decisions while the context lasts.

    Parameters
    ----------
    changes : dict
        New values by module and name, as in ``_concurrency_limits.RESERVED_REQUESTS``.

    Raises
    ------
    AttributeError, ModuleNotFoundError
        If there is no such setting.
    """
    former = []
    try:
        for name, value in changes.items():
            module_name, _, attribute = name.partition(".")
            module = import_module(f"berylwalk.dispatch.{module_name}")
            former.append((module, attribute, getattr(module, attribute)))
            setattr(module, attribute, type(former[-1][2])(value))
        yield
    finally:
        for module, attribute, value in reversed(former):
            setattr(module, attribute, value)
