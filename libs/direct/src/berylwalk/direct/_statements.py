"""What targets state of themselves: taken from answers, shared between routers.

Each router tells what its own answers said and how long ago. What it heard of others it
doesn't tell on: an observation that goes round would never grow old.
"""

from collections.abc import Iterable
from typing import Annotated

from msgspec import Meta, Struct

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import (
    FlowControlSignal,
    FlowControlUpdate,
    Target,
    TargetSignals,
    max_senders,
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

    incarnation_id: Annotated[str, Meta(max_length=200)]
    limit_age_s: Annotated[float, Meta(ge=0)] | None = None
    limit_per_s: Annotated[float, Meta(ge=0)] | None = None
    is_leaving: bool = False

    @property
    def content(self) -> tuple[str, float | None, bool]:
        """What it says, its age left out."""
        return self.incarnation_id, self.limit_per_s, self.is_leaving


def apply_statement(
    context: RouterContext, target: Target, statement: TargetSignals, sent_at: float
) -> None:
    """Take what an answer states of a target; the other routers are told soon."""
    now = context.clock()
    changed = target.flow_control.note_answer(statement, sent_at=sent_at, now=now)
    _on_needs_changed(context, target, changed, source="target")
    if FlowControlSignal.LIMIT in changed or FlowControlSignal.LEAVING in changed:
        context.on_statement_change()


def merge_statements(
    context: RouterContext, updates: Iterable[StatementUpdate], source: str
) -> None:
    """Take what another router told of targets."""
    now = context.clock()
    for each in updates:
        target = context.targets.by_incarnation_id.get(each.incarnation_id)
        if target is None:
            continue
        heard = FlowControlUpdate(
            limit_per_s=each.limit_per_s,
            limit_age_s=each.limit_age_s,
            is_leaving=each.is_leaving,
        )
        changed = target.flow_control.apply_update(heard, now)
        _on_needs_changed(context, target, changed, source=source)


def own_statements(context: RouterContext) -> list[StatementUpdate]:
    """Return what own answers said lately, to be told."""
    now = context.clock()
    told = []
    for target in context.targets.flow_controlled():
        update = target.flow_control.pending_update(now)
        if update is not None:
            told.append(
                StatementUpdate(
                    target.entry.incarnation_id,
                    update.limit_age_s,
                    update.limit_per_s,
                    update.is_leaving,
                )
            )
    return rotate(told, MAX_STATEMENTS, now)


def rotate(
    updates: list[StatementUpdate], most: int, now: float
) -> list[StatementUpdate]:
    """Return as many as go into one message, others each time."""
    if len(updates) <= most:
        return updates
    begin = int(now / ROTATION_INTERVAL_S) * most % len(updates)
    return (updates[begin:] + updates[:begin])[:most]


def update_limit_shares(context: RouterContext) -> None:
    """Give each limit the part of it that is for this router."""
    now = context.clock()
    for target in context.targets.flow_controlled():
        _update_limit_share(context, target, now)


def _update_limit_share(context: RouterContext, target: Target, now: float) -> None:
    limit = target.flow_control.limit
    if limit.per_s is not None:
        senders = max_senders(limit.per_s)
        share = context.peers.rate_share(target.entry.incarnation_id, senders, now)
        limit.set_share(share, now)


def _on_needs_changed(
    context: RouterContext,
    target: Target,
    changed: list[FlowControlSignal],
    *,
    source: str,
) -> None:
    if not changed:
        return
    context.targets.note_flow_controlled(target)
    flow_control, now = target.flow_control, context.clock()
    _update_limit_share(context, target, now)
    rest_s = (
        flow_control.backoff.until - now if flow_control.backoff.is_on(now) else 0.0
    )
    context.log.process(
        "target-needs",
        target=target.entry.target_id,
        changed=changed,
        told_by=source,
        limit_per_s=flow_control.limit.per_s,
        limit_share=round(flow_control.limit.share, 3),
        rest_ms=max(0, round(rest_s * 1000)),
        is_leaving=flow_control.is_leaving,
    )
