"""What a relay tells the other failure domains of targets."""

from msgspec.structs import replace

from berylwalk.direct._statements import MOST_RELAYED, StatementNews, in_turn
from berylwalk.dispatch import NEWS_KEPT_S


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
        """Return the newest of each target, its age as of now."""
        newest = {each.life_id: each for each in own}
        for router, (heard_at, news) in list(self._heard_by_router.items()):
            if now - heard_at > NEWS_KEPT_S:
                del self._heard_by_router[router]
                continue
            for each in news:
                age_s = each.age_s + now - heard_at
                known = newest.get(each.life_id)
                if known is None or age_s < known.age_s:
                    newest[each.life_id] = replace(each, age_s=age_s)
        fresh = [each for each in newest.values() if each.age_s <= NEWS_KEPT_S]
        return in_turn(fresh, MOST_RELAYED, now)
