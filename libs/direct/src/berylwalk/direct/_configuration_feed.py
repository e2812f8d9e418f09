"""Synchronizes the configuration and roll-out orders with the platform's store.

Both share one prefix and are read by the same calls, so an order is known no later
than a configuration written after it.
"""

from berylwalk.direct._context import RouterContext
from berylwalk.direct._invalid_items import InvalidItemLog
from berylwalk.direct._mirrored_prefix import (
    MIN_WATCH_HOLD_S,
    PEER_PROPAGATION_S,
    SEND_LATENCY_S,
    MirroredPrefix,
    MirrorRules,
    ReadRole,
    peer_data_max_age_s,
)
from berylwalk.direct._store_health import StoreHealth
from berylwalk.platform import (
    CONFIGURATION_KEY,
    DECODE_ERRORS,
    OPERATORS_PREFIX,
    KeyValue,
    KeyValueClient,
    WatchEvent,
    decode_configuration,
    decode_rollout_order,
    era_start,
    is_rollout_order,
)
from berylwalk.rollout import Order, Progress

MAX_CONFIRM_INTERVAL_S = 1.9
"""Interval between confirming reads: two may fail before API keys are no longer
trusted, and one before this router reports itself as not ready."""
ABSENT_READ_INTERVAL_S = 0.15
"""Interval between reads while no configuration exists."""
MAX_HEALTHY_AGE_S = 2.9
"""Maximum age while the store is healthy, below the age from which this router
reports itself as not ready."""


class ConfigurationFeed:
    """Mirrors the configuration and the roll-out orders.

    Parameters
    ----------
    context : RouterContext
        Shared state of the router.
    store : KeyValueClient
        Client of the platform's store.
    store_health : StoreHealth
        Tracks the results of store calls.
    role : ReadRole
        Whether this router shares store reads with its peers.

    Attributes
    ----------
    mirror : MirroredPrefix
        The mirrored items.
    """

    def __init__(
        self,
        context: RouterContext,
        store: KeyValueClient,
        store_health: StoreHealth,
        role: ReadRole,
    ) -> None:
        self._context = context
        self._role = role
        bound_s = context.settings.configuration_s
        self._confirm_interval_s = min(
            MAX_CONFIRM_INTERVAL_S, max(MIN_WATCH_HOLD_S, bound_s - SEND_LATENCY_S)
        )
        self._peer_data_max_age_s = peer_data_max_age_s(min(bound_s, MAX_HEALTHY_AGE_S))
        self._active_revision = 0
        self._invalid_items = InvalidItemLog(context, "configuration-invalid")
        self._invalid_orders = InvalidItemLog(context, "rollout-order-invalid")
        self._order_revisions: dict[bytes, int] = {}
        context.rollouts.on_order_resumed = self._log_resumed
        rules = MirrorRules(
            prefix=OPERATORS_PREFIX,
            name="configuration",
            list_interval_s=self._list_interval_s,
            peer_data_max_age_s=self._peer_data_max_age_s,
            is_probe=True,
            rarely_changes=True,
        )
        self.mirror = MirroredPrefix(
            store,
            store_health,
            rules,
            clock=context.clock,
            on_list=self._apply_list,
            on_changes=self._apply_changes,
            on_known=self._apply_known,
            role=role,
        )

    async def run(self) -> None:
        """List and watch forever."""
        await self.mirror.run()

    def _list_interval_s(self) -> float:
        if self._context.configuration.current is None:
            return ABSENT_READ_INTERVAL_S
        if self._role.serves_peers():
            return max(
                MIN_WATCH_HOLD_S,
                min(self._confirm_interval_s, self._peer_data_max_age_s)
                - PEER_PROPAGATION_S,
            )
        return self._confirm_interval_s

    def _apply_list(
        self, items: list[KeyValue], revision: int, requested_at: float
    ) -> None:
        self._apply_known(items, requested_at)

    def _apply_known(self, items: list[KeyValue], known_at: float) -> None:
        for item in items:
            if item.key == CONFIGURATION_KEY:
                self._apply(item, known_at)
        self._apply_orders([item for item in items if is_rollout_order(item.key)])
        self._context.rollouts.versions.record_orders_known(self.mirror.revision)

    def _apply_changes(self, events: list[WatchEvent], known_at: float) -> None:
        changed = {event.key_value.key for event in events}
        items = self.mirror.items
        if CONFIGURATION_KEY in changed or self._order_revisions.keys() & changed:
            self._apply_known(items, known_at)
        else:
            orders = [item for item in items if is_rollout_order(item.key)]
            self._apply_orders(orders)

    def _apply_orders(self, items: list[KeyValue]) -> None:
        """Apply the roll-out orders; an invalid one keeps the current one."""
        revisions = {item.key: item.mod_revision for item in items}
        rollouts, now = self._context.rollouts, self._context.clock()
        rollouts.note_era(era_start(self.mirror.revision), now)
        if revisions == self._order_revisions and not rollouts.awaits_orders:
            return
        self._order_revisions = revisions
        self._invalid_orders.keep_only(set(map(bytes.decode, revisions)))
        orders = [
            order for item in items if (order := self._decode_order(item)) is not None
        ]
        if rollouts.set_orders(orders, now):
            for order in orders:
                self._context.log.process(
                    "rollout-ordered",
                    service=order.service,
                    version=order.version,
                    period_ms=round(order.period_s * 1000),
                    revision=order.revision,
                )

    def _log_resumed(self, progress: Progress) -> None:
        """Log that an order was written again after a restore of the store."""
        order = progress.order
        self._context.log.process(
            "rollout-order-resumed",
            service=order.service,
            version=order.version,
            phase=progress.phase,
            revision=order.revision,
        )

    def _decode_order(self, item: KeyValue) -> Order | None:
        """Return the decoded order; the current one of the service if it is invalid."""
        order = decode_rollout_order(item)
        if isinstance(order, Order):
            self._invalid_orders.clear(item.key.decode())
            return order
        self._invalid_orders.report(item.key.decode(), order.problem, order.detail)
        for progress in self._context.rollouts.progresses:
            if item.key.endswith(b"/" + progress.order.service.encode()):
                return progress.order
        return None

    def _apply(self, item: KeyValue, requested_at: float) -> None:
        state = self._context.configuration
        if item.mod_revision == self._active_revision:
            state.confirm(None, requested_at)
            return
        try:
            configuration = decode_configuration(item.value)
        except DECODE_ERRORS as error:
            # An unreadable revision may revoke keys, so the current one is not
            # confirmed.
            detail = f"revision {item.mod_revision}: {error!r}"
            self._invalid_items.report(item.key.decode(), "not-readable", detail)
            return
        self._invalid_items.clear(item.key.decode())
        if state.confirm(configuration, requested_at):
            now = self._context.clock()
            self._context.quotas.set_accounts(configuration.accounts, now)
            self._context.idle_timeout.set(configuration.limits.idle_timeout_s, now)
            self._context.targets.set_services(configuration.services_by_name.values())
            self._context.metrics.configuration_version.set(configuration.version)
            self._context.log.process(
                "configuration-in-force",
                version=configuration.version,
                revision=item.mod_revision,
                routes=sum(map(len, configuration.routes_by_host.values())),
            )
        if state.current.version == configuration.version:
            self._active_revision = item.mod_revision
