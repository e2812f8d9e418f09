"""Slots that a tier may take while higher tiers keep their headroom."""

from collections.abc import Iterable
from math import ceil

from berylwalk.model import TierPolicy

# Keeps the rounding error of a sum of shares from reserving one slot too many.
ROUNDING = 1e-9


def tier_slot_limit(
    rank: int, limit: int, tiers: Iterable[TierPolicy], *, higher_active: bool
) -> int:
    """Return how many slots may be in use for a tier to take one more.

    Parameters
    ----------
    rank : int
        Rank of the tier that asks.
    limit : int
        All slots of the target.
    tiers : iterable of TierPolicy
        The tiers in force.
    higher_active : bool
        Whether anything of a higher tier runs or waits.

    Returns
    -------
    int
        The tier may take a slot while fewer than this many are in use. At
        least 1 when nothing higher is active.
    """
    share = sum(tier.headroom for tier in tiers if tier.rank < rank)
    reserved = ceil(min(share, 1.0) * limit - ROUNDING)
    least = 0 if higher_active else 1
    return max(limit - reserved, least)
