"""What targets state of themselves: taken from answers, shared between routers.

Each router tells what its own answers said and how long ago. What it heard of others it
doesn't tell on: an observation that goes round would never grow old.
"""

from collections.abc import Iterable
from typing import Annotated

from msgspec import Meta, Struct

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Target, TargetStatement, most_senders

MOST_TOLD = 64
"""Statements in one message at most, a few kilobytes; of more, others in each turn."""
MOST_RELAYED = 256
"""The same in a message of a relay."""
TURN_S = 0.25
"""Time after which others are told where there are too many for one message."""


class StatementNews(Struct, array_like=True):
    """What the answers of one target said to one router.

    Parameters
    ----------
    life_id : str
        The life of the target.
    age_s : float
        How long ago, in seconds.
    limit_per_s : float or None
        Requests a second that it takes of all routers; None if it names no limit
        any more.
    """

    life_id: Annotated[str, Meta(max_length=200)]
    age_s: Annotated[float, Meta(ge=0)]
    limit_per_s: Annotated[float, Meta(ge=0)] | None = None


def take_statement(
    context: RouterContext, target: Target, statement: TargetStatement, sent_at: float
) -> None:
    """Take what an answer states of a target; the other routers are told soon."""
    now = context.clock()
    former = target.limit.per_s
    if target.note_statement(statement, sent_at=sent_at, now=now):
        _note_limit(context, target, former, told_by="target", age_s=0.0)
        context.on_statement_news()


def hear_statements(
    context: RouterContext, news: Iterable[StatementNews], told_by: str
) -> None:
    """Take what another router told of targets."""
    now = context.clock()
    for each in news:
        target = context.targets.by_life_id.get(each.life_id)
        if target is None:
            continue
        former = target.limit.per_s
        if target.limit.hear(each.limit_per_s, now - each.age_s, now):
            _note_limit(context, target, former, told_by=told_by, age_s=each.age_s)


def own_statements(context: RouterContext) -> list[StatementNews]:
    """Return what own answers said lately, to be told."""
    now = context.clock()
    news = []
    for life_id, target in context.targets.by_life_id.items():
        observed = target.limit.news(now)
        if observed is not None:
            per_s, age_s = observed
            news.append(StatementNews(life_id, age_s, per_s))
    return in_turn(news, MOST_TOLD, now)


def in_turn(news: list[StatementNews], most: int, now: float) -> list[StatementNews]:
    """Return as many as go into one message, others each time."""
    if len(news) <= most:
        return news
    begin = int(now / TURN_S) * most % len(news)
    return (news[begin:] + news[:begin])[:most]


def share_limits(context: RouterContext) -> None:
    """Give each limit the part of it that is for this router."""
    for target in context.targets.limited():
        _share_limit(context, target)


def _share_limit(context: RouterContext, target: Target) -> None:
    per_s, now = target.limit.per_s, context.clock()
    if per_s is not None:
        senders = most_senders(per_s)
        share = context.peers.part_of(target.entry.life_id, senders, now)
        target.limit.set_share(share, now)


def _note_limit(
    context: RouterContext,
    target: Target,
    former_per_s: float | None,
    *,
    told_by: str,
    age_s: float,
) -> None:
    _share_limit(context, target)
    context.log.process(
        "target-limit",
        target=target.entry.target_id,
        limit_per_s=target.limit.per_s,
        former_per_s=former_per_s,
        told_by=told_by,
        age_ms=round(age_s * 1000),
        share=round(target.limit.share, 3),
    )
