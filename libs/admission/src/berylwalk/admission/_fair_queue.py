"""Deficit round robin over the client accounts of one tier."""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from berylwalk.admission._deadline_heap import DeadlineHeap

# Credit of an account of weight 1 in each round, in seconds of service.
QUANTUM_S = 0.125


@dataclass(slots=True, eq=False)
class AccountQueue:
    """Queued entries of one client account, earliest deadline first."""

    client_account: str
    weight: float = 1.0
    deficit: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    heap: DeadlineHeap = field(default_factory=DeadlineHeap)

    @property
    def credit(self) -> float:
        """Credit in each round, in seconds of service."""
        return QUANTUM_S * self.weight

    def rounds_needed(self, cost: float) -> int:
        """Return the number of rounds until the account can afford a cost."""
        missing = cost - self.deficit
        return max(ceil(missing / self.credit), 0)


class AccountRing:
    """Accounts with queued entries, in round robin order."""

    def __init__(self) -> None:
        self._ring: deque[AccountQueue] = deque()
        # Whether the first account has been credited for the current round.
        self._front_credited = False

    def __len__(self) -> int:
        return len(self._ring)

    def __iter__(self):
        return iter(self._ring)

    def append(self, queue: AccountQueue) -> None:
        """Add an account whose first entry was queued."""
        queue.deficit = 0.0
        self._ring.append(queue)

    def remove(self, queue: AccountQueue) -> None:
        """Remove an account without queued entries; its credit is lost."""
        if self._ring[0] is queue:
            self._front_credited = False
        self._ring.remove(queue)
        queue.deficit = 0.0

    def select(self) -> AccountQueue:
        """Return the account to serve next; its credit covers its first entry.

        Rounds in which no account can afford its first entry are skipped in one
        step, so that a call takes O(accounts) time for entries of any cost.
        """
        if self._front_credited and self._affords(self._ring[0]):
            return self._ring[0]
        self._end_turn()
        rounds, position = self._next_turn()
        self._credit(rounds, position)
        self._ring.rotate(-position)
        self._front_credited = True
        return self._ring[0]

    def _affords(self, queue: AccountQueue) -> bool:
        return queue.rounds_needed(_head_cost(queue)) == 0

    def _end_turn(self) -> None:
        if self._front_credited:
            self._ring.rotate(-1)
            self._front_credited = False

    def _next_turn(self) -> tuple[int, int]:
        # An account is credited when its round begins, so it needs at least one.
        return min(
            (max(queue.rounds_needed(_head_cost(queue)), 1), position)
            for position, queue in enumerate(self._ring)
        )

    def _credit(self, rounds: int, last: int) -> None:
        for position, queue in enumerate(self._ring):
            turns = rounds if position <= last else rounds - 1
            queue.deficit += turns * queue.credit


def _head_cost(queue: AccountQueue) -> float:
    _, entry = queue.heap.peek()
    return entry.cost
