"""Flow control signals of targets: taken from responses and shared between routers.

Each router sends only the signals of its own responses, with their age. Forwarding
those of other routers would keep outdated signals circulating.
"""

from collections.abc import Iterable
from typing import Annotated

from msgspec import Meta, Struct

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import (
    FlowControlSignal,
    FlowControlUpdate,
    RatesByService,
    Target,
    TargetSignals,
    max_senders,
)

MAX_SIGNALS_PER_MESSAGE = 64
"""Largest number of signals in one message; further ones follow in turn."""
MAX_SIGNALS_PER_RELAY_MESSAGE = 256
"""Largest number of signals in a message of a relay."""
ROTATION_INTERVAL_S = 0.25
"""Interval after which the next signals are sent if there are too many for one
message."""


class SignalsUpdate(Struct, array_like=True):
    """Signals of one target in the responses that one router received.

    Parameters
    ----------
    incarnation_id : str
        Incarnation id of the target.
    limit_age_s : float or None
        Age of the last signal about a rate limit, in seconds; None if there was none.
    limit_per_s : float or None
        Rate limit over all routers, in requests per second; None if the target no
        longer advertises one.
    is_leaving : bool
        Whether the target is leaving.
    """

    incarnation_id: Annotated[str, Meta(max_length=200)]
    limit_age_s: Annotated[float, Meta(ge=0)] | None = None
    limit_per_s: Annotated[float, Meta(ge=0)] | None = None
    is_leaving: bool = False

    @property
    def content(self) -> tuple[str, float | None, bool]:
        """The signals without their age, for comparison."""
        return self.incarnation_id, self.limit_per_s, self.is_leaving


def apply_signals(
    context: RouterContext, target: Target, signals: TargetSignals, sent_at: float
) -> None:
    """Apply the signals of a response; other routers are notified of changes."""
    now = context.clock()
    changed = target.flow_control.note_answer(signals, sent_at=sent_at, now=now)
    _on_signals_changed(context, target, changed, source="target")
    if FlowControlSignal.LIMIT in changed or FlowControlSignal.LEAVING in changed:
        context.on_signals_changed()


def merge_signals(
    context: RouterContext, updates: Iterable[SignalsUpdate], source: str
) -> None:
    """Apply the signals that another router received."""
    now = context.clock()
    for each in updates:
        target = context.targets.by_incarnation_id.get(each.incarnation_id)
        if target is None:
            continue
        update = FlowControlUpdate(
            limit_per_s=each.limit_per_s,
            limit_age_s=each.limit_age_s,
            is_leaving=each.is_leaving,
        )
        changed = target.flow_control.apply_update(update, now)
        _on_signals_changed(context, target, changed, source=source)


def own_signals(context: RouterContext) -> list[SignalsUpdate]:
    """Return the recent signals of own responses, to be sent to other routers."""
    now = context.clock()
    updates = []
    for target in context.targets.flow_controlled():
        update = target.flow_control.pending_update(now)
        if update is not None:
            updates.append(
                SignalsUpdate(
                    target.entry.incarnation_id,
                    update.limit_age_s,
                    update.limit_per_s,
                    update.is_leaving,
                )
            )
    return rotate(updates, MAX_SIGNALS_PER_MESSAGE, now)


def rotate(
    updates: list[SignalsUpdate], max_count: int, now: float
) -> list[SignalsUpdate]:
    """Return the part of the updates that goes into the next message."""
    if len(updates) <= max_count:
        return updates
    begin = int(now / ROTATION_INTERVAL_S) * max_count % len(updates)
    return (updates[begin:] + updates[:begin])[:max_count]


def limited_rates(context: RouterContext) -> RatesByService:
    """Return the rates of requests by which routers share limits, to tell them.

    Nothing is told of services whose targets advertise no limit.
    """
    limited = {
        target.entry.service
        for target in context.targets.flow_controlled()
        if target.flow_control.limit.per_s is not None
    }
    if not limited:
        return {}
    told = context.request_rates.told(context.clock())
    return {service: rate for service, rate in told.items() if service in limited}


def update_limit_shares(context: RouterContext) -> None:
    """Update this router's share of each advertised rate limit."""
    now = context.clock()
    for target in context.targets.flow_controlled():
        _update_limit_share(context, target, now)


def _update_limit_share(context: RouterContext, target: Target, now: float) -> None:
    limit = target.flow_control.limit
    if limit.per_s is not None:
        senders = max_senders(limit.per_s)
        entry = target.entry
        share = context.peers.rate_share(
            entry.incarnation_id, senders, now, entry.service
        )
        limit.set_share(share, now)


def _on_signals_changed(
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
    backoff_s = (
        flow_control.backoff.until - now if flow_control.backoff.is_on(now) else 0.0
    )
    context.log.process(
        "target-needs",
        target=target.entry.target_id,
        changed=changed,
        told_by=source,
        limit_per_s=flow_control.limit.per_s,
        limit_share=round(flow_control.limit.share, 3),
        rest_ms=max(0, round(backoff_s * 1000)),
        is_leaving=flow_control.is_leaving,
    )
