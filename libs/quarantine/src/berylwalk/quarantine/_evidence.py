"""Crashes of targets by the requests that they were processing, as seen by all routers.

All updates are commutative and idempotent, so that routers converge on the same state
in whatever order, and however often, they receive them.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from berylwalk.quarantine._identity import PART_PREFIX, Identity, account_prefix

MAX_SUSPECTS_PER_ACCOUNT = 256
MAX_PARTS = 2048
"""Bound for prompt parts in place of that of an account: callers choose their names."""
MAX_SUSPECTS = 4096
MAX_CRASHES_PER_SUSPECT = 16
"""The newest crashes are kept."""
MAX_CLEARED_PER_SUSPECT = 16
MAX_ALIVE_INCARNATIONS = 256
RETENTION_S = 3600.0
"""Time for which a crash counts: a caller may retry its request minutes later."""


@dataclass(slots=True)
class _Suspect:
    """Times of the crashes under one request, and of those it was cleared of."""

    crashed: dict[str, float] = field(default_factory=dict)
    cleared: dict[str, float] = field(default_factory=dict)

    @property
    def priority(self) -> tuple[int, float]:
        """Number of crashes and time of the newest one; the lowest is evicted first."""
        return len(self.crashed), max(self.crashed.values(), default=float("-inf"))

    def expire_before(self, time: float) -> bool:
        """Drop older entries; returns whether a crash was among them."""
        old = [
            incarnation_id for incarnation_id, at in self.crashed.items() if at < time
        ]
        for incarnation_id in old:
            del self.crashed[incarnation_id]
        for incarnation_id in [each for each, at in self.cleared.items() if at < time]:
            del self.cleared[incarnation_id]
        return bool(old)


class Evidence:
    """Crashes of targets by the requests that they were processing.

    Memory is bounded for each account and in total. When the total is reached, the
    account with the most requests loses the one with the fewest crashes, so that no
    account can evict the requests of a smaller one.
    """

    def __init__(self) -> None:
        self._suspects: dict[Identity, _Suspect] = {}
        self._counts_by_account: Counter[bytes] = Counter()
        self._crashed_at_by_incarnation: dict[str, float] = {}
        self._alive_at_by_incarnation: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def add_crash(
        self, identity: Identity, incarnation_id: str, crashed_at: float
    ) -> bool:
        """Add a crash under a request; returns whether it is new."""
        if crashed_at < self._alive_at_by_incarnation.get(
            incarnation_id, float("-inf")
        ):
            return False
        suspect = self._suspect(identity)
        if incarnation_id in suspect.cleared:
            return False
        if incarnation_id in suspect.crashed:
            suspect.crashed[incarnation_id] = max(
                crashed_at, suspect.crashed[incarnation_id]
            )
            return False
        suspect.crashed[incarnation_id] = crashed_at
        if len(suspect.crashed) > MAX_CRASHES_PER_SUSPECT:
            # Old crashes may all be attributed to other requests: keep the new ones.
            del suspect.crashed[min(suspect.crashed, key=suspect.crashed.__getitem__)]
        newest_at = self._crashed_at_by_incarnation.get(incarnation_id, crashed_at)
        self._crashed_at_by_incarnation[incarnation_id] = max(newest_at, crashed_at)
        return True

    def clear(
        self, identity: Identity, incarnation_ids: Iterable[str], now: float
    ) -> bool:
        """Clear a request of some crashes; returns whether any of that is new."""
        suspect = self._suspect(identity)
        new = [
            incarnation_id
            for incarnation_id in incarnation_ids
            if incarnation_id not in suspect.cleared
        ]
        for incarnation_id in new:
            suspect.crashed.pop(incarnation_id, None)
            suspect.cleared[incarnation_id] = now
        for incarnation_id in list(suspect.cleared)[:-MAX_CLEARED_PER_SUSPECT]:
            del suspect.cleared[incarnation_id]
        return bool(new)

    def crashed_at(self, incarnation_id: str) -> float | None:
        """Return the time of an incarnation's last known crash; None if there is none.

        Several routers may date the same crash differently.
        """
        return self._crashed_at_by_incarnation.get(incarnation_id)

    def record_alive(self, incarnation_id: str, alive_at: float) -> bool:
        """Record that an incarnation was running at some time.

        Drops its crashes before that time, which were false. Returns whether there
        were any.
        """
        if alive_at <= self._alive_at_by_incarnation.get(incarnation_id, float("-inf")):
            return False
        self._alive_at_by_incarnation[incarnation_id] = alive_at
        self._alive_at_by_incarnation.move_to_end(incarnation_id)
        while len(self._alive_at_by_incarnation) > MAX_ALIVE_INCARNATIONS:
            self._alive_at_by_incarnation.popitem(last=False)
        if self._crashed_at_by_incarnation.get(incarnation_id, float("inf")) < alive_at:
            del self._crashed_at_by_incarnation[incarnation_id]
        dropped = False
        for suspect in self._suspects.values():
            if suspect.crashed.get(incarnation_id, float("inf")) < alive_at:
                del suspect.crashed[incarnation_id]
                dropped = True
        return dropped

    def last_alive_at(self, incarnation_id: str) -> float:
        """Return when an incarnation was last known to be running."""
        return self._alive_at_by_incarnation.get(incarnation_id, float("-inf"))

    def expire(self, now: float) -> bool:
        """Drop entries older than `RETENTION_S`; returns whether a crash was."""
        dropped = False
        for identity, suspect in list(self._suspects.items()):
            dropped |= suspect.expire_before(now - RETENTION_S)
            if not suspect.crashed and not suspect.cleared:
                self._drop(identity)
        retained = {
            incarnation_id
            for suspect in self._suspects.values()
            for incarnation_id in suspect.crashed
        }
        for incarnation_id in list(self._crashed_at_by_incarnation):
            if incarnation_id not in retained:
                del self._crashed_at_by_incarnation[incarnation_id]
        return dropped

    def crashed_incarnations(self, identity: Identity) -> dict[str, float]:
        """Return the incarnations that crashed under a request, with the times."""
        suspect = self._suspects.get(identity)
        return {} if suspect is None else suspect.crashed

    def cleared(self, identity: Identity) -> list[str]:
        """Return the incarnations whose crashes a request was cleared of."""
        suspect = self._suspects.get(identity)
        return [] if suspect is None else list(suspect.cleared)

    def crashes_by_identity(self) -> dict[Identity, dict[str, float]]:
        """Return the `crashed_incarnations` of all requests."""
        return {each: suspect.crashed for each, suspect in self._suspects.items()}

    def _suspect(self, identity: Identity) -> _Suspect:
        suspect = self._suspects.get(identity)
        if suspect is None:
            self._make_room(account_prefix(identity))
            suspect = self._suspects[identity] = _Suspect()
            self._counts_by_account[account_prefix(identity)] += 1
        return suspect

    def _make_room(self, account: bytes) -> None:
        is_of_parts = account == PART_PREFIX
        most = MAX_PARTS if is_of_parts else MAX_SUSPECTS_PER_ACCOUNT
        if self._counts_by_account[account] >= most:
            self._evict_lowest(account)
        elif len(self._suspects) >= MAX_SUSPECTS:
            ((largest, _),) = self._counts_by_account.most_common(1)
            self._evict_lowest(largest)

    def _evict_lowest(self, account: bytes) -> None:
        own = (each for each in self._suspects if account_prefix(each) == account)
        self._drop(min(own, key=lambda each: self._suspects[each].priority))

    def _drop(self, identity: Identity) -> None:
        del self._suspects[identity]
        self._counts_by_account[account_prefix(identity)] -= 1
