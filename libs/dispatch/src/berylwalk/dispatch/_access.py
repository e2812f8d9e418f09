"""Whether the configuration in force allows a request."""

from dataclasses import dataclass
from enum import StrEnum

from berylwalk.dispatch._configuration import Account, Configuration, Route


class DenialReason(StrEnum):
    """Why a request is not taken."""

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
    """The request is not allowed."""

    reason: DenialReason

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return STATUS_BY_REASON[self.reason]


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request is allowed; the account is None where no key is needed."""

    route: Route
    account: Account | None

    @property
    def rank(self) -> tuple[int, int]:
        """Rank of the request, the lowest first.

        An account's rank goes before that of a route, by which the requests
        of accounts of the same rank are told apart.
        """
        if self.account is not None and self.account.priority is not None:
            return self.account.priority, self.route.priority
        return self.route.priority, self.route.priority


class ConfigurationState:
    """The configuration in force, and until when its keys may be trusted.

    Versions only rise for the life of the process: a read that was overtaken
    by a newer one must not bring an older version back.

    Parameters
    ----------
    key_trust_s : float
        Time after the last confirming read for which keys are accepted. A key
        that was taken away must stop working within a bound that holds for
        routers that cannot reach the store, too.
    """

    def __init__(self, *, key_trust_s: float) -> None:
        self.current: Configuration | None = None
        self.confirmed_at = float("-inf")
        self._key_trust_s = key_trust_s

    def confirm(self, configuration: Configuration | None, asked_at: float) -> bool:
        """Take what a read of the store brought; returns whether it is newer.

        Parameters
        ----------
        configuration : Configuration or None
            None if the store still holds the version in force.
        asked_at : float
            When the read was sent: the store may have changed since.
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
        """Return the time since the last confirming read was sent."""
        return now - self.confirmed_at

    def trusts_keys(self, now: float) -> bool:
        """Return whether keys may be accepted."""
        return self.age_s(now) <= self._key_trust_s

    def check(
        self, host: str, path: str, key: str | None, now: float
    ) -> Allowed | Denied:
        """Decide on a request by its host, path and key."""
        configuration = self.current
        if configuration is None:
            return Denied(DenialReason.NO_CONFIGURATION)
        route = configuration.route_for(host, path)
        if route is None:
            if not self.trusts_keys(now):
                # A route that was added since can't be told from none.
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
