"""Queue of an agent's requests, in the order in which they take slots."""

from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from berylwalk.admission._estimates import Work
from berylwalk.admission._fair_queue import AccountQueue, AccountRing
from berylwalk.admission._queue_entries import (
    EntryState,
    QueueEntry,
    SchedulingKeyFunction,
    tiered_scheduling_key,
)


@dataclass(slots=True)
class _Tier:
    # Entries in any state, in order of arrival.
    entries_by_key: dict[Hashable, QueueEntry] = field(default_factory=dict)
    queues_by_account: dict[str, AccountQueue] = field(default_factory=dict)
    ring: AccountRing = field(default_factory=AccountRing)
    queued: int = 0
    parked: int = 0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0

    @property
    def waiting(self) -> int:
        return self.queued + self.parked


class AdmissionQueue:
    """Queue by tier, account and deadline.

    An entry that is taken or parked keeps its order of arrival. Its account is
    charged only if it ran.

    Parameters
    ----------
    scheduling_key : callable
        Computes the key of an entry; `tiered_scheduling_key` or
        `fifo_scheduling_key`.
    """

    def __init__(
        self, *, scheduling_key: SchedulingKeyFunction = tiered_scheduling_key
    ) -> None:
        self._scheduling_key = scheduling_key
        self._tiers_by_rank: dict[int, _Tier] = {}
        self._entries_by_key: dict[Hashable, QueueEntry] = {}
        self._next_sequence = 0

    def __len__(self) -> int:
        """Return the number of entries that are queued or parked."""
        return sum(tier.waiting for tier in self._tiers_by_rank.values())

    def __contains__(self, key: Hashable) -> bool:
        return key in self._entries_by_key

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(tuple(self._entries_by_key.values()))

    def get(self, key: Hashable) -> QueueEntry | None:
        """Return the entry in any state, or None if it is absent."""
        return self._entries_by_key.get(key)

    def add(self, entry: QueueEntry) -> None:
        """Queue a new entry."""
        if entry.key in self._entries_by_key:
            raise ValueError(f"{entry.key} is already in the queue")
        self._next_sequence += 1
        entry.sequence = self._next_sequence
        self._entries_by_key[entry.key] = entry
        tier = self._tier_of(entry)
        tier.entries_by_key[entry.key] = entry
        self._enqueue(entry, tier)

    def peek(self) -> QueueEntry | None:
        """Return the entry that `take` would return, or None if none is queued."""
        rank = self.highest_rank()
        if rank is None:
            return None
        return self._tiers_by_rank[rank].ring.select().heap.peek()[1]

    def take(self) -> QueueEntry:
        """Take the next entry and charge its account.

        Raises
        ------
        IndexError
            If no entry is queued.
        """
        rank = self.highest_rank()
        if rank is None:
            raise IndexError("the admission queue has no queued entries")
        tier = self._tiers_by_rank[rank]
        queue = tier.ring.select()
        entry = queue.heap.peek()[1]
        queue.deficit -= entry.cost
        self._dequeue(entry, tier)
        entry.state = EntryState.TAKEN
        return entry

    def park(self, key: Hashable) -> None:
        """Skip a taken entry until it is unparked, and refund its account."""
        entry = self._entries_by_key[key]
        if entry.state is not EntryState.TAKEN:
            raise ValueError(f"{key} cannot be parked: it is not taken")
        tier = self._tier_of(entry)
        self._refund(entry, tier)
        entry.state = EntryState.PARKED
        tier.parked += 1

    def unpark(self, key: Hashable) -> None:
        """Queue a parked entry again, in its original order of arrival."""
        entry = self._entries_by_key[key]
        if entry.state is not EntryState.PARKED:
            raise ValueError(f"{key} cannot be unparked: it is not parked")
        tier = self._tier_of(entry)
        tier.parked -= 1
        entry.state = EntryState.QUEUED
        self._enqueue(entry, tier)

    def remove(self, key: Hashable, *, ran: bool = False) -> QueueEntry | None:
        """Remove an entry in any state.

        Parameters
        ----------
        key : hashable
            Identifier of the request.
        ran : bool
            Whether a taken entry used its slot; otherwise its account is refunded.

        Returns
        -------
        QueueEntry or None
            The entry, or None if it was absent.
        """
        entry = self._entries_by_key.pop(key, None)
        if entry is None:
            return None
        tier = self._tier_of(entry)
        del tier.entries_by_key[key]
        if entry.state is EntryState.QUEUED:
            self._dequeue(entry, tier)
        elif entry.state is EntryState.PARKED:
            tier.parked -= 1
        elif not ran:
            self._refund(entry, tier)
        if not tier.entries_by_key:
            del self._tiers_by_rank[self._scheduling_key(entry).rank]
        return entry

    def eviction_candidate(self) -> QueueEntry | None:
        """Return the newest entry of the lowest tier, or None if none waits."""
        rank = max((r for r, t in self._tiers_by_rank.items() if t.waiting), default=-1)
        if rank < 0:
            return None
        entries = self._tiers_by_rank[rank].entries_by_key.values()
        return next(
            entry for entry in reversed(entries) if entry.state is not EntryState.TAKEN
        )

    def highest_rank(self) -> int | None:
        """Return the highest tier with queued entries, or None if none is queued."""
        ranks = (rank for rank, tier in self._tiers_by_rank.items() if tier.queued)
        return min(ranks, default=None)

    def has_entry_ahead(self, rank: int) -> bool:
        """Return whether a queued entry is served before a new one of a rank."""
        highest = self.highest_rank()
        return highest is not None and highest <= rank

    def count_at_rank(self, rank: int) -> int:
        """Return the number of queued or parked entries of a rank."""
        tier = self._tiers_by_rank.get(rank)
        return 0 if tier is None else tier.waiting

    def count_by_rank(self) -> dict[int, int]:
        """Return the number of queued or parked entries by rank."""
        return {rank: tier.waiting for rank, tier in self._tiers_by_rank.items()}

    def work_ahead(self, rank: int) -> Work:
        """Return the queued work of a rank and all higher ones."""
        prompt_tokens = 0.0
        output_tokens = 0.0
        for other, tier in self._tiers_by_rank.items():
            if other <= rank:
                prompt_tokens += tier.prompt_tokens
                output_tokens += tier.output_tokens
        return Work(prompt_tokens, output_tokens)

    def work_ahead_of_account(
        self, rank: int, client_account: str, weight: float
    ) -> Work:
        """Return the queued work that is served before a new entry of an account.

        Within its own tier this is the account's queued work divided by the
        account's share, at most the queued work of the tier.
        """
        above = self.work_ahead(rank - 1)
        tier = self._tiers_by_rank.get(rank)
        if tier is None:
            return above
        share = _share(tier, client_account, weight)
        own = tier.queues_by_account.get(client_account)
        own_prompt = 0.0 if own is None else own.prompt_tokens
        own_output = 0.0 if own is None else own.output_tokens
        return Work(
            above.prompt_tokens + min(tier.prompt_tokens, own_prompt / share),
            above.output_tokens + min(tier.output_tokens, own_output / share),
        )

    def _tier_of(self, entry: QueueEntry) -> _Tier:
        rank = self._scheduling_key(entry).rank
        tier = self._tiers_by_rank.get(rank)
        if tier is None:
            tier = self._tiers_by_rank[rank] = _Tier()
        return tier

    def _enqueue(self, entry: QueueEntry, tier: _Tier) -> AccountQueue:
        key = self._scheduling_key(entry)
        queue = tier.queues_by_account.get(key.client_account)
        if queue is None:
            queue = AccountQueue(key.client_account)
            tier.queues_by_account[key.client_account] = queue
            tier.ring.append(queue)
        queue.weight = key.weight
        queue.heap.push(key.sort_key, entry.sequence, entry)
        _add_work(queue, tier, entry, 1)
        return queue

    def _dequeue(self, entry: QueueEntry, tier: _Tier) -> None:
        queue = tier.queues_by_account[self._scheduling_key(entry).client_account]
        queue.heap.discard(entry.sequence)
        _add_work(queue, tier, entry, -1)
        if not queue.heap:
            tier.ring.remove(queue)
            del tier.queues_by_account[queue.client_account]

    def _refund(self, entry: QueueEntry, tier: _Tier) -> None:
        queue = tier.queues_by_account.get(self._scheduling_key(entry).client_account)
        if queue is not None:
            queue.deficit += entry.cost


def _add_work(queue: AccountQueue, tier: _Tier, entry: QueueEntry, sign: int) -> None:
    queue.prompt_tokens += sign * entry.prompt_tokens
    queue.output_tokens += sign * entry.output_tokens
    tier.prompt_tokens += sign * entry.prompt_tokens
    tier.output_tokens += sign * entry.output_tokens
    tier.queued += sign


def _share(tier: _Tier, client_account: str, weight: float) -> float:
    others = sum(
        queue.weight
        for account, queue in tier.queues_by_account.items()
        if account != client_account
    )
    return weight / (weight + others)
