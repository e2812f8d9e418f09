"""Allowances of client accounts, shared by all routers."""

from dataclasses import dataclass, field

from berylwalk.dispatch._configuration import Account

LARGEST_COST_SHARE = 0.9
"""A request dearer than this share of the burst needs no more than that."""


@dataclass(slots=True)
class Bucket:
    """What is left of one account's allowance.

    Parameters
    ----------
    level : float
        Units that may be spent now; below 0 after a dear request.
    updated_at : float
        When the level was computed.
    spent : float
        Units that this router has spent since it started.
    spent_by_peer : dict
        The same of each peer, by peer, as last heard.
    """

    level: float
    updated_at: float
    spent: float = 0.0
    spent_by_peer: dict[str, float] = field(default_factory=dict)


class Allowances:
    """One bucket for each account, as if all routers drew from the same one.

    Peers tell each other what they have spent. A peer that is silent may be
    spending its equal part of the rate, so that part is left to it.

    Parameters
    ----------
    started_at : float
        Time of the start. Buckets begin empty: before a restart the account
        may just have spent its burst.
    """

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._buckets_by_account: dict[str, Bucket] = {}
        self._share = 1.0

    def set_share(self, heard: int, known: int) -> None:
        """Tell how many of the known routers, this one included, are heard."""
        self._share = max(1, heard) / max(1, known)

    def take(self, account: Account, cost: float, now: float) -> float:
        """Spend a cost; returns 0, or the seconds until it can be spent.

        Nothing is spent if the result is not 0.
        """
        if account.rate_per_s <= 0:
            return 0.0
        bucket = self._refilled(account, now)
        needed = min(cost, LARGEST_COST_SHARE * account.burst * self._share)
        if bucket.level < needed:
            rate = account.rate_per_s * self._share
            return (needed - bucket.level) / rate
        bucket.level -= cost
        bucket.spent += cost
        return 0.0

    def give_back(self, account: Account, cost: float) -> None:
        """Return the cost of a request that has surely not run."""
        bucket = self._buckets_by_account.get(account.name)
        if bucket is not None and account.rate_per_s > 0:
            bucket.level += cost
            bucket.spent -= cost

    def spent_by_account(self) -> dict[str, float]:
        """Return what this router has spent, for its peers."""
        return {
            name: bucket.spent
            for name, bucket in self._buckets_by_account.items()
            if bucket.spent
        }

    def levels(self) -> dict[str, float]:
        """Return what each account could spend when it was last looked at."""
        return {name: each.level for name, each in self._buckets_by_account.items()}

    def hear(self, peer: str, spent_by_account: dict[str, float]) -> None:
        """Take off what a peer has spent since it was last heard.

        Parameters
        ----------
        peer : str
            Name of one life of a peer: a restarted one counts from 0.
        spent_by_account : dict
            Its totals.
        """
        for name, total in spent_by_account.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is None:
                bucket = Bucket(0.0, self._started_at)
                self._buckets_by_account[name] = bucket
            bucket.level -= total - bucket.spent_by_peer.get(peer, 0.0)
            bucket.spent_by_peer[peer] = total

    def forget(self, peer: str) -> None:
        """Forget the totals of a peer's life that has ended."""
        for bucket in self._buckets_by_account.values():
            bucket.spent_by_peer.pop(peer, None)

    def _refilled(self, account: Account, now: float) -> Bucket:
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            bucket = Bucket(0.0, self._started_at)
            self._buckets_by_account[account.name] = bucket
        earned = account.rate_per_s * self._share * (now - bucket.updated_at)
        bucket.level = min(bucket.level + earned, account.burst * self._share)
        bucket.updated_at = now
        return bucket
