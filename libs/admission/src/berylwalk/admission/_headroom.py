"""Slots that a tier may use so that higher tiers keep their headroom."""

from collections.abc import Iterable
from math import ceil

from berylwalk.model import TierPolicy

# Tolerance for rounding errors in the sum of shares.
ROUNDING_TOLERANCE = 1e-9


def tier_slot_limit(
    rank: int, limit: int, tiers: Iterable[TierPolicy], *, higher_active: bool
) -> int:
    """Return the number of slots that is open to a tier.

    Parameters
    ----------
    rank : int
        Rank of the tier; 0 is the highest.
    limit : int
        Concurrency limit of the target.
    tiers : iterable of TierPolicy
        The tiers in force.
    higher_active : bool
        Whether a request of a higher tier runs or is queued.

    Returns
    -------
    int
        The tier may take a slot while fewer than this many are in use. At
        least 1 when no higher tier is active.
    """
    share = sum(tier.headroom for tier in tiers if tier.rank < rank)
    reserved = ceil(min(share, 1.0) * limit - ROUNDING_TOLERANCE)
    least = 0 if higher_active else 1
    return max(limit - reserved, least)
