"""Mechanisms of the policy that a replay can do without, for tables of their worth."""

from collections.abc import Iterator
from contextlib import contextmanager
from importlib import import_module

MECHANISMS: dict[str, dict[str, float]] = {
    "reserved-places": {"_place_limits.RESERVED_PLACES": 0},
    "pauses": {"_placing.PAUSE_FACTOR": 0.0},
    "slot-time": {"_placing.SLOT_TIME_WEIGHT": 0.0},
    "load-among-equals": {"_placing.LOAD_WEIGHT": 0.0},
    "start-in-time": {"_patience.START_SHARE": 1e6},
    "places-beyond-slots": {"_place_limits.MORE_PLACES": 0},
    "waiting": {"_patience.WAIT_SHARE": 0.0},
    "size-order": {"_waiting_line.SIZE_WEIGHT": 0.0},
    "long-answers-to-fast-targets": {"_placing.TOO_SLOW_FACTOR": 1.0},
    "learned-starts": {"_start_model.SOLVED_EACH": 1e9},
}
"""By name: settings, as module and name within `berylwalk.dispatch`, that switch a
mechanism off. The programs that are deployed know nothing of them."""


@contextmanager
def settings_changed(changes: dict[str, float]) -> Iterator[None]:
    """Change settings of the decisions while the context lasts.

    Parameters
    ----------
    changes : dict
        New values by module and name, such as ``_place_limits.RESERVED_PLACES``.

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
