"""What must always hold, checked against what the fleet did."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from simulated_network import WHOLE_ANSWER, Piece

from berylwalk.admission import EntryState
from berylwalk.model import FinalResponse, Outcome, RefusalReason, Request, RequestId
from berylwalk.wire import Grant

SHED_REASONS = frozenset(
    {RefusalReason.QUEUE_FULL, RefusalReason.EVICTED, RefusalReason.NO_SLOT}
)
Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Waiting:
    """Entry of an agent's queue."""

    rank: int
    state: EntryState


WaitingById = Mapping[RequestId, Waiting]


@dataclass(slots=True)
class Oracle:
    """Records dispatches and final answers, and raises where a rule is broken."""

    requests_by_id: dict[RequestId, Request] = field(default_factory=dict)
    dispatches_by_id: Counter = field(default_factory=Counter)
    dispatches_by_key: Counter = field(default_factory=Counter)
    answers_by_id: dict[RequestId, FinalResponse] = field(default_factory=dict)
    relayed_by_id: dict[RequestId, list[Piece]] = field(default_factory=dict)
    refused_by_id: dict[RequestId, set[Incarnation]] = field(default_factory=dict)
    draining: set[Incarnation] = field(default_factory=set)

    def accepted(self, request: Request) -> None:
        """A router accepted a request."""
        self.requests_by_id[request.request_id] = request

    def dispatched(self, agent: Incarnation, request_id: RequestId) -> None:
        """An agent sends a request to its target."""
        self.dispatches_by_id[request_id] += 1
        assert self.dispatches_by_id[request_id] == 1, "dispatched twice"
        assert agent not in self.draining, "dispatched by a draining agent"
        answer = self.answers_by_id.get(request_id)
        told_not_run = answer is not None and answer.outcome is Outcome.NOT_RUN
        assert not told_not_run, "dispatched after not-run was told"
        key = self.requests_by_id[request_id].idempotency_key
        if key:
            self.dispatches_by_key[key] += 1
            assert self.dispatches_by_key[key] == 1, "an idempotency key ran twice"

    def not_sent(self, request_id: RequestId) -> None:
        """The target's port was closed: nothing was sent after all."""
        self.dispatches_by_id[request_id] -= 1
        key = self.requests_by_id[request_id].idempotency_key
        self.dispatches_by_key[key] -= 1

    def relayed(self, request_id: RequestId, piece: Piece) -> None:
        """A router passed a piece of an answer on to the caller."""
        assert request_id not in self.answers_by_id, "answer after the end"
        self.relayed_by_id.setdefault(request_id, []).append(piece)

    def refused(
        self,
        agent: Incarnation,
        request_id: RequestId,
        reason: RefusalReason,
        waiting: WaitingById,
    ) -> None:
        """An agent refused or evicted a request; `waiting` stayed in its list."""
        if reason is RefusalReason.NO_SLOT:
            return
        self.refused_by_id.setdefault(request_id, set()).add(agent)
        if reason in SHED_REASONS:
            rank = self.requests_by_id[request_id].service_policy.tier.rank
            lower = [e for e in _parked_or_queued(waiting) if e.rank > rank]
            assert not lower, "shed while a lower tier waits"

    def dispatched_past(self, grant: Grant, waiting: WaitingById) -> None:
        """A grant without a turn was dispatched while `waiting` went on to wait."""
        before = [e for e in _queued(waiting) if e.rank <= grant.tier_rank]
        assert not before, "dispatched past a waiting request"

    def given_turns(self, taken: list[Waiting], waiting: WaitingById) -> None:
        """Entries were offered slots while `waiting` went on to wait."""
        for entry in taken:
            higher = [e for e in _queued(waiting) if e.rank < entry.rank]
            assert not higher, "a lower tier had its turn first"

    def ended(
        self, request_id: RequestId, answer: FinalResponse, reachable: set[Incarnation]
    ) -> None:
        """A router gave the final answer."""
        assert request_id not in self.answers_by_id, "two final answers"
        self.answers_by_id[request_id] = answer
        if answer.outcome is Outcome.COMPLETE:
            own = [Piece(request_id, number) for number in range(WHOLE_ANSWER)]
            relayed = self.relayed_by_id.get(request_id, [])
            assert relayed == own, "complete without its own whole answer"
            return
        assert answer.refusal is not None, "no reason"
        if answer.outcome is not Outcome.NOT_RUN:
            return
        assert not self.dispatches_by_id[request_id], "not-run, yet dispatched"
        assert answer.refusal.retry_after_ms > 0, "not-run without when to return"
        if answer.refusal.reason in SHED_REASONS:
            asked = self.refused_by_id.get(request_id, set())
            assert reachable <= asked, "shed before every target refused"

    def all_ended(self, lost_routers: set[Incarnation]) -> None:
        """Every request of a living router has its final answer."""
        lost = [
            request_id
            for request_id in self.unanswered()
            if request_id[:2] not in lost_routers
        ]
        assert not lost, "requests without a final answer"

    def unanswered(self) -> list[RequestId]:
        """Return the requests without a final answer."""
        return [one for one in self.requests_by_id if one not in self.answers_by_id]


def _queued(waiting: WaitingById) -> Iterator[Waiting]:
    return (e for e in waiting.values() if e.state is EntryState.QUEUED)


def _parked_or_queued(waiting: WaitingById) -> Iterator[Waiting]:
    return (e for e in waiting.values() if e.state is not EntryState.TAKEN)
