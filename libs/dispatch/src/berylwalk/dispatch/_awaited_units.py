"""Units that streams in progress wait for at the quota of their account.

Load that it answers: after a start of all routers, accounts may have spent their quota,
and callers take up the streams that broke off while they and others send new requests.
What the window frees goes to the streams first, in the order of their arrival at a
router.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from itertools import count

TOLD_VALID_S = 1.0
"""Time for which what a peer has told counts, in seconds: several messages."""


class AwaitedUnits:
    """Units of the streams that wait, at this router and at its peers.

    All units are those of the account's quota, all times are in seconds.
    """

    def __init__(self) -> None:
        self._tickets = count()
        self._units_by_ticket: dict[str, dict[int, float]] = defaultdict(dict)
        self._told_by_incarnation: dict[str, tuple[float, dict[str, float]]] = {}

    @contextmanager
    def waiting(self, account: str, units: float) -> Iterator[int]:
        """Count a stream as waiting; yields its ticket."""
        ticket = next(self._tickets)
        self._units_by_ticket[account][ticket] = units
        try:
            yield ticket
        finally:
            self._units_by_ticket[account].pop(ticket)
            if not self._units_by_ticket[account]:
                self._units_by_ticket.pop(account)

    def before(self, account: str, ticket: int | None) -> float:
        """Return the units of the streams that came to this router before one.

        Parameters
        ----------
        account : str
            Name of the account.
        ticket : int or None
            Ticket of the stream; None if it has just arrived.
        """
        waiting = self._units_by_ticket.get(account, {})
        return sum(
            units for each, units in waiting.items() if ticket is None or each < ticket
        )

    def total(self, account: str, now: float) -> float:
        """Return the units of all streams that wait, at any router."""
        told = sum(
            units_by_account.get(account, 0.0)
            for told_at, units_by_account in self._told_by_incarnation.values()
            if now - told_at <= TOLD_VALID_S
        )
        return self.before(account, None) + told

    def by_account(self) -> dict[str, float]:
        """Return the units awaited at this router, for its peers."""
        return {
            name: sum(waiting.values())
            for name, waiting in self._units_by_ticket.items()
        }

    def record_peer(
        self, incarnation: str, units_by_account: Mapping[str, float], now: float
    ) -> None:
        """Replace what a peer has told before."""
        if units_by_account:
            told = {name: max(0.0, each) for name, each in units_by_account.items()}
            self._told_by_incarnation[incarnation] = (now, told)
        else:
            self._told_by_incarnation.pop(incarnation, None)

    def forget_peer(self, incarnation: str) -> None:
        """Drop what a peer incarnation has told that has ended."""
        self._told_by_incarnation.pop(incarnation, None)
