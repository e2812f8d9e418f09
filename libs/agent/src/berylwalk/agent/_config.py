"""Configuration of the agent's state machine."""

from dataclasses import dataclass, field

from berylwalk.admission import LatencyTargets, Policy, tiered_policy

TICK_S = 0.01
"""Least time between two ticks, in seconds."""

IDLE_TICK_S = 0.1
"""Largest time between two ticks, in seconds."""

PEER_TIMEOUT_S = 3.0
RECORD_RETENTION_S = 600.0
MAX_ATTEMPT_RECORDS = 50_000
DIGEST_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentConfig:
    """Configuration of the state machine.

    Parameters
    ----------
    agent_id : str
        Node identifier.
    incarnation : int
        Wall-clock milliseconds at process start.
    failure_domain : str
        Failure domain of the target.
    resources : tuple of str
        Resources of the target.
    policy : Policy
        Scheduling, limit rule, headroom and deadlines.
    initial_limit, min_limit, max_limit : int
        Initial concurrency limit and its bounds.
    max_waiting : int
        Largest number of queued reservations.
    latency_targets : LatencyTargets
        Desired latency of the target.
    prefill_tokens_per_s, token_gap_s : float
        Nominal speed of the target.
    ready_timeout_s : float
        Time for which an offered slot is held for its grant, in seconds.
    ask_ahead : int
        Slots that may be offered beyond the concurrency limit.
    retention_s : float
        Time for which the record of an ended request is kept, in seconds.
    max_attempt_records : int
        Largest number of records of ended requests.
    peer_timeout_s : float
        Time without a message after which a router counts as failed and loses its
        reservations, in seconds.
    digest_interval_s : float
        Least time between two pushes of digests, in seconds.
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
