"""Which requests targets were running when they ended, as all routers saw it.

All that is known only grows: ends under a request, ends of which it was cleared, and
until when lives have surely gone on. So it comes out the same in whatever order, and
however often, routers hear of it.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from berylwalk.quarantine._identity import Identity, account_prefix

MOST_OF_ACCOUNT = 256
"""Requests of one account that are remembered: a few ends of full targets."""
MOST_IN_ALL = 4096
"""The same of all accounts: about two megabytes."""
MOST_LIVES = 16
"""Ends that are remembered of one request, the newest; three blame it."""
MOST_CLEARED = 16
"""Ends of which one request is remembered to be cleared."""
MOST_ALIVE = 256
"""Lives that are remembered to have gone on."""
KEPT_S = 3600.0
"""Time for which an end counts, in seconds: a request may come again after minutes, and
a harmless one is answered long before."""


@dataclass(slots=True)
class _Suspect:
    """Ends under one request, and those of which it was cleared, with their times."""

    ended: dict[str, float] = field(default_factory=dict)
    cleared: dict[str, float] = field(default_factory=dict)

    @property
    def weight(self) -> tuple[int, float]:
        """What counts for keeping it: the ends, then how new they are."""
        return len(self.ended), max(self.ended.values(), default=float("-inf"))

    def forget_before(self, time: float) -> bool:
        """Drop what is older; returns whether that was an end."""
        old = [incarnation_id for incarnation_id, at in self.ended.items() if at < time]
        for incarnation_id in old:
            del self.ended[incarnation_id]
        for incarnation_id in [each for each, at in self.cleared.items() if at < time]:
            del self.cleared[incarnation_id]
        return bool(old)


class Evidence:
    """Ends of targets by the requests that they ran.

    What one account fills is bounded, and takes no place of another one: where there
    is no room, the account that has most loses the request that is least suspect.
    """

    def __init__(self) -> None:
        self._suspects: dict[Identity, _Suspect] = {}
        self._numbers_by_account: Counter[bytes] = Counter()
        self._ended_at_by_life: dict[str, float] = {}
        self._alive_at_by_life: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def add(self, identity: Identity, incarnation_id: str, ended_at: float) -> bool:
        """Take an end under a request; returns whether it is new."""
        if ended_at < self._alive_at_by_life.get(incarnation_id, float("-inf")):
            return False
        suspect = self._suspect(identity)
        if incarnation_id in suspect.cleared:
            return False
        if incarnation_id in suspect.ended:
            suspect.ended[incarnation_id] = max(ended_at, suspect.ended[incarnation_id])
            return False
        suspect.ended[incarnation_id] = ended_at
        if len(suspect.ended) > MOST_LIVES:
            # Others may explain all the old ones: it must not be safe behind them.
            del suspect.ended[min(suspect.ended, key=suspect.ended.__getitem__)]
        newest_at = self._ended_at_by_life.get(incarnation_id, ended_at)
        self._ended_at_by_life[incarnation_id] = max(newest_at, ended_at)
        return True

    def clear(self, identity: Identity, life_ids: Iterable[str], now: float) -> bool:
        """Take that a request did not cause some ends; returns whether that is new."""
        suspect = self._suspect(identity)
        new = [
            incarnation_id
            for incarnation_id in life_ids
            if incarnation_id not in suspect.cleared
        ]
        for incarnation_id in new:
            suspect.ended.pop(incarnation_id, None)
            suspect.cleared[incarnation_id] = now
        for incarnation_id in list(suspect.cleared)[:-MOST_CLEARED]:
            del suspect.cleared[incarnation_id]
        return bool(new)

    def ended_at(self, incarnation_id: str) -> float | None:
        """Return when a life was last seen to end; None if it was not."""
        return self._ended_at_by_life.get(incarnation_id)

    def record_alive(self, incarnation_id: str, alive_at: float) -> bool:
        """Take that a life had not ended by some time; returns whether ends are gone.

        It may have ended after it.
        """
        if alive_at <= self._alive_at_by_life.get(incarnation_id, float("-inf")):
            return False
        self._alive_at_by_life[incarnation_id] = alive_at
        self._alive_at_by_life.move_to_end(incarnation_id)
        while len(self._alive_at_by_life) > MOST_ALIVE:
            self._alive_at_by_life.popitem(last=False)
        if self._ended_at_by_life.get(incarnation_id, float("inf")) < alive_at:
            del self._ended_at_by_life[incarnation_id]
        dropped = False
        for suspect in self._suspects.values():
            if suspect.ended.get(incarnation_id, float("inf")) < alive_at:
                del suspect.ended[incarnation_id]
                dropped = True
        return dropped

    def alive_at(self, incarnation_id: str) -> float:
        """Return until when a life has surely gone on."""
        return self._alive_at_by_life.get(incarnation_id, float("-inf"))

    def forget_old(self, now: float) -> bool:
        """Drop what is too old to count; returns whether an end was."""
        dropped = False
        for identity, suspect in list(self._suspects.items()):
            dropped |= suspect.forget_before(now - KEPT_S)
            if not suspect.ended and not suspect.cleared:
                self._drop(identity)
        counted = {
            life for suspect in self._suspects.values() for life in suspect.ended
        }
        for incarnation_id in list(self._ended_at_by_life):
            if incarnation_id not in counted:
                del self._ended_at_by_life[incarnation_id]
        return dropped

    def crashed_incarnations(self, identity: Identity) -> dict[str, float]:
        """Return the lives that ended under a request, with the times of their ends."""
        suspect = self._suspects.get(identity)
        return {} if suspect is None else suspect.ended

    def cleared(self, identity: Identity) -> list[str]:
        """Return the lives of whose ends a request was cleared."""
        suspect = self._suspects.get(identity)
        return [] if suspect is None else list(suspect.cleared)

    def ended_by_identity(self) -> dict[Identity, dict[str, float]]:
        """Return the same as `ended` of all requests."""
        return {each: suspect.ended for each, suspect in self._suspects.items()}

    def _suspect(self, identity: Identity) -> _Suspect:
        suspect = self._suspects.get(identity)
        if suspect is None:
            self._make_room(account_prefix(identity))
            suspect = self._suspects[identity] = _Suspect()
            self._numbers_by_account[account_prefix(identity)] += 1
        return suspect

    def _make_room(self, account: bytes) -> None:
        if self._numbers_by_account[account] >= MOST_OF_ACCOUNT:
            self._drop_least(account)
        elif len(self._suspects) >= MOST_IN_ALL:
            ((largest, _),) = self._numbers_by_account.most_common(1)
            self._drop_least(largest)

    def _drop_least(self, account: bytes) -> None:
        own = (each for each in self._suspects if account_prefix(each) == account)
        self._drop(min(own, key=lambda each: self._suspects[each].weight))

    def _drop(self, identity: Identity) -> None:
        del self._suspects[identity]
        self._numbers_by_account[account_prefix(identity)] -= 1
