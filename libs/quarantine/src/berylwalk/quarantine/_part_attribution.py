"""Attributes crashes of targets to parts of prompts.

A part is shared by many requests, so that a common harmless part gathers crashes as
fast as a faulty one. Two facts separate them: a target crashes before it begins to
respond to a faulty part, so that only requests without a response are implicated, and a
response that begins clears all parts of its prompt.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping

from berylwalk.quarantine._attribution import (
    CRASHES_TO_BLAME,
    CRASHES_TO_SUSPECT,
    NO_ATTRIBUTION,
    Attribution,
)
from berylwalk.quarantine._identity import Identity

SAME_CAUSE_S = 0.3
"""Crashes within this time count once against a part that was in use before: a failure
of a whole failure domain terminates many targets at once."""
IN_USE_S = 10.0
"""Time since a response with a part began for which the part counts as in use."""
MAX_PARTS_IN_USE = 4096


class PartsInUse:
    """The parts of prompts to which this router has recently seen responses begin."""

    def __init__(self) -> None:
        self._begun_at_by_part: OrderedDict[Identity, float] = OrderedDict()

    def record(self, parts: Iterable[Identity], now: float) -> None:
        """Record that a response to a prompt with these parts has begun."""
        for part in parts:
            self._begun_at_by_part[part] = now
            self._begun_at_by_part.move_to_end(part)
        while len(self._begun_at_by_part) > MAX_PARTS_IN_USE:
            self._begun_at_by_part.popitem(last=False)

    def contains(self, part: Identity, now: float) -> bool:
        """Return whether a response with the part began within `IN_USE_S`."""
        return now - self._begun_at_by_part.get(part, float("-inf")) <= IN_USE_S


def attribute_part_crashes(
    crashed_at_by_part: Mapping[Identity, Mapping[str, float]],
    *,
    is_in_use: Callable[[Identity], bool],
) -> Attribution:
    """Return which parts of prompts are to blame for crashes.

    Each part counts for itself: explaining crashes by one part would hide the faulty
    one behind a common one. A harmless part that is blamed is cleared by its first
    trial, and so all blamed parts are contested.

    Parameters
    ----------
    crashed_at_by_part : mapping
        Times of the crashes under each part, in seconds, by incarnation of the target.
    is_in_use : callable
        Whether a response with the part began recently.
    """
    if not crashed_at_by_part:
        return NO_ATTRIBUTION
    counts = {
        part: _separate_moments(crashed_at.values())
        if is_in_use(part)
        else len(crashed_at)
        for part, crashed_at in crashed_at_by_part.items()
    }
    blamed = {
        part: frozenset(crashed_at_by_part[part])
        for part, count in counts.items()
        if count >= CRASHES_TO_BLAME
    }
    suspected = {
        part
        for part, count in counts.items()
        if CRASHES_TO_SUSPECT <= count < CRASHES_TO_BLAME
    }
    return Attribution(blamed, suspected, blamed.keys())


def _separate_moments(times: Collection[float]) -> int:
    """Return how many of the times are more than `SAME_CAUSE_S` apart."""
    moments = 0
    last = float("-inf")
    for time in sorted(times):
        if time - last > SAME_CAUSE_S:
            moments += 1
            last = time
    return moments
