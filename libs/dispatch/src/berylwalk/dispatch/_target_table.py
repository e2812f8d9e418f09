"""Table of all targets known to a router."""

from collections.abc import Callable, Collection, Iterable

from berylwalk.dispatch._cache_memory import CacheMemory, ServiceCache
from berylwalk.dispatch._configuration import Service
from berylwalk.dispatch._first_event_model import FirstEventModel
from berylwalk.dispatch._flow_control import FlowControl
from berylwalk.dispatch._target import Target, TargetSpeed
from berylwalk.dispatch._target_entries import TargetEntry, TargetState
from berylwalk.dispatch._target_load import LONG_AGO, MAX_REPORT_AGE_S
from berylwalk.dispatch._target_report import TargetReport
from berylwalk.dispatch._version_history import VersionHistory

Coefficients = tuple[float, float, float]
"""Coefficients of a first event model."""

REMOVED_ENTRY_TTL_S = 60.0
"""Time for which the start time and flow control state of a removed target are kept, in
seconds. Detects late entries of earlier incarnations, and restores the state if the
same incarnation reappears."""

ABSENCE_GRACE_S = 2.0
"""Time after a store outage during which expired entries may reappear, in seconds."""


class TargetTable:
    """Targets by id, synchronized with the list of targets in the store.

    Parameters
    ----------
    absence_grace_s : float
        Time after a store outage for which missing targets are kept, in seconds.
        Leases may have expired during the outage.
    crash_when_full : bool
        Whether targets crash when the capacity of their KV cache is exceeded.

    Attributes
    ----------
    by_id : dict
        Targets by target id.
    by_incarnation_id : dict
        Targets by incarnation id.
    confirmed_at : float
        Time of the last confirmed listing from the store, in seconds.
    versions : VersionHistory
        Versions of each service at which streams may have begun lately.
    on_versions_changed : callable
        Called when the versions of the listed targets of a service have changed.
    """

    def __init__(
        self, *, absence_grace_s: float = ABSENCE_GRACE_S, crash_when_full: bool = False
    ) -> None:
        self.by_id: dict[str, Target] = {}
        self.by_incarnation_id: dict[str, Target] = {}
        self.absence_grace_s = absence_grace_s
        self.confirmed_at = float("-inf")
        self.versions = VersionHistory()
        self.on_versions_changed: Callable[[], None] = lambda: None
        self._versions_by_service: dict[str, frozenset[str]] = {}
        self._lapse_grace_until = float("-inf")
        self._by_service: dict[str, list[Target]] = {}
        self._first_event_models_by_service: dict[str, FirstEventModel] = {}
        self._crash_when_full = crash_when_full
        self._caches_by_service: dict[str, ServiceCache] = {}
        self._adopted_speeds_by_id: dict[str, TargetSpeed] = {}
        self._peer_loads_by_name: dict[str, dict[str, tuple[int, int]]] = {}
        self._ended_incarnations: list[Target] = []
        self._removed_starts_by_id: dict[str, tuple[int, float]] = {}
        self._removed_flow_controls: dict[str, tuple[FlowControl, float]] = {}
        self._flow_controlled: set[str] = set()
        self._reported: set[str] = set()
        self._reports_usable_until = float("inf")

    def set_services(self, services: Iterable[Service]) -> None:
        """Apply the capacities of the services in the configuration."""
        for service in services:
            self._cache_of(service.name).capacity_tokens = service.kv_capacity

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def services(self) -> list[str]:
        """Return the services that have targets."""
        return list(self._by_service)

    def versions_of(self, service: str) -> frozenset[str]:
        """Return the versions of the targets of a service."""
        return self._versions_by_service.get(service, frozenset())

    def serves_version(self, service: str, versions: Collection[str]) -> bool:
        """Return whether a target of one of some versions takes requests."""
        return any(
            target.entry.state is TargetState.READY
            for target in self.of_service(service)
            if target.entry.version in versions
        )

    def note_confirmed(self, listed_at: float) -> None:
        """Record the time of a confirmed listing."""
        self.confirmed_at = max(self.confirmed_at, listed_at)

    def note_outage_ended(self, now: float) -> None:
        """Start the grace period for entries that expired during a store outage."""
        self._lapse_grace_until = now + self.absence_grace_s

    def note_no_lapse(self, now: float) -> None:
        """End the grace period: missing entries were removed, not expired."""
        self._lapse_grace_until = min(self._lapse_grace_until, now)

    def replace(self, entries: Iterable[TargetEntry], now: float) -> list[str]:
        """Apply a full listing; returns the ids of removed targets.

        A missing target is removed at once, except during the grace period after a
        store outage.
        """
        entries_by_id = {entry.target_id: entry for entry in entries}
        gone = []
        for target_id, target in list(self.by_id.items()):
            if target_id in entries_by_id:
                target.unlisted_since = None
                continue
            if target.unlisted_since is None:
                target.unlisted_since = now
            if now >= self._lapse_grace_until:
                gone.append(target_id)
                self._drop(target, now)
        for entry in entries_by_id.values():
            self._put(entry, now)
        self._reindex(now)
        return gone

    def update(self, entry: TargetEntry, now: float) -> None:
        """Apply one changed entry."""
        self._put(entry, now)
        target = self.by_id.get(entry.target_id)
        if target is not None:
            target.unlisted_since = None
        self._reindex(now)

    def note_suspended(self, suspended_s: float) -> None:
        """Exclude a suspension of this router from the silence timeouts."""
        for target in self.by_id.values():
            target.note_suspended(suspended_s)

    def pop_ended_incarnations(self) -> list[Target]:
        """Return the incarnations replaced by a restart since the last call."""
        ended, self._ended_incarnations = self._ended_incarnations, []
        return ended

    def remove(self, target_id: str, now: float) -> bool:
        """Apply the removal of an entry; returns whether the target was dropped."""
        target = self.by_id.get(target_id)
        if target is None:
            return False
        target.unlisted_since = now
        if now < self._lapse_grace_until:
            return False
        self._drop(target, now)
        self._reindex(now)
        return True

    def discard(self, target_id: str, now: float) -> bool:
        """Drop a target regardless of the state of the store."""
        target = self.by_id.get(target_id)
        if target is None:
            return False
        self._drop(target, now)
        self._reindex(now)
        return True

    def replace_peer_loads(
        self,
        peer: str,
        loads_by_id: dict[str, tuple[int, int]],
        *,
        told_at: float = LONG_AGO,
    ) -> None:
        """Replace all loads reported by a peer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        loads_by_id : dict
            Requests in flight and waiting prompt tokens by incarnation id.
        told_at : float
            Time at which the peer told them, in seconds; by default they are so old
            that every report of a target has them.
        """
        previous = self._peer_loads_by_name.get(peer, {})
        for target_id in previous.keys() | loads_by_id.keys():
            previous_count, previous_tokens = previous.get(target_id, (0, 0))
            count, tokens = loads_by_id.get(target_id, (0, 0))
            self._adjust_peer_load(
                target_id, count - previous_count, tokens - previous_tokens, told_at
            )
        if loads_by_id:
            self._peer_loads_by_name[peer] = loads_by_id
        else:
            self._peer_loads_by_name.pop(peer, None)

    def update_peer_loads(
        self,
        peer: str,
        loads_by_id: dict[str, tuple[int, int]],
        *,
        told_at: float = LONG_AGO,
    ) -> None:
        """Update the loads that a peer reports for some targets.

        The parameters are those of `replace_peer_loads`.
        """
        known = self._peer_loads_by_name.setdefault(peer, {})
        for incarnation_id, (count, tokens) in loads_by_id.items():
            previous_count, previous_tokens = known.get(incarnation_id, (0, 0))
            self._adjust_peer_load(
                incarnation_id,
                count - previous_count,
                tokens - previous_tokens,
                told_at,
            )
            known[incarnation_id] = (count, tokens)

    def speeds_by_id(self) -> dict[str, TargetSpeed]:
        """Return the observed speeds by incarnation id."""
        return {
            incarnation_id: target.speed()
            for incarnation_id, target in self.by_incarnation_id.items()
        }

    def first_event_models_by_service(self) -> dict[str, Coefficients]:
        """Return the coefficients of the first event models by service."""
        return {
            service: model.coefficients
            for service, model in self._first_event_models_by_service.items()
        }

    def adopt(
        self,
        speeds_by_id: dict[str, TargetSpeed],
        first_event_models_by_service: dict[str, Coefficients],
    ) -> None:
        """Use stored speeds and coefficients, also for targets listed later."""
        self._adopted_speeds_by_id = speeds_by_id
        for service, coefficients in first_event_models_by_service.items():
            self._model_for(service).adopt(coefficients)
        for incarnation_id, target in self.by_incarnation_id.items():
            if incarnation_id in speeds_by_id:
                target.adopt_speed(speeds_by_id[incarnation_id])

    def peers_with_loads(self) -> list[str]:
        """Return the names of peers whose loads are counted."""
        return list(self._peer_loads_by_name)

    def own_loads(self) -> dict[str, tuple[int, int]]:
        """Return own requests in flight and waiting tokens by incarnation id."""
        return {
            incarnation_id: (target.in_flight, target.waiting_tokens)
            for incarnation_id, target in self.by_incarnation_id.items()
            if target.in_flight
        }

    def total_loads(self, peers: Iterable[str]) -> dict[str, tuple[int, int]]:
        """Return the sum of own loads and those of some peers."""
        loads = self.own_loads()
        for peer in peers:
            for target_id, load in self._peer_loads_by_name.get(peer, {}).items():
                count, tokens = loads.get(target_id, (0, 0))
                loads[target_id] = (count + load[0], tokens + load[1])
        return loads

    def note_report(self, target: Target, report: TargetReport, now: float) -> bool:
        """Use a report of a target; returns False if it is late or outdated."""
        if not target.note_report(report, now):
            return False
        self._reported.add(target.entry.incarnation_id)
        usable_until = report.observed_at + MAX_REPORT_AGE_S
        self._reports_usable_until = min(self._reports_usable_until, usable_until)
        return True

    def expire_reports(self, now: float) -> None:
        """Drop the reports that are too old; call it before loads are compared."""
        if now < self._reports_usable_until:
            return
        self._reports_usable_until = float("inf")
        for incarnation_id in list(self._reported):
            target = self.by_incarnation_id.get(incarnation_id)
            if target is None or target.report is None or target.expire_report(now):
                self._reported.discard(incarnation_id)
            else:
                usable_until = target.report.observed_at + MAX_REPORT_AGE_S
                self._reports_usable_until = min(
                    self._reports_usable_until, usable_until
                )

    def note_flow_controlled(self, target: Target) -> None:
        """Record that a target has flow control state."""
        self._flow_controlled.add(target.entry.incarnation_id)

    def flow_controlled(self) -> list[Target]:
        """Return the targets with flow control state."""
        self._flow_controlled &= self.by_incarnation_id.keys()
        return [
            self.by_incarnation_id[incarnation_id]
            for incarnation_id in sorted(self._flow_controlled)
        ]

    def in_flight_other_versions(self, service: str, version: str) -> int:
        """Return own requests in flight at all versions of a service but one."""
        return sum(
            target.in_flight
            for target in self.of_service(service)
            if target.entry.version != version
        )

    def _adjust_peer_load(
        self, incarnation_id: str, count: int, tokens: int, told_at: float
    ) -> None:
        target = self.by_incarnation_id.get(incarnation_id)
        if target is not None:
            target.note_peer_change(count, tokens, told_at)

    def _put(self, entry: TargetEntry, now: float) -> None:
        if self._is_stale(entry, now):
            return
        target = self.by_id.get(entry.target_id)
        if target is not None and _is_same_incarnation(target.entry, entry):
            id_changed = target.entry.incarnation_id != entry.incarnation_id
            target.entry = entry
            if id_changed:
                self._sum_peer_loads(target)
            return
        if target is not None:
            self._ended_incarnations.append(target)
        new = Target(
            entry,
            self._model_for(entry.service),
            cache_memory=CacheMemory(self._cache_of(entry.service)),
        )
        if entry.incarnation_id in self._adopted_speeds_by_id:
            new.adopt_speed(self._adopted_speeds_by_id[entry.incarnation_id])
        if entry.incarnation_id in self._removed_flow_controls:
            # The entry was missing for a time, but the incarnation is the same.
            new.flow_control, _ = self._removed_flow_controls.pop(entry.incarnation_id)
            self.note_flow_controlled(new)
        self._sum_peer_loads(new)
        self.by_id[entry.target_id] = new
        if target is not None:
            target.notify_incarnation_ended()

    def _is_stale(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a newer incarnation is or was known."""
        if entry.started_ms is None:
            return False
        target = self.by_id.get(entry.target_id)
        if target is not None:
            newest_ms = target.entry.started_ms
        else:
            newest_ms, removed_at = self._removed_starts_by_id.get(
                entry.target_id, (None, now)
            )
            if now - removed_at > REMOVED_ENTRY_TTL_S:
                return False
        return newest_ms is not None and entry.started_ms < newest_ms

    def _drop(self, target: Target, now: float) -> None:
        entry = target.entry
        del self.by_id[entry.target_id]
        self._retain_flow_control(target, now)
        if entry.started_ms is None:
            return
        self._removed_starts_by_id[entry.target_id] = (entry.started_ms, now)
        for target_id, (_, removed_at) in list(self._removed_starts_by_id.items()):
            if now - removed_at > REMOVED_ENTRY_TTL_S:
                del self._removed_starts_by_id[target_id]

    def _retain_flow_control(self, target: Target, now: float) -> None:
        self._removed_flow_controls[target.entry.incarnation_id] = (
            target.flow_control,
            now,
        )
        for incarnation_id, (_, removed_at) in list(
            self._removed_flow_controls.items()
        ):
            if now - removed_at > REMOVED_ENTRY_TTL_S:
                del self._removed_flow_controls[incarnation_id]

    def _sum_peer_loads(self, target: Target) -> None:
        """Sum the loads that all peers report for this incarnation."""
        loads = [
            loads_by_id.get(target.entry.incarnation_id, (0, 0))
            for loads_by_id in self._peer_loads_by_name.values()
        ]
        target.peer_in_flight = sum(count for count, _ in loads)
        target.peer_tokens = sum(tokens for _, tokens in loads)

    def _model_for(self, service: str) -> FirstEventModel:
        return self._first_event_models_by_service.setdefault(
            service, FirstEventModel()
        )

    def _cache_of(self, service: str) -> ServiceCache:
        return self._caches_by_service.setdefault(
            service, ServiceCache(crashes_when_full=self._crash_when_full)
        )

    def _reindex(self, now: float) -> None:
        self._by_service = {}
        self.by_incarnation_id = {}
        for target in self.by_id.values():
            self.by_incarnation_id[target.entry.incarnation_id] = target
            of_service = self._by_service.setdefault(target.entry.service, [])
            of_service.append(target)
        self._note_versions(now)

    def _note_versions(self, now: float) -> None:
        """Tell the history of versions what is listed, if that has changed."""
        listed = {
            service: frozenset(target.entry.version for target in targets)
            for service, targets in self._by_service.items()
        }
        previous, self._versions_by_service = self._versions_by_service, listed
        changed = [
            service
            for service in listed.keys() | previous.keys()
            if listed.get(service) != previous.get(service)
        ]
        for service in changed:
            self.versions.note_listed(service, listed.get(service, ()), now)
        if changed:
            self.on_versions_changed()


def _is_same_incarnation(known: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether two entries with one id are the same incarnation.

    The start time of a target may be added to its entry later.
    """
    return known.started_ms in (None, entry.started_ms)
