"""Rules for the enforcement of quotas, and what a decision on a request goes by."""

from dataclasses import dataclass
from enum import IntEnum
from math import inf

from berylwalk.dispatch._configuration import Account

USED_TOLERANCE_SHARE = 0.5
"""Share of the tolerance that is granted to callers. The rest covers what routers spend
before they learn of each other's spending."""
BOOTSTRAP_SHARE = 0.35
"""Share of the ungranted tolerance that may be spent right after a start. Twice that,
and what routers spend before they learn of each other, stay within the tolerance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaRules:
    """Rules for the enforcement of quotas.

    Parameters
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    excess, slack : float
        Tolerance: a share of the quota, and additional units.
    """

    window_s: float = 8.0
    excess: float = 0.1
    slack: float = 0.0

    def limit(self, account: Account) -> float:
        """Return the units that an account may spend in a window."""
        allowance = account.rate_per_s * self.window_s + account.burst
        return allowance + USED_TOLERANCE_SHARE * self._tolerance(allowance)

    def bootstrap_units(self, account: Account) -> float:
        """Return the units that routers without any history may spend at once."""
        allowance = account.rate_per_s * self.window_s + account.burst
        return BOOTSTRAP_SHARE * (1 - USED_TOLERANCE_SHARE) * self._tolerance(allowance)

    def _tolerance(self, allowance: float) -> float:
        return allowance * self.excess + self.slack


class HistoryCoverage(IntEnum):
    """What a router knows of spending in the window before its start."""

    NONE = 0
    PARTIAL = 1
    """Stored snapshot of the accounts with heavy spending."""

    COMPLETE = 2


@dataclass(frozen=True, slots=True)
class QuotaState:
    """Inputs of the decision on an account's requests, in units per window.

    Parameters
    ----------
    limit : float
        Units that the account may spend.
    unknown : float
        Units that may have been spent before the start without being known.
    counted : float
        Units that are known to be spent.
    share : float
        Share of the rest that this router may grant; the remainder is left to
        unreachable routers.
    """

    limit: float
    unknown: float
    counted: float
    share: float

    @property
    def granted(self) -> float:
        """Units that this router may grant in an empty window."""
        return (self.limit - self.unknown) * self.share

    @property
    def remaining(self) -> float:
        """Units that are left; negative if more has been spent."""
        return self.granted - self.counted


@dataclass(frozen=True, slots=True)
class QuotaReserve:
    """Units that a request must leave to more urgent ones of its account.

    Parameters
    ----------
    wanted : float
        Units that more urgent requests may need.
    shortfall : float
        Units by which the demand of all ranks is expected to exceed the quota; infinite
        if it does not matter or the demand is not known yet.
    urgent_per_s : float
        Demand of the most urgent rank in units per second; 0 if there is none above.
    awaited : float
        Units that streams in progress wait for.
    """

    wanted: float
    shortfall: float = inf
    urgent_per_s: float = 0.0
    awaited: float = 0.0

    @property
    def units(self) -> float:
        """Units to leave: what is awaited, and what is wanted as far as it is short."""
        return self.awaited + max(0.0, min(self.wanted, self.shortfall))
