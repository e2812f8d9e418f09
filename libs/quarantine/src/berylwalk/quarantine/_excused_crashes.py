"""Crashes that are put down to the state of a target.

A target may crash because its requests together exceed its memory, which says nothing
about any of them. A request that crashes targets by itself must be found though all
targets may be nearly full, so that only few of its crashes are excused.
"""

from collections import OrderedDict

from berylwalk.quarantine._identity import Identity

MAX_EXCUSED = 2
"""Crashes under one request, or one part of prompts, that a router excuses until it is
answered."""
MAX_IDENTITIES = 2_048
"""Identities that are remembered; the least recent are evicted."""


class ExcusedCrashes:
    """Numbers of excused crashes by request or part."""

    def __init__(self) -> None:
        self._incarnations: OrderedDict[Identity, set[str]] = OrderedDict()

    def excuse(self, identity: Identity, incarnation_id: str) -> bool:
        """Return whether a crash of a target is excused, and remember it if so."""
        crashed = self._incarnations.setdefault(identity, set())
        self._incarnations.move_to_end(identity)
        if incarnation_id not in crashed and len(crashed) >= MAX_EXCUSED:
            return False
        crashed.add(incarnation_id)
        if len(self._incarnations) > MAX_IDENTITIES:
            self._incarnations.popitem(last=False)
        return True

    def clear(self, identity: Identity) -> None:
        """Forget the crashes under a request or part that was answered."""
        self._incarnations.pop(identity, None)
