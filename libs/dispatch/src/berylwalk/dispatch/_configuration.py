"""Configuration of routes, services and client accounts, indexed for look-up."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Self


class RouteKind(StrEnum):
    """Retry semantics of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that a service receives."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Handling of requests for one host and path prefix.

    Parameters
    ----------
    name, hostname, path_prefix : str
        Name, host and path prefix; the prefix begins and ends with a slash.
    kind : RouteKind
        Retry semantics.
    timeout_s : float
        Maximum duration of a request, in seconds.
    objective_s : float
        Latency objective of the response or its first event, in seconds.
    longest_pause_s : float
        Longest allowed pause between stream events, in seconds; 0 for no bound.
    priority : int
        Priority; 0 is the highest.
    shares : tuple of ServiceShare
        Services and their shares.
    max_attempts : int
        Maximum number of targets that may execute one request.
    public : bool
        Whether no key is needed.
    resumable : bool
        Whether a stream may be resumed at another target.
    """

    name: str
    hostname: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    longest_pause_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have been executed may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, draw: float) -> str:
        """Return the service for a random number in [0, 1)."""
        total = sum(share.weight for share in self.shares)
        left = draw * total
        for share in self.shares:
            left -= share.weight
            if left < 0:
                return share.service
        return self.shares[-1].service


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Group of interchangeable targets.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one target accepts from all routers.
    engine_slots : int
        Batch size of a model engine; 0 for a plain service.
    kv_capacity : int
        Capacity of an engine's KV cache, in tokens.
    tokens_per_event : int
        Output tokens per stream event.
    """

    name: str
    max_connections: int
    engine_slots: int = 0
    kv_capacity: int = 0
    tokens_per_event: int = 1

    @property
    def is_engine(self) -> bool:
        """Whether its targets are model engines."""
        return self.engine_slots > 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """Client account.

    Parameters
    ----------
    name : str
        Name of the account.
    keys : frozenset of str
        API keys.
    priority : int or None
        Priority that precedes the route's.
    counts_tokens : bool
        Whether the quota is counted in tokens.
    plain_cost : int
        Cost in tokens of a request that states none.
    rate_per_s, burst : float
        Quota in units; a rate of 0 means no limit.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    counts_tokens: bool = False
    plain_cost: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    The defaults apply until a configuration is loaded.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Increases with each change.
    services_by_name : dict
        All services.
    accounts_by_key : dict or None
        Client accounts by API key; None if no keys are in use.
    limits : CallerLimits
        Limits for callers.
    routes_by_host : dict
        Routes by host and path prefix.
    """

    version: int
    services_by_name: dict[str, Service]
    accounts_by_key: dict[str, Account] | None
    limits: CallerLimits = field(default_factory=CallerLimits)
    routes_by_host: dict[str, dict[str, Route]]

    @classmethod
    def from_parts(
        cls,
        *,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        accounts: Iterable[Account] | None,
        limits: CallerLimits,
    ) -> Self:
        """Index the parts of a configuration for look-up."""
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            of_host = routes_by_host.setdefault(route.hostname.lower(), {})
            of_host[route.path_prefix] = route
        accounts_by_key = None
        if accounts is not None:
            accounts_by_key = {
                key: account for account in accounts for key in account.keys
            }
        return cls(
            version=version,
            services_by_name={service.name: service for service in services},
            accounts_by_key=accounts_by_key,
            limits=limits,
            routes_by_host=routes_by_host,
        )

    @property
    def accounts(self) -> list[Account]:
        """All client accounts that have a key."""
        by_name = {each.name: each for each in (self.accounts_by_key or {}).values()}
        return list(by_name.values())

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        by_prefix = self.routes_by_host.get(_hostname(host))
        if by_prefix is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _hostname(host: str) -> str:
    name, colon, port = host.rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.lower()
