"""Keeps the configuration in force up to date with the platform's store."""

from berylwalk.direct._context import RouterContext
from berylwalk.direct._entry_findings import EntryFindings
from berylwalk.direct._mirrored_prefix import (
    SENDING_S,
    SHORTEST_HOLD_S,
    MirroredPrefix,
    MirrorRules,
)
from berylwalk.direct._store_reach import StoreReach
from berylwalk.platform import (
    CONFIGURATION_KEY,
    FORMAT_ERRORS,
    EventKind,
    KeyValue,
    KeyValueClient,
    WatchEvent,
    decode_configuration,
)

LONGEST_CONFIRM_S = 1.9
"""Time between confirming reads: two may fail before keys are no longer trusted, and
one before this router asks for no new callers."""
ABSENT_S = 0.15
"""Time between reads while there is no configuration yet."""
UNCONFIRMED = float("-inf")
"""What a watch tells may be late: it confirms nothing."""


class ConfigurationFeed:
    """Mirrors the configuration; reads confirm it more often than its bound.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    reach : StoreReach
        Notes how calls end.
    """

    def __init__(
        self, context: RouterContext, store: KeyValueClient, reach: StoreReach
    ) -> None:
        self._context = context
        bound_s = context.settings.configuration_s
        self._confirm_s = min(
            LONGEST_CONFIRM_S, max(SHORTEST_HOLD_S, bound_s - SENDING_S)
        )
        self._revision_in_force = 0
        self._findings = EntryFindings(context, "configuration-invalid")
        rules = MirrorRules(
            prefix=CONFIGURATION_KEY,
            name="configuration",
            list_gap_s=self._list_gap_s,
            is_probe=True,
        )
        self._mirror = MirroredPrefix(
            store,
            reach,
            rules,
            clock=context.clock,
            on_list=self._take_read,
            on_changes=self._take_changes,
        )

    async def run(self) -> None:
        """Read and watch for ever."""
        await self._mirror.run()

    def _list_gap_s(self) -> float:
        is_known = self._context.configuration.current is not None
        return self._confirm_s if is_known else ABSENT_S

    def _take_read(self, items: list[KeyValue], revision: int, asked_at: float) -> None:
        for item in items:
            if item.key == CONFIGURATION_KEY:
                self._take(item, asked_at)

    def _take_changes(self, events: list[WatchEvent]) -> None:
        for event in events:
            is_own = event.key_value.key == CONFIGURATION_KEY
            if is_own and event.kind is EventKind.PUT:
                self._take(event.key_value, UNCONFIRMED)

    def _take(self, item: KeyValue, asked_at: float) -> None:
        state = self._context.configuration
        if item.mod_revision == self._revision_in_force:
            state.confirm(None, asked_at)
            return
        try:
            configuration = decode_configuration(item.value)
        except FORMAT_ERRORS as error:
            # It may take keys away: what is in force is not confirmed by it.
            detail = f"revision {item.mod_revision}: {error!r}"
            self._findings.note(item.key.decode(), "not-readable", detail)
            return
        self._findings.clear(item.key.decode())
        if state.confirm(configuration, asked_at):
            self._context.allowances.set_accounts(
                configuration.accounts, self._context.clock()
            )
            self._context.metrics.configuration_version.set(configuration.version)
            self._context.log.process(
                "configuration-in-force",
                version=configuration.version,
                revision=item.mod_revision,
                routes=sum(map(len, configuration.routes_by_host.values())),
            )
        if state.current.version == configuration.version:
            self._revision_in_force = item.mod_revision
