"""Execution of scenarios on one fleet."""

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import numpy as np

from berylwalk.localfleet import EngineSpec, FleetStartError, LocalFleet
from loadbench.capacity import saturating_rates
from loadbench.engines import EngineMonitor
from loadbench.fleets import Overrides, engines, fleet_spec
from loadbench.measures import RunInfo, ScenarioFigures, compute_figures
from loadbench.results import Result
from loadbench.scenarios import Scenario, restart_ended_processes
from loadbench.schedule import ScheduledCall, build_calls
from loadbench.sender import Job
from loadbench.shapes import Shape

SENDER_COUNT = 3
START_ATTEMPTS = 3
START_DELAY_S = 1.5
WARM_UP_S = 2.0
REJOIN_S = 4.0
DRAIN_S = 1.0
BENCH_DIRECTORY = Path(__file__).resolve().parent.parent


class Trial:
    """Runner of scenarios for one shape and one treatment on its own fleet.

    Parameters
    ----------
    shape : Shape
        Workload to send.
    treatment : str
        Name of the treatment.
    overrides : dict of str to dict of str to str
        Node settings to override, by section and key.
    seconds : float
        Length of a scenario with length 1.0.
    seed : int
        Seed of the arrivals; the same for all treatments.
    """

    def __init__(
        self,
        shape: Shape,
        treatment: str,
        overrides: Overrides,
        *,
        seconds: float,
        seed: int,
    ) -> None:
        self._shape = shape
        self._treatment = treatment
        self._seconds = seconds
        self._seed = seed
        self._rate_by_service = saturating_rates(shape, engines(shape))
        self.fleet = LocalFleet.from_spec(fleet_spec(shape, overrides))
        self._monitor: EngineMonitor | None = None

    def start(self) -> None:
        """Start the fleet, on another subnet after each failed attempt.

        Raises
        ------
        FleetStartError
            If the fleet did not become ready in any attempt.
        """
        for attempt in range(1, START_ATTEMPTS + 1):
            try:
                self.fleet.start()
                break
            except FleetStartError:
                if attempt == START_ATTEMPTS:
                    raise
                self.fleet.close()
                self.fleet = LocalFleet.from_spec(
                    self.fleet.spec, subnet_offset=attempt
                )
        self._monitor = EngineMonitor(self.fleet)
        time.sleep(WARM_UP_S)

    def close(self) -> dict[str, int]:
        """Stop the fleet and return the exit codes of its processes."""
        return self.fleet.close()

    def run(self, scenario: Scenario, index: int) -> ScenarioFigures:
        """Run one scenario and return its figures.

        Parameters
        ----------
        scenario : Scenario
            Load and injected faults.
        index : int
            Number of the scenario, which is part of the seed.
        """
        if restart_ended_processes(self.fleet):
            time.sleep(REJOIN_S)
        seconds = self._seconds * scenario.length
        calls = build_calls(
            self._shape,
            scenario.phases,
            self._rate_by_service,
            seconds=seconds,
            routers=len(self.fleet.spec.routers),
            rng=np.random.default_rng([self._seed, index]),
        )
        self._monitor.start()
        cpu_before = self._cpu_s()
        started_at = time.monotonic() + START_DELAY_S
        senders = self._start_senders(calls, started_at, scenario.name)
        self._inject(scenario, started_at, seconds)
        _sleep_until(started_at + seconds)
        busy_slot_s = self._monitor.busy_slot_s()
        cpu_by_process = self._cpu_since(cpu_before)
        for sender in senders:
            cpu_by_process[sender.name] = sender.cpu_s()
        results = [result for sender in senders for result in sender.results()]
        time.sleep(DRAIN_S)
        work = self._monitor.stop(started_at)
        run_info = RunInfo(
            treatment=self._treatment,
            scenario=scenario.name,
            seconds=seconds,
            seed=self._seed,
            slot_s=self._slot_count() * seconds,
            busy_slot_s=busy_slot_s,
            load_average=round(os.getloadavg()[0], 1),
            cpu_by_process={
                name: used_s / (seconds + START_DELAY_S)
                for name, used_s in cpu_by_process.items()
            },
        )
        return compute_figures(self._shape, calls, results, work, run_info)

    def _start_senders(
        self, calls: list[ScheduledCall], started_at: float, run: str
    ) -> list["_SenderProcess"]:
        urls = list(self.fleet.caller_urls())
        jobs = [
            Job(self._shape.name, urls, started_at, run, calls[number::SENDER_COUNT])
            for number in range(SENDER_COUNT)
        ]
        return [
            _SenderProcess.spawn(f"sender-{number}", job)
            for number, job in enumerate(jobs)
        ]

    def _inject(self, scenario: Scenario, started_at: float, seconds: float) -> None:
        for injection in scenario.injections:
            _sleep_until(started_at + injection.at * seconds)
            injection.apply(self.fleet, self._monitor)

    def _slot_count(self) -> int:
        return sum(
            target.max_batch
            for target in self.fleet.spec.targets
            if isinstance(target, EngineSpec)
        )

    def _cpu_since(self, before: dict[str, float]) -> dict[str, float]:
        return {
            name: used_s - before.get(name, 0.0)
            for name, used_s in self._cpu_s().items()
        }

    def _cpu_s(self) -> dict[str, float]:
        return {
            name: _cpu_s(process.pid)
            for name, process in self.fleet.processes_by_name.items()
            if process.returncode is None
        }


class _SenderProcess:
    """Sender process with its job and result files."""

    def __init__(self, name: str, process: subprocess.Popen, directory: Path) -> None:
        self.name = name
        self._process = process
        self._directory = directory

    @classmethod
    def spawn(cls, name: str, job: Job) -> "_SenderProcess":
        directory = Path(tempfile.mkdtemp(prefix="berylwalk-sender-"))
        (directory / "job").write_bytes(msgspec.msgpack.encode(job))
        arguments = [str(directory / "job"), str(directory / "results")]
        process = subprocess.Popen(
            [sys.executable, "-m", "loadbench.sender", *arguments],
            cwd=BENCH_DIRECTORY,
            stdin=subprocess.DEVNULL,
        )
        return cls(name, process, directory)

    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        return _cpu_s(self._process.pid)

    def results(self) -> list[Result]:
        """Wait until the process exits and return its results."""
        if self._process.wait() != 0:
            raise RuntimeError("sender process exited with an error")
        content = (self._directory / "results").read_bytes()
        return msgspec.msgpack.decode(content, type=list[Result])


def _cpu_s(pid: int) -> float:
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _sleep_until(time_s: float) -> None:
    time.sleep(max(0.0, time_s - time.monotonic()))
