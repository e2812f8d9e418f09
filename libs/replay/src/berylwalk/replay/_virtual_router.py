"""A router in virtual time: the real decisions, and what it does with a request.

The decisions are those of the direct router: places, waiting, refusals, return times,
learning. What a router does with a request follows `berylwalk.direct`, without its
connections, allowances and store.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from numpy.random import Generator

from berylwalk.dispatch import (
    Dispatcher,
    PendingRequest,
    RequestDeadlines,
    Target,
    TargetEntry,
    TargetState,
    TargetTable,
    deadlines_after_failure,
    deadlines_at_arrival,
    estimate_first_event,
    retry_after_s,
)
from berylwalk.replay._engine import Engine, Sequence
from berylwalk.replay._outcome import Outcome
from berylwalk.replay._scenario import Scenario
from berylwalk.replay._virtual_time import VirtualTime

SERVICE = "engines"
EVENTS_TOLD = 8
"""Events of a stream after which its speed is told."""


class Router:
    """One router: the real decisions, and what it does with a request.

    Parameters
    ----------
    name : str
        Its name.
    scenario : Scenario
        Sizes of the engines.
    engines : list of Engine
        The targets.
    time : VirtualTime
        When things happen.
    random : Generator
        Draws between equal targets and of return times.
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
        self.targets = TargetTable()
        self._scenario = scenario
        self._engines = engines
        self._time = time
        self._random = random
        self._dispatcher = Dispatcher(
            self.targets, failure_domain="fd", draw=random.random
        )
        entries = [
            TargetEntry(
                target_id=str(number),
                service=SERVICE,
                host="",
                port=0,
                failure_domain="fd",
                slots=scenario.engine.slots,
                state=TargetState.READY,
            )
            for number in range(len(engines))
        ]
        self.targets.replace(entries, time.now)

    def serve(self, outcome: Outcome, on_refused: Callable[[float], None]) -> None:
        """Take a request; a refusal brings the seconds to come back after."""
        now = self._time.now
        ends_at = outcome.sent_at + outcome.kind.limit_s
        deadlines = deadlines_at_arrival(now, outcome.kind.objective_s, ends_at)
        _Service(self, outcome, ends_at, on_refused).place(deadlines)

    def hear(self, peer: str, loads: dict[str, tuple[int, int]]) -> None:
        """Take the loads of a peer."""
        self.targets.replace_peer_loads(peer, loads)
        self.pump()

    def pump(self) -> None:
        """Give free places to those that wait."""
        self._dispatcher.dispatch_all_queued(self._time.now)


@dataclass(slots=True, eq=False)
class _Service:
    """What one router does with one request."""

    router: Router
    outcome: Outcome
    ends_at: float
    on_refused: Callable[[float], None]
    excluded: set[str] = field(default_factory=set)

    @property
    def now(self) -> float:
        return self.router._time.now

    def place(self, deadlines: RequestDeadlines) -> None:
        """Find a place, now or until the patience ends."""
        asked_at = self.now
        placed = []

        def on_placed(target: Target) -> None:
            placed.append(target)
            self.outcome.waited_s += self.now - asked_at
            self.send(target)

        pending = PendingRequest(
            service=SERVICE,
            rank=(0, self.outcome.kind.rank),
            work=self.outcome.work,
            on_placed=on_placed,
            deadline=self.ends_at,
            start_by=deadlines.start_by,
            longest_pause_s=self.outcome.kind.longest_pause_s,
            excluded=self.excluded,
            arrived_at=asked_at,
        )
        target = self.router._dispatcher.submit(pending, asked_at)
        if target is not None:
            on_placed(target)
            return

        def give_up() -> None:
            if not placed:
                self.router._dispatcher.cancel(pending)
                self.outcome.waited_s += self.now - asked_at
                self.refuse()

        self.router._time.call_at(deadlines.wait_until, give_up)

    def refuse(self) -> None:
        self.outcome.refusals += 1
        left_s = self.ends_at - self.now
        self.on_refused(retry_after_s(left_s, draw=self.router._random.uniform))

    def send(self, target: Target) -> None:
        """Send it to an engine and learn from what comes back."""
        work, sent_at = self.outcome.work, self.now
        start = estimate_first_event(target, work)
        target.note_sent(work, sent_at)
        number = int(target.entry.target_id)
        delay_s = self.router._scenario.delay_s
        fixed_s = self.router._scenario.engine.fixed_s
        time = self.router._time
        progress = _Progress(self, target, start, sent_at, number)
        sequence = Sequence(
            work.prompt_tokens,
            work.output_tokens,
            on_events=lambda events: time.call_later(
                fixed_s + delay_s, partial(progress.take_events, events)
            ),
            on_end=lambda whole: time.call_later(
                fixed_s + delay_s, partial(progress.take_end, whole)
            ),
        )
        engine = self.router._engines[number]

        def arrive() -> None:
            if not engine.submit(sequence):
                time.call_later(delay_s, progress.take_refusal)

        def leave() -> None:
            if not progress.has_ended:
                engine.cancel(sequence)
                progress.take_end(False, by_caller=True)

        time.call_later(delay_s, arrive)
        time.call_at(self.ends_at, leave)


@dataclass(slots=True, eq=False)
class _Progress:
    """What comes back of one send."""

    service: _Service
    target: Target
    start: object
    sent_at: float
    number: int
    events: int = 0
    told: int = 0
    told_at: float = 0.0
    first_at: float | None = None
    has_ended: bool = False

    @property
    def now(self) -> float:
        return self.service.now

    def take_events(self, events: int) -> None:
        if self.has_ended:
            return
        outcome, target, now = self.service.outcome, self.target, self.now
        target.note_heard(now)
        if self.first_at is None:
            self.first_at = self.told_at = now
            self.told = events
            target.note_first_event(outcome.work, self.start, now - self.sent_at)
            if outcome.first_event_s is None:
                outcome.first_event_s = now - outcome.sent_at
                outcome.engine = self.number
        else:
            pause_s = now - outcome.last_event_at
            outcome.longest_pause_s = max(outcome.longest_pause_s, pause_s)
        outcome.last_event_at = now
        self.events += events
        if self.events - self.told >= EVENTS_TOLD:
            self.tell_output()

    def tell_output(self) -> None:
        events = self.events - self.told
        tokens = events * self.service.router._scenario.engine.event_tokens
        if events:
            self.target.note_output(tokens, events, self.now - self.told_at)
        self.told, self.told_at = self.events, self.now

    def take_refusal(self) -> None:
        """Try another engine: this one is down or full."""
        self.leave_target()
        self.target.note_unreachable(self.now)
        self.service.excluded.add(self.target.entry.incarnation_id)
        self.service.place(deadlines_after_failure(self.now, self.service.ends_at))

    def take_end(self, whole: bool, *, by_caller: bool = False) -> None:
        if self.has_ended:
            return
        outcome = self.service.outcome
        if whole:
            self.tell_output()
            self.target.note_success()
            self.target.note_slot_time(self.now - self.first_at)
            too_long = outcome.longest_pause_s > outcome.kind.longest_pause_s
            self.target.note_paused(too_long)
            outcome.is_complete = True
        elif not by_caller:
            self.target.note_error()
            self.target.note_unreachable(self.now)
        self.leave_target()

    def leave_target(self) -> None:
        self.has_ended = True
        had_first = self.first_at is not None
        self.target.note_finished(self.service.outcome.work, had_first_event=had_first)
        self.service.router.pump()
