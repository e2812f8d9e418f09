"""Deficit round robin between the client accounts of one tier."""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

from berylwalk.admission._deadline_heap import DeadlineHeap

# Cost credited in each round to an account of weight 1, in seconds of service.
QUANTUM_S = 0.125


@dataclass(slots=True, eq=False)
class AccountQueue:
    """Waiting entries of one client account, earliest deadline first."""

    client_account: str
    weight: float = 1.0
    deficit: float = 0.0
    prompt_tokens: float = 0.0
    output_tokens: float = 0.0
    heap: DeadlineHeap = field(default_factory=DeadlineHeap)

    @property
    def credit(self) -> float:
        """Cost credited in each round."""
        return QUANTUM_S * self.weight

    def rounds_needed(self, cost: float) -> int:
        """Return how many credits are missing for an entry of this cost."""
        missing = cost - self.deficit
        return max(ceil(missing / self.credit), 0)


class AccountRing:
    """Accounts with waiting entries, in the order of their turns."""

    def __init__(self) -> None:
        self._ring: deque[AccountQueue] = deque()
        # Whether the account in front already got the credit of its turn.
        self._front_credited = False

    def __len__(self) -> int:
        return len(self._ring)

    def __iter__(self):
        return iter(self._ring)

    def append(self, queue: AccountQueue) -> None:
        """Add an account that has begun to wait."""
        queue.deficit = 0.0
        self._ring.append(queue)

    def remove(self, queue: AccountQueue) -> None:
        """Remove an account that no longer waits; it keeps no credit."""
        if self._ring[0] is queue:
            self._front_credited = False
        self._ring.remove(queue)
        queue.deficit = 0.0

    def select(self) -> AccountQueue:
        """Return the account whose turn it is, with enough credit for its head.

        Rounds in which no account could afford its head are skipped in one
        step, so that the cost is O(accounts) whatever the size of the work.
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
        # A turn begins with a credit, so that each account takes at least one.
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
