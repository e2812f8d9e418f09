"""Simulation of the callers, routers and engines of a scenario in virtual time."""

from dataclasses import dataclass
from functools import partial

from numpy.random import Generator, default_rng

from berylwalk.replay._engine import Engine
from berylwalk.replay._generated_load import generate_requests
from berylwalk.replay._outcome import Outcome
from berylwalk.replay._scenario import Scenario
from berylwalk.replay._virtual_router import Router
from berylwalk.replay._virtual_time import VirtualTime

DISPATCH_INTERVAL_S = 0.25
"""Interval at which a router dispatches queued requests, besides on events."""
MAX_CALLER_RETRIES = 1
MAX_RETRY_DELAY_SHARE = 1 / 3
"""Upper bound of the delay of a retry, as a share of the time left until the caller's
timeout."""
DRAIN_TIMEOUT_S = 15.0
"""Simulated time after the last arrival, in which pending requests end."""


def run(scenario: Scenario, *, seed: int) -> list[Outcome]:
    """Run a scenario; return all requests in order of arrival.

    Parameters
    ----------
    scenario : Scenario
        The scenario.
    seed : int
        Seed of the random generators of the load and of all random decisions.
    """
    time = VirtualTime()
    loads, draws = default_rng([seed, 1]), default_rng([seed, 2])
    engines = [Engine(scenario.engine, each, time) for each in scenario.slowness]
    routers = [
        Router(f"r{number}", scenario, engines, time, draws)
        for number in range(scenario.routers)
    ]
    for number, router in enumerate(routers):
        _start_periodic_tasks(scenario, time, router, routers, number)
    if scenario.report_s:
        for number in range(len(engines)):
            _start_monitor(scenario, time, routers, engines, number)
    for crash in scenario.load.crashes:
        for number in crash.engines:
            time.call_at(crash.at_s, engines[number].crash)
            time.call_at(crash.at_s + crash.for_s, engines[number].recover)
    outcomes = generate_requests(scenario, loads)
    for outcome in outcomes:
        caller = _Caller(scenario, time, routers, draws, outcome)
        time.call_at(outcome.sent_at, caller.send)
    time.run_until(scenario.load.length_s + DRAIN_TIMEOUT_S)
    return outcomes


@dataclass(slots=True, eq=False)
class _Caller:
    """Caller of one request that retries after a refusal."""

    scenario: Scenario
    time: VirtualTime
    routers: list[Router]
    random: Generator
    outcome: Outcome

    def send(self) -> None:
        router = self.routers[self.random.integers(len(self.routers))]
        router.serve(self.outcome, self.retry)

    def retry(self, delay_s: float) -> None:
        if self.outcome.refusals > MAX_CALLER_RETRIES:
            return
        remaining_s = self.outcome.sent_at + self.outcome.kind.limit_s - self.time.now
        if self.random.random() < self.scenario.load.impatient_share:
            delay_s = 0.0
        self.time.call_later(
            min(delay_s, remaining_s * MAX_RETRY_DELAY_SHARE), self.send
        )


def _start_monitor(
    scenario: Scenario,
    time: VirtualTime,
    routers: list[Router],
    engines: list[Engine],
    number: int,
) -> None:
    """Report the state of an engine to the routers, to each at another moment."""

    def report_to(router: Router) -> None:
        report = engines[number].report()
        time.call_later(scenario.delay_s, partial(router.note_report, number, report))
        time.call_later(scenario.report_s, partial(report_to, router))

    for position, router in enumerate(routers):
        offset_s = scenario.report_s * position / len(routers)
        time.call_later(offset_s, partial(report_to, router))


def _start_periodic_tasks(
    scenario: Scenario,
    time: VirtualTime,
    router: Router,
    routers: list[Router],
    number: int,
) -> None:
    def publish() -> None:
        loads = router.targets.own_loads()
        refused = router.refused.take_updates(time.now)
        usage = router.account_usage.told(time.now)
        for peer in routers:
            if peer is not router:
                time.call_later(
                    scenario.delay_s,
                    partial(
                        peer.merge_peer_message, router.name, loads, refused, usage
                    ),
                )
        time.call_later(scenario.tell_s, publish)

    def dispatch() -> None:
        router.dispatch_queued()
        time.call_later(DISPATCH_INTERVAL_S, dispatch)

    offset_s = scenario.tell_s * number / len(routers)
    time.call_later(offset_s, publish)
    time.call_later(offset_s, dispatch)
