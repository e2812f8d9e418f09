"""A note of large spending that a restart of all routers does not lose."""

from anyio import sleep
from msgspec import DecodeError, ValidationError, json

from berylwalk.direct._context import RouterContext
from berylwalk.dispatch import Knowledge
from berylwalk.platform import KeyValue, KeyValueClient, Unavailable

NOTE_KEY = b"berylwalk/spending"
NOTE_LEASE_S = 14.0
"""Time for which a note is kept: longer than the window that allowances are judged
by and than a restart takes."""
NOTE_GAP_S = 0.5
"""Time between two notes while some account spends much. Its sum may stay while
what makes it up changes, so that no note serves for longer."""
RETRY_S = 0.3


class SpendingNote:
    """Reads the note of an earlier life once, then writes it as needed.

    Only one router writes, and only while some account has spent much: usual
    spending causes no call of the store.

    Parameters
    ----------
    context : RouterContext
        The router's state.
    store : KeyValueClient
        The platform's store.
    """

    def __init__(self, context: RouterContext, store: KeyValueClient) -> None:
        self._context = context
        self._store = store

    async def run(self) -> None:
        """Read the note of an earlier life once, then write it as needed."""
        while isinstance(note := await self._store.get(NOTE_KEY), Unavailable):
            await sleep(RETRY_S)
        self._learn_from(note)
        while True:
            await sleep(NOTE_GAP_S)
            spent = self._context.allowances.spent_much(self._context.clock())
            if spent and self._is_writer():
                await self._write(spent)

    def _learn_from(self, note: KeyValue | None) -> None:
        spent: dict[str, list[float]] = {}
        if note is not None:
            try:
                spent = json.decode(note.value, type=dict[str, list[float]])
            except (DecodeError, ValidationError) as error:
                self._context.log.process("spending-invalid", detail=repr(error))
                return
        context = self._context
        context.allowances.learn(spent, Knowledge.NOTE, context.clock())
        context.log.process("spending-learned", accounts=sorted(spent))

    def _is_writer(self) -> bool:
        """Return whether it is for this router to write: the first that is heard."""
        context = self._context
        now, peers = context.clock(), context.peers
        own_name = context.settings.name
        heard = [
            peer.name for peer in peers.by_name.values() if peers.is_heard(peer, now)
        ]
        return own_name <= min(heard, default=own_name)

    async def _write(self, spent: dict[str, list[float]]) -> None:
        lease = await self._store.grant_lease(NOTE_LEASE_S)
        if isinstance(lease, Unavailable):
            return
        value = json.encode(
            {name: [round(units) for units in bins] for name, bins in spent.items()}
        )
        await self._store.put(NOTE_KEY, value, lease_id=lease.lease_id)
