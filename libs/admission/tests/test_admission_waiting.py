"""Admission queue, compared with a simple reference model."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from berylwalk.admission import (
    AdmissionQueue,
    EntryState,
    QueueEntry,
    fifo_scheduling_key,
)
from berylwalk.admission._fair_queue import QUANTUM_S


def make_entry(key, account="a", rank=0, *, weight=1.0, cost=1.0, deadline_at=10.0):
    return QueueEntry(key, account, rank, weight, 100, 10, cost, deadline_at)


@dataclass
class ReferenceTier:
    """Deficit round robin, one step at a time."""

    ring: list[str] = field(default_factory=list)
    deficits: dict[str, float] = field(default_factory=dict)
    credited: bool = False

    def join(self, account):
        if account not in self.ring:
            self.ring.append(account)
            self.deficits[account] = 0.0

    def leave(self, account):
        if self.ring[0] == account:
            self.credited = False
        self.ring.remove(account)
        del self.deficits[account]

    def select(self, head_of, weight_of):
        while True:
            account = self.ring[0]
            if not self.credited:
                self.deficits[account] += QUANTUM_S * weight_of(account)
                self.credited = True
            if self.deficits[account] >= head_of(account).cost:
                return account
            self.ring.append(self.ring.pop(0))
            self.credited = False


class ReferenceQueue:
    """All entries in one list that is scanned for each operation."""

    def __init__(self):
        self.entries = []
        self.tiers = {}

    def queued(self, rank, account=None):
        return [
            entry
            for entry in self.entries
            if entry.state is EntryState.QUEUED
            and entry.rank == rank
            and account in (None, entry.client_account)
        ]

    def take(self):
        rank = min(e.rank for e in self.entries if e.state is EntryState.QUEUED)
        tier = self.tiers[rank]

        def head_of(account):
            return min(
                self.queued(rank, account),
                key=lambda entry: (entry.deadline_at, entry.sequence),
            )

        account = tier.select(head_of, lambda name: self.queued(rank, name)[0].weight)
        entry = head_of(account)
        tier.deficits[account] -= entry.cost
        return entry

    def add_account(self, entry):
        self.tiers.setdefault(entry.rank, ReferenceTier()).join(entry.client_account)

    def drop_empty(self, entry):
        if not self.queued(entry.rank, entry.client_account):
            self.tiers[entry.rank].leave(entry.client_account)
        if not any(other.rank == entry.rank for other in self.entries):
            del self.tiers[entry.rank]

    def refund(self, entry):
        tier = self.tiers.get(entry.rank)
        if tier is not None and entry.client_account in tier.deficits:
            tier.deficits[entry.client_account] += entry.cost


WEIGHTS = {"a": 1.0, "b": 0.25, "c": 4.0}


class QueueAgainstReference(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.waiting = AdmissionQueue()
        self.reference = ReferenceQueue()
        self.next_key = 0

    def choose(self, data, *states):
        found = [entry for entry in self.reference.entries if entry.state in states]
        return data.draw(st.sampled_from(found)) if found else None

    @rule(
        account=st.sampled_from(sorted(WEIGHTS)),
        rank=st.integers(0, 2),
        cost=st.integers(1, 200).map(lambda n: n / 64),
        deadline_at=st.integers(0, 5).map(float),
    )
    def add(self, account, rank, cost, deadline_at):
        self.next_key += 1
        entry = make_entry(
            self.next_key,
            account,
            rank,
            weight=WEIGHTS[account],
            cost=cost,
            deadline_at=deadline_at,
        )
        self.waiting.add(entry)
        self.reference.entries.append(entry)
        self.reference.add_account(entry)

    @precondition(lambda self: self.waiting.highest_rank() is not None)
    @rule()
    def take(self):
        expected = self.reference.take()
        assert self.waiting.peek() is expected
        assert self.waiting.take() is expected
        self.reference.drop_empty(expected)

    @rule(data=st.data())
    def park(self, data):
        entry = self.choose(data, EntryState.TAKEN)
        if entry is not None:
            self.waiting.park(entry.key)
            self.reference.refund(entry)

    @rule(data=st.data())
    def unpark(self, data):
        entry = self.choose(data, EntryState.PARKED)
        if entry is not None:
            self.waiting.unpark(entry.key)
            self.reference.add_account(entry)

    @rule(data=st.data(), ran=st.booleans())
    def remove(self, data, ran):
        entry = self.choose(data, *EntryState)
        if entry is None:
            return
        was = entry.state
        assert self.waiting.remove(entry.key, ran=ran) is entry
        self.reference.entries.remove(entry)
        if was is EntryState.TAKEN and not ran:
            self.reference.refund(entry)
        if was is EntryState.QUEUED:
            self.reference.drop_empty(entry)
        elif not any(other.rank == entry.rank for other in self.reference.entries):
            del self.reference.tiers[entry.rank]

    @invariant()
    def same_eviction_candidate(self):
        """The newest queued or parked entry of the lowest tier is evicted first."""
        waiting = [e for e in self.reference.entries if e.state is not EntryState.TAKEN]
        victim = max(waiting, key=lambda e: (e.rank, e.sequence), default=None)
        assert self.waiting.eviction_candidate() is victim
        assert len(self.waiting) == len(waiting)

    @invariant()
    def same_work(self):
        """The work ahead is that of the queued entries of the tier and higher ones."""
        ahead = [entry for rank in (0, 1) for entry in self.reference.queued(rank)]
        work = self.waiting.work_ahead(1)
        assert work.output_tokens == 10 * len(ahead)


TestAgainstReference = QueueAgainstReference.TestCase
TestAgainstReference.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


class TestFairShares:
    def test_service_is_proportional_to_weight(self):
        """An account of weight 3 gets three times the service, with larger requests."""
        waiting = AdmissionQueue()
        for number in range(200):
            waiting.add(make_entry(("a", number), "a", weight=3.0, cost=4.0))
            waiting.add(make_entry(("b", number), "b", weight=1.0, cost=1.0))
        served = {"a": 0.0, "b": 0.0}
        for _ in range(100):
            entry = waiting.take()
            served[entry.client_account] += entry.cost
            waiting.remove(entry.key, ran=True)
        assert 2.5 < served["a"] / served["b"] < 3.5


class TestFifo:
    def test_ignores_tier_and_deadline(self):
        """The benchmark baseline serves requests in order of arrival."""
        waiting = AdmissionQueue(scheduling_key=fifo_scheduling_key)
        for number, rank in enumerate((2, 0, 1)):
            waiting.add(make_entry(number, str(number), rank, deadline_at=-number))
        assert [waiting.take().key for _ in range(3)] == [0, 1, 2]
