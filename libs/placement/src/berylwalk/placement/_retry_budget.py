"""Retry budget: bounds retries to a share of successes."""

DEFAULT_CAPACITY = 20.0
"""Largest number of accumulated retries."""


class RetryBudget:
    """Token bucket that successes refill and retries drain.

    Parameters
    ----------
    ratio : float
        Retries allowed per success.
    capacity : float
        Largest number of accumulated retries; the bucket starts full.
    """

    def __init__(self, ratio: float, *, capacity: float = DEFAULT_CAPACITY) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """Retries available now; may be fractional."""
        return self._tokens

    def record_success(self) -> None:
        """Add the share of a retry that one success earns."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
