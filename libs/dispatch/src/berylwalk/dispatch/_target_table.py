"""All targets that a router knows."""

from collections.abc import Iterable

from berylwalk.dispatch._first_event_model import FirstEventModel
from berylwalk.dispatch._flow_control import FlowControl
from berylwalk.dispatch._target import Target, TargetSpeed
from berylwalk.dispatch._target_entries import TargetEntry

Coefficients = tuple[float, float, float]
"""Those of a start model."""

ENDED_STARTS_KEPT_S = 60.0
"""Time for which the start of a target that is gone is remembered: an entry of an
earlier life may be written late."""

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
        All targets by their ids.
    by_life_id : dict
        The same by the ids of their lives.
    confirmed_at : float
        When the store last told what is there, in seconds.
    """

    def __init__(self, *, absence_grace_s: float = ABSENT_TARGETS_KEPT_S) -> None:
        self.by_id: dict[str, Target] = {}
        self.by_incarnation_id: dict[str, Target] = {}
        self.absence_grace_s = absence_grace_s
        self.confirmed_at = float("-inf")
        self._lapsed_until = float("-inf")
        self._by_service: dict[str, list[Target]] = {}
        self._start_models_by_service: dict[str, FirstEventModel] = {}
        self._adopted_speeds_by_id: dict[str, TargetSpeed] = {}
        self._peer_loads_by_name: dict[str, dict[str, tuple[int, int]]] = {}
        self._ended_lives: list[Target] = []
        self._ended_starts_by_id: dict[str, tuple[int, float]] = {}
        self._needs_of_gone: dict[str, tuple[FlowControl, float]] = {}
        self._lives_in_need: set[str] = set()

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def note_confirmed(self, told_at: float) -> None:
        """Tell when the store told what targets there are."""
        self.confirmed_at = max(self.confirmed_at, told_at)

    def note_outage_ended(self, now: float) -> None:
        """Tell that entries may have lapsed while the store was away."""
        self._lapsed_until = now + self.absence_grace_s

    def note_no_lapse(self, now: float) -> None:
        """Tell that entries did not lapse: those that are missing have left."""
        self._lapsed_until = min(self._lapsed_until, now)

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
                target.unlisted_since = None
                continue
            if target.unlisted_since is None:
                target.unlisted_since = now
            if now >= self._lapsed_until:
                gone.append(target_id)
                self._forget(target, now)
        for entry in entries_by_id.values():
            self._put(entry, now)
        self._index()
        return gone

    def update(self, entry: TargetEntry, now: float) -> None:
        """Take one changed entry."""
        self._put(entry, now)
        target = self.by_id.get(entry.target_id)
        if target is not None:
            target.unlisted_since = None
        self._index()

    def note_suspended(self, suspended_s: float) -> None:
        """Take the time of a suspension of this router for no silence of targets."""
        for target in self.by_id.values():
            target.note_suspended(suspended_s)

    def pop_ended_incarnations(self) -> list[Target]:
        """Return the lives that ended since the last look: targets started again."""
        ended, self._ended_lives = self._ended_lives, []
        return ended

    def remove(self, target_id: str, now: float) -> bool:
        """Take a removed entry; returns whether the target is gone for good."""
        target = self.by_id.get(target_id)
        if target is None:
            return False
        target.unlisted_since = now
        if now < self._lapsed_until:
            return False
        self._forget(target, now)
        self._index()
        return True

    def discard(self, target_id: str, now: float) -> bool:
        """Use a target no more, whatever the state of the store."""
        target = self.by_id.get(target_id)
        if target is None:
            return False
        self._forget(target, now)
        self._index()
        return True

    def replace_peer_loads(
        self, peer: str, loads_by_id: dict[str, tuple[int, int]]
    ) -> None:
        """Take the requests in flight and waiting tokens of a peer, whole.

        They go by the ids of lives, and replace what was heard before under the same
        name.
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

    def update_peer_loads(
        self, peer: str, loads_by_id: dict[str, tuple[int, int]]
    ) -> None:
        """Take what a peer has at some targets; of the others nothing is new."""
        known = self._peer_loads_by_name.setdefault(peer, {})
        for incarnation_id, (count, tokens) in loads_by_id.items():
            former_count, former_tokens = known.get(incarnation_id, (0, 0))
            self._shift(incarnation_id, count - former_count, tokens - former_tokens)
            known[incarnation_id] = (count, tokens)

    def speeds_by_id(self) -> dict[str, TargetSpeed]:
        """Return what was learned of the speeds of all targets, by life."""
        return {
            incarnation_id: target.speed()
            for incarnation_id, target in self.by_incarnation_id.items()
        }

    def first_event_models_by_service(self) -> dict[str, Coefficients]:
        """Return what was learned of starts."""
        return {
            service: model.coefficients
            for service, model in self._start_models_by_service.items()
        }

    def adopt(
        self,
        speeds_by_id: dict[str, TargetSpeed],
        first_event_models_by_service: dict[str, Coefficients],
    ) -> None:
        """Take what an earlier life learned, also of targets that are listed later."""
        self._adopted_speeds_by_id = speeds_by_id
        for service, coefficients in first_event_models_by_service.items():
            self._start_model(service).adopt(coefficients)
        for incarnation_id, target in self.by_incarnation_id.items():
            if incarnation_id in speeds_by_id:
                target.adopt_speed(speeds_by_id[incarnation_id])

    def peers_with_loads(self) -> list[str]:
        """Return the names under which loads of others are counted."""
        return list(self._peer_loads_by_name)

    def own_loads(self) -> dict[str, tuple[int, int]]:
        """Return the own requests in flight and waiting tokens by life."""
        return {
            incarnation_id: (target.in_flight, target.waiting_tokens)
            for incarnation_id, target in self.by_incarnation_id.items()
            if target.in_flight
        }

    def total_loads(self, peers: Iterable[str]) -> dict[str, tuple[int, int]]:
        """Return the sum of the own loads and those heard of some peers."""
        loads = self.own_loads()
        for peer in peers:
            for target_id, load in self._peer_loads_by_name.get(peer, {}).items():
                count, tokens = loads.get(target_id, (0, 0))
                loads[target_id] = (count + load[0], tokens + load[1])
        return loads

    def note_flow_controlled(self, target: Target) -> None:
        """Note that a target has said what it takes, or was said to."""
        self._lives_in_need.add(target.entry.incarnation_id)

    def flow_controlled(self) -> list[Target]:
        """Return the targets that have said so; few of many do."""
        self._lives_in_need &= self.by_incarnation_id.keys()
        return [
            self.by_incarnation_id[incarnation_id]
            for incarnation_id in sorted(self._lives_in_need)
        ]

    def in_flight_other_versions(self, service: str, version: str) -> int:
        """Return the own requests at a service's targets of all versions but one."""
        return sum(
            target.in_flight
            for target in self.of_service(service)
            if target.entry.version != version
        )

    def _shift(self, incarnation_id: str, count: int, tokens: int) -> None:
        target = self.by_incarnation_id.get(incarnation_id)
        if target is not None:
            target.peer_in_flight += count
            target.peer_tokens += tokens

    def _put(self, entry: TargetEntry, now: float) -> None:
        if self._is_of_earlier_life(entry, now):
            return
        target = self.by_id.get(entry.target_id)
        if target is not None and _is_same_life(target.entry, entry):
            has_new_name = target.entry.incarnation_id != entry.incarnation_id
            target.entry = entry
            if has_new_name:
                self._count_peers(target)
            return
        if target is not None:
            self._ended_lives.append(target)
        new = Target(entry, self._start_model(entry.service))
        if entry.incarnation_id in self._adopted_speeds_by_id:
            new.adopt_speed(self._adopted_speeds_by_id[entry.incarnation_id])
        if entry.incarnation_id in self._needs_of_gone:
            # Its entry was gone for a time; the life that said it was not.
            new.flow_control, _ = self._needs_of_gone.pop(entry.incarnation_id)
            self.note_flow_controlled(new)
        self._count_peers(new)
        self.by_id[entry.target_id] = new
        if target is not None:
            target.notify_incarnation_ended()

    def _is_of_earlier_life(self, entry: TargetEntry, now: float) -> bool:
        """Return whether an entry came late: a later life is or was known."""
        if entry.started_ms is None:
            return False
        target = self.by_id.get(entry.target_id)
        if target is not None:
            newest_ms = target.entry.started_ms
        else:
            newest_ms, gone_at = self._ended_starts_by_id.get(
                entry.target_id, (None, now)
            )
            if now - gone_at > ENDED_STARTS_KEPT_S:
                return False
        return newest_ms is not None and entry.started_ms < newest_ms

    def _forget(self, target: Target, now: float) -> None:
        entry = target.entry
        del self.by_id[entry.target_id]
        self._keep_needs(target, now)
        if entry.started_ms is None:
            return
        self._ended_starts_by_id[entry.target_id] = (entry.started_ms, now)
        for target_id, (_, gone_at) in list(self._ended_starts_by_id.items()):
            if now - gone_at > ENDED_STARTS_KEPT_S:
                del self._ended_starts_by_id[target_id]

    def _keep_needs(self, target: Target, now: float) -> None:
        self._needs_of_gone[target.entry.incarnation_id] = (target.flow_control, now)
        for incarnation_id, (_, gone_at) in list(self._needs_of_gone.items()):
            if now - gone_at > ENDED_STARTS_KEPT_S:
                del self._needs_of_gone[incarnation_id]

    def _count_peers(self, target: Target) -> None:
        """Count what all peers said of this life of a target."""
        loads = [
            loads_by_id.get(target.entry.incarnation_id, (0, 0))
            for loads_by_id in self._peer_loads_by_name.values()
        ]
        target.peer_in_flight = sum(count for count, _ in loads)
        target.peer_tokens = sum(tokens for _, tokens in loads)

    def _start_model(self, service: str) -> FirstEventModel:
        return self._start_models_by_service.setdefault(service, FirstEventModel())

    def _index(self) -> None:
        self._by_service = {}
        self.by_incarnation_id = {}
        for target in self.by_id.values():
            self.by_incarnation_id[target.entry.incarnation_id] = target
            of_service = self._by_service.setdefault(target.entry.service, [])
            of_service.append(target)


def _is_same_life(known: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether two entries with the same id are of one life.

    A target that did not say when it started may say so later.
    """
    return known.started_ms in (None, entry.started_ms)
