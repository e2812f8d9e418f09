"""Pulling of newer settings versions from routers."""

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
# Spreads the requests of a large fleet.
MAX_PULL_JITTER_S = 0.25


class SettingsPuller:
    """Keeps the settings replica at the highest version that routers announce.

    Parameters
    ----------
    replica : SettingsReplica
        Holds the settings document.
    client : SyncClient
        Requests documents from routers.
    port : int
        Sync port of all routers.
    on_change : callable
        Called after the version in force or the highest announced one changed.
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
        """Whether requests may be admitted with the settings in force.

        After start, not until the replica has reached the highest announced
        version. Once that has happened, the version in force remains usable while
        a newer one is pulled.
        """
        return self._was_current or self._is_current()

    def record_announcement(self, router: str, address: str, version: int) -> None:
        """Record the settings version in a datagram of a router."""
        self._address_by_router[router] = address
        self._replica.on_announcement(router, version, self._clock())
        if version > self.version:
            self._behind.set()
            self._on_change()

    async def run(self) -> None:
        """Pull whenever a router announces a newer version."""
        while True:
            await self._behind.wait()
            router = self._replica.start_pull(self._clock())
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
        response = await self._client.request(address, self._port, query)
        document = _decode_document(response)
        now = self._clock()
        if document is None:
            self._replica.on_pull_failed(router, now)
        elif self._replica.on_document(document, now, peer=router):
            logging.info("settings version %d is in force", self.version)
            self._was_current = self._was_current or self._is_current()
            self._on_change()

    def _is_current(self) -> bool:
        return self.version >= self._replica.highest_known_version


def _decode_document(response: bytes | SyncFailed) -> SettingsDocument | None:
    if isinstance(response, SyncFailed):
        logging.debug("failed to pull settings: %s", response.reason)
        return None
    reply = decode_reply(response)
    if not isinstance(reply, SettingsReply) or not reply.document:
        return None
    try:
        return SettingsDocument.decode(reply.document)
    except FindingsError as error:
        logging.error("pulled settings are invalid: %s", error)
        return None
