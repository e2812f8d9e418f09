"""Tracks whether the platform's store answers, across all its users in one router."""

from collections.abc import Awaitable
from typing import TypeVar

from anyio import Event, move_on_after

from berylwalk.direct._context import RouterContext
from berylwalk.platform import OutcomeUnknown, Unavailable, UnavailableReason, backoff_s

CALL_TIMEOUT_S = 0.9
"""Timeout of a store call."""

ANSWERED_REASONS = frozenset(
    {
        UnavailableReason.NOT_FOUND,
        UnavailableReason.LEASE_NOT_FOUND,
        UnavailableReason.HISTORY_GONE,
        UnavailableReason.SUPERSEDED,
    }
)
"""Reasons of failures that still prove that the store is reachable."""
FIRST_BACKOFF_S = 0.15
"""Upper bound of the first delay after a failed call."""
MAX_PROBE_BACKOFF_S = 0.6
"""Upper bound of the retry delay of the user that detects the recovery of the store."""
MAX_BACKOFF_S = 3.0
"""Upper bound of the retry delay of other users, which are woken on recovery."""
MIN_OUTAGE_S = 1.0
"""Shortest outage in which entries may lapse. An entry that is removed in a shorter one
has been deleted by its owner."""
MAX_ANSWER_GAP_S = 2.2
"""Longest time between two answers of a healthy store."""
HARMLESS_MISSED_RENEWALS = 2
"""Renewals that an entry can miss without lapsing."""
HARMLESS_GAP_MARGIN_S = 0.2
"""Margin for the latencies of the last renewal and of the first answer."""
PEER_HEALTH_TTL_S = 1.0
"""How long the store health reported by a peer is valid."""
LAPSE_RETURN_MARGIN_S = 0.6
"""How much longer than their grace period lapsed entries are expected to return."""

Result = TypeVar("Result")


class StoreHealth:
    """Tracks the results of store calls and delays retries.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.

    Attributes
    ----------
    unreachable_since : float or None
        Since when calls have failed; None while they succeed.
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
        self._restored_at = float("-inf")
        self._recovered = Event()

    async def track(
        self, purpose: str, call: Awaitable[Result], *, held_s: float = 0.0
    ) -> Result:
        """Await a call and record its result.

        Parameters
        ----------
        purpose : str
            Purpose of the call, for metrics and logs.
        call : awaitable
            The call of the store's client.
        held_s : float
            How long the store may hold the call, in seconds.

        Returns
        -------
        object
            Result of the client.
        """
        requested_at = self._context.clock()
        result = await call
        self.record_result(purpose, result, requested_at, held_s=held_s)
        return result

    def record_result(
        self, purpose: str, result: object, requested_at: float, *, held_s: float = 0.0
    ) -> None:
        """Record the result of a call.

        Parameters
        ----------
        purpose : str
            Purpose of the call, for metrics and logs.
        result : object
            Result of the client.
        requested_at : float
            When the call was made.
        held_s : float
            How long the store may have held the call, in seconds.
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
                asked_ms_ago=round((now - requested_at) * 1000),
                detail=result.detail,
            )
            # A call that was due before a later answer says nothing new.
            if (
                self.unreachable_since is None
                and requested_at + held_s >= self._answered_at
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
        # The first answer after the start of the router does not end a gap.
        is_outage = self._outage_gap_s <= gap_s < float("inf")
        if is_outage or unreachable_s >= MIN_OUTAGE_S:
            self._expect_lapses(now, answered_before_at)

    def note_restored(self) -> None:
        """Record that the store was restored from an older copy.

        Entries that the copy lacks may be written again by their owners.
        """
        now = self._context.clock()
        self.healthy_since = self._restored_at = self._lapses_expected_since = now
        self._context.targets.note_outage_ended(now)
        self._wake()

    def healthy_s(self, now: float) -> float:
        """Return how long the store has been healthy, in seconds."""
        if now - self._answered_at >= self._harmless_gap_s:
            return 0.0
        return now - self.healthy_since

    def update_peer_health(self, healthy_s: float) -> None:
        """Update how long the store has been healthy for a peer.

        If that is since before an outage here, only this router was cut off. Then
        entries did not lapse, and removed ones were deleted by their owners.

        Parameters
        ----------
        healthy_s : float
            Result of `healthy_s` of the peer, in seconds.
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
        """Record that the store answered a peer.

        A router that uses the data of peers rarely calls the store itself; the time
        between its own calls is not an outage.

        Parameters
        ----------
        known_at : float
            A time before that answer, on the own clock.
        """
        self._peer_answered_at = max(self._peer_answered_at, known_at)

    def accepts_peer_data(self) -> bool:
        """Return whether the data of peers reflects the state of the store.

        After an outage of the store, removed entries may have lapsed, and every router
        has to check by itself when they have returned. After an outage of this router's
        connection alone, the data of peers is valid. A router that is still cut off
        uses it once the store has been healthy for a peer for that time.
        """
        now = self._context.clock()
        if self.unreachable_since is not None:
            return_s = self._context.targets.absence_grace_s + LAPSE_RETURN_MARGIN_S
            since = max(self._answered_at, now - return_s)
            return self._is_healthy_for_peer(now, since=since)
        is_over = not self.entries_may_return(self._context.targets.absence_grace_s)
        return is_over or self._was_isolated(now)

    def entries_may_return(self, within_s: float) -> bool:
        """Return whether entries that lapsed in an outage may still return.

        Parameters
        ----------
        within_s : float
            Time after an outage within which they return, in seconds.
        """
        since_s = self._context.clock() - self._lapses_expected_since
        return since_s < within_s + LAPSE_RETURN_MARGIN_S

    def _record_recovery(self, purpose: str, now: float) -> float:
        """Record an answer; return how long calls had failed, in seconds."""
        if self.unreachable_since is None:
            return 0.0
        unreachable_s = now - self.unreachable_since
        self.unreachable_since = None
        self._context.log.process(
            "store-regained", purpose=purpose, away_ms=round(unreachable_s * 1000)
        )
        self._wake()
        return unreachable_s

    def _wake(self) -> None:
        """End the delays of all users."""
        recovered, self._recovered = self._recovered, Event()
        recovered.set()

    def _expect_lapses(self, now: float, answered_before_at: float) -> None:
        """Treat removals as lapses for a while, unless the router was isolated."""
        self._lapses_expected_since = now
        self._answered_before_outage_at = answered_before_at
        if not self._was_isolated(now):
            self._context.targets.note_outage_ended(now)

    def _was_isolated(self, now: float) -> bool:
        """Return whether the store was healthy for a peer during the last outage.

        After a restore entries are missing in any case, and a peer may not have heard
        of it yet.
        """
        if self._restored_at >= self._answered_before_outage_at:
            return False
        return self._is_healthy_for_peer(now, since=self._answered_before_outage_at)

    def _is_healthy_for_peer(self, now: float, *, since: float) -> bool:
        """Return whether the store has been healthy for a peer since a time."""
        is_recent = now - self._peer_health_at <= PEER_HEALTH_TTL_S
        return is_recent and self._peer_healthy_since < since

    async def back_off(self, failures: int, *, is_probe: bool = False) -> None:
        """Wait before a failed call is retried.

        Parameters
        ----------
        failures : int
            Consecutive failures of this user, from 1.
        is_probe : bool
            Whether this user detects the recovery of the store.
        """
        longest_s = MAX_PROBE_BACKOFF_S if is_probe else MAX_BACKOFF_S
        pause_s = backoff_s(
            failures, initial_delay_s=FIRST_BACKOFF_S, max_delay_s=longest_s
        )
        with move_on_after(pause_s):
            await self._recovered.wait()


def _is_failure(result: object) -> bool:
    """Return whether the store may not have answered a call."""
    if isinstance(result, Unavailable):
        return result.reason not in ANSWERED_REASONS
    return isinstance(result, OutcomeUnknown)
