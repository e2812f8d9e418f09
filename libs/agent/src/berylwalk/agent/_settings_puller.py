"""Settings pulled from routers that have a newer version."""

from collections.abc import Callable
from random import Random
from time import monotonic

from absl import logging
from anyio import Event, sleep

from berylwalk.model import FindingsError
from berylwalk.settings import SettingsDocument, SettingsReplica
from berylwalk.transport import SyncClient, SyncFailed
from berylwalk.wire import SettingsQuery, SettingsReply, decode_reply, encode_sync

RECHECK_INTERVAL_S = 0.1
# Keeps a large fleet from asking one router at the same moment.
MAX_PULL_JITTER_S = 0.25


class SettingsPuller:
    """Keeps the settings replica as new as the routers' datagrams say.

    Parameters
    ----------
    replica : SettingsReplica
        Holds the highest document seen.
    client : SyncClient
        Asks routers.
    port : int
        Sync port of all routers.
    on_change : callable
        Called after the version in force, or what is known of it, changed.
    clock : callable
        Monotonic clock, in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        replica: SettingsReplica,
        client: SyncClient,
        *,
        port: int,
        on_change: Callable[[], None],
        clock: Callable[[], float] = monotonic,
        rng: Random | None = None,
    ) -> None:
        self._replica = replica
        self._client = client
        self._port = port
        self._on_change = on_change
        self._clock = clock
        self._rng = rng or Random()
        self._address_by_router: dict[str, str] = {}
        self._behind = Event()
        self._was_current = False

    @property
    def version(self) -> int:
        """Version in force."""
        return self._replica.version

    @property
    def is_usable(self) -> bool:
        """Whether work may be admitted by the settings in force.

        An agent that has just started must not fall below a version that it
        has heard of; later it goes on with the one in force while it catches up.
        """
        return self._was_current or self._is_current()

    def record_announcement(self, router: str, address: str, version: int) -> None:
        """Note the settings version that a router's datagram carried."""
        self._address_by_router[router] = address
        self._replica.on_announcement(router, version, self._clock())
        if version > self.version:
            self._behind.set()
            self._on_change()

    async def run(self) -> None:
        """Pull whenever a router is ahead."""
        while True:
            await self._behind.wait()
            router = self._replica.needs_pull(self._clock())
            if router is not None:
                await sleep(self._rng.uniform(0, MAX_PULL_JITTER_S))
                await self._pull(router)
            elif self._is_current():
                self._behind = Event()
            else:
                await sleep(RECHECK_INTERVAL_S)

    async def _pull(self, router: str) -> None:
        query = encode_sync(SettingsQuery(self.version))
        address = self._address_by_router[router]
        answer = await self._client.request(address, self._port, query)
        document = _document_of(answer)
        now = self._clock()
        if document is None:
            self._replica.on_pull_failed(router, now)
        elif self._replica.on_document(document, now, peer=router):
            logging.info("settings version %d is in force", self.version)
            self._was_current = self._was_current or self._is_current()
            self._on_change()

    def _is_current(self) -> bool:
        return self.version >= self._replica.highest_heard


def _document_of(answer: bytes | SyncFailed) -> SettingsDocument | None:
    if isinstance(answer, SyncFailed):
        logging.debug("settings were not pulled: %s", answer.reason)
        return None
    reply = decode_reply(answer)
    if not isinstance(reply, SettingsReply) or not reply.document:
        return None
    try:
        return SettingsDocument.decode(reply.document)
    except FindingsError as error:
        logging.error("pulled settings are invalid: %s", error)
        return None
