"""Allowances of client accounts, shared by all routers."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import accumulate

from berylwalk.dispatch._configuration import Account
from berylwalk.dispatch._urgent_demand import Demand, UrgentDemand

STEP_S = 0.1
"""Resolution of the window, in seconds."""
TOLERANCE_USED = 0.5
"""Part of the tolerance that is given to callers. The rest covers what routers
spend before they hear of each other."""
START_SHARE = 0.35
"""Part of the unused tolerance that may be spent at once after a start. Twice that
and what routers spend before they hear of each other stay within the tolerance."""
BIN_S = 0.5
"""Resolution in which routers tell what was spent in the window, in seconds."""
NOTE_AGE_S = 1.5
"""Longest time from a note to the end of the routers that spent after it, while the
store answers."""
NOTED_SHARE = 0.6
"""Part of an account's allowance from which its spending is noted where a restart
of all routers does not lose it. An account's usual spending is below."""
RESERVE_SHARE = 0.02
"""Part of the allowance that each rank leaves to the next higher one, besides what the
most urgent rank asks. Not settled by measurement: against 0.06, which it had before,
three plays each gave 0.519 and 0.538 for 0.510 and 0.520 on days with one account at
many times its usual, and 0.858 for 0.875 on a calm day, all within their spread."""
LOWEST_RANK = 3
MOST_URGENT_SHARE = 0.8
"""Part of an account's pace that is left to its most urgent rank at most: where that
alone asks more than all, the others still get something."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaRules:
    """How an account's spending is judged.

    Parameters
    ----------
    window_s : float
        Length of any span in which it is counted, in seconds.
    excess, slack : float
        Tolerance of the judgement: a share of the allowance, and units.
    """

    window_s: float = 8.0
    excess: float = 0.1
    slack: float = 0.0

    def limit(self, account: Account) -> float:
        """Return the units that an account may spend in a window."""
        allowance = account.rate_per_s * self.window_s + account.burst
        return allowance + TOLERANCE_USED * self._tolerance(allowance)

    def start_units(self, account: Account) -> float:
        """Return what may be spent at once by routers that know of nothing."""
        allowance = account.rate_per_s * self.window_s + account.burst
        return START_SHARE * (1 - TOLERANCE_USED) * self._tolerance(allowance)

    def _tolerance(self, allowance: float) -> float:
        return allowance * self.excess + self.slack


class HistoryCoverage(IntEnum):
    """What a router knows of the window before its start."""

    NONE = 0
    PARTIAL = 1
    """What was noted of accounts that spent much; others spent less."""

    COMPLETE = 2


@dataclass(frozen=True, slots=True)
class _LimitInForce:
    """A limit, and since when it is in force here."""

    since: float
    units: float


@dataclass(slots=True)
class _Spending:
    """What one account has spent within the window.

    ``before`` holds what is known from before the start, ``noted`` its sum when it
    was learned, ``limits`` those that were in force within the window, oldest first.
    """

    steps: deque[list[float]] = field(default_factory=deque)
    total: float = 0.0
    spent: float = 0.0
    spent_by_peer: dict[str, float] = field(default_factory=dict)
    before: list[tuple[float, float]] = field(default_factory=list)
    noted: float = 0.0
    limits: deque[_LimitInForce] = field(default_factory=deque)

    def add(self, units: float, now: float) -> None:
        if not self.steps or now - self.steps[-1][0] >= STEP_S:
            self.begin_step(now)
        self.steps[-1][1] += units
        self.total += units

    def begin_step(self, now: float) -> None:
        self.steps.append([now, 0.0])

    def since(self, time: float) -> float:
        """Return what was spent from the step on that began at a time."""
        units = 0.0
        for started_at, spent in reversed(self.steps):
            if started_at < time:
                break
            units += spent
        return units

    def drop_before(self, time: float) -> None:
        while self.steps and self.steps[0][0] < time:
            self.total -= self.steps.popleft()[1]


@dataclass(frozen=True, slots=True)
class QuotaState:
    """What decides about the requests of an account, in units of the window.

    Parameters
    ----------
    limit : float
        What the account may spend.
    unknown : float
        What may have been spent before the start without being known.
    counted : float
        What was spent, as far as is known.
    share : float
        Part of the rest that this router may give: the others are silent.
    """

    limit: float
    unknown: float
    counted: float
    share: float


class QuotaTracker:
    """The spending of each account by all routers, in a sliding window.

    Routers tell each other what they have spent. A peer that is silent may be
    spending its equal part, so that part is left to it. A router that has just
    started takes the window to be spent, until a peer that is older than the
    window tells what was, or a note of it is found.

    Parameters
    ----------
    rules : AllowanceRules
        How spending is judged.
    started_at : float
        Time of the start.
    """

    def __init__(self, rules: QuotaRules, *, started_at: float) -> None:
        self._rules = rules
        self._started_at = started_at
        self._spending_by_account: dict[str, _Spending] = {}
        self._lives: set[str] = set()
        self._knowledge = HistoryCoverage.NONE
        self._accounts_by_name: dict[str, Account] = {}
        self._share = 1.0
        self.urgent_demand = UrgentDemand()

    def set_share(self, heard: int, known: int) -> None:
        """Tell how many of the known routers, this one included, are heard."""
        self._share = max(1, heard) / max(1, known)

    def set_accounts(self, accounts: Iterable[Account], now: float) -> None:
        """Take the accounts of a configuration that is in force from now on.

        What an account has spent under a higher limit does not count against a lower
        one: windows that begin later do. Without that, an account whose limit is
        lowered would be refused all until the window has moved on.
        """
        for account in accounts:
            if account.rate_per_s <= 0:
                continue
            spending = self._spending(account.name)
            limit = self._rules.limit(account)
            if not spending.limits or spending.limits[-1].units != limit:
                spending.limits.append(_LimitInForce(now, limit))
                spending.begin_step(now)

    def take(self, account: Account, cost: float, rank: int, now: float) -> float:
        """Spend a cost; returns 0, or the seconds until it can be spent.

        Nothing is spent if the result is not 0.

        Parameters
        ----------
        account : Account
            Who pays.
        cost : float
            Units of the request.
        rank : int
            Rank of the request among those of its account, 0 is the highest.
        now : float
            Time in seconds.
        """
        if account.rate_per_s <= 0:
            return 0.0
        self._accounts_by_name[account.name] = account
        state = self.state(account, now)
        known = (state.limit - state.unknown) * state.share
        left = known - state.counted
        reserve = RESERVE_SHARE * min(rank, LOWEST_RANK) * known
        self.urgent_demand.record(account.name, rank, cost, now)
        spending = self._spending(account.name)
        urgent = self.urgent_demand.demand_above(account.name, rank, now)
        if urgent is not None:
            most_per_s = MOST_URGENT_SHARE * state.limit / self._rules.window_s
            reserve += _reserve_for(
                urgent.at_most(most_per_s), self._leaving(spending, now)
            )
        # A request dearer than the whole allowance must not wait for ever.
        needed = min(cost, 0.9 * state.limit * state.share - reserve)
        if left - reserve < needed:
            per_s = state.limit * state.share / self._rules.window_s
            return (needed + reserve - left) / per_s
        spending.add(cost, now)
        spending.spent += cost
        return 0.0

    def state(self, account: Account, now: float) -> QuotaState:
        """Return what decides about the requests of an account.

        Of the limits that were in force within the window, the one that leaves least:
        each counts what was spent since it is in force, against the highest from then
        on.
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
            unknown=self._unknown(account, limit, now),
            counted=spent,
            share=self._share,
        )

    def _limits_in_window(
        self, account: Account, spending: _Spending, now: float
    ) -> list[_LimitInForce]:
        limits = spending.limits
        while len(limits) > 1 and limits[1].since <= now - self._rules.window_s:
            limits.popleft()
        return list(limits) or [_LimitInForce(now, self._rules.limit(account))]

    def _leaving(self, spending: _Spending, now: float) -> list[tuple[float, float]]:
        """Return in how many seconds which units leave the window, soonest first."""
        window_s = self._rules.window_s + STEP_S
        spent = [*sorted(spending.before), *spending.steps]
        return [(max(0.0, time + window_s - now), units) for time, units in spent]

    def refund(self, account: Account, cost: float, now: float) -> None:
        """Return the cost of a request that has surely not run."""
        spending = self._spending_by_account.get(account.name)
        if spending is not None and account.rate_per_s > 0:
            spending.add(-cost, now)
            spending.spent -= cost

    def spent_by_account(self) -> dict[str, float]:
        """Return what this router has spent since its start, for its peers."""
        return {
            name: spending.spent
            for name, spending in self._spending_by_account.items()
            if spending.spent
        }

    def spent_in_window(self, now: float) -> dict[str, float]:
        """Return what all routers have spent in the window, as far as is known."""
        return {
            name: self._counted(spending, now)
            for name, spending in self._spending_by_account.items()
        }

    def record_peer_totals(
        self, life: str, spent_by_account: dict[str, float], *, is_new: bool, now: float
    ) -> None:
        """Count what a peer has spent since it was last heard.

        Parameters
        ----------
        life : str
            One life of a peer.
        spent_by_account : dict
            Its totals since its start.
        is_new : bool
            Whether that life began after this router's. What an older one
            spent before it was first heard is not counted.
        now : float
            Time in seconds.
        """
        is_first = life not in self._lives
        self._lives.add(life)
        for name, total in spent_by_account.items():
            spending = self._spending(name)
            if not is_first or is_new:
                before = spending.spent_by_peer.get(life, 0.0)
                spending.add(total - before, now)
            spending.spent_by_peer[life] = total

    def forget_peer(self, life: str) -> None:
        """Forget the totals of a peer's life that has ended."""
        self._lives.discard(life)
        self.urgent_demand.forget_peer(life)
        for spending in self._spending_by_account.values():
            spending.spent_by_peer.pop(life, None)

    def spent_by_bin(self, now: float) -> dict[str, list[float]]:
        """Return the spending of the window for routers that have just started.

        Returns
        -------
        dict
            By account, the units of each `BIN_S`, the latest first.
        """
        return {
            name: self._binned(spending, now)
            for name, spending in self._spending_by_account.items()
            if self._counted(spending, now) > 0
        }

    def heavy_spending_by_bin(self, now: float) -> dict[str, list[float]]:
        """Return the same of accounts that have spent much of their allowance."""
        binned = self.spent_by_bin(now)
        return {
            name: binned[name]
            for name, account in self._accounts_by_name.items()
            if name in binned
            and sum(binned[name]) > NOTED_SHARE * self._rules.limit(account)
        }

    def restore(
        self, bins: dict[str, list[float]], knowledge: HistoryCoverage, now: float
    ) -> None:
        """Take what was spent in the window before the start.

        Parameters
        ----------
        bins : dict
            As from `spent_by_bin` or `spent_much`; taken to be of this moment.
        knowledge : Knowledge
            Whether accounts that are left out have spent nothing.
        now : float
            Time in seconds.
        """
        if knowledge <= self._knowledge or not self._started_within(now):
            return
        self._knowledge = knowledge
        for spending in self._spending_by_account.values():
            spending.before = []
            spending.noted = 0.0
        for name, units_by_bin in bins.items():
            self._spending(name).noted = sum(units_by_bin)
            times = [now - BIN_S * number for number in range(len(units_by_bin))]
            if knowledge is HistoryCoverage.PARTIAL:
                # The oldest part may have left the window after the note was
                # written, and been spent again.
                oldest = now - self._rules.window_s + NOTE_AGE_S
                times = [now if time < oldest else time for time in times]
            self._spending(name).before = [
                (min(time, self._started_at), units)
                for time, units in zip(times, units_by_bin, strict=True)
                if units > 0
            ]

    def has_full_window(self, now: float) -> bool:
        """Return whether all that was spent in the window is known."""
        return self._knowledge is HistoryCoverage.COMPLETE or not self._started_within(
            now
        )

    def _started_within(self, now: float) -> bool:
        return now - self._started_at < self._rules.window_s

    def _binned(self, spending: _Spending, now: float) -> list[float]:
        bins = [0.0] * (int(self._rules.window_s / BIN_S) + 1)
        for time, units in [*spending.before, *spending.steps]:
            number = int((now - time) / BIN_S)
            if 0 <= number < len(bins):
                bins[number] += units
        return [max(0.0, units) for units in bins]

    def _counted(self, spending: _Spending, now: float) -> float:
        since = now - self._rules.window_s - STEP_S
        spending.drop_before(since)
        if spending.before:
            spending.before = [each for each in spending.before if each[0] >= since]
        return spending.total + sum(units for _, units in spending.before)

    def _unknown(self, account: Account, limit: float, now: float) -> float:
        """Return what may have been spent before the start without being known."""
        unknown_s = max(0.0, self._rules.window_s - (now - self._started_at))
        if self._knowledge is HistoryCoverage.COMPLETE or not unknown_s:
            return 0.0
        units = limit - self._rules.start_units(account)
        if self._knowledge is HistoryCoverage.PARTIAL:
            noted = self._spending(account.name).noted
            if noted:
                # All the rest may have been spent after the note was written.
                return max(0.0, limit - noted)
            units = NOTED_SHARE * limit
        return units * unknown_s / self._rules.window_s

    def _spending(self, name: str) -> _Spending:
        spending = self._spending_by_account.get(name)
        if spending is None:
            spending = self._spending_by_account[name] = _Spending()
        return spending


def _reserve_for(demand: Demand, leaving: Iterable[tuple[float, float]]) -> float:
    """Return the units that have to be left so that a demand is served at any moment.

    Parameters
    ----------
    demand : Demand
        What is asked.
    leaving : iterable of (float, float)
        In how many seconds which units leave the window, soonest first: from then on
        they may be spent again.
    """
    reserve = freed = 0.0
    for in_s, units in leaving:
        reserve = max(reserve, demand.most_within(in_s) - freed)
        freed += units
    return reserve
