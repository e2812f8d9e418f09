"""Whether the platform's store answers, as all its users in one router see it."""

from collections.abc import Awaitable
from typing import TypeVar

from anyio import Event, move_on_after

from berylwalk.direct._context import RouterContext
from berylwalk.platform import OutcomeUnknown, Unavailable, UnavailableReason, backoff_s

CALL_TIMEOUT_S = 0.9
"""Bound of one call of the store: four times its answers when it is slow."""

ANSWERS = frozenset(
    {
        UnavailableReason.NOT_FOUND,
        UnavailableReason.LEASE_NOT_FOUND,
        UnavailableReason.HISTORY_GONE,
    }
)
"""Failures by which the store shows that it is there."""
FIRST_PAUSE_S = 0.15
"""Bound of the first pause after a failed call."""
LONGEST_PROBE_PAUSE_S = 0.6
"""Bound of the pause of the one user that finds out when the store is back: with a
read that takes long, a changed configuration is still in force within its bound."""
LONGEST_PAUSE_S = 3.0
"""The same for all others, which are woken when it is back. Calls that fail are paid
for as well."""
LAPSE_AFTER_S = 1.0
"""Time that the store has to be away for entries to lapse. What is removed in a
shorter gap, such as that of a watch that was cut, has left."""
LONGEST_CALM_GAP_S = 2.2
"""Time between two answers of a store that is well at most: its configuration is read
each 1.9 s."""
INTERVALS_OUTLASTED = 2
"""Intervals between an entry's renewals that it outlasts in any case: it lapses after
three without one, and the first may be due as an outage begins."""
INTERVALS_MARGIN_S = 0.2
"""Margin of that, for the way of the last renewal and of the first answer."""
NEWS_KEPT_S = 1.0
"""Time for which the word of another router on the store counts."""
LAPSE_MARGIN_S = 0.6
"""Time after the bound of their return for which lapsed entries are looked for."""

Result = TypeVar("Result")


class StoreReach:
    """Notes how calls end and paces those that are made again.

    Parameters
    ----------
    context : RouterContext
        The router's state.

    Attributes
    ----------
    away_since : float or None
        Since when calls fail; None while they succeed.
    well_since : float
        Since when answers have come without a gap in which entries could lapse.
    """

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.away_since: float | None = None
        self.well_since = context.clock()
        outlasted_s = INTERVALS_OUTLASTED * context.settings.heartbeat_s
        self._harmless_gap_s = outlasted_s - INTERVALS_MARGIN_S
        self._outage_gap_s = max(self._harmless_gap_s, LONGEST_CALM_GAP_S)
        self._answered_at = float("-inf")
        self._answered_others_at = float("-inf")
        self._answered_before_outage_at = float("-inf")
        self._elsewhere_well_since = float("inf")
        self._heard_elsewhere_at = float("-inf")
        self._lapse_ended_at = float("-inf")
        self._returned = Event()

    async def ask(
        self, purpose: str, call: Awaitable[Result], *, held_s: float = 0.0
    ) -> Result:
        """Make a call and note how it ended.

        Parameters
        ----------
        purpose : str
            What the call is for, as metrics and logs name it.
        call : awaitable
            The call of the store's client.
        held_s : float
            Time for which the store may hold it back, in seconds.

        Returns
        -------
        object
            What the client returned.
        """
        asked_at = self._context.clock()
        result = await call
        self.note(purpose, result, asked_at, held_s=held_s)
        return result

    def note(
        self, purpose: str, result: object, asked_at: float, *, held_s: float = 0.0
    ) -> None:
        """Note how a call ended.

        Parameters
        ----------
        purpose : str
            What the call was for, as metrics and logs name it.
        result : object
            What the client returned.
        asked_at : float
            When the call was made.
        held_s : float
            Time for which the store might hold it back, in seconds.
        """
        context = self._context
        failed = _is_failure(result)
        outcome = "failed" if failed else "ok"
        context.metrics.store_calls.labels(purpose, outcome).inc()
        now = context.clock()
        if failed:
            context.log.process(
                "store-call-failed",
                purpose=purpose,
                asked_ms_ago=round((now - asked_at) * 1000),
                detail=result.detail,
            )
            # A call that was due before another was answered tells nothing new.
            if self.away_since is None and asked_at + held_s >= self._answered_at:
                self.away_since = now
                context.log.process("store-lost", purpose=purpose, detail=result.detail)
            return
        answered_before_at = max(self._answered_at, self._answered_others_at)
        self._answered_at = now
        gap_s = now - answered_before_at
        if gap_s >= self._harmless_gap_s:
            self.well_since = now
        away_s = self._note_return(purpose, now)
        # Without an answer before there is no gap: the router has just started.
        is_outage = self._outage_gap_s <= gap_s < float("inf")
        if is_outage or away_s >= LAPSE_AFTER_S:
            self._begin_lapse(now, answered_before_at)

    def well_s(self, now: float) -> float:
        """Return for how long the store has been well, in seconds."""
        if now - self._answered_at >= self._harmless_gap_s:
            return 0.0
        return now - self.well_since

    def hear_elsewhere(self, well_s: float) -> None:
        """Take for how long the store has been well for another router.

        If that is since before an outage here, this router was cut off, and the
        entries did not lapse: what is removed has left.

        Parameters
        ----------
        well_s : float
            As from `well_s` there, in seconds.
        """
        now = self._context.clock()
        well_since = now - well_s
        is_old = now - self._heard_elsewhere_at > NEWS_KEPT_S
        if is_old or well_since <= self._elsewhere_well_since:
            self._elsewhere_well_since = well_since
            self._heard_elsewhere_at = now
        if self._was_cut_off(now):
            self._context.targets.note_no_lapse(now)

    def hear_answer(self, known_at: float) -> None:
        """Note that the store answered another router at some moment.

        A router that goes by the word of others calls it seldom itself: the time
        between its own calls is no outage.

        Parameters
        ----------
        known_at : float
            A moment before that answer, on the own clock.
        """
        self._answered_others_at = max(self._answered_others_at, known_at)

    def trusts_others(self) -> bool:
        """Return whether what others say of the store can be taken for its state.

        After an outage of the store, removed entries may be such that lapsed, and
        every router has to see by itself when that is over. A router that the store
        has turned away alone goes by the word of the others.
        """
        now = self._context.clock()
        if self.away_since is not None:
            return self._is_well_elsewhere(now, since=self._answered_at)
        is_over = not self.may_lapse(self._context.targets.absence_grace_s)
        return is_over or self._was_cut_off(now)

    def may_lapse(self, within_s: float) -> bool:
        """Return whether entries that lapsed in an outage may still come back.

        Parameters
        ----------
        within_s : float
            Time after an outage within which they do, in seconds.
        """
        since_s = self._context.clock() - self._lapse_ended_at
        return since_s < within_s + LAPSE_MARGIN_S

    def _note_return(self, purpose: str, now: float) -> float:
        """Note an answer; returns for how long calls had failed, in seconds."""
        if self.away_since is None:
            return 0.0
        away_s = now - self.away_since
        self.away_since = None
        self._context.log.process(
            "store-regained", purpose=purpose, away_ms=round(away_s * 1000)
        )
        returned, self._returned = self._returned, Event()
        returned.set()
        return away_s

    def _begin_lapse(self, now: float, answered_before_at: float) -> None:
        """Take removals for lapses for a while, unless this router was cut off."""
        self._lapse_ended_at = now
        self._answered_before_outage_at = answered_before_at
        if not self._was_cut_off(now):
            self._context.targets.note_outage_ended(now)

    def _was_cut_off(self, now: float) -> bool:
        """Return whether the store was well elsewhere during the last outage here."""
        return self._is_well_elsewhere(now, since=self._answered_before_outage_at)

    def _is_well_elsewhere(self, now: float, *, since: float) -> bool:
        """Return whether the store has been well for another router since a moment."""
        is_recent = now - self._heard_elsewhere_at <= NEWS_KEPT_S
        return is_recent and self._elsewhere_well_since < since

    async def pause(self, failures: int, *, is_probe: bool = False) -> None:
        """Wait before a call that failed is made again.

        Parameters
        ----------
        failures : int
            Failures of this user in a row, from 1.
        is_probe : bool
            Whether this is the user that finds out when the store is back.
        """
        longest_s = LONGEST_PROBE_PAUSE_S if is_probe else LONGEST_PAUSE_S
        pause_s = backoff_s(
            failures, initial_delay_s=FIRST_PAUSE_S, max_delay_s=longest_s
        )
        with move_on_after(pause_s):
            await self._returned.wait()


def _is_failure(result: object) -> bool:
    """Return whether the store did not answer a call, as far as can be told."""
    if isinstance(result, Unavailable):
        return result.reason not in ANSWERS
    return isinstance(result, OutcomeUnknown)
