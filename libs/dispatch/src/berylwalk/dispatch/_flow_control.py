"""What one life of a target has said that it takes; every send asks it."""

from dataclasses import dataclass, field
from enum import StrEnum

from berylwalk.dispatch._advertised_rate_limit import AdvertisedRateLimit
from berylwalk.dispatch._requested_backoff import RequestedBackoff
from berylwalk.dispatch._target_entries import IneligibilityReason
from berylwalk.dispatch._target_signals import TargetSignals


class FlowControlSignal(StrEnum):
    """What a target may say of itself."""

    LIMIT = "limit"
    BACKOFF = "rest"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowControlUpdate:
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
class FlowControl:
    """What a target has said, and what of it is left for this router.

    A rest is between the target and one router; a limit and its leaving concern all.

    Attributes
    ----------
    limit : StatedLimit
        The requests a second that it takes of all routers together.
    backoff : RequestedBackoff
        For how long it wants nothing of this router.
    is_leaving : bool
        Whether it leaves; a life that said so doesn't take it back.
    said_leaving : bool
        Whether an own answer said so.
    """

    limit: AdvertisedRateLimit = field(default_factory=AdvertisedRateLimit)
    backoff: RequestedBackoff = field(default_factory=RequestedBackoff)
    is_leaving: bool = False
    observed_leaving: bool = False

    def ineligibility_reason(self, now: float) -> IneligibilityReason | None:
        """Return why no request may be sent."""
        if self.is_leaving:
            return IneligibilityReason.LEAVING
        if self.backoff.is_on(now):
            return IneligibilityReason.RETRY_AFTER
        if not self.backoff.may_send(now):
            return IneligibilityReason.SLOW_START
        if not self.limit.may_send(now):
            return IneligibilityReason.RATE_LIMITED
        return None

    def accepts_placed(self, now: float) -> bool:
        """Return whether a request that has its place there may still be sent."""
        return not self.is_leaving and not self.backoff.is_on(now)

    def available_at(self, now: float) -> float:
        """Return when requests are taken again, in seconds, as far as it was said.

        Now, where what keeps them back may end at any moment; never, where it leaves.
        """
        match self.ineligibility_reason(now):
            case IneligibilityReason.LEAVING:
                return float("inf")
            case IneligibilityReason.RETRY_AFTER:
                return self.backoff.until
            case IneligibilityReason.RATE_LIMITED:
                return self.limit.available_at(now)
        return now

    def note_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self.limit.note_sent(now)
        self.backoff.note_sent(now)

    def note_not_sent(self, now: float) -> None:
        """Take back a request that was counted and won't be sent."""
        self.limit.note_not_sent(now)
        self.backoff.note_not_sent()

    def note_answer(
        self, statement: TargetSignals, *, sent_at: float, now: float
    ) -> list[FlowControlSignal]:
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
            changed.append(FlowControlSignal.LIMIT)
        if statement.retry_after_s is not None and self.backoff.note_requested(
            statement.retry_after_s, now
        ):
            changed.append(FlowControlSignal.BACKOFF)
        if statement.is_leaving:
            self.observed_leaving = True
            if not self.is_leaving:
                self.is_leaving = True
                changed.append(FlowControlSignal.LEAVING)
        return changed

    def apply_update(
        self, update: FlowControlUpdate, now: float
    ) -> list[FlowControlSignal]:
        """Take what another router observed; returns what is new of it."""
        changed = []
        if update.limit_age_s is not None:
            said_at = now - update.limit_age_s
            if self.limit.apply_update(update.limit_per_s, said_at, now):
                changed.append(FlowControlSignal.LIMIT)
        if update.is_leaving and not self.is_leaving:
            self.is_leaving = True
            changed.append(FlowControlSignal.LEAVING)
        return changed

    def pending_update(self, now: float) -> FlowControlUpdate | None:
        """Return what own answers said, while it is news."""
        observed = self.limit.pending_update(now)
        if observed is None and not self.observed_leaving:
            return None
        limit_per_s, limit_age_s = observed or (None, None)
        return FlowControlUpdate(
            limit_per_s=limit_per_s,
            limit_age_s=limit_age_s,
            is_leaving=self.observed_leaving,
        )
