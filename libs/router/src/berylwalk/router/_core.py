"""State shared by the handlers of the router's state machine."""

from collections import defaultdict
from random import Random

from berylwalk.dispatch import GracefulStop
from berylwalk.model import Request, RequestId
from berylwalk.placement import (
    Chooser,
    PlacementHistory,
    RetryBudget,
    earliest_finish,
    round_robin,
)
from berylwalk.router._agent_table import AgentTable
from berylwalk.router._agents import AgentState
from berylwalk.router._config import (
    INITIAL_RESEND_DELAY_S,
    MAX_RESEND_DELAY_S,
    RouterConfig,
)
from berylwalk.router._outbox import Outbox
from berylwalk.router._request_state import RequestState
from berylwalk.router._timers import Timers
from berylwalk.settings import RoutingPolicy


class RouterCore:
    """All state of one router.

    Parameters
    ----------
    config : RouterConfig
        Settings of the router.
    rng : random.Random
        Source of jitter and tie breaks.
    chooser : Chooser or None
        Replaces the chooser that the policy names.
    """

    def __init__(
        self, config: RouterConfig, *, rng: Random, chooser: Chooser | None = None
    ) -> None:
        self.config = config
        self.rng = rng
        self.history = PlacementHistory()
        self.choose = chooser or self._policy_chooser()
        self.agents = AgentTable(config.router, config.subset_size)
        self.retry_budget = RetryBudget(config.retry_ratio)
        self.timers = Timers()
        # Heartbeats and scans tolerate the delay of an idle tick and cause no
        # wake-ups.
        self.coarse_timers = Timers()
        self.outbox = Outbox()
        self.requests_by_id: dict[RequestId, RequestState] = {}
        self.ids_by_account: defaultdict[str, set[RequestId]] = defaultdict(set)
        self.unclaimed_by_id: dict[RequestId, Request] = {}
        self.unplaced_ids: dict[RequestId, None] = {}
        self.draining = False
        self.stop: GracefulStop | None = None

    def _policy_chooser(self) -> Chooser:
        if self.config.policy is RoutingPolicy.ROUND_ROBIN:
            return round_robin()
        domain = self.config.failure_domain
        return earliest_finish(self.history, failure_domain=domain, rng=self.rng)

    @property
    def uses_reservations(self) -> bool:
        """Whether the policy uses reservations."""
        return self.config.policy is not RoutingPolicy.ROUND_ROBIN

    def add(self, state: RequestState) -> None:
        """Register a new request."""
        request = state.request
        self.requests_by_id[request.request_id] = state
        account = request.service_policy.client_account
        self.ids_by_account[account].add(request.request_id)

    def remove(self, state: RequestState) -> None:
        """Remove a request that ended."""
        request = state.request
        del self.requests_by_id[request.request_id]
        self.unplaced_ids.pop(request.request_id, None)
        account = request.service_policy.client_account
        self.ids_by_account[account].discard(request.request_id)
        if not self.ids_by_account[account]:
            del self.ids_by_account[account]

    def eligible(self, state: RequestState, now: float) -> list[AgentState]:
        """Return the agents that can serve the request, including any that refused."""
        return self.agents.eligible(state.request.call.resource, now)

    def resend_delay(self, resends: int) -> float:
        """Return the jittered time until the next resend, in seconds."""
        # Bounding the exponent avoids a float overflow.
        delay = min(INITIAL_RESEND_DELAY_S * 2 ** min(resends, 10), MAX_RESEND_DELAY_S)
        return delay * self.rng.uniform(0.75, 1.25)
