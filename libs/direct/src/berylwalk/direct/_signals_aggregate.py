"""Aggregates the flow control signals of a failure domain for other domains."""

from msgspec.structs import replace

from berylwalk.direct._flow_control import (
    MAX_SIGNALS_PER_RELAY_MESSAGE,
    SignalsUpdate,
    rotate,
)
from berylwalk.dispatch import UPDATE_TTL_S


class SignalsAggregate:
    """Latest signals that each router of the own failure domain sent."""

    def __init__(self) -> None:
        self._received_by_router: dict[str, tuple[float, list[SignalsUpdate]]] = {}

    def record(self, router: str, updates: list[SignalsUpdate], now: float) -> None:
        """Replace the signals received from a direct peer."""
        if updates:
            self._received_by_router[router] = (now, updates)
        else:
            self._received_by_router.pop(router, None)

    def merge(self, own: list[SignalsUpdate], now: float) -> list[SignalsUpdate]:
        """Return the signals of each target, with the newest limit and its age."""
        merged = {each.incarnation_id: each for each in own}
        for router, (heard_at, updates) in list(self._received_by_router.items()):
            if now - heard_at > UPDATE_TTL_S:
                del self._received_by_router[router]
                continue
            for each in updates:
                aged = _with_added_age(each, now - heard_at)
                known = merged.get(each.incarnation_id)
                merged[each.incarnation_id] = (
                    aged if known is None else _merge(known, aged)
                )
        return rotate(list(merged.values()), MAX_SIGNALS_PER_RELAY_MESSAGE, now)


def _with_added_age(update: SignalsUpdate, by_s: float) -> SignalsUpdate:
    if update.limit_age_s is None:
        return update
    age_s = update.limit_age_s + by_s
    if age_s > UPDATE_TTL_S:
        return replace(update, limit_age_s=None, limit_per_s=None)
    return replace(update, limit_age_s=age_s)


def _merge(one: SignalsUpdate, other: SignalsUpdate) -> SignalsUpdate:
    """Return the newer limit; the target is leaving if either says so."""
    ages = [
        float("inf") if each.limit_age_s is None else each.limit_age_s
        for each in (one, other)
    ]
    newer = one if ages[0] <= ages[1] else other
    return replace(newer, is_leaving=one.is_leaving or other.is_leaving)
