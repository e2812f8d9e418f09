"""When questions were sent, so that answers can be dated on the own clock.

An answer tells how old its word was when it was given. It may have been on its way for
any time, and clocks of two VMs differ. But it was given after its question was sent, so
that the word is no older than its age was at that moment: dated by the question, it can
only be taken for older than it is, never for younger.
"""

from collections import OrderedDict
from itertools import count

MOST_PENDING = 32
"""Questions that are remembered; answers to older ones are passed over."""


class PendingSyncs:
    """Numbers questions and remembers when they were sent, and to whom.

    Attributes
    ----------
    unanswered_by_name : dict
        Questions since the last answer, by the router that was asked.
    """

    def __init__(self) -> None:
        self._numbers = count(1)
        self._asked_by_number: OrderedDict[int, tuple[float, str]] = OrderedDict()
        self.unanswered_by_name: dict[str, int] = {}

    def start(self, name: str, now: float) -> int:
        """Return the number of a question that is sent to a router now."""
        number = next(self._numbers)
        self._asked_by_number[number] = (now, name)
        self.unanswered_by_name[name] = self.unanswered_by_name.get(name, 0) + 1
        while len(self._asked_by_number) > MOST_PENDING:
            self._asked_by_number.popitem(last=False)
        return number

    def resolve(self, number: int, name: str) -> float | None:
        """Return when a question was sent; None if it was not, or not to this router.

        Each question is answered once.
        """
        asked_at, asked = self._asked_by_number.get(number, (None, None))
        if asked != name:
            return None
        del self._asked_by_number[number]
        self.unanswered_by_name.pop(name, None)
        return asked_at

    def has_unanswered(self, name: str) -> bool:
        """Return whether the last question to a router is not answered."""
        return self.unanswered_by_name.get(name, 0) > 0

    def retain(self, names: set[str]) -> None:
        """Forget how often others than these left a question unanswered."""
        for name in set(self.unanswered_by_name) - names:
            del self.unanswered_by_name[name]
