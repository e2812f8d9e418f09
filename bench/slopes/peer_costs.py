"""CPU time and memory by number of agents, routers and queued requests."""

from functools import partial

from berylwalk.platform import Vm, VmRole
from berylwalk.router._membership import MemberTable, member_from_vm
from slopes.agents import SimulatedAgent
from slopes.costs import cpu_time_us, memory_kib
from slopes.fitting import Slope, measure_slope
from slopes.routers import ROUTER, SimulatedRouter
from slopes.scale import Scale

FLEET_SIZES = (250, 500, 1000, 2000)
MEASURED_S = 4.0
ROUTER_COUNTS = (5, 10, 20, 40)
QUEUE_LENGTHS = (250, 500, 1000, 2000)
SMALL_FLEET_SIZES = (4, 8, 12, 16)
SETTLE_S = 3.0
PROBES_PER_S = 80
MEMORY_REPEATS = 2


def measure(scale: Scale) -> list[Slope]:
    """Measure CPU time per second, message rates and memory."""
    seconds = max(1.0, MEASURED_S * scale.share)
    queue_lengths = [scale.count(size) for size in QUEUE_LENGTHS]
    fleet_sizes = [scale.count(size) for size in FLEET_SIZES]
    measure_time = partial(measure_slope, repeats=scale.repeats)
    measure_memory = partial(measure_slope, repeats=min(scale.repeats, MEMORY_REPEATS))
    # Message rates are deterministic, so that one repeat suffices.
    measure_rate = partial(measure_slope, repeats=1)
    return [
        measure_time(
            partial(_router_us_per_s, seconds=seconds),
            name="router machine: a second, by agents in a small fleet",
            per="agent",
            unit="us/s",
            sizes=SMALL_FLEET_SIZES,
        ),
        measure_time(
            partial(_router_us_per_s, seconds=seconds),
            name="router machine: a second, by agents listed",
            per="agent",
            unit="us/s",
            sizes=fleet_sizes,
        ),
        measure_rate(
            _hellos_sent_per_s,
            name="router machine: heartbeats sent a second, by agents listed",
            per="agent",
            unit="1/s",
            sizes=fleet_sizes,
        ),
        measure_time(
            _list_resources,
            name="router machine: list of resources, by agents listed",
            per="agent",
            unit="us",
            sizes=fleet_sizes,
        ),
        measure_time(
            _apply_vm_list,
            name="router: VM list taken over, without transport, by VMs",
            per="VM",
            unit="us",
            sizes=fleet_sizes,
        ),
        measure_memory(
            _router_memory,
            name="router machine: memory, by agents listed",
            per="agent",
            unit="KiB",
            sizes=fleet_sizes,
        ),
        measure_time(
            partial(_agent_us_per_s, seconds=seconds),
            name="agent machine: a second, by routers that greet",
            per="router",
            unit="us/s",
            sizes=ROUTER_COUNTS,
        ),
        measure_rate(
            _datagrams_sent_per_s,
            name="agent machine: datagrams sent a second under load, by routers",
            per="router",
            unit="1/s",
            sizes=ROUTER_COUNTS,
        ),
        measure_memory(
            _router_queue_memory,
            name="router machine: memory, by waiting requests",
            per="request",
            unit="KiB",
            sizes=queue_lengths,
        ),
        measure_time(
            partial(_router_queue_us_per_s, seconds=seconds),
            name="router machine: a second, by waiting requests",
            per="request",
            unit="us/s",
            sizes=queue_lengths,
        ),
        measure_memory(
            _agent_queue_memory,
            name="agent machine: memory, by waiting requests",
            per="request",
            unit="KiB",
            sizes=queue_lengths,
        ),
        measure_time(
            partial(_agent_queue_us_per_s, seconds=seconds),
            name="agent machine: a second, by waiting requests",
            per="request",
            unit="us/s",
            sizes=queue_lengths,
        ),
        measure_memory(
            _agent_records_memory,
            name="agent machine: memory, by remembered requests",
            per="request",
            unit="KiB",
            sizes=queue_lengths,
        ),
    ]


def router_with_digests(agents: int) -> SimulatedRouter:
    """Return a router that has a load digest of every agent."""
    router = SimulatedRouter(agents)
    for agent in router.agents:
        router.deliver_digest(agent)
    return router


def router_past_startup(agents: int) -> SimulatedRouter:
    """Return a router that has completed its initial probes."""
    router = router_with_digests(agents)
    # At startup, the router probes each agent once at a higher rate.
    router.advance(SETTLE_S + agents / PROBES_PER_S)
    return router


def _router_us_per_s(agents: int, *, seconds: float) -> float:
    router = router_past_startup(agents)
    return cpu_time_us(partial(router.advance, seconds)) / seconds


def _hellos_sent_per_s(agents: int) -> float:
    router = router_past_startup(agents)
    before = router.hellos
    router.advance(5.0)
    return (router.hellos - before) / 5.0


def _list_resources(agents: int) -> float:
    router = router_with_digests(agents)
    return cpu_time_us(partial(router.machine.resources_when_complete, agents))


def _apply_vm_list(count: int) -> float:
    vms = tuple(
        Vm(f"vm-{n}", f"10.0.{n // 250}.{n % 250}", "domain-1", VmRole.TARGET)
        for n in range(count)
    )
    table = MemberTable(ROUTER)
    table.apply_list(map(member_from_vm, vms), 0.0)

    def work() -> None:
        before = table.members
        table.apply_list(map(member_from_vm, vms), 1.0)
        if table.members != before:
            raise RuntimeError("an unchanged VM list changed the member table")

    return cpu_time_us(work)


def _router_memory(agents: int) -> float:
    return memory_kib(partial(router_with_digests, agents))


def _agent_us_per_s(routers: int, *, seconds: float) -> float:
    agent = SimulatedAgent(routers)
    return cpu_time_us(partial(agent.advance, seconds)) / seconds


def _datagrams_sent_per_s(routers: int) -> float:
    agent = SimulatedAgent(routers)
    agent.advance(1.0)
    before = agent.sent
    agent.advance(2.0, changes=True)
    return (agent.sent - before) / 2.0


def _router_with_queue(count: int) -> SimulatedRouter:
    router = SimulatedRouter(16, full=True, models=1)
    router.queue_requests(count)
    return router


def _router_queue_memory(count: int) -> float:
    return memory_kib(partial(_router_with_queue, count))


def _router_queue_us_per_s(count: int, *, seconds: float) -> float:
    router = _router_with_queue(count)
    router.advance(3.0)
    return cpu_time_us(partial(router.advance, seconds)) / seconds


def _agent_with_queue(count: int) -> SimulatedAgent:
    agent = SimulatedAgent()
    agent.occupy_slots()
    agent.queue_requests(count)
    return agent


def _agent_queue_memory(count: int) -> float:
    return memory_kib(partial(_agent_with_queue, count))


def _agent_queue_us_per_s(count: int, *, seconds: float) -> float:
    agent = _agent_with_queue(count)
    return cpu_time_us(partial(agent.advance, seconds)) / seconds


def _agent_records_memory(count: int) -> float:
    def build() -> SimulatedAgent:
        agent = SimulatedAgent()
        agent.run_granted(count)
        return agent

    return memory_kib(build)
