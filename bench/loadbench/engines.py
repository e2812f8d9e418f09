"""Work that the stand-in engines did during a scenario."""

from dataclasses import dataclass, field

import httpcore
import msgspec

from berylwalk.localfleet import EngineSpec, LocalFleet, admin_request
from berylwalk.standins import BLOCK_TOKENS


class EngineTotals(msgspec.Struct):
    """Counters that a stand-in engine reports."""

    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0
    cached_prefill_tokens: int = 0
    output_tokens: int = 0
    finished: int = 0
    cancelled: int = 0
    busy_slot_s: float = 0.0


class EngineStatus(msgspec.Struct):
    """Subset of the fields of an engine's status response."""

    totals: EngineTotals
    running_prefill_tokens: int = 0


class Prefill(msgspec.Struct):
    """Prefill that changed an engine's prefix cache."""

    at: float
    added: list[str]
    evicted: list[str]
    given_up: bool


@dataclass(slots=True)
class EngineWork:
    """Total work of all engines in a scenario.

    Parameters
    ----------
    prefill_tokens, cached_tokens, output_tokens : int
        Prompt tokens computed, prompt tokens read from caches, tokens generated.
    given_up_tokens : int
        Prompt tokens computed for calls that were cancelled or killed.
    repeated_tokens : int
        Prompt tokens computed while another running engine had them cached.
    busy_slot_s : float
        Time in use, summed over slots.
    """

    prefill_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    given_up_tokens: int = 0
    repeated_tokens: int = 0
    busy_slot_s: float = 0.0


@dataclass(slots=True)
class _EngineState:
    initial_totals: EngineTotals = field(default_factory=EngineTotals)
    # Last counters and prefills of processes killed in the scenario.
    killed_runs: list[tuple[EngineTotals, list[Prefill]]] = field(default_factory=list)
    is_killed: bool = False


class EngineMonitor:
    """Monitor of the engines' counters during a scenario.

    Parameters
    ----------
    fleet : LocalFleet
        Running fleet.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._engines_by_id = {
            target.vm_id: _EngineState()
            for target in fleet.spec.targets
            if isinstance(target, EngineSpec)
        }

    def start(self) -> None:
        """Record the counters at the start of a scenario."""
        for vm_id, engine in self._engines_by_id.items():
            engine.initial_totals = self._read_status(vm_id).totals

    def busy_slot_s(self) -> float:
        """Return the slot time used since the start, in seconds."""
        return sum(
            self._read_status(vm_id).totals.busy_slot_s
            - engine.initial_totals.busy_slot_s
            for vm_id, engine in self._engines_by_id.items()
            if not engine.is_killed
        )

    def record_before_kill(self, vm_id: str) -> None:
        """Record the counters of an engine that is about to be killed."""
        status = self._read_status(vm_id)
        status.totals.wasted_prefill_tokens += status.running_prefill_tokens
        engine = self._engines_by_id[vm_id]
        engine.killed_runs.append((status.totals, self._prefills(vm_id)))
        engine.is_killed = True

    def stop(self, started_at: float) -> EngineWork:
        """Return the work since the start.

        Parameters
        ----------
        started_at : float
            Monotonic time of the start, in seconds.
        """
        work = EngineWork()
        prefills_by_id: dict[str, list[Prefill]] = {}
        for vm_id, engine in self._engines_by_id.items():
            if engine.is_killed:
                after, prefills = engine.killed_runs[-1]
            else:
                after, prefills = self._read_status(vm_id).totals, self._prefills(vm_id)
            _add(work, after, engine.initial_totals)
            prefills_by_id[vm_id] = prefills
            engine.is_killed = False
        work.repeated_tokens = repeated_tokens(prefills_by_id, started_at)
        return work

    def _read_status(self, vm_id: str) -> EngineStatus:
        return self._get(vm_id, "/control/seen", EngineStatus)

    def _prefills(self, vm_id: str) -> list[Prefill]:
        return self._get(vm_id, "/control/prefills", list[Prefill])

    def _get(self, vm_id: str, path: str, kind: type) -> object:
        url = self._fleet.target_url(vm_id) + path
        try:
            response = admin_request("GET", url)
        except httpcore.ConnectError:
            raise RuntimeError(f"{vm_id} refused the connection") from None
        return msgspec.json.decode(response.content, type=kind)


def _add(work: EngineWork, after: EngineTotals, initial_totals: EngineTotals) -> None:
    work.prefill_tokens += after.prefill_tokens - initial_totals.prefill_tokens
    work.cached_tokens += (
        after.cached_prefill_tokens - initial_totals.cached_prefill_tokens
    )
    work.output_tokens += after.output_tokens - initial_totals.output_tokens
    work.given_up_tokens += (
        after.wasted_prefill_tokens - initial_totals.wasted_prefill_tokens
    )
    work.busy_slot_s += after.busy_slot_s - initial_totals.busy_slot_s


def repeated_tokens(prefills_by_id: dict[str, list[Prefill]], started_at: float) -> int:
    """Count the tokens computed while another engine had them cached.

    Cancelled prefills are excluded: all of their tokens count as given up.
    """
    events = sorted(
        ((prefill.at, vm_id, prefill) for vm_id, prefills in prefills_by_id.items()
         for prefill in prefills),
        key=lambda event: event[:2],
    )  # fmt: skip
    holders_by_block: dict[str, set[str]] = {}
    repeated = 0
    for at, vm_id, prefill in events:
        for block in prefill.added:
            holders = holders_by_block.setdefault(block, set())
            if at >= started_at and holders - {vm_id} and not prefill.given_up:
                repeated += BLOCK_TOKENS
            holders.add(vm_id)
        for block in prefill.evicted:
            holders_by_block.get(block, set()).discard(vm_id)
    return repeated
