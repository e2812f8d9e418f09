"""Quotas of client accounts, enforced jointly by all routers."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from itertools import accumulate
from math import ceil
from types import MappingProxyType

from berylwalk.dispatch._account_demand import DemandHistory
from berylwalk.dispatch._account_spending import (
    STEP_S,
    AccountSpending,
    EffectiveLimit,
)
from berylwalk.dispatch._awaited_units import AwaitedUnits
from berylwalk.dispatch._configuration import Account
from berylwalk.dispatch._quota_rules import (
    HistoryCoverage,
    QuotaReserve,
    QuotaRules,
    QuotaState,
)
from berylwalk.dispatch._urgent_demand import UrgentDemand

BIN_S = 0.5
"""Resolution of the spending history that routers exchange, in seconds."""
MAX_SNAPSHOT_AGE_S = 1.5
"""Maximum time between a stored snapshot and the end of the routers that spent after
it, in seconds, while the store is reachable."""
HEAVY_SPENDING_SHARE = 0.6
"""Share of its quota from which the spending of an account is stored, to survive a
restart of all routers. The usual spending of an account is below."""
REFUND_MARGIN_S = 1.0
"""Time before a charge leaves the window from which it is not refunded: other routers
hear of both some time later."""
RANK_RESERVE_SHARE = 0.02
"""Share of the quota that each rank leaves to the next higher one."""
LOWEST_RANK = 3
EXPIRY_MARGIN_S = 0.01
"""Time by which a delay exceeds the expiry of the units, in seconds: units of exactly
that age still count."""
MAX_URGENT_RESERVE_SHARE = 0.8
"""Upper bound of the rate reserved for the most urgent rank, as a share of the quota:
if that rank alone requests more than the quota, the others still get something."""
MAX_FORMER_PEERS = 64
"""Peers that ended whose totals are remembered; the least recent are dropped."""


@dataclass(frozen=True, slots=True)
class _PeerTotals:
    """Last totals of a peer, in units by account."""

    spent: dict[str, float] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)


class QuotaTracker:
    """Spending of each account by all routers, in a sliding window.

    Routers exchange what they have spent. A peer that is not alive may still grant
    requests, so its equal share is left to it. A router that has just started assumes
    that the window is spent, until it receives the history of an older peer or a stored
    snapshot.

    Parameters
    ----------
    rules : QuotaRules
        Rules for the enforcement.
    started_at : float
        Start time of this router, in seconds.
    """

    def __init__(self, rules: QuotaRules, *, started_at: float) -> None:
        self._rules = rules
        self._started_at = started_at
        self._spending_by_account: dict[str, AccountSpending] = {}
        self._incarnations: set[str] = set()
        self._former_totals: OrderedDict[str, _PeerTotals] = OrderedDict()
        self._coverage = HistoryCoverage.NONE
        self._accounts_by_name: dict[str, Account] = {}
        self._share = 1.0
        self.urgent_demand = UrgentDemand()
        self.awaited = AwaitedUnits()

    def set_share(self, alive: int, known: int) -> None:
        """Set how many of the known routers, including this one, are alive."""
        self._share = max(1, alive) / max(1, known)

    def set_accounts(self, accounts: Iterable[Account], now: float) -> None:
        """Apply the accounts of a configuration that takes effect now.

        Spending under a previous, higher limit does not count against a lower one.
        Otherwise, an account with a lowered limit would be refused entirely until the
        window has moved on.
        """
        limited = [account for account in accounts if account.rate_per_s > 0]
        self._accounts_by_name = {account.name: account for account in limited}
        for account in limited:
            spending = self._spending(account.name)
            limit = self._rules.limit(account)
            if not spending.limits or spending.limits[-1].units != limit:
                spending.limits.append(EffectiveLimit(now, limit))
                spending.begin_step(now)

    def take(
        self,
        account: Account,
        cost: float,
        rank: int,
        now: float,
        *,
        takes_up_stream: bool = False,
    ) -> float:
        """Spend units; returns 0, or the delay until they can be spent.

        Nothing is spent if the result is not 0.

        Parameters
        ----------
        account : Account
            Account to charge.
        cost : float
            Units of the request.
        rank : int
            Rank of the request within its account; 0 is the highest.
        now : float
            Current time in seconds.
        takes_up_stream : bool
            Whether a stream in progress goes on with it.

        Returns
        -------
        float
            Delay in seconds.
        """
        if account.rate_per_s <= 0:
            return 0.0
        self._accounts_by_name[account.name] = account
        spending = self._spending(account.name)
        self.urgent_demand.record(account.name, rank, cost, now)
        spending.demand.record(cost, now)
        if takes_up_stream:
            reserve = self.awaited_reserve(account)
        else:
            reserve = self.reserve(account, cost, rank, now)
        delay_s = self._spend(account, cost, reserve, now)
        if delay_s:
            spending.refused += cost
        return delay_s

    def take_awaited(
        self, account: Account, cost: float, ticket: int, now: float
    ) -> float:
        """Spend the units of a stream that waits; returns as `take` does.

        Parameters
        ----------
        account : Account
            Account to charge.
        cost : float
            Units of the request, which `take` has refused.
        ticket : int
            Its ticket among those that wait.
        now : float
            Current time in seconds.
        """
        reserve = self.awaited_reserve(account, ticket)
        delay_s = self._spend(account, cost, reserve, now)
        if not delay_s:
            self._spending(account.name).refused -= cost
        return delay_s

    def _spend(
        self, account: Account, cost: float, reserve: QuotaReserve, now: float
    ) -> float:
        reserved = reserve.units
        state = self.state(account, now)
        spending = self._spending(account.name)
        # A request above the whole quota must not be delayed forever.
        needed = min(cost, 0.9 * state.limit * state.share - reserved)
        missing = needed + reserved - state.remaining
        if missing > 0:
            per_s = state.limit * state.share / self._rules.window_s
            expiring = self._expiring(account, state, now)
            delay_s = _delay_until_free(missing, expiring, per_s)
            return min(delay_s, self._rules.window_s)
        spending.add(cost, now)
        spending.spent += cost
        return 0.0

    def reserve(
        self, account: Account, cost: float, rank: int, now: float
    ) -> QuotaReserve:
        """Return what a request must leave to others; see `take`."""
        reserve = self._rank_reserve(account, cost, rank, now)
        return replace(reserve, awaited=self.awaited.total(account.name, now))

    def awaited_reserve(
        self, account: Account, ticket: int | None = None
    ) -> QuotaReserve:
        """Return what a stream in progress must leave to those that came before it.

        Parameters
        ----------
        account : Account
            Account to charge.
        ticket : int or None
            Ticket of the stream; None if it has just arrived.
        """
        return QuotaReserve(0.0, awaited=self.awaited.before(account.name, ticket))

    def _rank_reserve(
        self, account: Account, cost: float, rank: int, now: float
    ) -> QuotaReserve:
        """Return what a request must leave to more urgent ones.

        The shortfall is only computed if the request does not fit otherwise.
        """
        state = self.state(account, now)
        wanted = RANK_RESERVE_SHARE * min(rank, LOWEST_RANK) * state.granted
        urgent = self.urgent_demand.demand_above(account.name, rank, now)
        if not wanted and urgent is None:
            return QuotaReserve(0.0)
        spending = self._spending(account.name)
        expiring = self._expiring(account, state, now)
        urgent_per_s = 0.0
        if urgent is not None:
            urgent_per_s = urgent.per_s
            max_per_s = MAX_URGENT_RESERVE_SHARE * state.limit / self._rules.window_s
            demand = urgent.capped_at(max_per_s)
            wanted += _reserve_for(demand.max_within, expiring)
        if state.remaining >= wanted + cost:
            return QuotaReserve(wanted, urgent_per_s=urgent_per_s)
        expected = spending.demand.expected(now, now - self._started_at)
        if expected is None:
            return QuotaReserve(wanted, urgent_per_s=urgent_per_s)
        shortfall = _reserve_for(expected.within, expiring) - state.remaining
        return QuotaReserve(wanted, shortfall, urgent_per_s)

    def state(self, account: Account, now: float) -> QuotaState:
        """Return the inputs of the decision on an account's requests.

        Each limit that applied within the window bounds the spending since it took
        effect; if a later limit is higher, that one applies instead. The bound that
        leaves the fewest units is returned.
        """
        spending = self._spending(account.name)
        limits = self._limits_in_window(account, spending, now)
        highest = list(accumulate((each.units for each in reversed(limits)), max))
        counted = [self._counted(spending, now)]
        counted += [spending.since(each.since) for each in limits[1:]]
        limit, spent = min(
            zip(reversed(highest), counted, strict=True),
            key=lambda pair: pair[0] - pair[1],
        )
        return QuotaState(
            limit=limit,
            unknown=self._unknown_units(account, limit, now),
            counted=spent,
            share=self._share,
        )

    def _limits_in_window(
        self, account: Account, spending: AccountSpending, now: float
    ) -> list[EffectiveLimit]:
        limits = spending.limits
        while len(limits) > 1 and limits[1].since <= now - self._rules.window_s:
            limits.popleft()
        return list(limits) or [EffectiveLimit(now, self._rules.limit(account))]

    def _expiring(
        self, account: Account, state: QuotaState, now: float
    ) -> list[tuple[float, float]]:
        """Return pairs of delay in seconds and units that are free again then."""
        window_s = self._rules.window_s + STEP_S
        spending = self._spending(account.name)
        spent = [*sorted(spending.prior), *spending.steps]
        known = [(max(0.0, time + window_s - now), units) for time, units in spent]
        unknown = self._unknown_expiring(account, state, now)
        return sorted(known + unknown) if unknown else known

    def _unknown_expiring(
        self, account: Account, state: QuotaState, now: float
    ) -> list[tuple[float, float]]:
        """Return the same for the units that may have been spent before the start."""
        if not state.unknown:
            return []
        unknown_s = self._unknown_s(now)
        if self._has_snapshot(account):
            return [(unknown_s, state.unknown)]
        count = ceil(unknown_s / BIN_S)
        units = state.unknown / count
        return [(unknown_s * number / count, units) for number in range(1, count + 1)]

    def refund(
        self, account: Account, cost: float, *, charged_at: float, now: float
    ) -> None:
        """Refund the cost of a request that was certainly not executed.

        Nothing is refunded if the charge is about to leave the window, where the other
        routers may have dropped it before they hear of the refund.

        Parameters
        ----------
        account : Account
            Account that was charged.
        cost : float
            Units of the request.
        charged_at, now : float
            When it was charged, and the current time, in seconds.
        """
        spending = self._spending_by_account.get(account.name)
        if spending is None or account.rate_per_s <= 0:
            return
        if now - charged_at < self._rules.window_s - REFUND_MARGIN_S:
            spending.refund(cost, charged_at)
            spending.spent -= cost

    def spent_by_account(self) -> dict[str, float]:
        """Return what this router has spent since its start, for its peers."""
        return {
            name: spending.spent
            for name, spending in self._spending_by_account.items()
            if spending.spent
        }

    def refused_by_account(self) -> dict[str, float]:
        """Return the units that this router has refused since its start."""
        return {
            name: spending.refused
            for name, spending in self._spending_by_account.items()
            if spending.refused
        }

    def spent_in_window(self, now: float) -> dict[str, float]:
        """Return the known spending of all routers in the window, by account."""
        return {
            name: self._counted(spending, now)
            for name, spending in self._spending_by_account.items()
        }

    def record_peer_totals(
        self,
        incarnation: str,
        spent_by_account: dict[str, float],
        *,
        refused_by_account: Mapping[str, float] = MappingProxyType({}),
        is_new: bool,
        now: float,
    ) -> None:
        """Count what a peer has spent and refused since its last message.

        Parameters
        ----------
        incarnation : str
            Incarnation of the peer.
        spent_by_account : dict
            Units that it has spent since its start, by account.
        refused_by_account : mapping
            Units that it has refused since its start, by account.
        is_new : bool
            Whether it started after this router. What an older peer spent or refused
            before its first message is not counted.
        now : float
            Current time in seconds.
        """
        is_first = incarnation not in self._incarnations
        if is_first and self._recall_peer(incarnation):
            is_first = False
        self._incarnations.add(incarnation)
        for name, total in spent_by_account.items():
            spending = self._spending(name)
            if not is_first or is_new:
                reported = spending.spent_by_peer.get(incarnation, 0.0)
                if total >= reported:
                    spending.add(total - reported, now)
                else:
                    spending.refund_oldest(reported - total)
                spending.demand.record_peer(total - reported, now)
            spending.spent_by_peer[incarnation] = total
        for name, total in refused_by_account.items():
            spending = self._spending(name)
            if not is_first or is_new:
                reported = spending.refused_by_peer.get(incarnation, 0.0)
                spending.demand.record_peer(total - reported, now)
            spending.refused_by_peer[incarnation] = total

    def forget_peer(self, incarnation: str) -> None:
        """Drop a peer incarnation that has ended.

        Its totals are remembered: it may only have been out of reach, and what was
        counted must not be counted again when it is back.
        """
        is_known = incarnation in self._incarnations
        self._incarnations.discard(incarnation)
        self.urgent_demand.forget_peer(incarnation)
        self.awaited.forget_peer(incarnation)
        totals = _PeerTotals()
        for name, spending in self._spending_by_account.items():
            totals.spent[name] = spending.spent_by_peer.pop(incarnation, 0.0)
            totals.refused[name] = spending.refused_by_peer.pop(incarnation, 0.0)
        if is_known:
            self._former_totals[incarnation] = totals
            if len(self._former_totals) > MAX_FORMER_PEERS:
                self._former_totals.popitem(last=False)

    def _recall_peer(self, incarnation: str) -> bool:
        """Go on with the totals of a peer that is back; returns whether it is known."""
        totals = self._former_totals.pop(incarnation, None)
        if totals is None:
            return False
        for name, units in totals.spent.items():
            self._spending(name).spent_by_peer[incarnation] = units
        for name, units in totals.refused.items():
            self._spending(name).refused_by_peer[incarnation] = units
        return True

    def spent_by_bin(self, now: float) -> dict[str, list[float]]:
        """Return the spending history of the window, for routers that start.

        Returns
        -------
        dict
            By account, the units spent in each `BIN_S`, latest first.
        """
        return {
            name: self._binned(spending, now)
            for name, spending in self._spending_by_account.items()
            if self._counted(spending, now) > 0
        }

    def heavy_spending_by_bin(self, now: float) -> dict[str, list[float]]:
        """Return the same for accounts with heavy spending only."""
        binned = self.spent_by_bin(now)
        return {
            name: binned[name]
            for name, account in self._accounts_by_name.items()
            if name in binned
            and sum(binned[name]) > HEAVY_SPENDING_SHARE * self._rules.limit(account)
        }

    def restore(
        self, bins: dict[str, list[float]], coverage: HistoryCoverage, now: float
    ) -> None:
        """Add the spending in the window before the start.

        Parameters
        ----------
        bins : dict
            As returned by `spent_by_bin` or `heavy_spending_by_bin`; taken as of now.
        coverage : HistoryCoverage
            Whether accounts that are missing have spent nothing.
        now : float
            Current time in seconds.
        """
        if coverage <= self._coverage or not self._started_within(now):
            return
        self._coverage = coverage
        for spending in self._spending_by_account.values():
            spending.prior = []
            spending.snapshot_units = 0.0
        for name, units_by_bin in bins.items():
            self._spending(name).snapshot_units = sum(units_by_bin)
            times = [now - BIN_S * number for number in range(len(units_by_bin))]
            if coverage is HistoryCoverage.PARTIAL:
                # Units in the oldest bins may have left the window and been spent again
                # since the snapshot was written.
                earliest = now - self._rules.window_s + MAX_SNAPSHOT_AGE_S
                times = [now if time < earliest else time for time in times]
            self._spending(name).prior = [
                (min(time, self._started_at), units)
                for time, units in zip(times, units_by_bin, strict=True)
                if units > 0
            ]

    def has_full_window(self, now: float) -> bool:
        """Return whether all spending in the window is known."""
        return self._coverage is HistoryCoverage.COMPLETE or not self._started_within(
            now
        )

    def _started_within(self, now: float) -> bool:
        return now - self._started_at < self._rules.window_s

    def _binned(self, spending: AccountSpending, now: float) -> list[float]:
        bins = [0.0] * (int(self._rules.window_s / BIN_S) + 1)
        for time, units in [*spending.prior, *spending.steps]:
            number = int((now - time) / BIN_S)
            if 0 <= number < len(bins):
                bins[number] += units
        return [max(0.0, units) for units in bins]

    def _counted(self, spending: AccountSpending, now: float) -> float:
        since = now - self._rules.window_s - STEP_S
        spending.drop_before(since)
        if spending.prior:
            spending.prior = [each for each in spending.prior if each[0] >= since]
        return spending.total + sum(units for _, units in spending.prior)

    def _unknown_units(self, account: Account, limit: float, now: float) -> float:
        """Return the units that may have been spent before the start unnoticed."""
        unknown_s = self._unknown_s(now)
        if self._coverage is HistoryCoverage.COMPLETE or not unknown_s:
            return 0.0
        if self._has_snapshot(account):
            # All of the rest may have been spent since the snapshot was written.
            return max(0.0, limit - self._spending(account.name).snapshot_units)
        units = limit - self._rules.bootstrap_units(account)
        if self._coverage is HistoryCoverage.PARTIAL:
            units = HEAVY_SPENDING_SHARE * limit
        return units * unknown_s / self._rules.window_s

    def _unknown_s(self, now: float) -> float:
        """Return how much of the window lies before the start, in seconds."""
        return max(0.0, self._rules.window_s - (now - self._started_at))

    def _has_snapshot(self, account: Account) -> bool:
        is_partial = self._coverage is HistoryCoverage.PARTIAL
        return is_partial and self._spending(account.name).snapshot_units > 0

    def _spending(self, name: str) -> AccountSpending:
        spending = self._spending_by_account.get(name)
        if spending is None:
            demand = DemandHistory(self._rules.window_s + STEP_S)
            spending = self._spending_by_account[name] = AccountSpending(demand)
        return spending


def _delay_until_free(
    missing: float, expiring: Iterable[tuple[float, float]], per_s: float
) -> float:
    """Return the delay in seconds until missing units have left the window.

    Parameters
    ----------
    missing : float
        Units that are missing now.
    expiring : iterable of (float, float)
        Delay in seconds and units that leave the window then, soonest first.
    per_s : float
        Units per second that are assumed to become available if the known spending is
        less than what is missing: after a start, unknown spending leaves the window.
    """
    in_s = 0.0
    for in_s, units in expiring:
        missing -= units
        if missing <= 0:
            return in_s + EXPIRY_MARGIN_S
    return in_s + EXPIRY_MARGIN_S + missing / per_s


def _reserve_for(
    demand_within: Callable[[float], float], expiring: Iterable[tuple[float, float]]
) -> float:
    """Return the units to reserve so that a demand can be served at any time.

    Parameters
    ----------
    demand_within : callable
        Units that are requested within some seconds.
    expiring : iterable of (float, float)
        Delay in seconds and units that leave the window then, soonest first; these
        units can be spent again.
    """
    reserve = freed = 0.0
    for in_s, units in expiring:
        reserve = max(reserve, demand_within(in_s) - freed)
        freed += units
    return reserve
