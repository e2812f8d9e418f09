"""Settings of a direct router."""

from dataclasses import dataclass, field

from berylwalk.dispatch._peer_table import MAX_FULL_MESH_PEERS
from berylwalk.dispatch._quota_rules import QuotaRules
from berylwalk.rollout import ExposureRules


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """Address of a socket."""

    host: str
    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class VmLimits:
    """Resource limits of a VM; None where it has none.

    Parameters
    ----------
    memory_bytes : int or None
        Memory above which the process is killed.
    link_bytes_per_s : float or None
        Bandwidth of its link.
    descriptors : int or None
        Open file descriptors.
    processor_share : float or None
        Part of a processor core.
    """

    memory_bytes: int | None = None
    link_bytes_per_s: float | None = None
    descriptors: int | None = None
    processor_share: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings:
    """Startup settings of a direct router.

    Parameters
    ----------
    name : str
        Name of its VM.
    failure_domain : str
        Failure domain of its VM.
    caller_address, readiness_address : SocketAddress
        Listeners for callers and for readiness probes.
    peer_port : int
        UDP port for peer messages.
    metrics_port : int
        TCP port of the metrics endpoint.
    store_address : SocketAddress
        Address of the platform's store.
    store_writes_per_s : float
        Writes that the store takes of all routers, in calls per second.
    shortest_lease_s : float
        Minimum lease duration in the store, in seconds.
    stop_grace_s : float
        Time between the stop signal and the kill signal, in seconds.
    key_revocation_s : float
        Time after which a revoked key must be refused, in seconds.
    drain_s : float
        Time after which a draining target must not get requests, in seconds.
    configuration_s : float
        Time after which a new configuration must be in effect, in seconds.
    heartbeat_s : float
        Interval between renewals of a target's entry, in seconds.
    allowances : QuotaRules
        Rules for the quotas of client accounts.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget over all routers: retries per request, additional retries per
        window, and length of the window in seconds.
    exposure : ExposureRules
        Limits on the traffic to a new version.
    monitor_port : int or None
        UDP port of target monitors, and of this router for their reports; None to do
        without.
    time_order_min_routers : int
        Number of known routers from which requests are ordered by the time that they
        have left and by the usage of accounts, and returns of refused callers are
        known. With fewer routers each hears of every placement at once, and queues are
        few: short waits serve more.
    is_first_start : bool
        Whether the whole system starts for the first time.
    limits : VmLimits
        Resource limits of its VM.
    targets_crash_when_full : bool
        Whether targets crash when the capacity of their KV cache is exceeded.
    """

    name: str
    failure_domain: str
    caller_address: SocketAddress
    readiness_address: SocketAddress
    peer_port: int
    metrics_port: int
    store_address: SocketAddress
    store_writes_per_s: float = 400.0
    shortest_lease_s: float = 1.0
    stop_grace_s: float = 8.0
    key_revocation_s: float = 5.0
    drain_s: float = 2.0
    configuration_s: float = 2.0
    heartbeat_s: float = 1.2
    allowances: QuotaRules = field(default_factory=QuotaRules)
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    exposure: ExposureRules = field(default_factory=ExposureRules)
    monitor_port: int | None = None
    time_order_min_routers: int = MAX_FULL_MESH_PEERS + 2
    is_first_start: bool = False
    limits: VmLimits = field(default_factory=VmLimits)
    targets_crash_when_full: bool = False
