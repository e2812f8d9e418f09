"""Authorization of requests by the current configuration."""

from dataclasses import dataclass
from enum import StrEnum

from berylwalk.dispatch._configuration import Account, Configuration, Route


class DenialReason(StrEnum):
    """Reason why a request is denied."""

    NO_CONFIGURATION = "no-configuration"
    STALE_CONFIGURATION = "stale-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"


STATUS_BY_REASON = {
    DenialReason.NO_CONFIGURATION: 503,
    DenialReason.STALE_CONFIGURATION: 503,
    DenialReason.NO_ROUTE: 404,
    DenialReason.UNKNOWN_KEY: 401,
}


@dataclass(frozen=True, slots=True)
class Denied:
    """Denied request."""

    reason: DenialReason

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return STATUS_BY_REASON[self.reason]


@dataclass(frozen=True, slots=True)
class Allowed:
    """Allowed request; the account is None if no key is needed."""

    route: Route
    account: Account | None

    @property
    def rank(self) -> tuple[int, int]:
        """Priority of the request; the lowest goes first.

        The priority of the account precedes that of the route.
        """
        if self.account is not None and self.account.priority is not None:
            return self.account.priority, self.route.priority
        return self.route.priority, self.route.priority


class ConfigurationState:
    """Current configuration, and how long its keys may be trusted.

    Versions never decrease within a process, so a late read can't restore an older one.

    Parameters
    ----------
    key_trust_s : float
        Time after the last confirming read for which keys are accepted, in seconds.
        Bounds how long a revoked key works on a router that can't reach the store.
    """

    def __init__(self, *, key_trust_s: float) -> None:
        self.current: Configuration | None = None
        self.confirmed_at = float("-inf")
        self._key_trust_s = key_trust_s

    def confirm(self, configuration: Configuration | None, asked_at: float) -> bool:
        """Apply the result of a store read; returns whether it is newer.

        Parameters
        ----------
        configuration : Configuration or None
            None if the store still holds the current version.
        asked_at : float
            When the read was sent, in seconds.
        """
        current = self.current
        if configuration is None:
            self.confirmed_at = max(self.confirmed_at, asked_at)
            return False
        if current is not None and configuration.version < current.version:
            return False
        self.confirmed_at = max(self.confirmed_at, asked_at)
        is_newer = current is None or configuration.version > current.version
        if is_newer:
            self.current = configuration
        return is_newer

    def age_s(self, now: float) -> float:
        """Return the time since the last confirming read was sent, in seconds."""
        return now - self.confirmed_at

    def trusts_keys(self, now: float) -> bool:
        """Return whether keys may be accepted."""
        return self.age_s(now) <= self._key_trust_s

    def check(
        self, host: str, path: str, key: str | None, now: float
    ) -> Allowed | Denied:
        """Authorize a request by its host, path and key."""
        configuration = self.current
        if configuration is None:
            return Denied(DenialReason.NO_CONFIGURATION)
        route = configuration.route_for(host, path)
        if route is None:
            if not self.trusts_keys(now):
                # The route may have been added since the last read.
                return Denied(DenialReason.STALE_CONFIGURATION)
            return Denied(DenialReason.NO_ROUTE)
        if route.public or configuration.accounts_by_key is None:
            return Allowed(route, None)
        if not self.trusts_keys(now):
            return Denied(DenialReason.STALE_CONFIGURATION)
        account = configuration.accounts_by_key.get(key or "")
        if account is None:
            return Denied(DenialReason.UNKNOWN_KEY)
        return Allowed(route, account)
