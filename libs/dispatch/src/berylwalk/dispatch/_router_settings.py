"""Settings of one direct router, as its VM tells them."""

from dataclasses import dataclass, field

from berylwalk.dispatch._quotas import QuotaRules
from berylwalk.rollout import ExposureRules


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """Where a socket is bound, or what it connects to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings:
    """What a direct router needs to know to start.

    Parameters
    ----------
    name : str
        Name of its VM.
    failure_domain : str
        Where it runs.
    caller_address, readiness_address : SocketAddress
        Listeners for callers and for the question whether it is ready.
    peer_port : int
        UDP port for messages of other routers.
    metrics_port : int
        TCP port of the metrics.
    store_address : SocketAddress
        The platform's store.
    shortest_lease_s : float
        Least time to live of a lease in the store, in seconds.
    stop_grace_s : float
        Time from the request to stop until the process is killed, in seconds.
    key_revocation_s : float
        Time after which a key that was taken away must not work, in seconds.
    drain_s : float
        Time after which a target that said that it leaves must get no request, in
        seconds.
    configuration_s : float
        Time after which a new version of the configuration must be in force, in
        seconds.
    heartbeat_s : float
        Time between two renewals of a target's entry, in seconds.
    allowances : AllowanceRules
        How the spending of client accounts is judged.
    retry_ratio, retry_slack, retry_window_s : float
        Bound of repeated sends over all routers: in a window of so many
        seconds, the ratio of the requests and a fixed number besides.
    exposure : ExposureRules
        How much a version may get that is not proved.
    """

    name: str
    failure_domain: str
    caller_address: SocketAddress
    readiness_address: SocketAddress
    peer_port: int
    metrics_port: int
    store_address: SocketAddress
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
