"""Requests that wait for a place at a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from sortedcontainers import SortedKeyList

from berylwalk.dispatch._targets import Target, Work


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One request that wants a place.

    Parameters
    ----------
    service : str
        Where it goes.
    rank : tuple of int
        Lowest first, as `Allowed.rank` gives it.
    work : Work
        Its size.
    on_place : callable
        Called with the target once there is one; not before `submit` returns
        unless it returns the target.
    excluded : set of str
        Targets that it must not go to.
    """

    service: str
    rank: tuple[int, int]
    work: Work
    on_place: Callable[[Target], None]
    excluded: set[str] = field(default_factory=set)
    number: int = 0


def _order(ticket: Ticket) -> tuple[tuple[int, int], int]:
    return ticket.rank, ticket.number


class WaitingLine:
    """Waiting requests of one service, by rank and arrival."""

    def __init__(self) -> None:
        self._tickets = SortedKeyList(key=_order)
        self._numbers = count(1)

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self):
        return iter(list(self._tickets))

    def add(self, ticket: Ticket) -> None:
        """Add a ticket behind those of its rank."""
        ticket.number = next(self._numbers)
        self._tickets.add(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; False if it does not wait."""
        try:
            self._tickets.remove(ticket)
        except ValueError:
            return False
        return True

    def waits_before(self, rank: tuple[int, int]) -> bool:
        """Return whether a ticket of the same rank or a higher one waits."""
        return bool(self._tickets) and self._tickets[0].rank <= rank
