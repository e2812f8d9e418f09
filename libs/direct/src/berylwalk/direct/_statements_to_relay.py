"""What a relay tells the other failure domains of targets."""

from msgspec.structs import replace

from berylwalk.direct._statements import MOST_RELAYED, StatementNews, in_turn
from berylwalk.dispatch import UPDATE_TTL_S


class StatementsToRelay:
    """What the routers of the own failure domain said of targets, as last heard."""

    def __init__(self) -> None:
        self._heard_by_router: dict[str, tuple[float, list[StatementNews]]] = {}

    def note(self, router: str, news: list[StatementNews], now: float) -> None:
        """Take what a router nearby told, in place of what it told before."""
        if news:
            self._heard_by_router[router] = (now, news)
        else:
            self._heard_by_router.pop(router, None)

    def merged(self, own: list[StatementNews], now: float) -> list[StatementNews]:
        """Return what was said of each target: its limit by the newest, as of now."""
        merged = {each.incarnation_id: each for each in own}
        for router, (heard_at, news) in list(self._heard_by_router.items()):
            if now - heard_at > UPDATE_TTL_S:
                del self._heard_by_router[router]
                continue
            for each in news:
                aged = _aged(each, now - heard_at)
                known = merged.get(each.incarnation_id)
                merged[each.incarnation_id] = (
                    aged if known is None else _both(known, aged)
                )
        return in_turn(list(merged.values()), MOST_RELAYED, now)


def _aged(news: StatementNews, by_s: float) -> StatementNews:
    if news.limit_age_s is None:
        return news
    age_s = news.limit_age_s + by_s
    if age_s > UPDATE_TTL_S:
        return replace(news, limit_age_s=None, limit_per_s=None)
    return replace(news, limit_age_s=age_s)


def _both(one: StatementNews, other: StatementNews) -> StatementNews:
    """Return the newer word on the limit, and that it leaves if either says so."""
    ages = [
        float("inf") if each.limit_age_s is None else each.limit_age_s
        for each in (one, other)
    ]
    newer = one if ages[0] <= ages[1] else other
    return replace(newer, is_leaving=one.is_leaving or other.is_leaving)
