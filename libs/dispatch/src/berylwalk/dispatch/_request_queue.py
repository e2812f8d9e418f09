"""Requests that wait for a place at a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from sortedcontainers import SortedKeyList

from berylwalk.dispatch._target import Target
from berylwalk.dispatch._target_entries import Work

SIZE_WEIGHT = 0.1
"""Time that a request falls behind its equals for each second that it will keep a
slot: small ones go first while many wait, and no large one waits for ever."""
LONGEST_SLOT_S = 3.0
TYPICAL_PROMPT_TOKEN_S = 0.00002
TYPICAL_OUTPUT_TOKEN_S = 0.0035
"""Typical times of the engines that this was made for; used for comparison only."""


@dataclass(slots=True, kw_only=True, eq=False)
class PendingRequest:
    """One request that wants a place.

    Parameters
    ----------
    service : str
        Where it goes.
    rank : tuple of int
        Lowest first, as `Allowed.rank` gives it.
    work : Work
        Its size.
    ends_at : float
        When its answer has to be whole.
    start_by : float
        When its answer should begin.
    longest_pause_s : float
        Longest pause of its answer that is on time, in seconds; 0 if unbounded.
    on_place : callable
        Called with the target once there is one; not before `submit` returns
        unless it returns the target.
    excluded : set of str
        Targets that it must not go to.
    apart_as : bytes
        What tells a request from others that is to run apart from them, for its target
        may end under it; empty for all that need not.
    arrived_at : float
        When it arrived.
    version_draw : float
        Its number from 0 up to 1, by which versions of a service share requests.
    """

    service: str
    rank: tuple[int, int]
    work: Work
    on_placed: Callable[[Target], None]
    deadline: float = float("inf")
    start_by: float = float("inf")
    longest_pause_s: float = 0.0
    excluded: set[str] = field(default_factory=set)
    isolation_key: bytes = b""
    arrived_at: float = 0.0
    version_draw: float = 0.0
    number: int = 0


def _order(pending: PendingRequest) -> tuple[tuple[int, int], float, int]:
    behind_s = SIZE_WEIGHT * min(_slot_s(pending.work), LONGEST_SLOT_S)
    return pending.rank, pending.arrived_at + behind_s, pending.number


def _slot_s(work: Work) -> float:
    """Return for about how long a request keeps a slot; only compared."""
    prompt_s = work.prompt_tokens * TYPICAL_PROMPT_TOKEN_S
    return prompt_s + work.output_tokens * TYPICAL_OUTPUT_TOKEN_S


class RequestQueue:
    """Waiting requests of one service, by rank, arrival and size."""

    def __init__(self) -> None:
        self._tickets = SortedKeyList(key=_order)
        self._numbers = count(1)

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self):
        return iter(list(self._tickets))

    def add(self, pending: PendingRequest) -> None:
        """Add a ticket behind those of its rank."""
        pending.number = next(self._numbers)
        self._tickets.add(pending)

    def remove(self, pending: PendingRequest) -> bool:
        """Remove a ticket; False if it does not wait."""
        try:
            self._tickets.remove(pending)
        except ValueError:
            return False
        return True

    def waits_before(self, rank: tuple[int, int]) -> bool:
        """Return whether a ticket of the same rank or a higher one waits."""
        return bool(self._tickets) and self._tickets[0].rank <= rank
