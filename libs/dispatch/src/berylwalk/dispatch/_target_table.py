"""All targets that a router knows."""

from collections.abc import Iterable

from berylwalk.dispatch._start_model import StartModel
from berylwalk.dispatch._target import Target, TargetSpeed
from berylwalk.dispatch._target_entries import TargetEntry

Coefficients = tuple[float, float, float]
"""Those of a start model."""

ABSENT_TARGETS_KEPT_S = 2.0
"""Time after an outage of the store within which lapsed entries come back."""


class TargetTable:
    """All targets by id, kept in step with the list of targets.

    Parameters
    ----------
    absence_grace_s : float
        Time for which a target is kept that is missing after an outage of the
        store, during which entries may have lapsed, in seconds.

    Attributes
    ----------
    by_id : dict
        All targets.
    confirmed_at : float
        When the store last told what is there, in seconds.
    """

    def __init__(self, *, absence_grace_s: float = ABSENT_TARGETS_KEPT_S) -> None:
        self.by_id: dict[str, Target] = {}
        self.absence_grace_s = absence_grace_s
        self.confirmed_at = float("-inf")
        self._lapsed_until = float("-inf")
        self._by_service: dict[str, list[Target]] = {}
        self._start_models_by_service: dict[str, StartModel] = {}
        self._adopted_speeds_by_id: dict[str, TargetSpeed] = {}
        self._peer_loads_by_name: dict[str, dict[str, tuple[int, int]]] = {}

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def note_confirmed(self, told_at: float) -> None:
        """Tell when the store told what targets there are."""
        self.confirmed_at = max(self.confirmed_at, told_at)

    def note_outage_ended(self, now: float) -> None:
        """Tell that entries may have lapsed while the store was away."""
        self._lapsed_until = now + self.absence_grace_s

    def replace(self, entries: Iterable[TargetEntry], now: float) -> list[str]:
        """Take a whole list of targets; returns the ids that are gone.

        A missing target is gone at once, but for a time after an outage of the
        store: there entries may have lapsed of targets that are alive, and
        those reappear within a bound.
        """
        entries_by_id = {entry.target_id: entry for entry in entries}
        gone = []
        for target_id, target in list(self.by_id.items()):
            if target_id in entries_by_id:
                target.missing_since = None
                continue
            if target.missing_since is None:
                target.missing_since = now
            if now >= self._lapsed_until:
                gone.append(target_id)
                del self.by_id[target_id]
        for entry in entries_by_id.values():
            self._put(entry)
        self._index()
        return gone

    def update(self, entry: TargetEntry) -> None:
        """Take one changed entry."""
        self._put(entry)
        self.by_id[entry.target_id].missing_since = None
        self._index()

    def remove(self, target_id: str, now: float) -> bool:
        """Take a removed entry; returns whether the target is gone for good."""
        target = self.by_id.get(target_id)
        if target is None:
            return False
        target.missing_since = now
        if now < self._lapsed_until:
            return False
        del self.by_id[target_id]
        self._index()
        return True

    def hear_loads(self, peer: str, loads_by_id: dict[str, tuple[int, int]]) -> None:
        """Take the requests in flight and waiting tokens of a peer, whole.

        They replace what was heard before under the same name.
        """
        former = self._peer_loads_by_name.get(peer, {})
        for target_id, (count, tokens) in former.items():
            self._shift(target_id, -count, -tokens)
        for target_id, (count, tokens) in loads_by_id.items():
            self._shift(target_id, count, tokens)
        if loads_by_id:
            self._peer_loads_by_name[peer] = loads_by_id
        else:
            self._peer_loads_by_name.pop(peer, None)

    def speeds_by_id(self) -> dict[str, TargetSpeed]:
        """Return what was learned of the speeds of all targets."""
        return {target_id: target.speed() for target_id, target in self.by_id.items()}

    def start_models_by_service(self) -> dict[str, Coefficients]:
        """Return what was learned of starts."""
        return {
            service: model.coefficients
            for service, model in self._start_models_by_service.items()
        }

    def adopt(
        self,
        speeds_by_id: dict[str, TargetSpeed],
        start_models_by_service: dict[str, Coefficients],
    ) -> None:
        """Take what an earlier life learned, also of targets that are listed later."""
        self._adopted_speeds_by_id = speeds_by_id
        for service, coefficients in start_models_by_service.items():
            self._start_model(service).adopt(coefficients)
        for target_id, target in self.by_id.items():
            if target_id in speeds_by_id:
                target.adopt_speed(speeds_by_id[target_id])

    def sources_of_loads(self) -> list[str]:
        """Return the names under which loads of others are counted."""
        return list(self._peer_loads_by_name)

    def own_loads(self) -> dict[str, tuple[int, int]]:
        """Return the own requests in flight and waiting tokens by target id."""
        return {
            target_id: (target.in_flight, target.waiting_tokens)
            for target_id, target in self.by_id.items()
            if target.in_flight
        }

    def loads_with(self, peers: Iterable[str]) -> dict[str, tuple[int, int]]:
        """Return the sum of the own loads and those heard of some peers."""
        loads = self.own_loads()
        for peer in peers:
            for target_id, load in self._peer_loads_by_name.get(peer, {}).items():
                count, tokens = loads.get(target_id, (0, 0))
                loads[target_id] = (count + load[0], tokens + load[1])
        return loads

    def _shift(self, target_id: str, count: int, tokens: int) -> None:
        target = self.by_id.get(target_id)
        if target is not None:
            target.peer_in_flight += count
            target.peer_tokens += tokens

    def _put(self, entry: TargetEntry) -> None:
        target = self.by_id.get(entry.target_id)
        if target is not None:
            target.entry = entry
            return
        target = Target(entry, self._start_model(entry.service))
        if entry.target_id in self._adopted_speeds_by_id:
            target.adopt_speed(self._adopted_speeds_by_id[entry.target_id])
        for loads_by_id in self._peer_loads_by_name.values():
            count, tokens = loads_by_id.get(entry.target_id, (0, 0))
            target.peer_in_flight += count
            target.peer_tokens += tokens
        self.by_id[entry.target_id] = target

    def _start_model(self, service: str) -> StartModel:
        return self._start_models_by_service.setdefault(service, StartModel())

    def _index(self) -> None:
        self._by_service = {}
        for target in self.by_id.values():
            of_service = self._by_service.setdefault(target.entry.service, [])
            of_service.append(target)
