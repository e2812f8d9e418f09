"""Send times of requests, by which replies are dated on the local clock.

A reply states the age of its contents at the time it was sent. Its delay is unknown and
the clocks of two VMs differ, but it was sent after its request. So the contents are
dated by the time of the request: they may appear older than they are, never newer.
"""

from collections import OrderedDict
from itertools import count

MAX_PENDING = 32
"""Replies to older requests are ignored."""


class PendingSyncs:
    """Numbers, send times and receivers of the sync requests that are pending.

    Attributes
    ----------
    unanswered_by_name : dict
        Number of requests since the last reply, by the name of the router.
    """

    def __init__(self) -> None:
        self._numbers = count(1)
        self._sent_by_number: OrderedDict[int, tuple[float, str]] = OrderedDict()
        self.unanswered_by_name: dict[str, int] = {}

    def start(self, name: str, now: float) -> int:
        """Return the number of a request that is sent to a router now."""
        number = next(self._numbers)
        self._sent_by_number[number] = (now, name)
        self.unanswered_by_name[name] = self.unanswered_by_name.get(name, 0) + 1
        while len(self._sent_by_number) > MAX_PENDING:
            self._sent_by_number.popitem(last=False)
        return number

    def resolve(self, number: int, name: str) -> float | None:
        """Return when the request of a reply was sent, and remove it.

        None if it is not pending, or was sent to another router.
        """
        sent_at, receiver = self._sent_by_number.get(number, (None, None))
        if receiver != name:
            return None
        del self._sent_by_number[number]
        self.unanswered_by_name.pop(name, None)
        return sent_at

    def has_unanswered(self, name: str) -> bool:
        """Return whether requests to a router are unanswered since its last reply."""
        return self.unanswered_by_name.get(name, 0) > 0

    def retain(self, names: set[str]) -> None:
        """Drop the counts of unanswered requests of all other routers."""
        for name in set(self.unanswered_by_name) - names:
            del self.unanswered_by_name[name]
