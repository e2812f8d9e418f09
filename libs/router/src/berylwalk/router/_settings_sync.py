"""Synchronization of the settings with the key-value service and peers."""

from collections.abc import Awaitable, Callable
from contextlib import aclosing
from random import Random
from time import monotonic

from absl import logging
from anyio import Event, create_task_group, sleep

from berylwalk.model import FindingsError
from berylwalk.platform import EventKind, KeyValueStore, Unavailable
from berylwalk.process import SettingsReplyBuilder
from berylwalk.router._settings_store import PlatformSettingsStore
from berylwalk.settings import (
    SETTINGS_KEY,
    ReadFailed,
    SettingsDocument,
    SettingsReplica,
    Undecided,
    is_outdated_by,
    read_document,
    write_back,
)
from berylwalk.wire import SettingsQuery, SettingsReply

PULL_CHECK_S = 0.1
WATCH_CHECK_S = 1.0
SLOW_POLL_S = 30.0
JITTER_FRACTION = 0.2
FIRST_REVISION = 1
OWN_CHANGE_WATCH_S = 60.0
"""Time for which a router reads the store often after it accepted a change: it may be
the only one that knows the change, and the store may be restored from a copy that is
older."""

Pull = Callable[[str, int], Awaitable[SettingsReply | None]]


class SettingsSync:
    """Feeds the settings replica from the store and from peers.

    Parameters
    ----------
    replica : SettingsReplica
        Holds the highest document seen.
    store : KeyValueStore
        The key-value service.
    pull : callable
        Requests a peer's document, by the peer's identifier or address, if it is
        newer than a version; None if the peer does not respond.
    announce : callable
        Announces a new version to all nodes; called for documents of the store.
    is_watcher : callable
        Whether this router is one of the few that watch the store.
    poll_s : float
        Time between reads of the store until one succeeds, in seconds.
    pull_jitter_s : callable
        Maximum random delay of a pull, in seconds; spreads the pulls of many nodes
        from one peer.
    clock : callable
        Monotonic clock, in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        replica: SettingsReplica,
        store: KeyValueStore,
        *,
        pull: Pull,
        announce: Callable[[], None],
        is_watcher: Callable[[], bool],
        poll_s: float,
        pull_jitter_s: Callable[[], float] = lambda: 0.0,
        clock: Callable[[], float] = monotonic,
        rng: Random | None = None,
    ) -> None:
        self._replica = replica
        self._store = store
        self._pull = pull
        self._announce = announce
        self._is_watcher = is_watcher
        self._poll_s = poll_s
        self._pull_jitter_s = pull_jitter_s
        self._clock = clock
        self._rng = rng or Random()
        self._replies = SettingsReplyBuilder(replica)
        self._is_store_available: bool | None = None
        self._has_store_lost_version = False
        self._may_lack_changes = Event()
        self._watches_own_change_until = float("-inf")
        store.on_restored.add(self._check_store)
        # Agents with a newer version than this router.
        self._address_by_agent: dict[str, str] = {}

    @property
    def version(self) -> int:
        """Version in force."""
        return self._replica.version

    @property
    def is_ready(self) -> bool:
        """Whether requests may be served with the document in force."""
        return self._replica.ready_to_serve(self._clock())

    def record_router_version(self, router: str, version: int) -> None:
        """Record the settings version in a router's datagram."""
        self._replica.on_announcement(router, version, self._clock())

    def record_agent_version(self, agent: str, address: str, version: int) -> None:
        """Record the settings version of an agent, and its address for pulls."""
        if version <= self._replica.version:
            return
        self._address_by_agent[agent] = address
        self._replica.on_announcement(agent, version, self._clock(), is_fallback=True)

    def forget_router(self, router: str) -> None:
        """Forget the settings version of a router that is gone."""
        self._replica.on_peer_left(router)

    def accept(self, document: SettingsDocument) -> None:
        """Apply a document that was just written to the store, and announce it."""
        now = self._clock()
        self._watches_own_change_until = now + OWN_CHANGE_WATCH_S
        if self._is_outdated(document):
            return
        if self._replica.on_document(document, now):
            self._log_new_version("accepted")
            self._announce()

    def reply(self, query: SettingsQuery) -> SettingsReply:
        """Return the reply to a peer's query for the document."""
        return self._replies.reply(query, is_settled=self.is_ready)

    async def read_store(self) -> bool:
        """Read the store; returns whether it responded."""
        known_version = self._replica.highest_known_version
        document = await read_document(PlatformSettingsStore(self._store))
        if isinstance(document, ReadFailed):
            self._log_store_availability(False, document.reason)
            return False
        self._log_store_availability(True, "")
        # Announced versions were accepted, so that the store had them once.
        self._has_store_lost_version = document.version < known_version
        self._apply_stored(document)
        return True

    async def pull_from(self, peer: str) -> bool:
        """Pull the document from a peer; returns whether it sent a valid reply."""
        address = self._address_by_agent.get(peer)
        reply = await self._pull(address or peer, self._replica.version)
        now = self._clock()
        if reply is None:
            self._replica.on_pull_failed(peer, now)
            return False
        self._replica.on_announcement(
            peer,
            reply.version,
            now,
            is_fallback=address is not None,
            is_settled=reply.is_settled,
        )
        if not reply.document:
            self._replica.on_pull_failed(peer, now)
            return True
        try:
            document = SettingsDocument.decode(reply.document)
        except FindingsError as error:
            logging.error("invalid settings document from %s: %s", peer, error)
            self._replica.on_pull_failed(peer, now)
            return False
        if address is not None and self._has_store_lost_version:
            await self._restore_from_agent(peer, document)
        elif self._is_outdated(document):
            self._replica.on_pull_failed(peer, now)
        elif self._replica.on_document(document, now, peer=peer):
            self._log_new_version(peer)
        return True

    async def run_pulls(self) -> None:
        """Pull from peers with a newer version until cancelled."""
        while True:
            if not await self.pull_once():
                await sleep(PULL_CHECK_S)

    async def pull_once(self) -> bool:
        """Pull from a peer with a newer version; returns whether there was one.

        Agents are used only while the store is unavailable, or if it has lost a
        version that was announced.
        """
        is_outage = self._is_store_available is False
        peer = self._replica.start_pull(
            self._clock(), allow_fallbacks=is_outage or self._has_store_lost_version
        )
        if peer is None:
            return False
        await sleep(self._rng.uniform(0, self._pull_jitter_s()))
        await self.pull_from(peer)
        return True

    async def run_polls(self) -> None:
        """Read the store periodically, in case announcements were missed."""
        while True:
            was_read = await self.read_store()
            await self._wait_for_poll(self._clock() + (SLOW_POLL_S if was_read else 0))

    async def run_write_backs(self) -> None:
        """Write accepted changes again that the store has lost, until cancelled."""
        while True:
            await self._may_lack_changes.wait()
            await sleep(self._rng.uniform(0, self._pull_jitter_s()))
            if not await self.write_back_changes():
                await sleep(self._poll_s)

    async def write_back_changes(self) -> bool:
        """Write the accepted changes again that the store lacks; returns whether done.

        The replica takes the document that results, and it is announced.
        """
        self._may_lack_changes = Event()
        known = self._replica.document
        if known is None:
            return True
        stored = await write_back(PlatformSettingsStore(self._store), known)
        if isinstance(stored, Undecided):
            logging.warning("settings not compared with the store: %s", stored.reason)
            self._check_store()
            return False
        self._apply_stored(stored)
        return True

    async def run_watch(self) -> None:
        """Watch the store whenever this router is one of the watchers."""
        while True:
            if self._is_watcher():
                await self._watch_while_selected()
            await sleep(WATCH_CHECK_S)

    async def _restore_from_agent(self, agent: str, document: SettingsDocument) -> None:
        """Write what an agent has and the store has lost, and take the result.

        Without this, routers that all start after the loss would not be ready, or
        serve by the older document.
        """
        stored = await write_back(PlatformSettingsStore(self._store), document)
        # The document of the agent is not taken, but what the store has now.
        self._replica.on_pull_failed(agent, self._clock())
        if isinstance(stored, Undecided):
            logging.warning("settings of %s not written: %s", agent, stored.reason)
            return
        self._has_store_lost_version = False
        self._apply_stored(stored)

    async def _wait_for_poll(self, slow_poll_at: float) -> None:
        while True:
            await sleep(self._poll_s * (1 + JITTER_FRACTION * self._rng.random()))
            # A version that only agents know is read from the store early.
            is_behind = self._replica.highest_known_version > self._replica.version
            now = self._clock()
            may_be_lost = now < self._watches_own_change_until
            if is_behind or may_be_lost or now >= slow_poll_at:
                return

    async def _watch_while_selected(self) -> None:
        async with create_task_group() as task_group:
            task_group.start_soon(self._watch)
            while self._is_watcher():
                await sleep(WATCH_CHECK_S)
            task_group.cancel_scope.cancel()

    async def _watch(self) -> None:
        key = SETTINGS_KEY.encode()
        current = await self._store.get(key)
        while isinstance(current, Unavailable):
            await sleep(self._poll_s)
            current = await self._store.get(key)
        start_revision = FIRST_REVISION
        if current is not None:
            self._apply_value(current.value)
            start_revision = current.mod_revision + 1
        async with aclosing(self._store.watch(key, start_revision)) as events:
            async for event in events:
                if event.kind is EventKind.PUT:
                    self._apply_value(event.key_value.value)
                else:
                    self._apply_stored(SettingsDocument.empty())

    def _apply_value(self, value: bytes) -> None:
        try:
            document = SettingsDocument.decode(value)
        except FindingsError as error:
            logging.error("invalid settings document in the store: %s", error)
            return
        self._apply_stored(document)

    def _apply_stored(self, document: SettingsDocument) -> None:
        if self._is_outdated(document):
            return
        if self._replica.on_store_document(document, self._clock()):
            self._log_new_version("store")
            self._announce()

    def _is_outdated(self, document: SettingsDocument) -> bool:
        """Return whether a document lacks changes of the one in force.

        It would revert them, whatever its version. They are written to the store
        again, if it lacks them too. A document that has more changes under a lower or
        the same version is outdated too: the store gets it under a higher one.
        """
        known = self._replica.document
        if known is None or not is_outdated_by(document, known):
            return False
        self._check_store()
        return True

    def _check_store(self) -> None:
        self._may_lack_changes.set()

    def _log_store_availability(self, is_available: bool, reason: str) -> None:
        if is_available is self._is_store_available:
            return
        self._is_store_available = is_available
        if is_available:
            logging.info("settings store is available")
        else:
            logging.warning("settings store is unavailable: %s", reason)

    def _log_new_version(self, source: str) -> None:
        if self._replica.version >= self._replica.highest_known_version:
            self._address_by_agent.clear()
        logging.info("settings version %d is in force, from %s", self.version, source)
