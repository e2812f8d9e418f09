"""What a relay tells the other failure domains of targets."""

from msgspec.structs import replace

from berylwalk.direct._statements import MAX_RELAYED_STATEMENTS, StatementUpdate, rotate
from berylwalk.dispatch import UPDATE_TTL_S


class StatementAggregate:
    """What the routers of the own failure domain said of targets, as last heard."""

    def __init__(self) -> None:
        self._received_by_router: dict[str, tuple[float, list[StatementUpdate]]] = {}

    def note(self, router: str, news: list[StatementUpdate], now: float) -> None:
        """Take what a router nearby told, in place of what it told before."""
        if news:
            self._received_by_router[router] = (now, news)
        else:
            self._received_by_router.pop(router, None)

    def merged(self, own: list[StatementUpdate], now: float) -> list[StatementUpdate]:
        """Return what was said of each target: its limit by the newest, as of now."""
        merged = {each.incarnation_id: each for each in own}
        for router, (heard_at, news) in list(self._received_by_router.items()):
            if now - heard_at > UPDATE_TTL_S:
                del self._received_by_router[router]
                continue
            for each in news:
                aged = _with_added_age(each, now - heard_at)
                known = merged.get(each.incarnation_id)
                merged[each.incarnation_id] = (
                    aged if known is None else _merge(known, aged)
                )
        return rotate(list(merged.values()), MAX_RELAYED_STATEMENTS, now)


def _with_added_age(news: StatementUpdate, by_s: float) -> StatementUpdate:
    if news.limit_age_s is None:
        return news
    age_s = news.limit_age_s + by_s
    if age_s > UPDATE_TTL_S:
        return replace(news, limit_age_s=None, limit_per_s=None)
    return replace(news, limit_age_s=age_s)


def _merge(one: StatementUpdate, other: StatementUpdate) -> StatementUpdate:
    """Return the newer word on the limit, and that it leaves if either says so."""
    ages = [
        float("inf") if each.limit_age_s is None else each.limit_age_s
        for each in (one, other)
    ]
    newer = one if ages[0] <= ages[1] else other
    return replace(newer, is_leaving=one.is_leaving or other.is_leaving)
