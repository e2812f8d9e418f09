"""Which versions of a service are known to be in service, where orders may follow."""

from collections.abc import Collection


class VersionRegistry:
    """Versions by service, and since which revision of the store they are there.

    An operator's order lies in the store before the targets of its version. So a
    version that appears beside others has no order if the orders are known up to the
    revision of its first entry and name none; until then it waits.
    """

    def __init__(self) -> None:
        self._first_by_service: dict[str, dict[str, int]] = {}
        self._orders_known = 0

    def record_version(self, service: str, version: str, revision: int) -> None:
        """Take that a target of a version was listed at a revision of the store."""
        self._first_by_service.setdefault(service, {}).setdefault(version, revision)

    def record_orders_known(self, revision: int) -> None:
        """Take that all orders up to a revision of the store are known."""
        self._orders_known = max(self._orders_known, revision)

    def pending(self, service: str) -> Collection[str]:
        """Return the versions that may have an order which is not known yet.

        None if that is so of all of them: one of them must be in service.
        """
        first = self._first_by_service.get(service, {})
        if len(first) < 2:
            return ()
        pending = [
            version
            for version, revision in first.items()
            if revision > self._orders_known
        ]
        return () if len(pending) == len(first) else pending

    def known(self, service: str) -> Collection[str]:
        """Return all versions of a service that were ever listed."""
        return self._first_by_service.get(service, {})
