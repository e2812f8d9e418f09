"""Settings and constants of the router's state machine."""

from dataclasses import dataclass
from typing import Self

from berylwalk.settings import RouterSettings, RoutingPolicy

TICK_S = 0.01
"""Maximum delay of a `Tick` for a due timer, in seconds."""

IDLE_TICK_S = 0.1
"""Maximum time between two `Tick` events, in seconds."""

HELLO_INTERVAL_S = 1.0
"""Time between two heartbeats to an agent."""

MAX_HELLO_INTERVAL_S = 1.4
"""Upper bound of the interval; two heartbeats fit into `PEER_TIMEOUT_S`."""

PEER_TIMEOUT_S = 3.0
"""Silence after which an agent is considered unreachable."""

REVOKE_TIMEOUT_S = 2.0
"""Time after which an unanswered `Revoke` leaves the outcome unknown."""

INITIAL_RESEND_DELAY_S = 0.03
"""Time until the first resend of an unanswered message; doubles each time."""

MAX_RESEND_DELAY_S = 0.5
"""Upper bound of the time between two resends."""

RESERVATION_REFRESH_S = 2.0
"""Time between two resends of a reservation that the agent has queued."""

SCAN_INTERVAL_S = 0.25
"""Time between two scans for silent agents and stalled grants."""

TARGET_WAIT_S = 1.0
"""Maximum wait of a request for an eligible agent before it is refused."""

REFUSAL_TTL_S = 0.5
"""Time for which a refusal keeps the agent from being asked again."""

INITIAL_RETRY_JITTER_S = 0.05
"""Upper bound of the random delay before the first budgeted retry; doubles."""

MAX_RETRY_JITTER_S = 1.0
"""Upper bound of the random delay before any retry."""

MAX_RESERVATIONS = 2
"""Maximum number of agents at which one request waits at the same time."""

CACHED_PREFIX_WAIT_FRACTION = 0.5
"""Fraction of the remaining time for which a request with a cached prefix waits
before it reserves at a second agent."""

MAX_ATTEMPTS_PER_AGENT = 4
"""Failed attempts of one request at an agent, for transient reasons, that count as
a refusal."""

DEFAULT_RETRY_AFTER_MS = 1000
"""Retry-After for callers if no agent specified one."""

DIGEST_LAG_S = 0.02
"""Age from which a sent request is assumed to be included in the next digest."""


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """Settings of one router.

    Parameters
    ----------
    router : str
        Node identifier.
    incarnation : int
        Wall-clock milliseconds at the start of the process.
    failure_domain : str
        Failure domain of the router.
    policy : RoutingPolicy
        How requests are placed.
    second_reservation_delay_s : float
        Delay before a reservation at a second agent, in seconds.
    subset_size : int
        Maximum number of agents per resource that receive work.
    retry_ratio : float
        Retries allowed per success.
    """

    router: str
    incarnation: int
    failure_domain: str = ""
    policy: RoutingPolicy = RoutingPolicy.BERYLWALK
    second_reservation_delay_s: float = 0.02
    subset_size: int = 16
    retry_ratio: float = 0.1

    @classmethod
    def from_settings(cls, settings: RouterSettings, *, incarnation: int) -> Self:
        """Return the part of the router's settings that the machine needs."""
        routing = settings.routing
        return cls(
            router=settings.node.id,
            incarnation=incarnation,
            failure_domain=settings.node.failure_domain,
            policy=routing.policy,
            second_reservation_delay_s=routing.second_reservation_delay_ms / 1000,
            subset_size=routing.subset_size,
            retry_ratio=routing.retry_ratio,
        )
