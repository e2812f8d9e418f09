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
    priority : int
        Rank, 0 is the highest.
    work : Work
        Its size.
    on_place : callable
        Called with the target once there is one; not before `submit` returns
        unless it returns the target.
    excluded : set of str
        Targets that it must not go to.
    """

    service: str
    priority: int
    work: Work
    on_place: Callable[[Target], None]
    excluded: set[str] = field(default_factory=set)
    number: int = 0


def _rank(ticket: Ticket) -> tuple[int, int]:
    return ticket.priority, ticket.number


class WaitingLine:
    """Waiting requests of one service, by priority and arrival."""

    def __init__(self) -> None:
        self._tickets = SortedKeyList(key=_rank)
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

    def waits_before(self, priority: int) -> bool:
        """Return whether a ticket of the same rank or a higher one waits."""
        return bool(self._tickets) and self._tickets[0].priority <= priority
