"""Keeps the configuration in force up to date with the platform's store."""

from berylwalk.direct._context import RouterContext
from berylwalk.direct._entry_findings import EntryFindings
from berylwalk.direct._mirrored_prefix import (
    SENDING_S,
    SHORTEST_HOLD_S,
    TELLING_S,
    MirroredPrefix,
    MirrorRules,
    ReadingRole,
    lean_s,
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
OLDEST_S = 2.9
"""Age that it should never have while the store is well: this router would ask for no
new callers soon after."""


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
    role : ReadingRole
        Whether this router reads the store for itself only.

    Attributes
    ----------
    mirror : MirroredPrefix
        What is known of the configuration.
    """

    def __init__(
        self,
        context: RouterContext,
        store: KeyValueClient,
        reach: StoreReach,
        role: ReadingRole,
    ) -> None:
        self._context = context
        self._role = role
        bound_s = context.settings.configuration_s
        self._confirm_s = min(
            LONGEST_CONFIRM_S, max(SHORTEST_HOLD_S, bound_s - SENDING_S)
        )
        self._lean_s = lean_s(min(bound_s, OLDEST_S))
        self._revision_in_force = 0
        self._findings = EntryFindings(context, "configuration-invalid")
        rules = MirrorRules(
            prefix=CONFIGURATION_KEY,
            name="configuration",
            list_gap_s=self._list_gap_s,
            lean_s=self._lean_s,
            is_probe=True,
            is_one_key=True,
        )
        self.mirror = MirroredPrefix(
            store,
            reach,
            rules,
            clock=context.clock,
            on_list=self._take_read,
            on_changes=self._take_changes,
            on_known=self._take_known,
            role=role,
        )

    async def run(self) -> None:
        """Read and watch for ever."""
        await self.mirror.run()

    def _list_gap_s(self) -> float:
        if self._context.configuration.current is None:
            return ABSENT_S
        if self._role.reads_for_others():
            return max(SHORTEST_HOLD_S, min(self._confirm_s, self._lean_s) - TELLING_S)
        return self._confirm_s

    def _take_read(self, items: list[KeyValue], revision: int, asked_at: float) -> None:
        self._take_known(items, asked_at)

    def _take_known(self, items: list[KeyValue], known_at: float) -> None:
        for item in items:
            if item.key == CONFIGURATION_KEY:
                self._take(item, known_at)

    def _take_changes(self, events: list[WatchEvent], known_at: float) -> None:
        puts = [event.key_value for event in events if event.kind is EventKind.PUT]
        self._take_known(puts, known_at)

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
