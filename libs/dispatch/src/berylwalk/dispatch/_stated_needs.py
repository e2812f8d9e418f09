"""What one life of a target has said that it takes; every send asks it."""

from dataclasses import dataclass, field
from enum import StrEnum

from berylwalk.dispatch._stated_limit import StatedLimit
from berylwalk.dispatch._stated_rest import StatedRest
from berylwalk.dispatch._statements import TargetStatement
from berylwalk.dispatch._target_entries import Obstacle


class Need(StrEnum):
    """What a target may say of itself."""

    LIMIT = "limit"
    REST = "rest"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class NeedsNews:
    """What own answers of one target said, to be told to other routers.

    Parameters
    ----------
    limit_per_s : float or None
        Requests a second that it takes of all routers; None if it names no limit.
    limit_age_s : float or None
        How long ago they said so, in seconds; None if they never named one.
    is_leaving : bool
        Whether it leaves.
    """

    limit_per_s: float | None = None
    limit_age_s: float | None = None
    is_leaving: bool = False


@dataclass(slots=True)
class StatedNeeds:
    """What a target has said, and what of it is left for this router.

    A rest is between the target and one router; a limit and its leaving concern all.

    Attributes
    ----------
    limit : StatedLimit
        The requests a second that it takes of all routers together.
    rest : StatedRest
        For how long it wants nothing of this router.
    is_leaving : bool
        Whether it leaves; a life that said so doesn't take it back.
    said_leaving : bool
        Whether an own answer said so.
    """

    limit: StatedLimit = field(default_factory=StatedLimit)
    rest: StatedRest = field(default_factory=StatedRest)
    is_leaving: bool = False
    said_leaving: bool = False

    def obstacle(self, now: float) -> Obstacle | None:
        """Return why no request may be sent."""
        if self.is_leaving:
            return Obstacle.LEAVING
        if self.rest.is_on(now):
            return Obstacle.RESTING
        if not self.rest.may_send(now):
            return Obstacle.RETURNING
        if not self.limit.may_send(now):
            return Obstacle.LIMITED
        return None

    def takes_any(self, now: float) -> bool:
        """Return whether a request that has its place there may still be sent."""
        return not self.is_leaving and not self.rest.is_on(now)

    def opens_at(self, now: float) -> float:
        """Return when requests are taken again, in seconds, as far as it was said.

        Now, where what keeps them back may end at any moment; never, where it leaves.
        """
        match self.obstacle(now):
            case Obstacle.LEAVING:
                return float("inf")
            case Obstacle.RESTING:
                return self.rest.until
            case Obstacle.LIMITED:
                return self.limit.opens_at(now)
        return now

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self.limit.note_sent(now)
        self.rest.note_sent(now)

    def note_not_sent(self, now: float) -> None:
        """Take back a request that was counted and won't be sent."""
        self.limit.note_not_sent(now)
        self.rest.note_not_sent()

    def note_answer(
        self, statement: TargetStatement, *, sent_at: float, now: float
    ) -> list[Need]:
        """Take what the head of an answer states; returns what is new of it.

        Parameters
        ----------
        statement : TargetStatement
            Of the head.
        sent_at, now : float
            When its request was sent and the head came, in seconds.
        """
        changed = []
        if statement.limit_is_readable and self.limit.note_answer(
            statement.limit_per_s, sent_at=sent_at, now=now
        ):
            changed.append(Need.LIMIT)
        if statement.rest_s is not None and self.rest.note_asked(statement.rest_s, now):
            changed.append(Need.REST)
        if statement.is_leaving:
            self.said_leaving = True
            if not self.is_leaving:
                self.is_leaving = True
                changed.append(Need.LEAVING)
        return changed

    def hear(self, news: NeedsNews, now: float) -> list[Need]:
        """Take what another router observed; returns what is new of it."""
        changed = []
        if news.limit_age_s is not None:
            said_at = now - news.limit_age_s
            if self.limit.hear(news.limit_per_s, said_at, now):
                changed.append(Need.LIMIT)
        if news.is_leaving and not self.is_leaving:
            self.is_leaving = True
            changed.append(Need.LEAVING)
        return changed

    def news(self, now: float) -> NeedsNews | None:
        """Return what own answers said, while it is news."""
        observed = self.limit.news(now)
        if observed is None and not self.said_leaving:
            return None
        limit_per_s, limit_age_s = observed or (None, None)
        return NeedsNews(
            limit_per_s=limit_per_s,
            limit_age_s=limit_age_s,
            is_leaving=self.said_leaving,
        )
