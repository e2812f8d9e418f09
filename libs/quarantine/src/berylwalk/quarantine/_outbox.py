"""What is still to be told, and how often."""

from collections import OrderedDict

from berylwalk.quarantine._identity import Identity

TIMES_TOLD = 4
"""Messages in which each thing is told: of a hundred that lose three in a hundred
messages each, all hear of it."""


class Outbox:
    """Requests and lives that are to be told of, the oldest first."""

    def __init__(self) -> None:
        self._times_by_identity: OrderedDict[Identity, int] = OrderedDict()
        self._times_by_life: OrderedDict[str, int] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._times_by_identity or self._times_by_life)

    def add(self, identity: Identity) -> None:
        """Have a request told of, as it then stands."""
        self._times_by_identity[identity] = TIMES_TOLD

    def add_once(self, identity: Identity) -> None:
        """Have a request told of once at least."""
        self._times_by_identity.setdefault(identity, 1)

    def add_alive(self, incarnation_id: str) -> None:
        """Have it told that a life goes on."""
        self._times_by_life[incarnation_id] = TIMES_TOLD

    def take(self, most: int) -> list[Identity]:
        """Return requests to tell of now."""
        return _take(self._times_by_identity, most)

    def take_alive(self, most: int) -> list[str]:
        """Return lives to tell of now."""
        return _take(self._times_by_life, most)

    def clear(self) -> None:
        """Drop all: another router tells it."""
        self._times_by_identity.clear()
        self._times_by_life.clear()


def _take(times_by_name: OrderedDict, most: int) -> list:
    """Return the first names; those that are to be told again go last."""
    taken = list(times_by_name)[:most]
    for name in taken:
        times = times_by_name.pop(name) - 1
        if times > 0:
            times_by_name[name] = times
    return taken
