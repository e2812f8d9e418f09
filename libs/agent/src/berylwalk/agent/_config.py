"""Configuration of the agent's state machine."""

from dataclasses import dataclass, field

from berylwalk.admission import LatencyTargets, Policy, tiered_policy

TICK_S = 0.01
"""Least time between two ticks, in seconds."""

IDLE_TICK_S = 0.1
"""Longest time between two ticks, in seconds."""

PEER_TIMEOUT_S = 3.0
RECORD_RETENTION_S = 600.0
MAX_ATTEMPT_RECORDS = 50_000
DIGEST_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentConfig:
    """What the state machine needs to know at start.

    Parameters
    ----------
    agent_id : str
        Node identifier.
    incarnation : int
        Wall-clock milliseconds at process start.
    failure_domain : str
        Where the target is.
    resources : tuple of str
        What the target serves.
    policy : Policy
        Order, limit rule, headroom and deadlines.
    initial_limit, min_limit, max_limit : int
        Slot limit at start and its bounds.
    max_waiting : int
        Longest waiting list.
    targets : SlotTargets
        Wanted speed of the target.
    prefill_tokens_per_s, token_gap_s : float
        Expected speed of the target.
    ready_timeout_s : float
        How long a slot is held for the grant, in seconds.
    ask_ahead : int
        Slots that may be offered beyond the limit.
    remember_s : float
        How long a request that ended is remembered, in seconds.
    max_remembered : int
        Largest number of requests remembered.
    peer_timeout_s : float
        Silence after which a router loses its reservations, in seconds.
    digest_interval_s : float
        Least time between two digests pushed, in seconds.
    """

    agent_id: str
    incarnation: int
    failure_domain: str = ""
    resources: tuple[str, ...] = ()
    policy: Policy = field(default_factory=tiered_policy)
    initial_limit: int = 8
    min_limit: int = 1
    max_limit: int = 256
    max_waiting: int = 1000
    latency_targets: LatencyTargets = field(default_factory=LatencyTargets)
    prefill_tokens_per_s: float = 10_000.0
    token_gap_s: float = 0.02
    ready_timeout_s: float = 0.05
    ask_ahead: int = 1
    retention_s: float = RECORD_RETENTION_S
    max_attempt_records: int = MAX_ATTEMPT_RECORDS
    peer_timeout_s: float = PEER_TIMEOUT_S
    digest_interval_s: float = DIGEST_INTERVAL_S
