"""Invariants of the fleet, checked against its recorded behavior."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from simulated_network import RESPONSE_CHUNKS, Chunk

from berylwalk.admission import EntryState
from berylwalk.model import FinalResponse, Outcome, RefusalReason, Request, RequestId
from berylwalk.wire import Grant

SHED_REASONS = frozenset(
    {RefusalReason.QUEUE_FULL, RefusalReason.EVICTED, RefusalReason.NO_SLOT}
)
Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class QueuedEntry:
    """Entry of an agent's queue."""

    rank: int
    state: EntryState


EntriesById = Mapping[RequestId, QueuedEntry]


@dataclass(slots=True)
class Oracle:
    """Records dispatches and final responses, and asserts the invariants."""

    requests_by_id: dict[RequestId, Request] = field(default_factory=dict)
    dispatches_by_id: Counter = field(default_factory=Counter)
    dispatches_by_key: Counter = field(default_factory=Counter)
    responses_by_id: dict[RequestId, FinalResponse] = field(default_factory=dict)
    relayed_by_id: dict[RequestId, list[Chunk]] = field(default_factory=dict)
    refused_by_id: dict[RequestId, set[Incarnation]] = field(default_factory=dict)
    draining: set[Incarnation] = field(default_factory=set)

    def accepted(self, request: Request) -> None:
        """Record that a router accepted a request."""
        self.requests_by_id[request.request_id] = request

    def dispatched(self, agent: Incarnation, request_id: RequestId) -> None:
        """Record that an agent sends a request to its target."""
        self.dispatches_by_id[request_id] += 1
        assert self.dispatches_by_id[request_id] == 1, "dispatched twice"
        assert agent not in self.draining, "dispatched by a draining agent"
        response = self.responses_by_id.get(request_id)
        reported_not_run = response is not None and response.outcome is Outcome.NOT_RUN
        assert not reported_not_run, "dispatched after not-run was reported"
        key = self.requests_by_id[request_id].idempotency_key
        if key:
            self.dispatches_by_key[key] += 1
            assert self.dispatches_by_key[key] == 1, "an idempotency key ran twice"

    def not_sent(self, request_id: RequestId) -> None:
        """Undo a dispatch whose connection attempt failed."""
        self.dispatches_by_id[request_id] -= 1
        key = self.requests_by_id[request_id].idempotency_key
        self.dispatches_by_key[key] -= 1

    def relayed(self, request_id: RequestId, chunk: Chunk) -> None:
        """Record that a router passed a response chunk on to the caller."""
        assert request_id not in self.responses_by_id, "response chunk after the end"
        self.relayed_by_id.setdefault(request_id, []).append(chunk)

    def refused(
        self,
        agent: Incarnation,
        request_id: RequestId,
        reason: RefusalReason,
        waiting: EntriesById,
    ) -> None:
        """Record that an agent refused or evicted a request; `waiting` stay queued."""
        if reason is RefusalReason.NO_SLOT:
            return
        self.refused_by_id.setdefault(request_id, set()).add(agent)
        if reason in SHED_REASONS:
            rank = self.requests_by_id[request_id].service_policy.tier.rank
            lower = [e for e in _parked_or_queued(waiting) if e.rank > rank]
            assert not lower, "shed while a lower tier waits"

    def dispatched_without_offer(self, grant: Grant, waiting: EntriesById) -> None:
        """Record a dispatch without a slot offer; `waiting` stay queued."""
        before = [e for e in _queued(waiting) if e.rank <= grant.tier_rank]
        assert not before, "dispatched ahead of a queued request"

    def offered_slots(self, taken: list[QueuedEntry], waiting: EntriesById) -> None:
        """Record that entries were offered slots; `waiting` stay queued."""
        for entry in taken:
            higher = [e for e in _queued(waiting) if e.rank < entry.rank]
            assert not higher, "a lower tier was offered a slot first"

    def ended(
        self,
        request_id: RequestId,
        response: FinalResponse,
        reachable: set[Incarnation],
    ) -> None:
        """Record the final response of a request."""
        assert request_id not in self.responses_by_id, "two final responses"
        self.responses_by_id[request_id] = response
        if response.outcome is Outcome.COMPLETE:
            own = [Chunk(request_id, number) for number in range(RESPONSE_CHUNKS)]
            relayed = self.relayed_by_id.get(request_id, [])
            assert relayed == own, "complete without its own full response"
            return
        assert response.refusal is not None, "final response without a refusal"
        if response.outcome is not Outcome.NOT_RUN:
            return
        assert not self.dispatches_by_id[request_id], "not-run, but dispatched"
        assert response.refusal.retry_after_ms > 0, "not-run without a retry-after time"
        if response.refusal.reason in SHED_REASONS:
            refused_by = self.refused_by_id.get(request_id, set())
            assert reachable <= refused_by, "shed before every target refused"

    def check_all_ended(self, lost_routers: set[Incarnation]) -> None:
        """Assert that every request of a running router has a final response."""
        lost = [
            request_id
            for request_id in self.open_requests()
            if request_id[:2] not in lost_routers
        ]
        assert not lost, "requests without a final response"

    def open_requests(self) -> list[RequestId]:
        """Return the requests without a final response."""
        return [one for one in self.requests_by_id if one not in self.responses_by_id]


def _queued(waiting: EntriesById) -> Iterator[QueuedEntry]:
    return (e for e in waiting.values() if e.state is EntryState.QUEUED)


def _parked_or_queued(waiting: EntriesById) -> Iterator[QueuedEntry]:
    return (e for e in waiting.values() if e.state is not EntryState.TAKEN)
