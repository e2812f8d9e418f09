"""What targets state of themselves: taken from answers, shared between routers.

Each router tells what its own answers said and how long ago. What it heard of others it
doesn't tell on: an observation that goes round would never grow old.
"""

from collections.abc import Iterable
from typing import Annotated

from msgspec import Meta, Struct

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import (
    Need,
    NeedsNews,
    Target,
    TargetStatement,
    most_senders,
)

MAX_STATEMENTS = 64
"""Statements in one message at most, a few kilobytes; of more, others in each turn."""
MAX_RELAYED_STATEMENTS = 256
"""The same in a message of a relay."""
ROTATION_INTERVAL_S = 0.25
"""Time after which others are told where there are too many for one message."""


class StatementUpdate(Struct, array_like=True):
    """What the answers of one target said to one router.

    Parameters
    ----------
    life_id : str
        The life of the target.
    limit_age_s : float or None
        How long ago they said something of a limit, in seconds; None if they never did.
    limit_per_s : float or None
        Requests a second that it takes of all routers; None if it names no limit
        any more.
    is_leaving : bool
        Whether it leaves.
    """

    life_id: Annotated[str, Meta(max_length=200)]
    limit_age_s: Annotated[float, Meta(ge=0)] | None = None
    limit_per_s: Annotated[float, Meta(ge=0)] | None = None
    is_leaving: bool = False

    @property
    def content(self) -> tuple[str, float | None, bool]:
        """What it says, its age left out."""
        return self.life_id, self.limit_per_s, self.is_leaving


def apply_statement(
    context: RouterContext, target: Target, statement: TargetStatement, sent_at: float
) -> None:
    """Take what an answer states of a target; the other routers are told soon."""
    now = context.clock()
    changed = target.needs.note_answer(statement, sent_at=sent_at, now=now)
    _on_needs_changed(context, target, changed, source="target")
    if Need.LIMIT in changed or Need.LEAVING in changed:
        context.on_statement_change()


def merge_statements(
    context: RouterContext, news: Iterable[StatementUpdate], source: str
) -> None:
    """Take what another router told of targets."""
    now = context.clock()
    for each in news:
        target = context.targets.by_life_id.get(each.life_id)
        if target is None:
            continue
        heard = NeedsNews(
            limit_per_s=each.limit_per_s,
            limit_age_s=each.limit_age_s,
            is_leaving=each.is_leaving,
        )
        changed = target.needs.hear(heard, now)
        _on_needs_changed(context, target, changed, source=source)


def own_statements(context: RouterContext) -> list[StatementUpdate]:
    """Return what own answers said lately, to be told."""
    now = context.clock()
    told = []
    for target in context.targets.in_need():
        news = target.needs.news(now)
        if news is not None:
            told.append(
                StatementUpdate(
                    target.entry.life_id,
                    news.limit_age_s,
                    news.limit_per_s,
                    news.is_leaving,
                )
            )
    return rotate(told, MAX_STATEMENTS, now)


def rotate(news: list[StatementUpdate], most: int, now: float) -> list[StatementUpdate]:
    """Return as many as go into one message, others each time."""
    if len(news) <= most:
        return news
    begin = int(now / ROTATION_INTERVAL_S) * most % len(news)
    return (news[begin:] + news[:begin])[:most]


def update_limit_shares(context: RouterContext) -> None:
    """Give each limit the part of it that is for this router."""
    now = context.clock()
    for target in context.targets.in_need():
        _update_limit_share(context, target, now)


def _update_limit_share(context: RouterContext, target: Target, now: float) -> None:
    limit = target.needs.limit
    if limit.per_s is not None:
        senders = most_senders(limit.per_s)
        share = context.peers.part_of(target.entry.life_id, senders, now)
        limit.set_share(share, now)


def _on_needs_changed(
    context: RouterContext, target: Target, changed: list[Need], *, source: str
) -> None:
    if not changed:
        return
    context.targets.note_in_need(target)
    needs, now = target.needs, context.clock()
    _update_limit_share(context, target, now)
    rest_s = needs.rest.until - now if needs.rest.is_on(now) else 0.0
    context.log.process(
        "target-needs",
        target=target.entry.target_id,
        changed=changed,
        told_by=source,
        limit_per_s=needs.limit.per_s,
        limit_share=round(needs.limit.share, 3),
        rest_ms=max(0, round(rest_s * 1000)),
        is_leaving=needs.is_leaving,
    )
