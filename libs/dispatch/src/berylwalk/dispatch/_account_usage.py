"""How much of each service the client accounts have used lately, over all routers.

Answers a full service of which one account asks far more than the others: within a
rank, the account that has used least gets the next place (max-min fairness). While
there is room nobody waits, and no request is held back.

Usage is counted in places: the mean number of requests of an account at the targets of
a service over about a second. A large request counts for longer than a small one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from math import exp

AVERAGING_S = 1.0
"""Time constant of the average in seconds: usage decays within seconds, but not between
two requests of a busy account."""
TOLD_INTERVAL_S = 0.25
"""Interval after which the usage that is told to other routers is renewed."""
MAX_TOLD_ACCOUNTS = 32
"""Maximum number of accounts of a service in one message, those with most usage. An
account that is left out counts as one without usage there."""
MAX_TOLD_ENTRIES = 128
"""Maximum number of accounts in one message over all services, which has to fit into a
datagram."""
TOLD_SCALE = 100
"""Usage is told in hundredths of a place."""
OVER_SHARE_FACTOR = 1.5
"""Multiple of the mean usage of the active accounts from which an account has more than
its share; accounts of about equal demand must not take turns in being held back."""
MIN_USAGE = 0.05
"""Usage below which an account is not active, in places."""
NO_ACCOUNT = ""
"""Name under which requests without an account are counted, all as one account: with no
usage they would always go first."""

ToldUsage = dict[str, dict[str, int]]
"""Usage by service and account, in hundredths of a place."""


@dataclass(slots=True)
class _Average:
    """Average number of places, of which some are held now."""

    places: float = 0.0
    held: int = 0
    updated_at: float = 0.0

    def advance(self, now: float) -> None:
        kept = exp(-max(0.0, now - self.updated_at) / AVERAGING_S)
        self.places = self.held + (self.places - self.held) * kept
        self.updated_at = now


@dataclass(slots=True)
class _ServiceUsage:
    """Usage of one service by account, and the mean of the active accounts."""

    own_by_account: dict[str, _Average] = field(default_factory=dict)
    total_by_account: dict[str, float] = field(default_factory=dict)
    mean: float = 0.0


class AccountUsage:
    """Usage of services by account, own and as told by other routers."""

    def __init__(self) -> None:
        self._by_service: dict[str, _ServiceUsage] = {}
        self._told_by_source: dict[str, ToldUsage] = {}
        self._own_told: ToldUsage = {}
        self._renewed_at = float("-inf")

    def note_started(self, service: str, account: str | None, now: float) -> None:
        """Count a request that was placed at a target."""
        self._add(service, account, 1, now)

    def note_ended(self, service: str, account: str | None, now: float) -> None:
        """Stop counting a request that has left its target."""
        self._add(service, account, -1, now)

    def usage(self, service: str, account: str | None, now: float) -> float:
        """Return how many places an account has had lately, over all routers."""
        self._renew(now)
        of_service = self._by_service.get(service)
        if of_service is None:
            return 0.0
        return of_service.total_by_account.get(account or NO_ACCOUNT, 0.0)

    def is_over_share(self, service: str, account: str | None, now: float) -> bool:
        """Return whether an account has had clearly more than the other active ones."""
        used = self.usage(service, account, now)
        of_service = self._by_service.get(service)
        return of_service is not None and used > OVER_SHARE_FACTOR * of_service.mean > 0

    def by_service(self, now: float) -> dict[str, dict[str, float]]:
        """Return the usage of all accounts, in places, by service and account."""
        self._renew(now)
        return {
            service: dict(of_service.total_by_account)
            for service, of_service in self._by_service.items()
        }

    def told(self, now: float) -> ToldUsage:
        """Return own usage for other routers, the same one for `TOLD_INTERVAL_S`."""
        self._renew(now)
        return self._own_told

    def total_told(self, sources: Iterable[str], now: float) -> ToldUsage:
        """Return the sum of own usage and of what some sources have told."""
        total = {name: dict(used) for name, used in self.told(now).items()}
        for source in sources:
            for service, used in self._told_by_source.get(source, {}).items():
                of_service = total.setdefault(service, {})
                for account, units in used.items():
                    of_service[account] = of_service.get(account, 0) + units
        return _bounded(total)

    def record_told(self, source: str, told: ToldUsage | None) -> None:
        """Replace what a router, or the relay of a failure domain, has told.

        A message that tells no usage (None) changes nothing.
        """
        if told is None:
            return
        if told:
            self._told_by_source[source] = told
        else:
            self._told_by_source.pop(source, None)

    def forget_all_but(self, sources: Iterable[str]) -> None:
        """Drop what sources have told that are not heard any more."""
        for source in self._told_by_source.keys() - set(sources):
            del self._told_by_source[source]

    def _add(self, service: str, account: str | None, count: int, now: float) -> None:
        of_service = self._by_service.setdefault(service, _ServiceUsage())
        average = of_service.own_by_account.setdefault(
            account or NO_ACCOUNT, _Average(updated_at=now)
        )
        average.advance(now)
        average.held += count

    def _renew(self, now: float) -> None:
        """Work out the totals again once the last ones are too old."""
        if now - self._renewed_at < TOLD_INTERVAL_S:
            return
        self._renewed_at = now
        self._own_told = _bounded(
            {
                name: _own_units(of_service, now)
                for name, of_service in self._by_service.items()
            }
        )
        for service in set(self._by_service) | {
            name for told in self._told_by_source.values() for name in told
        }:
            self._sum(service)

    def _sum(self, service: str) -> None:
        of_service = self._by_service.setdefault(service, _ServiceUsage())
        total = {name: each.places for name, each in of_service.own_by_account.items()}
        for told in self._told_by_source.values():
            for account, units in told.get(service, {}).items():
                total[account] = total.get(account, 0.0) + units / TOLD_SCALE
        active = [used for used in total.values() if used >= MIN_USAGE]
        of_service.total_by_account = total
        of_service.mean = sum(active) / len(active) if active else 0.0


def _own_units(of_service: _ServiceUsage, now: float) -> dict[str, int]:
    """Return own usage in hundredths of a place; forgets accounts without any."""
    for account, average in list(of_service.own_by_account.items()):
        average.advance(now)
        if average.held == 0 and average.places < 1 / TOLD_SCALE:
            del of_service.own_by_account[account]
    return {
        account: round(average.places * TOLD_SCALE)
        for account, average in of_service.own_by_account.items()
    }


def _bounded(told: ToldUsage) -> ToldUsage:
    """Return the largest usage of each service, and of all services together."""
    entries = [
        (units, service, account)
        for service, used in told.items()
        for account, units in nlargest(
            MAX_TOLD_ACCOUNTS, used.items(), key=lambda each: each[1]
        )
        if units
    ]
    bounded: ToldUsage = {}
    for units, service, account in nlargest(MAX_TOLD_ENTRIES, entries):
        bounded.setdefault(service, {})[account] = units
    return bounded
