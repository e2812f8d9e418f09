"""Whether the platform's store answers, as all its users in one router see it."""

from collections.abc import Awaitable
from typing import TypeVar

from anyio import Event, move_on_after

from berylwalk.direct._context import RouterContext
from berylwalk.platform import OutcomeUnknown, Unavailable, UnavailableReason, backoff_s

CALL_TIMEOUT_S = 0.9
"""Bound of one call of the store: four times its answers when it is slow."""

ANSWERED_REASONS = frozenset(
    {
        UnavailableReason.NOT_FOUND,
        UnavailableReason.LEASE_NOT_FOUND,
        UnavailableReason.HISTORY_GONE,
    }
)
"""Failures by which the store shows that it is there."""
FIRST_BACKOFF_S = 0.15
"""Bound of the first pause after a failed call."""
MAX_PROBE_BACKOFF_S = 0.6
"""Bound of the pause of the one user that finds out when the store is back: with a
read that takes long, a changed configuration is still in force within its bound."""
MAX_BACKOFF_S = 3.0
"""The same for all others, which are woken when it is back. Calls that fail are paid
for as well."""
MIN_OUTAGE_S = 1.0
"""Time that the store has to be away for entries to lapse. What is removed in a
shorter gap, such as that of a watch that was cut, has left."""
MAX_ANSWER_GAP_S = 2.2
"""Time between two answers of a store that is well at most: its configuration is read
each 1.9 s."""
HARMLESS_MISSED_RENEWALS = 2
"""Intervals between an entry's renewals that it outlasts in any case: it lapses after
three without one, and the first may be due as an outage begins."""
HARMLESS_GAP_MARGIN_S = 0.2
"""Margin of that, for the way of the last renewal and of the first answer."""
PEER_HEALTH_TTL_S = 1.0
"""Time for which the word of another router on the store counts."""
LAPSE_RETURN_MARGIN_S = 0.6
"""Time after the bound of their return for which lapsed entries are looked for."""

Result = TypeVar("Result")


class StoreHealth:
    """Notes how calls end and paces those that are made again.

    Parameters
    ----------
    context : RouterContext
        The router's state.

    Attributes
    ----------
    unreachable_since : float or None
        Since when calls fail; None while they succeed.
    healthy_since : float
        Since when answers have come without a gap in which entries could lapse.
    """

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self.unreachable_since: float | None = None
        self.healthy_since = context.clock()
        renewals_s = HARMLESS_MISSED_RENEWALS * context.settings.heartbeat_s
        self._harmless_gap_s = renewals_s - HARMLESS_GAP_MARGIN_S
        self._outage_gap_s = max(self._harmless_gap_s, MAX_ANSWER_GAP_S)
        self._answered_at = float("-inf")
        self._peer_answered_at = float("-inf")
        self._answered_before_outage_at = float("-inf")
        self._peer_healthy_since = float("inf")
        self._peer_health_at = float("-inf")
        self._lapses_expected_since = float("-inf")
        self._recovered = Event()

    async def track(
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
        self.record_result(purpose, result, asked_at, held_s=held_s)
        return result

    def record_result(
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
            if (
                self.unreachable_since is None
                and asked_at + held_s >= self._answered_at
            ):
                self.unreachable_since = now
                context.log.process("store-lost", purpose=purpose, detail=result.detail)
            return
        answered_before_at = max(self._answered_at, self._peer_answered_at)
        self._answered_at = now
        gap_s = now - answered_before_at
        if gap_s >= self._harmless_gap_s:
            self.healthy_since = now
        unreachable_s = self._record_recovery(purpose, now)
        # Without an answer before there is no gap: the router has just started.
        is_outage = self._outage_gap_s <= gap_s < float("inf")
        if is_outage or unreachable_s >= MIN_OUTAGE_S:
            self._expect_lapses(now, answered_before_at)

    def healthy_s(self, now: float) -> float:
        """Return for how long the store has been well, in seconds."""
        if now - self._answered_at >= self._harmless_gap_s:
            return 0.0
        return now - self.healthy_since

    def update_peer_health(self, healthy_s: float) -> None:
        """Take for how long the store has been well for another router.

        If that is since before an outage here, this router was cut off, and the
        entries did not lapse: what is removed has left.

        Parameters
        ----------
        healthy_s : float
            As from `healthy_s` there, in seconds.
        """
        now = self._context.clock()
        healthy_since = now - healthy_s
        is_old = now - self._peer_health_at > PEER_HEALTH_TTL_S
        if is_old or healthy_since <= self._peer_healthy_since:
            self._peer_healthy_since = healthy_since
            self._peer_health_at = now
        if self._was_isolated(now):
            self._context.targets.note_no_lapse(now)

    def record_peer_answer(self, known_at: float) -> None:
        """Note that the store answered another router at some moment.

        A router that goes by the word of others calls it seldom itself: the time
        between its own calls is no outage.

        Parameters
        ----------
        known_at : float
            A moment before that answer, on the own clock.
        """
        self._peer_answered_at = max(self._peer_answered_at, known_at)

    def accepts_peer_data(self) -> bool:
        """Return whether what others say of the store can be taken for its state.

        After an outage of the store, removed entries may be such that lapsed, and
        every router has to see by itself when that is over. A router that the store
        has turned away alone goes by the word of the others.
        """
        now = self._context.clock()
        if self.unreachable_since is not None:
            return self._is_healthy_for_peer(now, since=self._answered_at)
        is_over = not self.entries_may_return(self._context.targets.absence_grace_s)
        return is_over or self._was_isolated(now)

    def entries_may_return(self, within_s: float) -> bool:
        """Return whether entries that lapsed in an outage may still come back.

        Parameters
        ----------
        within_s : float
            Time after an outage within which they do, in seconds.
        """
        since_s = self._context.clock() - self._lapses_expected_since
        return since_s < within_s + LAPSE_RETURN_MARGIN_S

    def _record_recovery(self, purpose: str, now: float) -> float:
        """Note an answer; returns for how long calls had failed, in seconds."""
        if self.unreachable_since is None:
            return 0.0
        unreachable_s = now - self.unreachable_since
        self.unreachable_since = None
        self._context.log.process(
            "store-regained", purpose=purpose, away_ms=round(unreachable_s * 1000)
        )
        recovered, self._recovered = self._recovered, Event()
        recovered.set()
        return unreachable_s

    def _expect_lapses(self, now: float, answered_before_at: float) -> None:
        """Take removals for lapses for a while, unless this router was cut off."""
        self._lapses_expected_since = now
        self._answered_before_outage_at = answered_before_at
        if not self._was_isolated(now):
            self._context.targets.note_outage_ended(now)

    def _was_isolated(self, now: float) -> bool:
        """Return whether the store was well elsewhere during the last outage here."""
        return self._is_healthy_for_peer(now, since=self._answered_before_outage_at)

    def _is_healthy_for_peer(self, now: float, *, since: float) -> bool:
        """Return whether the store has been well for another router since a moment."""
        is_recent = now - self._peer_health_at <= PEER_HEALTH_TTL_S
        return is_recent and self._peer_healthy_since < since

    async def back_off(self, failures: int, *, is_probe: bool = False) -> None:
        """Wait before a call that failed is made again.

        Parameters
        ----------
        failures : int
            Failures of this user in a row, from 1.
        is_probe : bool
            Whether this is the user that finds out when the store is back.
        """
        longest_s = MAX_PROBE_BACKOFF_S if is_probe else MAX_BACKOFF_S
        pause_s = backoff_s(
            failures, initial_delay_s=FIRST_BACKOFF_S, max_delay_s=longest_s
        )
        with move_on_after(pause_s):
            await self._recovered.wait()


def _is_failure(result: object) -> bool:
    """Return whether the store did not answer a call, as far as can be told."""
    if isinstance(result, Unavailable):
        return result.reason not in ANSWERED_REASONS
    return isinstance(result, OutcomeUnknown)
