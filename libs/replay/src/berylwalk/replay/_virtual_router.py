"""Simulated direct router.

Placement, queueing, refusals, retry delays and learned estimates run the production
code of `berylwalk.dispatch`. The handling of a request follows `berylwalk.direct`
without connections, quotas and store.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from numpy.random import Generator

from berylwalk.dispatch import (
    AccountUsage,
    Dispatcher,
    PendingRequest,
    RefusalRecords,
    RefusedRequests,
    RequestDeadlines,
    Service,
    Target,
    TargetEntry,
    TargetReport,
    TargetState,
    TargetTable,
    ToldUsage,
    deadlines_after_failure,
    deadlines_at_arrival,
    estimate_first_event,
    retry_after_s,
)
from berylwalk.replay._engine import Engine, Sequence
from berylwalk.replay._outcome import Outcome
from berylwalk.replay._scenario import EngineKind, Scenario
from berylwalk.replay._virtual_time import VirtualTime

SERVICE = "engines"
EVENTS_PER_REPORT = 8
"""Number of stream events after which the output rate is recorded."""


class Router:
    """A simulated router.

    Parameters
    ----------
    name : str
        Name of the router.
    scenario : Scenario
        Scenario with the capacity of the engines and the network latency.
    engines : list of Engine
        The targets.
    time : VirtualTime
        Clock and scheduler of the simulation.
    random : Generator
        Source of tie breaks between targets and of jitter of retry delays.
    """

    def __init__(
        self,
        name: str,
        scenario: Scenario,
        engines: list[Engine],
        time: VirtualTime,
        random: Generator,
    ) -> None:
        self.name = name
        engine = scenario.engine
        self.targets = TargetTable(crash_when_full=engine.crash_s > 0)
        self.targets.set_services([_service(engine)])
        self.refused = RefusedRequests()
        self.account_usage = AccountUsage()
        self._scenario = scenario
        self._engines = engines
        self._time = time
        self._random = random
        self._dispatcher = Dispatcher(
            self.targets,
            failure_domain="fd",
            draw=random.random,
            account_usage=self.account_usage,
        )
        entries = [
            TargetEntry(
                target_id=str(engine_number),
                service=SERVICE,
                host="",
                port=0,
                failure_domain="fd",
                slots=scenario.engine.slots,
                state=TargetState.READY,
            )
            for engine_number in range(len(engines))
        ]
        self.targets.replace(entries, time.now)

    def serve(self, outcome: Outcome, on_refused: Callable[[float], None]) -> None:
        """Handle a request.

        Parameters
        ----------
        outcome : Outcome
            The request; its result is stored there.
        on_refused : callable
            Called on a refusal with the retry delay in seconds.
        """
        now = self._time.now
        deadline = outcome.sent_at + outcome.kind.limit_s
        deadlines = deadlines_at_arrival(
            now,
            outcome.kind.objective_s,
            deadline,
            first_arrived_at=self.refused.take(
                outcome.identity, gives_up_at=deadline, now=now
            ),
            idle_start_s=self._dispatcher.idle_start_s(SERVICE, outcome.work, now),
        )
        handler = _RequestHandler(self, outcome, deadline, on_refused)
        handler.send_by = deadlines.send_by
        handler.place(deadlines)

    def merge_peer_message(
        self,
        peer: str,
        loads: dict[str, tuple[int, int]],
        refused: RefusalRecords,
        usage: ToldUsage,
    ) -> None:
        """Record what a peer reports, and dispatch queued requests."""
        self.account_usage.record_told(peer, usage)
        self.targets.replace_peer_loads(peer, loads, told_at=self._time.now)
        self.refused.merge(refused, self._time.now)
        self.dispatch_queued()

    def note_report(self, engine_number: int, report: TargetReport | None) -> None:
        """Apply the report of a monitor, and dispatch queued requests."""
        target = self.targets.by_id[str(engine_number)]
        if report is None:
            target.note_no_report()
            return
        load_before = target.total_in_flight
        self.targets.note_report(target, report, self._time.now)
        if target.total_in_flight < load_before:
            self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Dispatch queued requests to targets with free capacity."""
        self._dispatcher.dispatch_all_queued(self._time.now)


def _service(engine: EngineKind) -> Service:
    return Service(
        name=SERVICE,
        max_connections=engine.slots + engine.queue,
        engine_slots=engine.slots,
        kv_capacity=engine.memory_tokens,
        tokens_per_event=engine.event_tokens,
    )


@dataclass(slots=True, eq=False)
class _RequestHandler:
    """Handling of one request at one router."""

    router: Router
    outcome: Outcome
    deadline: float
    on_refused: Callable[[float], None]
    excluded: set[str] = field(default_factory=set)
    send_by: float = float("-inf")

    @property
    def now(self) -> float:
        return self.router._time.now

    def place(self, deadlines: RequestDeadlines) -> None:
        """Place the request, or queue it until ``deadlines.wait_until``."""
        queued_at = self.now
        placed = []

        def on_placed(target: Target) -> None:
            placed.append(target)
            self.outcome.waited_s += self.now - queued_at
            self.send(target)

        pending = PendingRequest(
            service=SERVICE,
            rank=(0, self.outcome.kind.rank),
            work=self.outcome.work,
            on_placed=on_placed,
            deadline=self.deadline,
            start_by=deadlines.start_by,
            send_by=deadlines.send_by,
            longest_pause_s=self.outcome.kind.longest_pause_s,
            excluded=self.excluded,
            arrived_at=queued_at,
            account=self.outcome.kind.account,
        )
        target = self.router._dispatcher.submit(pending, queued_at)
        if target is not None:
            on_placed(target)
            return

        def give_up() -> None:
            if not placed:
                self.router._dispatcher.cancel(pending)
                self.outcome.waited_s += self.now - queued_at
                self.refuse()

        self.router._time.call_at(deadlines.wait_until, give_up)

    def refuse(self) -> None:
        self.outcome.refusals += 1
        self.router.refused.record(
            self.outcome.identity,
            self.outcome.sent_at,
            gives_up_at=self.deadline,
            now=self.now,
        )
        remaining_s = self.deadline - self.now
        delay_s = retry_after_s(
            remaining_s,
            in_time_s=self.send_by - self.now,
            draw=self.router._random.uniform,
        )
        self.on_refused(delay_s)

    def send(self, target: Target) -> None:
        """Send the request to an engine and record the progress of the response."""
        work, sent_at = self.outcome.work, self.now
        estimate = estimate_first_event(target, work)
        target.note_sent(work, sent_at)
        account = self.outcome.kind.account
        self.router.account_usage.note_started(SERVICE, account, sent_at)
        engine_number = int(target.entry.target_id)
        delay_s = self.router._scenario.delay_s
        fixed_s = self.router._scenario.engine.fixed_s
        time = self.router._time
        attempt = _Attempt(self, target, estimate, sent_at, engine_number)
        sequence = Sequence(
            work.prompt_tokens,
            work.output_tokens,
            on_events=lambda events: time.call_later(
                fixed_s + delay_s, partial(attempt.on_events, events)
            ),
            on_end=lambda complete: time.call_later(
                fixed_s + delay_s, partial(attempt.on_end, complete)
            ),
        )
        engine = self.router._engines[engine_number]

        def submit() -> None:
            if not engine.submit(sequence):
                time.call_later(delay_s, attempt.on_refusal)

        def disconnect() -> None:
            if not attempt.is_finished:
                engine.cancel(sequence)
                attempt.on_end(False, by_caller=True)

        time.call_later(delay_s, submit)
        time.call_at(self.deadline, disconnect)


@dataclass(slots=True, eq=False)
class _Attempt:
    """Progress of one attempt at an engine."""

    handler: _RequestHandler
    target: Target
    estimate: object
    sent_at: float
    engine_number: int
    events: int = 0
    reported_events: int = 0
    reported_at: float = 0.0
    first_event_at: float | None = None
    is_finished: bool = False

    @property
    def now(self) -> float:
        return self.handler.now

    def on_events(self, events: int) -> None:
        if self.is_finished:
            return
        outcome, target, now = self.handler.outcome, self.target, self.now
        target.note_heard(now)
        if self.first_event_at is None:
            self.first_event_at = self.reported_at = now
            self.reported_events = events
            target.note_first_event(outcome.work, self.estimate, now - self.sent_at)
            if outcome.first_event_s is None:
                outcome.first_event_s = now - outcome.sent_at
                outcome.engine = self.engine_number
        else:
            pause_s = now - outcome.last_event_at
            outcome.longest_pause_s = max(outcome.longest_pause_s, pause_s)
        outcome.last_event_at = now
        self.events += events
        if self.events - self.reported_events >= EVENTS_PER_REPORT:
            self.report_output()

    def report_output(self) -> None:
        events = self.events - self.reported_events
        tokens = events * self.handler.router._scenario.engine.event_tokens
        if events:
            self.target.note_output(tokens, events, self.now - self.reported_at)
        self.reported_events, self.reported_at = self.events, self.now

    def on_refusal(self) -> None:
        """Retry at another engine after this one, down or full, refused."""
        self.finish()
        self.target.note_unreachable(self.now)
        self.handler.excluded.add(self.target.entry.incarnation_id)
        self.handler.place(deadlines_after_failure(self.now, self.handler.deadline))

    def on_end(self, complete: bool, *, by_caller: bool = False) -> None:
        if self.is_finished:
            return
        outcome = self.handler.outcome
        if complete:
            self.report_output()
            self.target.note_success()
            self.target.note_slot_time(self.now - self.first_event_at)
            too_long = outcome.longest_pause_s > outcome.kind.longest_pause_s
            self.target.note_paused(too_long)
            outcome.is_complete = True
        elif not by_caller:
            self.target.note_error()
            self.target.note_unreachable(self.now)
        self.finish()

    def finish(self) -> None:
        self.is_finished = True
        kind, router = self.handler.outcome.kind, self.handler.router
        router.account_usage.note_ended(SERVICE, kind.account, self.now)
        had_first = self.first_event_at is not None
        self.target.note_finished(self.handler.outcome.work, had_first_event=had_first)
        router.dispatch_queued()
