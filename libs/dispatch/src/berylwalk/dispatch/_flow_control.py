"""Flow control state of a target incarnation, checked before each request."""

from dataclasses import dataclass, field
from enum import StrEnum

from berylwalk.dispatch._advertised_rate_limit import AdvertisedRateLimit
from berylwalk.dispatch._requested_backoff import RequestedBackoff
from berylwalk.dispatch._target_entries import IneligibilityReason
from berylwalk.dispatch._target_signals import TargetSignals


class FlowControlSignal(StrEnum):
    """Kinds of flow control signals."""

    LIMIT = "limit"
    BACKOFF = "rest"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowControlUpdate:
    """Own observations of a target, to be sent to peers.

    Parameters
    ----------
    limit_per_s : float or None
        Advertised rate limit over all routers, in requests per second; None without
        a limit.
    limit_age_s : float or None
        Age of the observation in seconds; None without any.
    is_leaving : bool
        Whether the target shuts down.
    """

    limit_per_s: float | None = None
    limit_age_s: float | None = None
    is_leaving: bool = False


@dataclass(slots=True)
class FlowControl:
    """Flow control state of a target, as it applies to this router.

    A requested backoff applies to one router; a rate limit and a shutdown apply to all.

    Attributes
    ----------
    limit : AdvertisedRateLimit
        Rate limit over all routers.
    backoff : RequestedBackoff
        Backoff requested of this router.
    is_leaving : bool
        Whether the target shuts down; never reset within an incarnation.
    observed_leaving : bool
        Whether an own response announced the shutdown.
    """

    limit: AdvertisedRateLimit = field(default_factory=AdvertisedRateLimit)
    backoff: RequestedBackoff = field(default_factory=RequestedBackoff)
    is_leaving: bool = False
    observed_leaving: bool = False

    def ineligibility_reason(self, now: float) -> IneligibilityReason | None:
        """Return why no request may be sent, or None."""
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
        """Return whether a request already assigned to the target may be sent."""
        return not self.is_leaving and not self.backoff.is_on(now)

    def available_at(self, now: float) -> float:
        """Return when requests are accepted again, in seconds, as far as announced.

        The current time if unknown; infinite if the target shuts down.
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

    def note_not_sent(self, now: float, *, sent_at: float = float("inf")) -> None:
        """Undo the count of a request that is not sent after all.

        Parameters
        ----------
        now : float
            Current time in seconds.
        sent_at : float
            When it was counted, in seconds; by default after the last signal.
        """
        self.limit.note_not_sent(now, sent_at=sent_at)
        self.backoff.note_not_sent(sent_at=sent_at)

    def note_answer(
        self, signals: TargetSignals, *, sent_at: float, now: float
    ) -> list[FlowControlSignal]:
        """Apply the signals of a response; returns the changed ones.

        Parameters
        ----------
        signals : TargetSignals
            Signals in the response head.
        sent_at, now : float
            When the request was sent and the response head arrived, in seconds.
        """
        changed = []
        if signals.limit_is_readable and self.limit.note_answer(
            signals.limit_per_s, sent_at=sent_at, now=now
        ):
            changed.append(FlowControlSignal.LIMIT)
        if signals.retry_after_s is not None and self.backoff.note_requested(
            signals.retry_after_s, now
        ):
            changed.append(FlowControlSignal.BACKOFF)
        if signals.is_leaving:
            self.observed_leaving = True
            if not self.is_leaving:
                self.is_leaving = True
                changed.append(FlowControlSignal.LEAVING)
        return changed

    def apply_update(
        self, update: FlowControlUpdate, now: float
    ) -> list[FlowControlSignal]:
        """Apply a peer's observations; returns the changed signals."""
        changed = []
        if update.limit_age_s is not None:
            observed_at = now - update.limit_age_s
            if self.limit.apply_update(update.limit_per_s, observed_at, now):
                changed.append(FlowControlSignal.LIMIT)
        if update.is_leaving and not self.is_leaving:
            self.is_leaving = True
            changed.append(FlowControlSignal.LEAVING)
        return changed

    def pending_update(self, now: float) -> FlowControlUpdate | None:
        """Return own observations to be sent to peers, or None."""
        observed = self.limit.pending_update(now)
        if observed is None and not self.observed_leaving:
            return None
        limit_per_s, limit_age_s = observed or (None, None)
        return FlowControlUpdate(
            limit_per_s=limit_per_s,
            limit_age_s=limit_age_s,
            is_leaving=self.observed_leaving,
        )
