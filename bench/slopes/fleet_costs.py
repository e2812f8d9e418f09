"""Costs of real processes: idle nodes, requests and response chunks."""

import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from hashlib import sha256
from pathlib import Path

import msgspec

from berylwalk.localfleet import (
    AnswerEnd,
    ChatCall,
    CheckedAnswer,
    CheckedCaller,
    EngineSpec,
    FleetSpec,
    LocalFleet,
    RouterSpec,
    ServiceSpec,
    admin_request,
    agent_name,
)
from slopes.fitting import Slope, fit
from slopes.scale import Scale

TOKEN = "token-of-a-measured-account"
SETTINGS_TREE = f"""
[tier standard]
rank = 0
deadline_s = 60

[/]
tier = standard

[/account]
credential_sha256 = {sha256(TOKEN.encode()).hexdigest()}
"""
IDLE_FLEET_SIZES = (1, 2, 3, 4)
"""Number of routers in each idle fleet; agents are twice as many."""

REQUEST_COUNTS = (25, 50, 100, 200)
TOKEN_COUNTS = (8, 32, 64, 128)
REQUESTS_PER_TOKEN_COUNT = 48
MAX_CONCURRENT_CALLS = 16
# Longer than the time for which agents buffer chunks, so that each token is
# forwarded as its own chunk.
STEP_MS = 15.0
WARM_UP_S = 2.0
KEY_VALUE_PREFIX = "/v3/"
US_PER_NS = 1e-3
KIB_PER_MIB = 1024


def measure(scale: Scale) -> list[Slope]:
    """Measure idle fleets, requests and response chunks."""
    return [*_measure_idle(scale), *_measure_load(scale)]


def _measure_idle(scale: Scale) -> list[Slope]:
    fleets = {
        size: LocalFleet.from_spec(_idle_spec(size), subnet_offset=size)
        for size in IDLE_FLEET_SIZES
    }
    try:
        with ThreadPoolExecutor() as threads:
            list(threads.map(LocalFleet.start, fleets.values()))
        time.sleep(WARM_UP_S)
        before = {size: _snapshot(fleet) for size, fleet in fleets.items()}
        time.sleep(scale.idle_s)
        after = {size: _snapshot(fleet) for size, fleet in fleets.items()}
        memory_by_role = {
            role: {size: _memory_mib(fleet, role) for size, fleet in fleets.items()}
            for role in ("router", "target")
        }
    finally:
        with ThreadPoolExecutor() as threads:
            list(threads.map(LocalFleet.close, fleets.values()))
    return _idle_slopes(before, after, memory_by_role, scale.idle_s)


def _idle_slopes(
    before: dict, after: dict, memory_by_role: dict, seconds: float
) -> list[Slope]:
    def rates(role: str) -> dict[int, list[float]]:
        return {
            size: [
                (after[size][name] - cost) / seconds
                for name, cost in before[size].items()
                if name.startswith(role)
            ]
            for size in IDLE_FLEET_SIZES
        }

    return [
        fit(
            rates("router"),
            name="process: idle router, a second, by nodes",
            per="router and 2 agents",
            unit="us/s",
        ),
        fit(
            rates("target"),
            name="process: idle agent, a second, by nodes",
            per="router and 2 agents",
            unit="us/s",
        ),
        fit(
            memory_by_role["router"],
            name="process: memory of an idle router, by nodes",
            per="router and 2 agents",
            unit="MiB",
        ),
        fit(
            memory_by_role["target"],
            name="process: memory of an idle agent, by nodes",
            per="router and 2 agents",
            unit="MiB",
        ),
        fit(
            rates("calls"),
            name="platform: calls of an idle fleet, by nodes",
            per="router and 2 agents",
            unit="calls/s",
        ),
    ]


def _idle_spec(size: int) -> FleetSpec:
    return FleetSpec(
        routers=tuple(RouterSpec(f"router-{n}", "a") for n in range(size)),
        targets=tuple(ServiceSpec(f"target-{n}", "a") for n in range(2 * size)),
        settings_tree=SETTINGS_TREE,
    )


def _snapshot(fleet: LocalFleet) -> dict[str, float]:
    costs = {
        name: _process_cpu_us(fleet.processes_by_name[name].pid)
        for name in fleet.daemon_names()
    }
    return costs | {"calls": _key_value_calls(fleet)}


def _key_value_calls(fleet: LocalFleet) -> float:
    response = admin_request("GET", fleet.platform_url() + "/control/counts")
    counts = msgspec.json.decode(response.content)
    return float(
        sum(n for path, n in counts.items() if path.startswith(KEY_VALUE_PREFIX))
    )


def _memory_mib(fleet: LocalFleet, role: str) -> list[float]:
    names = [name for name in fleet.daemon_names() if name.startswith(role)]
    return [_resident_mib(fleet.processes_by_name[name].pid) for name in names]


def _measure_load(scale: Scale) -> list[Slope]:
    spec = FleetSpec(
        routers=(RouterSpec("router-0", "a"),),
        targets=(EngineSpec("target-0", "a", step_ms=STEP_MS, batch_slope=0.0),),
        settings_tree=SETTINGS_TREE,
        overrides={"admission": {"initial_limit": str(MAX_CONCURRENT_CALLS)}},
    )
    fleet = LocalFleet.from_spec(spec, subnet_offset=9)
    caller = CheckedCaller(max_calls=MAX_CONCURRENT_CALLS)
    try:
        fleet.start()
        generator = _LoadGenerator(fleet, caller)
        generator.run(MAX_CONCURRENT_CALLS, 8)
        return [
            *generator.slopes(
                [scale.count(size) for size in REQUEST_COUNTS],
                lambda size: generator.run(size, 1),
                per="request",
                name="process: whole request of one token",
                repeats=scale.fleet_repeats,
            ),
            *generator.slopes(
                TOKEN_COUNTS,
                lambda size: generator.run_chunks(
                    size, scale.count(REQUESTS_PER_TOKEN_COUNT)
                ),
                per="piece",
                name="process: streamed answer",
                repeats=scale.fleet_repeats,
            ),
        ]
    finally:
        caller.close()
        fleet.close()


class _LoadGenerator:
    """Load generator that measures the CPU time of the router and the agent."""

    def __init__(self, fleet: LocalFleet, caller: CheckedCaller) -> None:
        self._fleet = fleet
        self._caller = caller
        self._serial = 0

    def run(self, requests: int, tokens: int) -> dict[str, float]:
        """Send requests; return the CPU time by role, in microseconds."""
        before = self._cpu_us_by_role()
        calls = [self._start(tokens) for _ in range(requests)]
        wait(calls)
        wrong = [c for c in calls if c.result().end is not AnswerEnd.WHOLE]
        if wrong:
            raise RuntimeError(f"{len(wrong)} responses are incomplete or wrong")
        after = self._cpu_us_by_role()
        return {role: after[role] - before[role] for role in before}

    def run_chunks(self, tokens: int, requests: int) -> dict[str, float]:
        """Send requests; return the CPU time per request by role, in microseconds."""
        costs = self.run(requests, tokens)
        return {role: cost / requests for role, cost in costs.items()}

    def slopes(
        self,
        sizes: list[int] | tuple[int, ...],
        run: Callable[[int], dict[str, float]],
        *,
        per: str,
        name: str,
        repeats: int,
    ) -> list[Slope]:
        """Measure the CPU time at each size; return one slope for each role."""
        costs: dict[str, dict[int, list[float]]] = {
            role: {size: [] for size in sizes} for role in ("router", "agent")
        }
        for _ in range(repeats):
            for size in sizes:
                for role, cost in run(size).items():
                    costs[role][size].append(cost)
        return [
            fit(by_size, name=f"{name}, {role}", per=per, unit="us")
            for role, by_size in costs.items()
        ]

    def _start(self, tokens: int) -> "Future[CheckedAnswer]":
        self._serial += 1
        call = ChatCall(
            token=TOKEN, service="", text=f"call {self._serial}", max_tokens=tokens
        )
        return self._caller.start_chat(self._fleet.caller_urls()[0], call)

    def _cpu_us_by_role(self) -> dict[str, float]:
        processes = self._fleet.processes_by_name
        return {
            "router": _process_cpu_us(processes["router-0"].pid),
            "agent": _process_cpu_us(processes[agent_name("target-0")].pid),
        }


def _process_cpu_us(pid: int) -> float:
    tasks = Path(f"/proc/{pid}/task").iterdir()
    nanoseconds = sum(
        int((task / "schedstat").read_text().split()[0]) for task in tasks
    )
    return nanoseconds * US_PER_NS


def _resident_mib(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MIB
    raise RuntimeError(f"process {pid} has exited")
