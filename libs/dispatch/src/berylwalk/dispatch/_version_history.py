"""Versions of each service at which streams may have begun lately.

Load that it answers: versions of a service come and go, also while no router runs, and
callers take up streams that any version has begun. A router that has just started sees
the versions that are listed now; those that began the streams may be others.
"""

from collections.abc import Collection

UNKNOWN_VERSION = "?"
"""Stands in a history for versions that no router can name any more."""
READING_TIME_S = 5.0
"""How long no stream begins at a service whose history is not read yet, in seconds.
After that the store is taken to be away from this router."""

Versions = frozenset[str]


class VersionHistory:
    """The stored histories of all services, as this router knows them.

    A version gets no streams before it is in the stored history, and leaves it only
    when no caller can come back to a stream of it. So a history of one version tells
    the version of every stream that is not recorded.

    Attributes
    ----------
    is_read : bool
        Whether the histories are read from a store, so that it is worth waiting.
    """

    def __init__(self) -> None:
        self.is_read = False
        self._first_listed_at: dict[str, float] = {}
        self._stored_by_service: dict[str, Versions] = {}
        self._listed_by_service: dict[str, Versions] = {}
        self._missing_by_service: dict[str, Versions] = {}
        self._gone_since: dict[tuple[str, str], float] = {}

    def adopt(self, service: str, versions: Collection[str]) -> None:
        """Apply a history that is stored."""
        self._stored_by_service[service] = frozenset(versions)
        self._find_missing(service)

    def note_listed(self, service: str, versions: Collection[str], now: float) -> None:
        """Record the versions of the listed targets of a service.

        Parameters
        ----------
        service : str
            The service.
        versions : collection of str
            The versions.
        now : float
            Current time in seconds.
        """
        self._first_listed_at.setdefault(service, now)
        listed = self._listed_by_service[service] = frozenset(versions)
        stored = self._stored_by_service.get(service, frozenset())
        for version in stored - listed:
            self._gone_since.setdefault((service, version), now)
        for version in listed:
            self._gone_since.pop((service, version), None)
        self._find_missing(service)

    def note_unseen(self, now: float) -> None:
        """Record that versions may have been listed without being seen, until now.

        The time for which versions have not been listed starts anew.
        """
        self._gone_since = dict.fromkeys(self._gone_since, now)

    def stored(self, service: str) -> Versions | None:
        """Return the stored history of a service; None if it is not known."""
        return self._stored_by_service.get(service)

    def only_version(self, service: str) -> str | None:
        """Return the only version at which streams can have begun; None if unknown."""
        stored = self._stored_by_service.get(service, frozenset())
        if len(stored) != 1 or UNKNOWN_VERSION in stored:
            return None
        return next(iter(stored))

    def missing(self, service: str) -> Versions:
        """Return the listed versions that a known history of the service lacks."""
        return self._missing_by_service.get(service, frozenset())

    def is_awaited(self, service: str, now: float) -> bool:
        """Return whether the history is about to be read."""
        if not self.is_read or service in self._stored_by_service:
            return False
        return now - self._first_listed_at.get(service, now) < READING_TIME_S

    def may_begin(self, service: str, version: str, now: float) -> bool:
        """Return whether streams may begin at a version while others serve."""
        is_missing = version in self.missing(service)
        return not is_missing and not self.is_awaited(service, now)

    def is_mixed(self, service: str) -> bool:
        """Return whether streams of a service may begin at several versions."""
        stored = self._stored_by_service.get(service)
        if stored is None:
            return True
        return len(stored) > 1 or bool(self.missing(service))

    def outdated(self, service: str, now: float, *, keep_s: float) -> Versions:
        """Return the versions that have not been listed for some time.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Current time in seconds.
        keep_s : float
            For how long callers may come back to a stream, in seconds.
        """
        stored = self._stored_by_service.get(service, frozenset())
        listed = self._listed_by_service.get(service, frozenset())
        return frozenset(
            version
            for version in stored - listed
            if now - self._gone_since.setdefault((service, version), now) > keep_s
        )

    def _find_missing(self, service: str) -> None:
        stored = self._stored_by_service.get(service)
        listed = self._listed_by_service.get(service, frozenset())
        missing = frozenset() if stored is None else listed - stored
        self._missing_by_service[service] = missing
