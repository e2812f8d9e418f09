"""Keeps the configuration in force up to date with the platform's store."""

from anyio import Event, create_task_group, move_on_after, sleep

from berylwalk.direct._context import RouterContext
from berylwalk.direct._store_reach import StoreReach
from berylwalk.platform import (
    CONFIGURATION_KEY,
    FORMAT_ERRORS,
    EventKind,
    KeyValue,
    KeyValueClient,
    Unavailable,
    decode_configuration,
)

CONFIRM_S = 1.9
"""Time between confirming reads while the watch goes on: two may fail before keys are
no longer trusted, and one before this router asks for no new callers."""
ABSENT_S = 0.15
"""Time between reads while there is no configuration yet."""
WATCH_S = 8.0
"""Time that the store holds a watch back."""


class ConfigurationFeed:
    """Reads and watches the configuration.

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
        self._store = store
        self._reach = reach
        self._revision = 0
        self._wanted = Event()

    async def run(self) -> None:
        """Read and watch for ever."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._confirm)
            tasks.start_soon(self._watch)

    async def _confirm(self) -> None:
        failures = 0
        while True:
            asked_at = self._context.clock()
            item = await self._reach.ask(
                "read-configuration", self._store.get(CONFIGURATION_KEY)
            )
            if isinstance(item, Unavailable):
                failures += 1
                await self._reach.pause(failures, is_probe=True)
                continue
            failures = 0
            if isinstance(item, KeyValue):
                self._take(item, asked_at)
            self._wanted = Event()
            with move_on_after(CONFIRM_S if item is not None else ABSENT_S):
                await self._wanted.wait()

    async def _watch(self) -> None:
        failures = 0
        while True:
            if not self._revision:
                await sleep(ABSENT_S)
                continue
            changes = await self._reach.ask(
                "watch-configuration",
                self._store.changes(CONFIGURATION_KEY, self._revision, wait_s=WATCH_S),
            )
            if isinstance(changes, Unavailable):
                failures += 1
                self._wanted.set()
                await self._reach.pause(failures)
                continue
            failures = 0
            for event in changes.events:
                is_own = event.key_value.key == CONFIGURATION_KEY
                if is_own and event.kind is EventKind.PUT:
                    # What a watch tells may be late: it confirms nothing.
                    self._take(event.key_value, float("-inf"))
            self._revision = max(self._revision, changes.revision)

    def _take(self, item: KeyValue, asked_at: float) -> None:
        state = self._context.configuration
        if item.mod_revision == self._revision and state.current is not None:
            state.confirm(None, asked_at)
            return
        try:
            configuration = decode_configuration(item.value)
        except FORMAT_ERRORS as error:
            self._context.log.process("configuration-invalid", detail=repr(error))
            return
        self._revision = max(self._revision, item.mod_revision)
        if state.confirm(configuration, asked_at):
            self._context.metrics.configuration_version.set(configuration.version)
            self._context.log.process(
                "configuration-in-force",
                version=configuration.version,
                revision=item.mod_revision,
                routes=sum(map(len, configuration.routes_by_host.values())),
            )
