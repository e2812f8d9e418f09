"""State of each agent, as known to the router."""

from collections import deque
from dataclasses import dataclass, field

from berylwalk.placement import (
    Candidate,
    Work,
    corrected_wait_s,
    service_s,
)
from berylwalk.router._config import DIGEST_LAG_S, PEER_TIMEOUT_S
from berylwalk.wire import Digest

NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class AgentState:
    """State of one agent, from its datagrams and the VM list.

    Parameters
    ----------
    agent : str
        Node identifier.
    listed, listed_leaving : bool
        Whether the VM list contains the agent, and whether as leaving.
    incarnation : int
        Incarnation of the last accepted datagram; 0 before the first.
    settings_version : int
        Settings version that the agent has in force.
    last_heard_at : float
        Time of the last datagram.
    digest : Digest or None
        Last digest of this incarnation.
    suspect : bool
        Whether the agent refused a connection or an incarnation, or said that it
        leaves, after the last digest.
    full_from_rank : int or None
        Lowest tier rank at which a conditional grant found no free slot after the
        last digest.
    unanswered_since : float or None
        Time of the first heartbeat since the last datagram.
    has_timer : bool
        Whether its next heartbeat is scheduled.
    """

    agent: str
    listed: bool = True
    listed_leaving: bool = False
    incarnation: int = 0
    settings_version: int = 0
    last_heard_at: float = NEVER
    digest: Digest | None = None
    suspect: bool = False
    full_from_rank: int | None = None
    unanswered_since: float | None = None
    has_timer: bool = False
    _sent: deque[tuple[float, float]] = field(default_factory=deque)
    _sent_s: float = 0.0

    @property
    def resources(self) -> tuple[str, ...]:
        """Resources that the target serves when it is up, if known."""
        return () if self.digest is None else self.digest.resources

    @property
    def offered(self) -> tuple[str, ...]:
        """Resources that the target serves at present."""
        return self.resources if self.has_target() else ()

    def record_hello_sent(self, now: float) -> None:
        """Record that a heartbeat was sent."""
        if self.unanswered_since is None:
            self.unanswered_since = now

    def record_datagram(self, now: float) -> None:
        """Record that a datagram arrived."""
        self.last_heard_at = now
        self.unanswered_since = None

    def note_standstill(self, duration_s: float) -> None:
        """Exclude a standstill of this router from the times without a datagram."""
        self.last_heard_at += duration_s
        if self.unanswered_since is not None:
            self.unanswered_since += duration_s

    def is_selectable(self, now: float) -> bool:
        """Return whether the agent can be in the router's subsets."""
        if self.digest is None or self.is_leaving():
            return False
        since = self.unanswered_since
        return since is None or now - since <= PEER_TIMEOUT_S

    def is_reachable(self, now: float) -> bool:
        """Return whether a datagram of the agent arrived within the timeout."""
        return now - self.last_heard_at <= PEER_TIMEOUT_S

    def is_leaving(self) -> bool:
        """Return whether the agent is leaving and takes no new work."""
        announced_leaving = self.digest is not None and self.digest.leaving
        return announced_leaving or self.listed_leaving or not self.listed

    def has_target(self) -> bool:
        """Return whether the agent reaches its target."""
        return self.digest is not None and self.digest.target_reachable

    def takes_work(self, now: float) -> bool:
        """Return whether new work may be sent to the agent."""
        if not self.has_target() or self.suspect:
            return False
        return self.is_reachable(now) and not self.is_leaving()

    def serves(self, resource: str) -> bool:
        """Return whether the target serves the resource at present."""
        return resource in self.offered

    def accepts_sender(self, incarnation: int, now: float) -> bool:
        """Return whether to accept datagrams of an incarnation."""
        return incarnation >= self.incarnation or not self.is_reachable(now)

    def restart(self, incarnation: int) -> None:
        """Reset the state for a new incarnation."""
        self.incarnation = incarnation
        self.digest = None
        self.suspect = False
        self.full_from_rank = None
        self._sent.clear()
        self._sent_s = 0.0

    def update(self, digest: Digest, now: float) -> bool:
        """Apply a digest; return False if it is not newer than the last one."""
        if self.digest is not None and digest.sequence <= self.digest.sequence:
            return False
        self.digest = digest
        self.suspect = False
        self.full_from_rank = None
        while self._sent and self._sent[0][0] <= now - DIGEST_LAG_S:
            self._sent.popleft()
        self._sent_s = sum(seconds for _, seconds in self._sent)
        return True

    def record_sent(self, work: Work, now: float) -> None:
        """Count a request that the last digest does not include."""
        seconds = self._service_s(work)
        self._sent.append((now, seconds))
        self._sent_s += seconds

    def record_no_slot(self, rank: int) -> None:
        """Record that no slot was free for a tier."""
        known = self.full_from_rank
        self.full_from_rank = rank if known is None else min(rank, known)

    def candidate(self, work: Work) -> Candidate:
        """Return the agent as a candidate for the work."""
        digest = self.digest
        assert digest is not None
        sent = len(self._sent)
        busy = digest.running + digest.ready
        waiting = digest.waiting_by_rank
        # Requests of lower tiers do not delay the work.
        ahead = sum(waiting[: work.tier_rank + 1])
        free_slots = digest.limit - busy - ahead
        limit = max(digest.limit, 1)
        wait_s = corrected_wait_s(
            reported_wait_s=_wait_ms(digest, work.tier_rank) / 1000,
            reported_free_slots=free_slots,
            limit=limit,
            own_requests=sent,
            own_service_s=self._sent_s,
        )
        if self._is_full(work.tier_rank):
            wait_s += self._service_s(work) / limit
        return Candidate(
            agent=self.agent,
            failure_domain=digest.failure_domain,
            slow=digest.slow,
            wait_s=wait_s,
            # Free slots despite a wait are headroom for higher tiers.
            free_slots=0 if wait_s > 0 else free_slots - sent,
            load=(busy + sum(waiting) + sent) / limit,
            prefill_tokens_per_s=digest.prefill_tokens_per_s,
            token_gap_s=digest.token_gap_ms / 1000,
        )

    def _is_full(self, rank: int) -> bool:
        return self.full_from_rank is not None and rank >= self.full_from_rank

    def _service_s(self, work: Work) -> float:
        digest = self.digest
        assert digest is not None
        return service_s(
            work,
            prefill_tokens_per_s=digest.prefill_tokens_per_s,
            token_gap_s=digest.token_gap_ms / 1000,
        )


def _wait_ms(digest: Digest, rank: int) -> int:
    waits = digest.wait_ms_by_rank
    if not waits:
        return 0
    return waits[min(rank, len(waits) - 1)]
