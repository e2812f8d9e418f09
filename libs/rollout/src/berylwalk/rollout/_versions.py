"""Known versions of services, and those whose roll-out order may not be known yet."""

from collections.abc import Collection


class VersionRegistry:
    """Versions by service, with the store revision at which each was first listed.

    An operator writes the order to the store before the first target of its version is
    listed. So a version that appears beside others is pending until all orders up to
    the revision of its first entry are known.
    """

    def __init__(self) -> None:
        self._first_revisions_by_service: dict[str, dict[str, int]] = {}
        self._orders_revision = 0
        self._orders_may_lack_after: int | None = None

    def record_version(self, service: str, version: str, revision: int) -> None:
        """Record that a target of a version was listed at a store revision."""
        self._first_revisions_by_service.setdefault(service, {}).setdefault(
            version, revision
        )

    def record_orders_known(self, revision: int) -> None:
        """Record that all orders up to a store revision are known."""
        self._orders_revision = max(self._orders_revision, revision)

    def expect_lost_orders(self) -> None:
        """Record that the store was restored from an older copy.

        Until `expect_no_lost_orders`, versions that were not listed before are pending:
        their targets may be listed again before their order is written again.
        """
        if self._orders_may_lack_after is None:
            self._orders_may_lack_after = self._orders_revision

    def expect_no_lost_orders(self) -> None:
        """Record that lost orders have been written again."""
        self._orders_may_lack_after = None

    def pending(self, service: str) -> Collection[str]:
        """Return the versions that may have an order which is not known yet.

        Empty if that holds for all versions: one of them must be in service.
        """
        first_revisions = self._first_revisions_by_service.get(service, {})
        if len(first_revisions) < 2:
            return ()
        orders_revision = self._orders_revision
        if self._orders_may_lack_after is not None:
            orders_revision = self._orders_may_lack_after
        pending = [
            version
            for version, revision in first_revisions.items()
            if revision > orders_revision
        ]
        return () if len(pending) == len(first_revisions) else pending

    def known(self, service: str) -> Collection[str]:
        """Return all versions of a service that have been listed."""
        return self._first_revisions_by_service.get(service, {})
