"""CPU time of requests in the state machines."""

from functools import partial

from slopes.agents import SimulatedAgent
from slopes.costs import cpu_time_us
from slopes.fitting import Slope, measure_slope
from slopes.routers import SimulatedRouter
from slopes.scale import Scale

REQUEST_COUNTS = (100, 200, 400, 800)
CHUNK_COUNTS = (500, 1000, 2000, 4000)
SUBSET_SIZES = (4, 8, 12, 16)
AGENTS = 16
REQUESTS_PER_SUBSET = 200


def measure(scale: Scale) -> list[Slope]:
    """Measure the state machines of both roles."""
    in_requests = partial(
        measure_slope,
        per="request",
        unit="us",
        sizes=[scale.count(size) for size in REQUEST_COUNTS],
        repeats=scale.repeats,
    )
    return [
        in_requests(_router_granted, name="router machine: request granted at once"),
        in_requests(_router_reserved, name="router machine: request that waits"),
        measure_slope(
            _router_by_subset,
            name="router machine: request, by agents considered",
            per="agent",
            unit="us",
            sizes=SUBSET_SIZES,
            repeats=scale.repeats,
        ),
        in_requests(_agent_granted, name="agent machine: request granted at once"),
        in_requests(_agent_reserved, name="agent machine: request that waits"),
        measure_slope(
            _agent_response_chunks,
            name="agent machine: piece of an answer",
            per="piece",
            unit="us",
            sizes=[scale.count(size) for size in CHUNK_COUNTS],
            repeats=scale.repeats,
        ),
    ]


def _router_granted(count: int) -> float:
    router = _one_model_router(AGENTS)
    return _measure_checked(partial(router.run_granted, count), count)


def _router_reserved(count: int) -> float:
    router = _one_model_router(AGENTS, full=True)
    return _measure_checked(partial(router.run_reserved, count), count)


def _router_by_subset(agents: int) -> float:
    router = _one_model_router(agents)
    cost = _measure_checked(
        partial(router.run_granted, REQUESTS_PER_SUBSET), REQUESTS_PER_SUBSET
    )
    return cost / REQUESTS_PER_SUBSET


def _agent_granted(count: int) -> float:
    agent = SimulatedAgent()
    return _measure_checked(partial(agent.run_granted, count), count)


def _agent_reserved(count: int) -> float:
    agent = SimulatedAgent()
    return _measure_checked(partial(agent.run_reserved, count), count)


def _agent_response_chunks(count: int) -> float:
    agent = SimulatedAgent()
    return cpu_time_us(partial(agent.run_granted, 1, chunks=count))


def _one_model_router(agents: int, *, full: bool = False) -> SimulatedRouter:
    return SimulatedRouter(agents, full=full, models=1)


def _measure_checked(run: "partial[int]", expected: int) -> float:
    done = 0

    def work() -> None:
        nonlocal done
        done = run()

    cost = cpu_time_us(work)
    if done != expected:
        raise RuntimeError(
            f"{done} of {expected} requests ran; the measurement is invalid"
        )
    return cost
