"""Load digests: their content and when they are pushed to routers."""

from collections.abc import Sequence
from math import inf

from berylwalk.admission import AdmissionQueue
from berylwalk.agent._config import AgentConfig
from berylwalk.agent._router_peers import Peer
from berylwalk.agent._slots import Slots
from berylwalk.agent._target import Target
from berylwalk.wire import Digest

MAX_RANKS = 64
MAX_WAIT_MS = 3_600_000
# Bounds the rate of pushes to all routers together.
PUSH_INTERVAL_PER_ROUTER_S = 0.01


class DigestBuilder:
    """Builds digests and decides when a change is pushed.

    Parameters
    ----------
    config : AgentConfig
        Failure domain and push interval.
    slots : Slots
        Running requests and observed speed.
    waiting : AdmissionQueue
        Queue of reservations.
    target : Target
        Resources and state of the target.
    """

    def __init__(
        self, config: AgentConfig, slots: Slots, waiting: AdmissionQueue, target: Target
    ) -> None:
        self._failure_domain = config.failure_domain
        self._interval_s = config.digest_interval_s
        self._slots = slots
        self._waiting = waiting
        self._sequence = 0
        self._pushed_state: tuple = ()
        self._pushed_at = float("-inf")
        self._changed_at = float("-inf")
        self._is_pending = False
        self._pending_at = float("-inf")
        self._target = target

    def build(self) -> Digest:
        """Return a digest of the current state."""
        self._sequence += 1
        slots = self._slots
        target = self._target
        ranks = range(self._rank_count())
        return Digest(
            sequence=self._sequence,
            resources=target.resources,
            failure_domain=self._failure_domain,
            leaving=target.refuses_new_work,
            slow=slots.straggler.slow,
            running=len(slots.running_by_id),
            ready=slots.held,
            limit=slots.limit,
            waiting_by_rank=tuple(self._waiting.count_at_rank(rank) for rank in ranks),
            wait_ms_by_rank=tuple(self._wait_ms(rank) for rank in ranks),
            prefill_tokens_per_s=slots.speed.prefill_tokens_per_s,
            token_gap_ms=slots.speed.token_gap_s(max(slots.limit, 1)) * 1000,
            target_reachable=target.reachable,
        )

    def wait_s(self, rank: int) -> float:
        """Return the estimated wait of a new reservation of a tier, in seconds."""
        highest = self._waiting.highest_rank()
        nothing_ahead = not self._waiting.has_entry_ahead(rank)
        if nothing_ahead and self._slots.has_room(rank, highest):
            return 0.0
        ahead = self._waiting.work_ahead(rank)
        return self._slots.wait_s(ahead)

    def may_push(self, now: float) -> bool:
        """Return whether a change is unpushed and the push interval has passed."""
        if now - self._pushed_at < self._interval_s:
            return False
        return self._is_pending or self._state() != self._pushed_state

    def next_due(self) -> float:
        """Return when a change is to be pushed next, in seconds; inf if never."""
        if self._state() != self._pushed_state:
            return self._pushed_at + self._interval_s
        if not self._is_pending:
            return inf
        return max(self._pending_at, self._pushed_at + self._interval_s)

    def note_subscribed(self) -> None:
        """Reconsider a pending push: a router may have asked for a shorter interval."""
        self._pending_at = float("-inf")

    def due_routers(self, now: float, routers: Sequence[tuple[str, Peer]]) -> list[str]:
        """Return the routers to which a change is pushed now, and mark them.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        routers : sequence of (str, Peer)
            Routers that subscribed to digests.
        """
        state = self._state()
        if state != self._pushed_state:
            self._pushed_state = state
            self._changed_at = now
        # Limits the push rate in a large fleet.
        min_interval_s = len(routers) * PUSH_INTERVAL_PER_ROUTER_S
        pending = [item for item in routers if item[1].pushed_at < self._changed_at]
        due, later = [], []
        for router, peer in pending:
            due_at = peer.pushed_at + max(peer.push_interval_s, min_interval_s)
            if due_at <= now:
                due.append((router, peer))
            else:
                later.append(due_at)
        self._is_pending = bool(later)
        self._pending_at = min(later, default=inf)
        for _, peer in due:
            peer.pushed_at = now
        if due:
            self._pushed_at = now
        return [router for router, _ in due]

    def _state(self) -> tuple:
        slots = self._slots
        return (
            slots.in_use,
            slots.limit,
            slots.straggler.slow,
            len(self._waiting),
            self._target.refuses_new_work,
            slots.is_throttled,
            self._target.reachable,
            self._target.resources,
        )

    def _wait_ms(self, rank: int) -> int:
        return min(int(self.wait_s(rank) * 1000), MAX_WAIT_MS)

    def _rank_count(self) -> int:
        highest = max((tier.rank for tier in self._slots.tiers), default=0)
        return min(highest + 1, MAX_RANKS)
