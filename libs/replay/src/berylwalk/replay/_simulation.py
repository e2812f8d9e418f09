"""Callers, routers and engines of one scenario, in virtual time."""

from dataclasses import dataclass
from functools import partial

from numpy.random import Generator, default_rng

from berylwalk.replay._drawn_load import drawn_requests
from berylwalk.replay._engine import Engine
from berylwalk.replay._outcome import Outcome
from berylwalk.replay._scenario import Scenario
from berylwalk.replay._virtual_router import Router
from berylwalk.replay._virtual_time import VirtualTime

SWEEP_S = 0.25
"""Time between two looks of a router at its line, in seconds."""
CALLER_RETURNS = 1
"""Times that a caller comes back after a refusal."""
PATIENCE_OF_CALLERS = 1 / 3
"""Part of its time left that a caller waits before it comes back."""
DRAIN_S = 15.0
"""Time after the last request for which answers are waited for, in seconds."""


def run(scenario: Scenario, *, seed: int) -> list[Outcome]:
    """Replay a scenario; returns all requests in the order of their sending.

    Parameters
    ----------
    scenario : Scenario
        What is replayed.
    seed : int
        Of the sizes and times of requests, and of all draws.
    """
    time = VirtualTime()
    loads, draws = default_rng([seed, 1]), default_rng([seed, 2])
    engines = [Engine(scenario.engine, each, time) for each in scenario.slowness]
    routers = [
        Router(f"r{number}", scenario, engines, time, draws)
        for number in range(scenario.routers)
    ]
    for number, router in enumerate(routers):
        _start_telling(scenario, time, router, routers, number)
    for crash in scenario.load.crashes:
        for number in crash.engines:
            time.call_at(crash.at_s, engines[number].crash)
            time.call_at(crash.at_s + crash.for_s, engines[number].recover)
    outcomes = drawn_requests(scenario, loads)
    for outcome in outcomes:
        caller = _Caller(scenario, time, routers, draws, outcome)
        time.call_at(outcome.sent_at, caller.send)
    time.run_until(scenario.load.length_s + DRAIN_S)
    return outcomes


@dataclass(slots=True, eq=False)
class _Caller:
    """Sends one request, and again after a refusal."""

    scenario: Scenario
    time: VirtualTime
    routers: list[Router]
    random: Generator
    outcome: Outcome

    def send(self) -> None:
        router = self.routers[self.random.integers(len(self.routers))]
        router.serve(self.outcome, self.come_back)

    def come_back(self, after_s: float) -> None:
        if self.outcome.refusals > CALLER_RETURNS:
            return
        left_s = self.outcome.sent_at + self.outcome.kind.limit_s - self.time.now
        if self.random.random() < self.scenario.load.impatient_share:
            after_s = 0.0
        self.time.call_later(min(after_s, left_s * PATIENCE_OF_CALLERS), self.send)


def _start_telling(
    scenario: Scenario,
    time: VirtualTime,
    router: Router,
    routers: list[Router],
    number: int,
) -> None:
    def tell() -> None:
        loads = router.targets.own_loads()
        for peer in routers:
            if peer is not router:
                time.call_later(
                    scenario.delay_s, partial(peer.hear, router.name, loads)
                )
        time.call_later(scenario.tell_s, tell)

    def sweep() -> None:
        router.pump()
        time.call_later(SWEEP_S, sweep)

    offset_s = scenario.tell_s * number / len(routers)
    time.call_later(offset_s, tell)
    time.call_later(offset_s, sweep)
